// Package proc starts the real programs of a trial and ends every one of them by its id, whatever becomes of the trial
// itself. A second process, the keeper, holds the ids and folders of a trial: when the trial is gone without having
// said so, also by SIGKILL, the keeper ends what is left.
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
	lineMost   = 1 << 20
	clockTicks = 100 // a second, as Linux counts processor time for programs
	blockSize  = 512
)

// Spec says what to start.
type Spec struct {
	Path string
	Args []string
	Env  []string
	Dir  string            // its working folder
	Log  string            // file that its output is appended to
	Line func(line string) // called with each line of output; may be nil
}

// Process is one that was started.
type Process struct {
	cmd  *exec.Cmd
	done chan struct{}
	keep *Keeper

	mu   sync.Mutex
	code int // valid once done is closed
	why  string
}

// Start starts a process. The keeper, which may be nil, is told of it.
func Start(s Spec, keep *Keeper) (*Process, error) {
	log, err := os.OpenFile(s.Log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", s.Path, err)
	}
	r, w, err := os.Pipe()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", s.Path, err), log.Close())
	}
	p := &Process{cmd: exec.Command(s.Path, s.Args...), done: make(chan struct{}), keep: keep}
	p.cmd.Dir, p.cmd.Env = s.Dir, s.Env
	p.cmd.Stdout, p.cmd.Stderr = w, w
	// A group of its own: a key pressed for the trial is the trial's to pass on.
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	err = p.cmd.Start()
	w.Close()
	if err != nil {
		return nil, errors.Join(fmt.Errorf("start %s: %w", s.Path, err), log.Close(), r.Close())
	}
	if keep != nil {
		keep.watch(p.Pid())
	}
	read := make(chan struct{})
	go func() { // ends with the process's output
		defer close(read)
		defer log.Close()
		defer r.Close()
		lines := bufio.NewScanner(r)
		lines.Buffer(nil, lineMost)
		for lines.Scan() {
			log.Write(append(lines.Bytes(), '\n'))
			if s.Line != nil {
				s.Line(lines.Text())
			}
		}
		io.Copy(log, r) // a line too long: the process must not stand still for it
	}()
	go func() { // ends with the process
		err := p.cmd.Wait()
		<-read
		p.mu.Lock()
		p.code = p.cmd.ProcessState.ExitCode()
		if err != nil {
			p.why = err.Error()
		}
		p.mu.Unlock()
		if keep != nil {
			keep.forget(p.Pid())
		}
		close(p.done)
	}()
	return p, nil
}

// Pid is the process's id.
func (p *Process) Pid() int { return p.cmd.Process.Pid }

// Done is closed once the process has ended and its output is read.
func (p *Process) Done() <-chan struct{} { return p.done }

// Running tells whether it has not ended.
func (p *Process) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Exit tells how it ended: its code, -1 for a signal, and in words.
func (p *Process) Exit() (code int, why string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.code, p.why
}

// Signal sends a signal; one that has ended takes none.
func (p *Process) Signal(s syscall.Signal) error {
	if err := p.cmd.Process.Signal(s); err != nil && !errors.Is(err, os.ErrProcessDone) {
		return fmt.Errorf("signal %v to process %d: %w", s, p.Pid(), err)
	}
	return nil
}

// End ends the process at once, also one that is stopped, and waits for it.
func (p *Process) End() {
	p.cmd.Process.Kill()
	<-p.done
}

// Usage is what a process holds at one moment.
type Usage struct {
	Memory      int64         // resident, in bytes
	Descriptors int           // open
	CPU         time.Duration // used so far
}

// Usage reads what the process holds; an error if it has ended.
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

// statFields are those of /proc/PID/stat behind the name, which may hold anything.
func statFields(dir string) ([]string, error) {
	data, err := os.ReadFile(filepath.Join(dir, "stat"))
	if err != nil {
		return nil, err
	}
	end := strings.LastIndexByte(string(data), ')')
	fields := strings.Fields(string(data[end+1:]))
	if end < 0 || len(fields) < 22 {
		return nil, fmt.Errorf("%s/stat: unreadable", dir)
	}
	return fields, nil
}

// startTime tells one process from a later one with its id.
func startTime(pid int) string {
	fields, err := statFields(filepath.Join("/proc", strconv.Itoa(pid)))
	if err != nil {
		return ""
	}
	return fields[19]
}

// DiskUse is what the files below dir take, each counted in whole blocks of 512 bytes.
func DiskUse(dir string) (n int64, err error) {
	err = filepath.WalkDir(dir, func(_ string, d os.DirEntry, err error) error {
		if err != nil {
			if errors.Is(err, os.ErrNotExist) {
				return nil // it went meanwhile
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
