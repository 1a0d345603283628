package main

import (
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

const host = "small.example"

// play is one case: it returns whether the rule was broken.
type play func(s *system, trouble bool) (broken bool, err error)

var plays = map[string]play{
	"drained-silent": playDrainedSilent,
	"late-order":     playLateOrder,
	"raised-limit":   playRaisedLimit,
	"unframed":       playUnframed,
}

// main is called with the name of a case and the folder for its record.
func main() {
	if len(os.Args) != 3 || plays[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(exitNotRun)
	}
	os.Exit(run(plays[os.Args[1]], os.Args[2]))
}

func run(chosen play, folder string) int {
	root, err := filepath.Abs(filepath.Join(folder, "..", ".."))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	record, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	s, err := newSystem(root, record)
	if err != nil {
		record.say("the case could not run: %v", err)
		return exitNotRun
	}
	defer s.stop()
	trouble := os.Getenv("TROUBLE") != "0"
	record.add("with the disruption: %t", trouble)
	broken, err := chosen(s, trouble)
	switch {
	case err != nil:
		record.say("the case could not run: %v", err)
		return exitNotRun
	case broken:
		record.say("the rule was broken")
		return exitBroken
	}
	record.say("the rule held")
	return exitHeld
}
