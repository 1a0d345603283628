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

// upLeft are the processes of a small system whose settings lie in a folder.
func upLeft(folder string) (pids []string) {
	all, _ := filepath.Glob("/proc/[0-9]*/environ")
	for _, file := range all {
		if data, err := os.ReadFile(file); err == nil && bytes.Contains(data, []byte(nodesettings.PathVariable+"="+folder)) {
			pids = append(pids, filepath.Base(filepath.Dir(file)))
		}
	}
	return pids
}

// A small system serves all that it is asked, and leaves nothing behind.
func TestASmallSystemServes(t *testing.T) {
	cmd, temp := command(t, "up", "--for", "2s", "--rate", "20")
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
	assert.Equal(t, len(upLeft(temp)), 0)
}

// begin starts a system that goes on, and returns once it has served for a second, with the line that tells how to ask it.
func begin(t *testing.T, out io.Reader) (control string) {
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
	t.Fatal("it never served")
	return ""
}

// However a small system is ended, it leaves no process behind, and no folder that was not asked for.
func TestASmallSystemThatIsEndedLeavesNothing(t *testing.T) {
	for _, signal := range []syscall.Signal{syscall.SIGINT, syscall.SIGTERM, syscall.SIGKILL} {
		t.Run(signal.String(), func(t *testing.T) {
			cmd, temp := command(t, "up", "--keep", "--rate", "20")
			var errOut bytes.Buffer
			cmd.Stderr = &errOut
			out, err := cmd.StdoutPipe()
			assert.NilError(t, err)
			assert.NilError(t, cmd.Start())
			begin(t, out)
			assert.Equal(t, len(upLeft(temp)), 6, "three control processes and three relays")
			assert.NilError(t, cmd.Process.Signal(signal))
			_ = cmd.Wait() // its exit code is looked at below
			if signal != syscall.SIGKILL {
				assert.Equal(t, cmd.ProcessState.ExitCode(), exitHeld, errOut.String())
			}
			for end := time.Now().Add(10 * time.Second); ; runtime.Gosched() {
				files, err := os.ReadDir(temp)
				assert.NilError(t, err)
				pids := upLeft(temp)
				if len(files) == 0 && len(pids) == 0 {
					return
				}
				assert.Assert(t, time.Now().Before(end), "left are processes %v and files %v", pids, files)
			}
		})
	}
}

// The operator's commands against a real system: status, a change of the configuration, an evacuation and its end, and the stores.
func TestTheOrdersOnASmallSystem(t *testing.T) {
	dir := filepath.Join(t.TempDir(), "small")
	cmd, _ := command(t, "up", "--keep", "--rate", "20", "--dir", dir)
	var errOut bytes.Buffer
	cmd.Stderr = &errOut
	out, err := cmd.StdoutPipe()
	assert.NilError(t, err)
	assert.NilError(t, cmd.Start())
	ended := false
	t.Cleanup(func() {
		if !ended {
			_ = cmd.Process.Kill() // the test has failed already
			_ = cmd.Wait()
		}
	})
	control := begin(t, out)
	want := func(code int, text string, args ...string) {
		t.Helper()
		said, wrong, got := say(append(args, "--control", control)...)
		assert.Equal(t, got, code, "%v: %s%s", args, said, wrong)
		assert.Assert(t, strings.Contains(said+wrong, text), "%v: %q is missing in:\n%s%s", args, text, said, wrong)
	}
	first := filepath.Join(dir, "config.json")
	text, err := os.ReadFile(first)
	assert.NilError(t, err)
	second := file(t, "second.json", strings.Replace(string(text), `"generation": 1`, `"generation": 5`, 1))
	change := file(t, "change.json", `{"generation":9,"upsert":{"backends":[{"name":"spare"}]}}`)
	want(exitHeld, "control-1", "status")
	want(exitHeld, `"generation": 1`, "config", "get")
	want(exitHeld, "version 1 is in force already", "config", "put", first)
	want(exitWrong, "412", "config", "put", second, "--match", "4")
	want(exitHeld, "version 5 is in force, on top of 1", "config", "put", second)
	want(exitHeld, "version 5 is in force, on top of 1", "config", "put", second, "--match", "1") // its answer may have been lost
	want(exitHeld, "the change of version 5 is in force", "config", "patch", change)
	want(exitWrong, "412", "config", "put", second, "--match", "5")
	want(exitHeld, "north-a is evacuated", "evacuate", "north-a")
	want(exitHeld, "version 9; evacuated: north-a", "status")
	want(exitHeld, "north-a is taken back", "restore", "north-a")
	want(exitWrong, "no zone nowhere", "evacuate", "nowhere")
	assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
	err = cmd.Wait()
	ended = true
	assert.NilError(t, err, errOut.String())
	for _, node := range []string{"control-1", "control-2", "control-3"} {
		said, wrong, code := say("verify", filepath.Join(dir, node, "store"))
		assert.Equal(t, code, exitHeld, wrong)
		assert.Assert(t, strings.Contains(said, "sound"), said)
	}
}
