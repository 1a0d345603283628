package proc

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
)

// Keeper is a trial's connection to its keeper process, which cleans up after the trial if the trial dies.
type Keeper struct {
	cmd *exec.Cmd

	mu    sync.Mutex
	input io.WriteCloser // nil once closed
}

// MarkFile must exist in a folder for the keeper to remove it, so that a wrong path cannot remove an unrelated folder.
const MarkFile = ".wallflow-trial"

// StartKeeper starts the keeper process by a command that runs the keeper on its standard input.
func StartKeeper(cmd *exec.Cmd) (*Keeper, error) {
	input, err := cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true} // a session of its own: no terminal key or process group signal reaches it
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	return &Keeper{cmd: cmd, input: input}, nil
}

func (k *Keeper) send(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.input != nil {
		fmt.Fprintf(k.input, format+"\n", args...) // if the keeper has died, the trial still ends its processes itself
	}
}

func (k *Keeper) addProcess(pid int)    { k.send("pid %d %s", pid, startTime(pid)) }
func (k *Keeper) removeProcess(pid int) { k.send("gone %d", pid) }

// AddFolder makes the keeper remove dir and its contents if the trial dies.
func (k *Keeper) AddFolder(dir string) error {
	if err := os.WriteFile(filepath.Join(dir, MarkFile), nil, 0o600); err != nil {
		return fmt.Errorf("keeper: %w", err)
	}
	k.send("dir %s", dir)
	return nil
}

// Done tells the keeper that the trial has cleaned up itself, and waits for the keeper to exit.
func (k *Keeper) Done() error {
	k.send("done")
	k.mu.Lock()
	input := k.input
	k.input = nil
	k.mu.Unlock()
	if input == nil {
		return nil
	}
	return errors.Join(input.Close(), k.cmd.Wait())
}

// RunKeeper runs the keeper. It reads from in which processes and folders the trial has, until the trial says that it is done
// or its end of the pipe is closed. In the second case it kills the remaining processes, each only if it still has the
// start time that was reported, and removes the folders.
func RunKeeper(input io.Reader) error {
	pids, dirs := map[int]string{}, []string{}
	lines := bufio.NewScanner(input)
	for lines.Scan() {
		verb, rest, _ := strings.Cut(lines.Text(), " ")
		switch verb {
		case "pid":
			id, startTimeOf, _ := strings.Cut(rest, " ")
			if pid, err := strconv.Atoi(id); err == nil && pid > 1 && startTimeOf != "" {
				pids[pid] = startTimeOf
			}
		case "gone":
			if pid, err := strconv.Atoi(rest); err == nil {
				delete(pids, pid)
			}
		case "dir":
			dirs = append(dirs, rest)
		case "done":
			return nil
		}
	}
	var errs []error
	for pid, startTimeOf := range pids {
		if startTime(pid) == startTimeOf {
			if err := syscall.Kill(pid, syscall.SIGKILL); err != nil && !errors.Is(err, syscall.ESRCH) {
				errs = append(errs, fmt.Errorf("process %d: %w", pid, err))
			}
		}
	}
	for _, dir := range dirs {
		if _, err := os.Stat(filepath.Join(dir, MarkFile)); err != nil {
			continue // removed already, or not a folder of a trial
		}
		if err := os.RemoveAll(dir); err != nil {
			errs = append(errs, err)
		}
	}
	return errors.Join(errs...)
}
