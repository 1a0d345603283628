package main

import (
	"errors"
	"os/exec"
	"path/filepath"
	"testing"
)

// TestReviewCases runs the scripts of the cases, after the build of the deploy file and review/build-2.sh. It fails while a case shows its
// fault. It stands in a module of its own, outside of the project's test run. Case 6 is a day for the operators' bench.
func TestReviewCases(t *testing.T) {
	for _, number := range []string{"4", "5", "7", "8"} {
		t.Run(number, func(t *testing.T) {
			output, err := exec.Command(filepath.Join("..", number, "run.sh")).CombinedOutput()
			var exit *exec.ExitError
			switch {
			case errors.As(err, &exit) && exit.ExitCode() == exitBroken:
				t.Errorf("the rule was broken:\n%s", output)
			case err != nil:
				t.Fatalf("the case could not run: %v\n%s", err, output)
			}
		})
	}
}
