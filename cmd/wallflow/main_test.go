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

// binDir is the folder with the built programs.
var binDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "wallflow-bin-")
	if err == nil {
		build := exec.Command("go", "build", "-buildvcs=false", "-o", dir, "./cmd/wallflow", "./cmd/cherrytrestle", "./cmd/wallflow-control",
			"./cmd/wallflow-proxy")
		build.Dir = "../.."
		build.Stdout, build.Stderr = os.Stderr, os.Stderr
		err = build.Run()
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	binDir = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// newCommand returns the program as a command with arguments, and the folder of its own in which it creates temporary files.
func newCommand(t *testing.T, args ...string) (cmd *exec.Cmd, temp string) {
	t.Helper()
	temp = t.TempDir()
	cmd = exec.Command(filepath.Join(binDir, "wallflow"), args...)
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "WALLFLOW_") {
			cmd.Env = append(cmd.Env, v)
		}
	}
	cmd.Env = append(cmd.Env, "TMPDIR="+temp)
	return cmd, temp
}

// runCommand runs the program to its end and returns its output and exit code.
func runCommand(t *testing.T, args ...string) (out, errOut string, code int) {
	t.Helper()
	cmd, _ := newCommand(t, args...)
	var o, e bytes.Buffer
	cmd.Stdout, cmd.Stderr = &o, &e
	if err := cmd.Run(); err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return o.String(), e.String(), cmd.ProcessState.ExitCode()
}

// runTrial runs a trial and repeats it if the machine was too slow, since such a trial gives no verdict.
func runTrial(t *testing.T, args ...string) (out string, code int) {
	t.Helper()
	for range 6 {
		out, errOut, code := runCommand(t, args...)
		if code != exitError || !strings.Contains(errOut, "too slow") {
			if code == exitError {
				t.Log(errOut)
			}
			return out, code
		}
		t.Log(errOut)
	}
	t.Fatal("the machine was too slow in every run")
	return "", 0
}

func lastLine(out string) string {
	lines := strings.Split(strings.TrimSpace(out), "\n")
	return lines[len(lines)-1]
}

func TestUsageErrors(t *testing.T) {
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
		{[]string{"trial", "rum"}, `unknown command "rum"`},
		{[]string{"trial", "run"}, "the scenario's name"},
		{[]string{"trial", "run", "relay-kil"}, `"relay-kil"`},
		{[]string{"trial", "run", "calm", "--laod", "small"}, "--laod"},
		{[]string{"trial", "run", "calm", "--load", "smal"}, `--load: load "smal"`},
		{[]string{"trial", "run", "calm", "--for", "10"}, `"--for" flag: "10" is not a duration`},
		{[]string{"trial", "run", "calm", "--for", "-3s"}, "must be 1s to 24h0m0s"},
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
		out, errOut, code := runCommand(t, c.args...)
		if code != exitError || !strings.Contains(errOut, c.want) {
			t.Errorf("%v: code %d, output %q, errors %q; want %q", c.args, code, out, errOut, c.want)
		}
	}
}

func TestHelpAndTrialList(t *testing.T) {
	for _, c := range []struct{ args, want []string }{
		{[]string{"--help"}, []string{"Examples:", "wallflow trial run berth", "Exit codes: 0 success, 1 a check failed, 2 usage error"}},
		{[]string{"trial", "run", "--help"}, []string{"Examples:", "--seed 7 --load small --for 10s", "--plan"}},
		{[]string{"trial", "sweep", "--help"}, []string{"Examples:", "--seeds 20"}},
		{[]string{"trial", "list"}, []string{"relay-kill", "relay-freeze", "partner-outage", "agent-silent", "take-over", "mass-kill", "small",
			"berth", "crowd", "taken-is-ended",
			"kill-compacting"}},
		{[]string{"version"}, []string{"wallflow"}},
	} {
		out, errOut, code := runCommand(t, c.args...)
		for _, want := range c.want {
			if code != exitOK || !strings.Contains(out, want) {
				t.Errorf("%v: code %d, output %q, errors %q; want %q", c.args, code, out, errOut, want)
			}
		}
	}
}

