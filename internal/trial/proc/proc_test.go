package proc

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// The test binary also serves as the programs of a trial, as the keeper, and as the trial that is killed.
func TestMain(m *testing.M) {
	switch os.Getenv("PROC_TEST_ROLE") {
	case "":
		os.Exit(m.Run())
	case "keeper":
		if err := RunKeeper(os.Stdin); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
	case "program":
		fmt.Println("at work")
		time.Sleep(time.Minute)
	case "trial":
		keep, err := StartKeeper(testBinary("keeper"))
		if err == nil {
			err = keep.AddFolder(os.Getenv("PROC_TEST_DIR"))
		}
		var p *Process
		if err == nil {
			p, err = Start(program(os.Getenv("PROC_TEST_DIR"), nil), keep)
		}
		if err != nil {
			fmt.Println("failed", err)
			os.Exit(1)
		}
		fmt.Println("pid", p.Pid())
		time.Sleep(time.Minute)
	}
}

func testBinary(role string) *exec.Cmd {
	c := exec.Command(os.Args[0])
	c.Env = append(os.Environ(), "PROC_TEST_ROLE="+role)
	return c
}

func program(dir string, line func(string)) Spec {
	return Spec{Path: os.Args[0], Env: append(os.Environ(), "PROC_TEST_ROLE=program"), Log: filepath.Join(dir, "log"), Line: line}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(15 * time.Second); !ok(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("never: %s", what)
		}
	}
}

func hasEnded(pid int) bool {
	fields, err := statFields(filepath.Join("/proc", strconv.Itoa(pid)))
	return err != nil || fields[0] == "Z"
}

func TestProcessSignalAndEnd(t *testing.T) {
	dir := t.TempDir()
	output := make(chan string, 1)
	p, err := Start(program(dir, func(line string) { output <- line }), nil)
	if err != nil {
		t.Fatal(err)
	}
	if line := <-output; line != "at work" {
		t.Errorf("line %q", line)
	}
	u, err := p.Usage()
	if err != nil || u.Memory <= 0 || u.Descriptors <= 0 {
		t.Errorf("usage %+v, err %v", u, err)
	}
	if err := p.Signal(syscall.SIGSTOP); err != nil {
		t.Fatal(err)
	}
	eventually(t, "stopped", func() bool {
		f, err := statFields(filepath.Join("/proc", strconv.Itoa(p.Pid())))
		return err == nil && f[0] == "T"
	})
	if !p.Running() {
		t.Error("a stopped process is reported as ended")
	}
	p.End()
	if code, reason := p.Exit(); code != -1 || !strings.Contains(reason, "killed") || p.Running() {
		t.Errorf("code %d, %q", code, reason)
	}
	if err := p.Signal(syscall.SIGTERM); err != nil {
		t.Errorf("signal to an ended process: %v", err)
	}
	log, err := os.ReadFile(filepath.Join(dir, "log"))
	if err != nil || string(log) != "at work\n" {
		t.Errorf("log %q, err %v", log, err)
	}
}

func TestStartOfMissingProgramFails(t *testing.T) {
	s := program(t.TempDir(), nil)
	s.Path = filepath.Join(t.TempDir(), "none")
	if _, err := Start(s, nil); err == nil || !strings.Contains(err.Error(), s.Path) {
		t.Errorf("error %v", err)
	}
}

// A trial that is killed with SIGKILL leaves no process and no folder behind.
func TestKeeperCleansUpAfterKilledTrial(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "trial")
	if err := os.Mkdir(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	trial := testBinary("trial")
	trial.Env = append(trial.Env, "PROC_TEST_DIR="+dir)
	out, err := trial.StdoutPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := trial.Start(); err != nil {
		t.Fatal(err)
	}
	var word string
	var pid int
	if _, err := fmt.Fscan(out, &word, &pid); err != nil {
		t.Fatalf("%q %v", word, err)
	}
	trial.Process.Kill()
	trial.Wait()
	eventually(t, "the process is gone", func() bool { return hasEnded(pid) })
	eventually(t, "the folder is gone", func() bool {
		_, err := os.Stat(dir)
		return os.IsNotExist(err)
	})
}

// The keeper ends only what was reported to it: no process that has the id of an earlier one, and no folder without the
// marker file.
func TestKeeperEndsOnlyWhatWasReported(t *testing.T) {
	other, err := Start(program(t.TempDir(), nil), nil)
	if err != nil {
		t.Fatal(err)
	}
	defer other.End()
	dir := t.TempDir()
	unmarked := filepath.Join(dir, "file")
	if err := os.WriteFile(unmarked, nil, 0o600); err != nil {
		t.Fatal(err)
	}
	if err := RunKeeper(strings.NewReader(fmt.Sprintf("pid %d 1\npid 1 1\npid x y\ndir %s\n", other.Pid(), dir))); err != nil {
		t.Fatal(err)
	}
	if _, err := os.Stat(unmarked); err != nil || !other.Running() {
		t.Errorf("file: %v, running: %v", err, other.Running())
	}
	if err := RunKeeper(strings.NewReader(fmt.Sprintf("pid %d %s\ngone %d\n", other.Pid(), startTime(other.Pid()), other.Pid()))); err != nil {
		t.Fatal(err)
	}
	if !other.Running() {
		t.Error("a process was killed after it was reported as ended")
	}
	if err := RunKeeper(strings.NewReader(fmt.Sprintf("pid %d %s\ndone\n", other.Pid(), startTime(other.Pid())))); err != nil {
		t.Fatal(err)
	}
	if !other.Running() {
		t.Error("a process was killed although the trial had cleaned up")
	}
}

func TestDiskUseCountsWholeBlocks(t *testing.T) {
	dir := t.TempDir()
	for name, size := range map[string]int{"a": 0, "b": 1, "c": 512, "d": 513} {
		if err := os.WriteFile(filepath.Join(dir, name), make([]byte, size), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if n, err := DiskUse(dir); err != nil || n != 4*512 {
		t.Errorf("%d bytes, err %v", n, err)
	}
}
