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

// Keeper is a trial's hold on the process that ends what the trial leaves behind.
type Keeper struct {
	cmd *exec.Cmd

	mu sync.Mutex
	in io.WriteCloser // nil: closed
}

// MarkFile lies in each folder that a keeper may remove, so that a slip in a path costs nobody else's folder.
const MarkFile = ".wallflow-trial"

// StartKeeper starts the keeper, by a command that calls Keep on its standard input.
func StartKeeper(cmd *exec.Cmd) (*Keeper, error) {
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	cmd.SysProcAttr = &syscall.SysProcAttr{Setsid: true} // no key and no group's signal reaches it
	if err := cmd.Start(); err != nil {
		return nil, fmt.Errorf("keeper: %w", err)
	}
	return &Keeper{cmd: cmd, in: in}, nil
}

func (k *Keeper) say(format string, args ...any) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.in != nil {
		fmt.Fprintf(k.in, format+"\n", args...) // a keeper that has died leaves the trial to end all by itself
	}
}

func (k *Keeper) watch(pid int)  { k.say("pid %d %s", pid, startTime(pid)) }
func (k *Keeper) forget(pid int) { k.say("gone %d", pid) }

// Folder has the keeper remove dir, and all that is in it, if the trial does not end in order.
func (k *Keeper) Folder(dir string) error {
	if err := os.WriteFile(filepath.Join(dir, MarkFile), nil, 0o600); err != nil {
		return fmt.Errorf("keeper: %w", err)
	}
	k.say("dir %s", dir)
	return nil
}

// Done tells the keeper that the trial has ended all by itself, and waits for it to go.
func (k *Keeper) Done() error {
	k.say("done")
	k.mu.Lock()
	in := k.in
	k.in = nil
	k.mu.Unlock()
	if in == nil {
		return nil
	}
	return errors.Join(in.Close(), k.cmd.Wait())
}

// Keep is the keeper's work: it reads from in what the trial holds, until the trial says that it is done or is gone.
// Then it ends the processes that are left, each only if it is still the one it was told of, and removes the folders.
func Keep(in io.Reader) error {
	pids, dirs := map[int]string{}, []string{}
	lines := bufio.NewScanner(in)
	for lines.Scan() {
		verb, rest, _ := strings.Cut(lines.Text(), " ")
		switch verb {
		case "pid":
			id, born, _ := strings.Cut(rest, " ")
			if pid, err := strconv.Atoi(id); err == nil && pid > 1 && born != "" {
				pids[pid] = born
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
	var all []error
	for pid, born := range pids {
		if startTime(pid) == born {
			if err := syscall.Kill(pid, syscall.SIGKILL); err != nil && !errors.Is(err, syscall.ESRCH) {
				all = append(all, fmt.Errorf("process %d: %w", pid, err))
			}
		}
	}
	for _, dir := range dirs {
		if _, err := os.Stat(filepath.Join(dir, MarkFile)); err != nil {
			continue // removed already, or never ours
		}
		if err := os.RemoveAll(dir); err != nil {
			all = append(all, err)
		}
	}
	return errors.Join(all...)
}
