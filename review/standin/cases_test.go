package main

import (
	"os/exec"
	"path/filepath"
	"testing"
)

// TestReviewCases runs the scripts of the review. Each exits with 1 while its rule is broken. The test runs from this folder, needs the builds
// of the deploy file and of review/build.sh, and stands in a module of its own, so that the project's test command doesn't run it.
func TestReviewCases(t *testing.T) {
	scripts, err := filepath.Glob("../[0-9]/run.sh")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, script := range scripts {
		t.Run(filepath.Base(filepath.Dir(script)), func(t *testing.T) {
			if out, err := exec.Command(script).CombinedOutput(); err != nil {
				t.Errorf("%s: %v\n%s", script, err, out)
			}
		})
	}
}
