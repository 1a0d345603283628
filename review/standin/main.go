package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	fmt.Fprintln(r.file, line)
}

// say notes a line and shows it.
func (r *record) say(format string, args ...any) {
	fmt.Printf(format+"\n", args...)
	r.note(format, args...)
}

// cases are the scripts by name. Each gets the folder of the repository and whether the disruption is to happen.
var cases = map[string]func(root string, trouble bool, r *record) int{
	"evac":  evacCase,
	"drain": drainCase,
	"twice": twiceCase,
}

func main() {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE REPOSITORY RECORD")
		os.Exit(exitNotRun)
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	file, err := os.Create(os.Args[3])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	r := &record{file: file, start: time.Now()}
	code := cases[os.Args[1]](root, os.Getenv("TROUBLE") != "0", r)
	r.say("exit %d", code)
	file.Close()
	os.Exit(code)
}
