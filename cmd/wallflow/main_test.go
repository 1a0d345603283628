package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"
)

// bin holds the built programs, as a user has them.
var bin string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "wallflow-bin-")
	if err == nil {
		build := exec.Command("go", "build", "-buildvcs=false", "-o", dir, "./cmd/wallflow", "./cmd/cherrytrestle", "./cmd/wallflow-control", "./cmd/wallflow-proxy")
		build.Dir = "../.."
		build.Stdout, build.Stderr = os.Stderr, os.Stderr
		err = build.Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	bin = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// command is the program with its arguments, and a folder of its own for what it leaves.
func command(t *testing.T, args ...string) (cmd *exec.Cmd, temp string) {
	t.Helper()
	temp = t.TempDir()
	cmd = exec.Command(filepath.Join(bin, "wallflow"), args...)
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "WALLFLOW_") {
			cmd.Env = append(cmd.Env, v)
		}
	}
	cmd.Env = append(cmd.Env, "TMPDIR="+temp)
	return cmd, temp
}

func play(t *testing.T, args ...string) (out, errOut string, code int) {
	t.Helper()
	cmd, _ := command(t, args...)
	var o, e bytes.Buffer
	cmd.Stdout, cmd.Stderr = &o, &e
	if err := cmd.Run(); err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return o.String(), e.String(), cmd.ProcessState.ExitCode()
}

// counted plays until this machine was not too slow for it: such a trial says nothing, and is neither verdict.
func counted(t *testing.T, args ...string) (out string, code int) {
	t.Helper()
	for range 6 {
		out, errOut, code := play(t, args...)
		if code != exitWrong || !strings.Contains(errOut, "too slow") {
			if code == exitWrong {
				t.Log(errOut)
			}
			return out, code
		}
		t.Log(errOut)
	}
	t.Fatal("this machine was too slow for it")
	return "", 0
}

func lastLine(out string) string {
	lines := strings.Split(strings.TrimSpace(out), "\n")
	return lines[len(lines)-1]
}

func TestWrongUseIsNamed(t *testing.T) {
	dir := t.TempDir()
	config := filepath.Join(dir, "wallflow.toml")
	if err := os.WriteFile(config, []byte("[trial]\nfor = \"10s\"\nlaod = \"small\"\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct {
		args []string
		want string
	}{
		{[]string{"trail"}, `"trail"`},
		{[]string{"trial", "rum"}, `"rum" is no command`},
		{[]string{"trial", "run"}, "the scenario's name"},
		{[]string{"trial", "run", "relay-kil"}, `"relay-kil"`},
		{[]string{"trial", "run", "calm", "--laod", "small"}, "--laod"},
		{[]string{"trial", "run", "calm", "--load", "smal"}, `--load: load "smal"`},
		{[]string{"trial", "run", "calm", "--for", "10"}, `"--for" flag: "10" is no time`},
		{[]string{"trial", "run", "calm", "--for", "-3s"}, "wanted is 1s to 24h0m0s"},
		{[]string{"trial", "run", "calm", "--seed", "x"}, "--seed"},
		{[]string{"trial", "run", "calm", "--relay", filepath.Join(dir, "none")}, "--relay: "},
		{[]string{"trial", "run", "calm", "--plan", filepath.Join(dir, "none")}, "--plan: "},
		{[]string{"trial", "run", "calm", "--json", filepath.Join(dir, "none", "x")}, "no such file"},
		{[]string{"trial", "sweep", "calm", "--seeds", "0"}, "--seeds: 0"},
		{[]string{"trial", "check", filepath.Join(dir, "none")}, "no such file"},
		{[]string{"trial", "check", config}, "wallflow.toml:1: "},
		{[]string{"--config", config, "trial", "list"}, "wallflow.toml:3: trial.laod: no such key"},
		{[]string{"--log-format", "xml", "trial", "list"}, `log format "xml"`},
		{[]string{"--log-level", "loud", "trial", "list"}, `log level "loud"`},
	} {
		out, errOut, code := play(t, c.args...)
		if code != exitWrong || !strings.Contains(errOut, c.want) {
			t.Errorf("%v: code %d, %q %q; want %q", c.args, code, out, errOut, c.want)
		}
	}
}

func TestHelpShowsExamplesAndListShowsAll(t *testing.T) {
	for _, c := range []struct{ args, want []string }{
		{[]string{"--help"}, []string{"Examples:", "wallflow trial run berth", "Exit codes: 0 all held, 1 an invariant broke, 2 wrong use"}},
		{[]string{"trial", "run", "--help"}, []string{"Examples:", "--seed 7 --load small --for 10s", "--plan"}},
		{[]string{"trial", "sweep", "--help"}, []string{"Examples:", "--seeds 20"}},
		{[]string{"trial", "list"}, []string{"relay-kill", "relay-freeze", "partner-outage", "agent-silent", "take-over", "mass-kill", "small", "berth", "crowd", "taken-is-ended",
			"kill-compacting"}},
		{[]string{"version"}, []string{"wallflow"}},
	} {
		out, errOut, code := play(t, c.args...)
		for _, want := range c.want {
			if code != exitHeld || !strings.Contains(out, want) {
				t.Errorf("%v: code %d, %q %q; want %q", c.args, code, out, errOut, want)
			}
		}
	}
}

func TestARunKeepsWhatItIsAskedToKeep(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "kept")
	report, page := filepath.Join(dir, "r.json"), filepath.Join(dir, "r.html")
	out, code := counted(t, "trial", "run", "relay-kill", "--load", "small", "--for", "3s", "--seed", "4", "--dir", dir, "--json", report, "--html", page)
	if code != exitHeld || lastLine(out) != "verdict: held" {
		t.Fatalf("code %d:\n%s", code, out)
	}
	var r result
	data, err := os.ReadFile(report)
	if err == nil {
		err = json.Unmarshal(data, &r)
	}
	if err != nil || r.Verdict != "held" || r.Seed != 4 || r.Figures.HandIns < 50 || r.Figures.RelayCPU <= 0 || r.Checked.Judged["taken-is-ended"] < 50 {
		t.Errorf("%v: %.300s", err, data)
	}
	if data, err := os.ReadFile(page); err != nil || bytes.Count(data, []byte("<svg")) != 4 {
		t.Errorf("%d plots, %v", bytes.Count(data, []byte("<svg")), err)
	}
	// The history is judged again, the same; with its calls' replies told as errors it is not.
	history := filepath.Join(dir, "history.jsonl")
	again, _, code := play(t, "trial", "check", history)
	if code != exitHeld || lastLine(again) != "verdict: held" {
		t.Errorf("checked again: code %d:\n%s", code, again)
	}
	data, err = os.ReadFile(history)
	if err != nil {
		t.Fatal(err)
	}
	spoilt := filepath.Join(dir, "spoilt.jsonl")
	if err := os.WriteFile(spoilt, bytes.ReplaceAll(data, []byte(`"outcome":"ok"`), []byte(`"outcome":"error"`)), 0o600); err != nil {
		t.Fatal(err)
	}
	if again, _, code = play(t, "trial", "check", spoilt); code != exitBroken || !strings.Contains(again, "taken-is-ended: ") || !strings.HasPrefix(lastLine(again), "verdict: broken") {
		t.Errorf("spoilt: code %d:\n%s", code, again)
	}
	// What is done to whom can be played again from the file.
	if out, code = counted(t, "trial", "run", "relay-kill", "--load", "small", "--for", "3s", "--plan", filepath.Join(dir, "plan.toml"), "--quiet"); code != exitHeld || out != "verdict: held\n" {
		t.Errorf("played again: code %d: %q", code, out)
	}
}

