package main

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// The tests run from this folder; the repository is two levels up. They need the builds of the deploy file and of review/build.sh, and
// stand in a module of their own, so that the project's test command doesn't run them.
const repository = "../.."

// TestReviewScripts runs the scripts of the review. Each exits with 1 while its rule is broken.
func TestReviewScripts(t *testing.T) {
	scripts, err := filepath.Glob("../[0-9]/run.sh")
	if err != nil || len(scripts) == 0 {
		t.Fatalf("no scripts: %v", err)
	}
	for _, script := range scripts {
		out, err := exec.Command(script).CombinedOutput()
		if err != nil {
			t.Errorf("%s: %v\n%s", script, err, out)
		}
	}
}

// TestReviewDays plays the days of the review on the operators' bench, three seeds each.
func TestReviewDays(t *testing.T) {
	system := filepath.Join(repository, "../given/kit/more/system")
	if _, err := os.Stat(system); err != nil {
		t.Skip("the operators' bench isn't here")
	}
	days, err := filepath.Glob("../[0-9]/day.toml")
	if err != nil || len(days) == 0 {
		t.Fatalf("no days: %v", err)
	}
	for _, day := range days {
		for seed := 11; seed <= 13; seed++ {
			report := filepath.Join(t.TempDir(), "report.json")
			command := exec.Command("../given/kit/more/system/bin/fleetbench", "run", "../given/kit/more/system/sites/tema-slotdesk.toml",
				filepath.Join("review", filepath.Base(filepath.Dir(day)), "day.toml"), "--seed", fmt.Sprint(seed), "--report", report)
			command.Dir = repository
			if out, err := command.CombinedOutput(); err != nil {
				t.Logf("%s", out) // the bench may end with a code of its own where a rule is broken
			}
			var result struct{ Breaks map[string]int }
			text, err := os.ReadFile(report)
			if err != nil || json.Unmarshal(text, &result) != nil {
				t.Fatalf("%s, seed %d: no report: %v", day, seed, err)
			}
			if len(result.Breaks) > 0 {
				t.Errorf("%s, seed %d: broken %v", day, seed, result.Breaks)
			}
		}
	}
}
