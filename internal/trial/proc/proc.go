// Package proc starts the real programs of a trial and makes sure that each of them ends. A second process, the keeper,
// knows the process ids and folders of a trial. If the trial dies without cleaning up, for example by SIGKILL, the
// keeper kills the remaining processes and removes the folders.
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
	"time"
)

const (
	maxLineBytes = 1 << 20
	clockTicks   = 100 // per second: the unit of processor time in /proc/PID/stat
	blockSize    = 512
)

// Spec describes a process to start.
type Spec struct {
	Path string
	Args []string
	Env  []string
	Dir  string            // working folder
	Log  string            // file to which its output is appended
	Line func(line string) // called with each line of output; may be nil
}

// Process is a process started by Start.
type Process struct {
	cmd    *exec.Cmd
	done   chan struct{}
	keeper *Keeper

	mu     sync.Mutex
	code   int // valid once done is closed
	reason string
}

// Start starts a process and registers it with the keeper, which may be nil.
func Start(s Spec, keeper *Keeper) (*Process, error) {
	log, err := os.OpenFile(s.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", s.Path, err)
	}
	r, w, err := os.Pipe()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", s.Path, err), log.Close())
	}
	p := &Process{cmd: exec.Command(s.Path, s.Args...), done: make(chan struct{}), keeper: keeper}
	p.cmd.Dir, p.cmd.Env = s.Dir, s.Env
	p.cmd.Stdout, p.cmd.Stderr = w, w
	// A process group of its own: the terminal's signals reach only the trial, which decides whether to pass them on.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	err = p.cmd.Start()
	w.Close()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", s.Path, err), log.Close(), r.Close())
	}
	if keeper != nil {
		keeper.addProcess(p.Pid())
	}
	read := make(chan struct{})
	go func() { // ends with the process's output
		defer close(read)
		defer log.Close()
		defer r.Close()
		lines := bufio.NewScanner(r)
		lines.Buffer(nil, maxLineBytes)
		for lines.Scan() {
			log.Write(append(lines.Bytes(), '\n'))
			if s.Line != nil {
				s.Line(lines.Text())
			}
		}
		io.Copy(log, r) // after a line that is too long: keep reading so that the process does not block
	}()
	go func() { // ends with the process
		err := p.cmd.Wait()
		<-read
		p.mu.Lock()
		p.code = p.cmd.ProcessState.ExitCode()
		if err != nil {
			p.reason = err.Error()
		}
		p.mu.Unlock()
		if keeper != nil {
			keeper.removeProcess(p.Pid())
		}
		close(p.done)
	}()
	return p, nil
}

// Pid returns the process id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Done returns a channel that is closed once the process has ended and its output has been read.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running reports whether the process has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Exit returns the exit code, -1 after a signal, and a description of how the process ended.
func (p *Process) Exit() (code int, reason string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code, p.reason
}

// Signal sends a signal; it does nothing if the process has ended.
func (p *Process) Signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %v to process %d: %w", s, p.Pid(), err)
	}
	return nil
}

// End kills the process, also if it is stopped, and waits for it.
func (p *Process) End() {
	p.cmd.Process.Kill()
	<-p.done
}

// Usage holds the resources that a process uses at one moment.
type Usage struct {
	Memory      int64         // resident set size in bytes
	Descriptors int           // open file descriptors
	CPU         time.Duration // processor time used so far
}

// Usage returns the resources in use; an error if the process has ended.
func (p *Process) Usage() (u Usage, err error) {
	dir := filepath.Join("/proc", strconv.Itoa(p.Pid()))
	fields, err := statFields(dir)
	if err != nil {
		return u, err
	}
	user, err1 := strconv.ParseInt(fields[11], 10, 64) // utime
	system, err2 := strconv.ParseInt(fields[12], 10, 64)
	pages, err3 := strconv.ParseInt(fields[21], 10, 64) // rss
	if err := errors.Join(err1, err2, err3); err != nil {
		return u, fmt.Errorf("%s/stat: %w", dir, err)
	}
	u.CPU = time.Duration(user+system) * time.Second / clockTicks
	u.Memory = pages * int64(os.Getpagesize())
	open, err := os.ReadDir(filepath.Join(dir, "fd"))
	if err != nil {
		return u, err
	}
	u.Descriptors = len(open)
	return u, nil
}

// statFields returns the fields of /proc/PID/stat that follow the process name. The name may contain any character.
func statFields(dir string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return nil, err
	}
	end := strings.LastIndexByte(string(data), ')')
	fields := strings.Fields(string(data[end+1:]))
	if end < 0 || len(fields) < 22 {
		return nil, fmt.Errorf("%s/stat: unexpected format", dir)
	}
	return fields, nil
}

// startTime returns the start time of a process, which tells it from a later process with the same id; empty if there is
// none.
func startTime(pid int) string {
	fields, err := statFields(filepath.Join("/proc", strconv.Itoa(pid)))
	if err != nil {
		return ""
	}
	return fields[19]
}

// DiskUse returns the size of the files below dir, each rounded up to whole blocks of 512 bytes.
func DiskUse(dir string) (n int64, err error) {
	err = filepath.WalkDir(dir, func(_ string, d os.DirEntry, err error) error {
		if err != nil {
			if errors.Is(err, os.ErrNotExist) {
				return nil // removed in the meantime
			}
			return err
		}
		if !d.Type().IsRegular() {
			return nil
		}
		info, err := d.Info()
		if errors.Is(err, os.ErrNotExist) {
			return nil
		} else if err != nil {
			return err
		}
		n += (info.Size() + blockSize - 1) / blockSize * blockSize
		return nil
	})
	return n, err
}