func TestASweepHasALineASeed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "sweep.json")
	out, code := counted(t, "trial", "sweep", "mass-kill", "--load", "small", "--for", "2s", "--seed", "7", "--seeds", "2", "--json", file)
	if code != exitHeld || !strings.Contains(out, "seed 7 ") || !strings.Contains(out, "seed 8 ") || !strings.Contains(out, "2 held, 0 broken, 0 not played") {
		t.Fatalf("code %d:\n%s", code, out)
	}
	var all []result
	data, err := os.ReadFile(file)
	if err == nil {
		err = json.Unmarshal(data, &all)
	}
	if err != nil || len(all) != 2 || all[0].Seed != 7 || all[1].Seed != 8 {
		t.Errorf("%v: %.300s", err, data)
	}
}

// started waits until a trial's load has begun.
func started(t *testing.T, out io.Reader) {
	t.Helper()
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "[") {
			go io.Copy(io.Discard, out)
			return
		}
	}
	t.Fatal("the trial never began")
}

// left are the processes that have a folder in their environment.
func left(temp string) (pids []string) {
	all, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, file := range all {
		if data, err := os.ReadFile(file); err == nil && bytes.Contains(data, []byte("ROUTER_STATE="+temp)) {
			pids = append(pids, filepath.Base(filepath.Dir(file)))
		}
	}
	return pids
}

// However a trial is ended, it leaves no process and no folder behind.
func TestATrialThatIsEndedLeavesNothing(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(sig.String(), func(t *testing.T) {
			t.Parallel()
			cmd, temp := command(t, "trial", "run", "relay-freeze", "--load", "small", "--for", "60s")
			var errOut bytes.Buffer
			cmd.Stderr = &errOut
			out, err := cmd.StdoutPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			started(t, out)
			if n := len(left(temp)); n < 3 {
				t.Errorf("%d relays run, 3 are wanted: what follows shows nothing", n)
			}
			if err := cmd.Process.Signal(sig); err != nil {
				t.Fatal(err)
			}
			cmd.Wait()
			if code := cmd.ProcessState.ExitCode(); sig != syscall.SIGKILL && (code != exitWrong || !strings.Contains(errOut.String(), "interrupted")) {
				t.Errorf("code %d, %q", code, errOut.String())
			}
			for end := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
				files, err := os.ReadDir(temp)
				if err != nil {
					t.Fatal(err)
				}
				pids := left(temp)
				if len(files) == 0 && len(pids) == 0 {
					break
				}
				if time.Now().After(end) {
					t.Fatalf("left are processes %v and files %v", pids, files)
				}
			}
		})
	}
}

// A ground that was frozen itself has seen nothing that counts: no verdict, and no breach.
func TestASlowMachineIsNoVerdict(t *testing.T) {
	cmd, _ := command(t, "trial", "run", "calm", "--load", "small", "--for", "4s")
	var errOut bytes.Buffer
	cmd.Stderr = &errOut
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	started(t, out)
	cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond)
	cmd.Process.Signal(syscall.SIGCONT)
	cmd.Wait()
	if code := cmd.ProcessState.ExitCode(); code != exitWrong || !strings.Contains(errOut.String(), "too slow") {
		t.Errorf("code %d, %q", code, errOut.String())
	}
}

func TestTwoTrialsSideBySide(t *testing.T) {
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			if out, code := counted(t, "trial", "run", "mass-kill", "--load", "small", "--for", "3s"); code != exitHeld {
				t.Errorf("code %d:\n%s", code, out)
			}
		})
	}
	wg.Wait()
}
