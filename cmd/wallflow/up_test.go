package main

import (
	"bufio"
	"bytes"
	"io"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	nodesettings "wallflow/internal/settings"
)

// systemProcesses returns the ids of the processes of a small system whose settings are in a folder.
func systemProcesses(folder string) (pids []string) {
	all, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, file := range all {
		if data, err := os.ReadFile(file); err == nil && bytes.Contains(data, []byte(nodesettings.PathVariable+"="+folder)) {
			pids = append(pids, filepath.Base(filepath.Dir(file)))
		}
	}
	return pids
}

// A small system serves all requests and leaves no files or processes behind.
func TestUpServesAllRequests(t *testing.T) {
	cmd, temp := newCommand(t, "up", "--for", "2s", "--rate", "20")
	var out, errOut bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errOut
	err := cmd.Run()
	assert.NilError(t, err, "%s%s", out.String(), errOut.String())
	assert.Equal(t, lastLine(out.String()), "every request was served")
	for _, want := range []string{"relay-1", "relay-2", "relay-3", "first p99", "   2 s ", " total "} {
		assert.Assert(t, strings.Contains(out.String(), want), "%q is missing in:\n%s", want, out.String())
	}
	files, err := os.ReadDir(temp)
	assert.NilError(t, err)
	assert.Equal(t, len(files), 0)
	assert.Equal(t, len(systemProcesses(temp)), 0)
}

// waitUntilServing waits until the system has served requests for a second. It returns the addresses of the control processes from the
// output.
func waitUntilServing(t *testing.T, out io.Reader) (control string) {
	t.Helper()
	lines := bufio.NewScanner(out)
	for lines.Scan() {
		if _, rest, found := strings.Cut(lines.Text(), "wallflow status --control "); found {
			control = rest
		}
		if strings.HasPrefix(lines.Text(), "   1 s") {
			go io.Copy(io.Discard, out)
			return control
		}
	}
	t.Fatal("the system served nothing")
	return ""
}

// A small system that is interrupted or killed leaves no processes and no temporary folders behind.
func TestUpCleansUpWhenTerminated(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(signal.String(), func(t *testing.T) {
			cmd, temp := newCommand(t, "up", "--keep", "--rate", "20")
			var errOut bytes.Buffer
			cmd.Stderr = &errOut
			out, err := cmd.StdoutPipe()
			assert.NilError(t, err)
			assert.NilError(t, cmd.Start())
			waitUntilServing(t, out)
			assert.Equal(t, len(systemProcesses(temp)), 6, "three control processes and three relays")
			assert.NilError(t, cmd.Process.Signal(signal))
			_ = cmd.Wait() // the exit code is checked below
			if signal != syscall.SIGKILL {
				assert.Equal(t, cmd.ProcessState.ExitCode(), exitOK, errOut.String())
			}
			for deadline := time.Now().Add(10 * time.Second); ; runtime.Gosched() {
				files, err := os.ReadDir(temp)
				assert.NilError(t, err)
				pids := systemProcesses(temp)
				if len(files) == 0 && len(pids) == 0 {
					return
				}
				assert.Assert(t, time.Now().Before(deadline), "processes %v and files %v remain", pids, files)
			}
		})
	}
}

// The operator's commands against a running system: status, configuration changes, evacuating and restoring a zone, and verifying the
// stores afterwards.
func TestOperatorCommandsAgainstRunningSystem(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "small")
	cmd, _ := newCommand(t, "up", "--keep", "--rate", "20", "--dir", dir)
	var errOut bytes.Buffer
	cmd.Stderr = &errOut
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	ended := false
	t.Cleanup(func() {
		if !ended {
			_ = cmd.Process.Kill() // the test has already failed
			_ = cmd.Wait()
		}
	})
	control := waitUntilServing(t, out)
	expect := func(code int, text string, args ...string) {
		t.Helper()
		stdout, stderr, got := runInProcess(append(args, "--control", control)...)
		assert.Equal(t, got, code, "%v: %s%s", args, stdout, stderr)
		assert.Assert(t, strings.Contains(stdout+stderr, text), "%v: %q is missing in:\n%s%s", args, text, stdout, stderr)
	}
	first := filepath.Join(dir, "config.json")
	text, err := os.ReadFile(first)
	assert.NilError(t, err)
	second := writeTempFile(t, "second.json", strings.Replace(string(text), `"generation": 1`, `"generation": 5`, 1))
	change := writeTempFile(t, "change.json", `{"generation":9,"upsert":{"backends":[{"name":"spare"}]}}`)
	expect(exitOK, "control-1", "status")
	expect(exitOK, `"generation": 1`, "config", "get")
	expect(exitOK, "version 1 is in force already", "config", "put", first)
	expect(exitError, "412", "config", "put", second, "--match", "4")
	expect(exitOK, "version 5 is in force, on top of 1", "config", "put", second)
	// A repeated order is acknowledged again, since its first answer may have been lost.
	expect(exitOK, "version 5 is in force, on top of 1", "config", "put", second, "--match", "1")
	expect(exitOK, "the change of version 5 is in force", "config", "patch", change)
	expect(exitError, "412", "config", "put", second, "--match", "5")
	expect(exitOK, "north-a is evacuated", "evacuate", "north-a")
	expect(exitOK, "version 9; evacuated: north-a", "status")
	expect(exitOK, "north-a is taken back", "restore", "north-a")
	expect(exitError, "no zone nowhere", "evacuate", "nowhere")
	assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
	err = cmd.Wait()
	ended = true
	assert.NilError(t, err, errOut.String())
	for _, node := range []string{"control-1", "control-2", "control-3"} {
		stdout, stderr, code := runInProcess("verify", filepath.Join(dir, node, "store"))
		assert.Equal(t, code, exitOK, stderr)
		assert.Assert(t, strings.Contains(stdout, "sound"), stdout)
	}
}
