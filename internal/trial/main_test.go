package trial

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"wallflow/internal/trial/load"
	"wallflow/internal/trial/proc"
)

// The test binary also serves as the keeper process.
func TestMain(m *testing.M) {
	if os.Getenv("TRIAL_TEST_KEEPER") != "" {
		if err := proc.RunKeeper(os.Stdin); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	code := m.Run()
	if builtPrograms.dir != "" {
		os.RemoveAll(builtPrograms.dir)
	}
	os.Exit(code)
}

func keeper() *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "TRIAL_TEST_KEEPER=1")
	return c
}

// builtPrograms holds the programs built by this test process.
var builtPrograms struct {
	sync.Mutex
	dir   string
	paths map[string]string
}

// sourceChange replaces one text in a source file, only in a build for a test.
type sourceChange struct{ file, old, new string }

// machineMu is held shared by builds and by the first run of each trial, which may run in parallel. A trial is repeated
// only if the machine was too slow, and then holds it exclusively.
var machineMu sync.RWMutex

// relayProgram builds the relay with changes to its source.
func relayProgram(t *testing.T, name string, changes ...sourceChange) string {
	t.Helper()
	return program(t, "./cmd/cherrytrestle", name, changes...)
}

// listServerProgram builds the wallflow command, which runs list servers and agents, with changes to its source.
func listServerProgram(t *testing.T, name string, changes ...sourceChange) string {
	t.Helper()
	return program(t, "./cmd/wallflow", name, changes...)
}

func program(t *testing.T, source, name string, changes ...sourceChange) string {
	t.Helper()
	builtPrograms.Lock()
	defer builtPrograms.Unlock()
	if path := builtPrograms.paths[name]; path != "" {
		return path
	}
	if builtPrograms.dir == "" {
		dir, err := os.MkdirTemp("", "wallflow-test-")
		if err != nil {
			t.Fatal(err)
		}
		builtPrograms.dir, builtPrograms.paths = dir, map[string]string{}
	}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	replace := map[string]string{}
	for i, c := range changes {
		source := filepath.Join(root, c.file)
		from := source
		if replace[source] != "" {
			from = replace[source]
		}
		text, err := os.ReadFile(from)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Count(string(text), c.old) != 1 {
			t.Fatalf("%s: the text to replace occurs %d times, want once: %q", c.file, strings.Count(string(text), c.old), c.old)
		}
		changedFile := filepath.Join(builtPrograms.dir, fmt.Sprintf("%s-%d.go", name, i))
		if err := os.WriteFile(changedFile, []byte(strings.Replace(string(text), c.old, c.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		replace[source] = changedFile
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(builtPrograms.dir, name+".json")
	if err := os.WriteFile(file, overlay, 0o600); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(builtPrograms.dir, name)
	build := exec.Command("go", "build", "-buildvcs=false", "-overlay", file, "-o", path, source)
	build.Dir = root
	machineMu.RLock()
	out, err := build.CombinedOutput()
	machineMu.RUnlock()
	if err != nil {
		t.Fatalf("build %s: %v\n%s", name, err, out)
	}
	builtPrograms.paths[name] = path
	return path
}

// maxRuns limits the runs of a trial for which the machine is too slow. Such a run has no verdict.
const maxRuns = 6

// runShared runs a trial in parallel with others and with builds.
func runShared(sc *Scenario, opts Options) (*Result, error) {
	machineMu.RLock()
	defer machineMu.RUnlock()
	return Run(context.Background(), sc, opts)
}

// runAlone runs a trial while no other trial or build of this process runs.
func runAlone(sc *Scenario, opts Options) (*Result, error) {
	machineMu.Lock()
	defer machineMu.Unlock()
	return Run(context.Background(), sc, opts)
}

// mustRun runs a trial until it has a verdict.
func mustRun(t *testing.T, scenario string, opts Options) *Result {
	t.Helper()
	sc, err := Find(scenario)
	if err != nil {
		t.Fatal(err)
	}
	opts.Keeper = keeper
	if sc.Lists > 0 && opts.Program == "" {
		opts.Program = listServerProgram(t, "lists")
	}
	play := runShared
	for range maxRuns {
		res, err := play(sc, opts)
		if err == nil {
			return res
		}
		if !errors.Is(err, ErrNoVerdict) || res == nil || res.Lag.excess() == "" {
			t.Fatal(err)
		}
		t.Log(err)
		opts.Dir = t.TempDir() // a trial needs an empty folder
		play = runAlone
	}
	t.Fatalf("this machine was too slow for it %d times", maxRuns)
	return nil
}

func options(t *testing.T, relay, name string, seed uint64, length time.Duration) Options {
	t.Helper()
	l, err := load.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	return Options{Load: l, Seed: seed, LoadDuration: length, Relay: relay, Dir: t.TempDir()}
}