func TestTrialRunWritesRequestedFiles(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "kept")
	jsonFile, htmlFile := filepath.Join(dir, "r.json"), filepath.Join(dir, "r.html")
	out, code := runTrial(t, "trial", "run", "relay-kill", "--load", "small", "--for", "3s", "--seed", "4", "--dir", dir, "--json", jsonFile,
		"--html", htmlFile)
	if code != exitOK || lastLine(out) != "verdict: held" {
		t.Fatalf("code %d:\n%s", code, out)
	}
	var r result
	data, err := os.ReadFile(jsonFile)
	if err == nil {
		err = json.Unmarshal(data, &r)
	}
	if err != nil || r.Verdict != "held" || r.Seed != 4 || r.Figures.Submissions < 50 || r.Figures.RelayCPU <= 0 ||
		r.Checked.Judged["taken-is-ended"] < 50 {
		t.Errorf("%v: %.300s", err, data)
	}
	if data, err := os.ReadFile(htmlFile); err != nil || bytes.Count(data, []byte("<svg")) != 4 {
		t.Errorf("%d plots, %v", bytes.Count(data, []byte("<svg")), err)
	}
	// Checking the history again gives the same verdict. With all replies changed to errors, an invariant is violated.
	history := filepath.Join(dir, "history.jsonl")
	recheckOutput, _, code := runCommand(t, "trial", "check", history)
	if code != exitOK || lastLine(recheckOutput) != "verdict: held" {
		t.Errorf("recheck: code %d:\n%s", code, recheckOutput)
	}
	data, err = os.ReadFile(history)
	if err != nil {
		t.Fatal(err)
	}
	altered := filepath.Join(dir, "altered.jsonl")
	if err := os.WriteFile(altered, bytes.ReplaceAll(data, []byte(`"outcome":"ok"`), []byte(`"outcome":"error"`)), 0o600); err != nil {
		t.Fatal(err)
	}
	if recheckOutput, _, code = runCommand(t, "trial", "check", altered); code != exitCheckFailed ||
		!strings.Contains(recheckOutput, "taken-is-ended: ") || !strings.HasPrefix(lastLine(recheckOutput), "verdict: broken") {
		t.Errorf("altered history: code %d:\n%s", code, recheckOutput)
	}
	// The recorded plan can be run again from its file.
	if out, code = runTrial(t, "trial", "run", "relay-kill", "--load", "small", "--for", "3s", "--plan", filepath.Join(dir, "plan.toml"),
		"--quiet"); code != exitOK || out != "verdict: held\n" {
		t.Errorf("second run: code %d: %q", code, out)
	}
}

func TestSweepPrintsOneLinePerSeed(t *testing.T) {
	file := filepath.Join(t.TempDir(), "sweep.json")
	out, code := runTrial(t, "trial", "sweep", "mass-kill", "--load", "small", "--for", "2s", "--seed", "7", "--seeds", "2", "--json", file)
	if code != exitOK || !strings.Contains(out, "seed 7 ") || !strings.Contains(out, "seed 8 ") ||
		!strings.Contains(out, "2 held, 0 broken, 0 not played") {
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

// waitForLoad waits until the load of a trial has started, which its first progress line shows.
func waitForLoad(t *testing.T, out io.Reader) {
	t.Helper()
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "[") {
			go io.Copy(io.Discard, out)
			return
		}
	}
	t.Fatal("the trial did not start")
}

// relayProcesses returns the ids of the relay processes whose state is in a folder.
func relayProcesses(temp string) (pids []string) {
	all, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, file := range all {
		if data, err := os.ReadFile(file); err == nil && bytes.Contains(data, []byte("ROUTER_STATE="+temp)) {
			pids = append(pids, filepath.Base(filepath.Dir(file)))
		}
	}
	return pids
}

// A trial that is interrupted or killed leaves no processes or folders behind.
func TestTrialCleansUpWhenTerminated(t *testing.T) {
	for _, sig := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(sig.String(), func(t *testing.T) {
			t.Parallel()
			cmd, temp := newCommand(t, "trial", "run", "relay-freeze", "--load", "small", "--for", "60s")
			var errOut bytes.Buffer
			cmd.Stderr = &errOut
			out, err := cmd.StdoutPipe()
			if err != nil {
				t.Fatal(err)
			}
			if err := cmd.Start(); err != nil {
				t.Fatal(err)
			}
			waitForLoad(t, out)
			if n := len(relayProcesses(temp)); n < 3 {
				t.Errorf("%d relays are running, want at least 3 for the test to be meaningful", n)
			}
			if err := cmd.Process.Signal(sig); err != nil {
				t.Fatal(err)
			}
			cmd.Wait()
			if code := cmd.ProcessState.ExitCode(); sig != syscall.SIGKILL &&
				(code != exitError || !strings.Contains(errOut.String(), "interrupted")) {
				t.Errorf("code %d, errors %q", code, errOut.String())
			}
			for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(5 * time.Millisecond) {
				files, err := os.ReadDir(temp)
				if err != nil {
					t.Fatal(err)
				}
				pids := relayProcesses(temp)
				if len(files) == 0 && len(pids) == 0 {
					break
				}
				if time.Now().After(deadline) {
					t.Fatalf("processes %v and files %v remain", pids, files)
				}
			}
		})
	}
}

// A trial whose own process was stopped for a while can't judge the relays, so it gives no verdict and reports no violation.
func TestStalledTrialGivesNoVerdict(t *testing.T) {
	cmd, _ := newCommand(t, "trial", "run", "calm", "--load", "small", "--for", "4s")
	var errOut bytes.Buffer
	cmd.Stderr = &errOut
	out, err := cmd.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	waitForLoad(t, out)
	cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(1500 * time.Millisecond)
	cmd.Process.Signal(syscall.SIGCONT)
	cmd.Wait()
	if code := cmd.ProcessState.ExitCode(); code != exitError || !strings.Contains(errOut.String(), "too slow") {
		t.Errorf("code %d, errors %q", code, errOut.String())
	}
}

func TestConcurrentTrials(t *testing.T) {
	var wg sync.WaitGroup
	for range 2 {
		wg.Go(func() {
			if out, code := runTrial(t, "trial", "run", "mass-kill", "--load", "small", "--for", "3s"); code != exitOK {
				t.Errorf("code %d:\n%s", code, out)
			}
		})
	}
	wg.Wait()
}
