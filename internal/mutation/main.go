package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"time"
)

const (
	// testTimeout bounds one run of a package's tests.
	testTimeout = 5 * time.Minute
	// buildTimeout is what building them may take on top.
	buildTimeout = 2 * time.Minute
	// testMemory is what a run may take, since a mistake may have it grow without end.
	testMemory = "3GiB"
)

func main() {
	only := flag.String("only", "", "plant the mistakes alone whose name has this in it")
	survey := flag.Int("survey", 0, "draw so many mistakes in the packages given as arguments")
	seed := flag.Uint64("seed", 1, "of the drawn mistakes")
	flag.Parse()
	root, err := os.Getwd()
	if err != nil {
		fail(err)
	}
	mistakes := listed()
	if *survey > 0 {
		if mistakes, err = drawn(root, flag.Args(), *survey, *seed); err != nil {
			fail(err)
		}
	}
	survived := 0
	for _, each := range mistakes {
		if !strings.Contains(each.name, *only) {
			continue
		}
		verdict, err := try(root, each)
		if err != nil {
			fail(err)
		}
		fmt.Printf("%-60s %s\n", each.name, verdict)
		if verdict == notFound {
			survived++
		}
	}
	fmt.Printf("%d not found\n", survived)
	if survived > 0 {
		os.Exit(1)
	}
}

func fail(err error) {
	fmt.Fprintln(os.Stderr, "mutation:", err)
	os.Exit(2)
}

// notFound is the verdict on a mistake that all tests pass with.
const notFound = "NOT FOUND"

var (
	failedTest    = regexp.MustCompile(`--- FAIL: (\S+)`)
	failedPackage = regexp.MustCompile(`(?m)^FAIL\t`)
)

// try plants a mistake and runs the tests. The verdict names the first test that fails.
func try(root string, each mistake) (string, error) {
	text, err := each.planted(root)
	if err != nil {
		return "", err
	}
	folder, err := os.MkdirTemp("", "mutation")
	if err != nil {
		return "", err
	}
	defer os.RemoveAll(folder)
	overlay, err := writeOverlay(folder, filepath.Join(root, each.file), text)
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout+buildTimeout)
	defer cancel()
	// The tests end themselves when their time is over: who ends go test alone leaves them running.
	arguments := append([]string{"test", "-overlay", overlay, "-failfast", "-timeout", testTimeout.String()}, each.packages...)
	command := exec.CommandContext(ctx, "go", arguments...)
	command.Env = append(os.Environ(), "GOMEMLIMIT="+testMemory)
	output, err := command.CombinedOutput()
	var exit *exec.ExitError
	switch {
	case err == nil:
		return notFound, nil
	case !errors.As(err, &exit):
		return "", err
	case strings.Contains(string(output), "[build failed]"):
		return "does not compile", nil
	}
	if found := failedTest.FindSubmatch(output); found != nil {
		return "found by " + string(found[1]), nil
	}
	if ctx.Err() == nil && !failedPackage.Match(output) {
		return "", fmt.Errorf("the tests of %s could not be run: %s", strings.Join(each.packages, ", "), output)
	}
	return "found: the tests did not end well", nil
}

// writeOverlay writes the contents that the compiler is to take for a file.
func writeOverlay(folder, file, text string) (string, error) {
	changed := filepath.Join(folder, "changed.go")
	if err := os.WriteFile(changed, []byte(text), 0o600); err != nil {
		return "", err
	}
	encoded, err := json.Marshal(map[string]map[string]string{"Replace": {file: changed}})
	if err != nil {
		return "", err
	}
	overlay := filepath.Join(folder, "overlay.json")
	return overlay, os.WriteFile(overlay, encoded, 0o600)
}
