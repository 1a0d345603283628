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

// The test's own binary stands for the keeper.
func TestMain(m *testing.M) {
	if os.Getenv("TRIAL_TEST_KEEPER") != "" {
		if err := proc.Keep(os.Stdin); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	code := m.Run()
	if built.dir != "" {
		os.RemoveAll(built.dir)
	}
	os.Exit(code)
}

func keeper() *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "TRIAL_TEST_KEEPER=1")
	return c
}

// built holds the relays of this test process.
var built struct {
	sync.Mutex
	dir   string
	paths map[string]string
}

// change is one text put in the place of another in a source file, in a build of the test alone.
type change struct{ file, old, new string }

// machine is shared by builds and by first plays, which run side by side. A play is repeated only because the machine was too slow for
// it, so that the repeat has it for itself.
var machine sync.RWMutex

// relayProgram builds the relay, with changes to its text that are nowhere but in this build.
func relayProgram(t *testing.T, name string, changes ...change) string {
	t.Helper()
	return program(t, "./cmd/cherrytrestle", name, changes...)
}

// listProgram builds the product's command, which list servers run, in the same way.
func listProgram(t *testing.T, name string, changes ...change) string {
	t.Helper()
	return program(t, "./cmd/wallflow", name, changes...)
}

func program(t *testing.T, source, name string, changes ...change) string {
	t.Helper()
	built.Lock()
	defer built.Unlock()
	if path := built.paths[name]; path != "" {
		return path
	}
	if built.dir == "" {
		dir, err := os.MkdirTemp("", "wallflow-test-")
		if err != nil {
			t.Fatal(err)
		}
		built.dir, built.paths = dir, map[string]string{}
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
			t.Fatalf("%s: the text to break is there %d times, wanted is once: %q", c.file, strings.Count(string(text), c.old), c.old)
		}
		spoilt := filepath.Join(built.dir, fmt.Sprintf("%s-%d.go", name, i))
		if err := os.WriteFile(spoilt, []byte(strings.Replace(string(text), c.old, c.new, 1)), 0o600); err != nil {
			t.Fatal(err)
		}
		replace[source] = spoilt
	}
	overlay, err := json.Marshal(map[string]any{"Replace": replace})
	if err != nil {
		t.Fatal(err)
	}
	file := filepath.Join(built.dir, name+".json")
	if err := os.WriteFile(file, overlay, 0o600); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(built.dir, name)
	build := exec.Command("go", "build", "-buildvcs=false", "-overlay", file, "-o", path, source)
	build.Dir = root
	machine.RLock()
	out, err := build.CombinedOutput()
	machine.RUnlock()
	if err != nil {
		t.Fatalf("build %s: %v\n%s", name, err, out)
	}
	built.paths[name] = path
	return path
}

// playsMost is how often a trial is played that the machine was too slow for. It says nothing then, either way.
const playsMost = 6

// playShared plays a trial beside others and beside builds.
func playShared(sc *Scenario, opts Options) (*Result, error) {
	machine.RLock()
	defer machine.RUnlock()
	return Run(context.Background(), sc, opts)
}

// playAlone plays a trial once all others of this process have ended, and holds back those that have not begun.
func playAlone(sc *Scenario, opts Options) (*Result, error) {
	machine.Lock()
	defer machine.Unlock()
	return Run(context.Background(), sc, opts)
}

// mustPlay plays until a trial counts.
func mustPlay(t *testing.T, scenario string, opts Options) *Result {
	t.Helper()
	sc, err := Find(scenario)
	if err != nil {
		t.Fatal(err)
	}
	opts.Keeper = keeper
	if sc.Lists > 0 && opts.Program == "" {
		opts.Program = listProgram(t, "lists")
	}
	play := playShared
	for range playsMost {
		res, err := play(sc, opts)
		if err == nil {
			return res
		}
		if !errors.Is(err, ErrNotPlayed) || res == nil || res.Lag.tooMuch() == "" {
			t.Fatal(err)
		}
		t.Log(err)
		opts.Dir = t.TempDir() // a trial begins with nothing
		play = playAlone
	}
	t.Fatalf("this machine was too slow for it %d times", playsMost)
	return nil
}

func options(t *testing.T, relay, name string, seed uint64, lasting time.Duration) Options {
	t.Helper()
	l, err := load.Open(name)
	if err != nil {
		t.Fatal(err)
	}
	return Options{Load: l, Seed: seed, For: lasting, Relay: relay, Dir: t.TempDir()}
}
