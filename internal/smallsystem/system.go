package smallsystem

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"wallflow/internal/emulator"
	"wallflow/internal/operator"
	"wallflow/internal/settings"
	"wallflow/internal/trial/proc"
)

// Options say what to start.
type Options struct {
	Programs string // folder of wallflow-control and wallflow-proxy
	Dir      string // an empty folder for settings, stores and logs
	Relays   int
	Keeper   *proc.Keeper // ends the processes should this one be killed; may be nil
	Log      *slog.Logger
}

const (
	programControl = "wallflow-control"
	programRelay   = "wallflow-proxy"
	logName        = "log"
	storeName      = "store"
	configName     = "config.json"
)

const (
	upWithin = 30 * time.Second       // until the system serves
	lookEach = 100 * time.Millisecond // whether it does
	killLate = 2 * time.Second        // after the grace of a process
	// leaveWithin is how long endpoints wait for the acknowledgement of their end.
	leaveWithin = time.Second
)

// System is a small system that runs.
type System struct {
	options   Options
	layout    layout
	processes []process
	endpoints []*emulator.Endpoint
	operator  *operator.Client
}

type process struct {
	machine
	*proc.Process
	program string
}

// Start starts a small system and returns once it serves, or fails and leaves nothing behind.
func Start(ctx context.Context, options Options) (_ *System, err error) {
	l, err := newLayout(options.Relays)
	if err != nil {
		return nil, err
	}
	s := &System{options: options, layout: l}
	defer func() {
		if err != nil {
			err = errors.Join(err, s.Close())
		}
	}()
	if s.operator, err = operator.New(l.seeds(), nil); err != nil {
		return nil, err
	}
	if err := s.startProcesses(); err != nil {
		return nil, err
	}
	if s.endpoints, err = l.openEndpoints(options.Log); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, upWithin)
	defer cancel()
	if err := s.configure(ctx); err != nil {
		return nil, err
	}
	return s, s.awaitServing(ctx)
}

// startProcesses writes the settings of all processes and starts them.
func (s *System) startProcesses() error {
	for _, machine := range s.layout.control {
		file := s.layout.controlSettings(machine, filepath.Join(s.folder(machine), storeName))
		if err := s.start(machine, programControl, file); err != nil {
			return err
		}
	}
	for _, machine := range s.layout.relays {
		if err := s.start(machine, programRelay, s.layout.relaySettings(machine)); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) folder(machine machine) string { return filepath.Join(s.options.Dir, machine.name) }

func (s *System) start(machine machine, program string, file settingsFile) error {
	folder := s.folder(machine)
	path, err := file.write(folder)
	if err != nil {
		return err
	}
	started, err := proc.Start(proc.Spec{
		Path: filepath.Join(s.options.Programs, program),
		Env:  append(os.Environ(), settings.PathVariable+"="+path),
		Dir:  folder,
		Log:  filepath.Join(folder, logName),
	}, s.options.Keeper)
	if err != nil {
		return trace.Wrap(err)
	}
	s.processes = append(s.processes, process{machine: machine, Process: started, program: program})
	return nil
}

// configure puts the first configuration, and keeps what was put in the folder.
func (s *System) configure(ctx context.Context) error {
	document, err := firstConfiguration()
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(s.options.Dir, configName), document, fileMode); err != nil {
		return trace.ConvertSystemError(err)
	}
	return trace.Wrap(s.operator.PutConfig(ctx, document, 0), "first configuration")
}

// awaitServing returns once every relay is ready and every endpoint is known.
func (s *System) awaitServing(ctx context.Context) error {
	ticker := time.NewTicker(lookEach)
	defer ticker.Stop()
	for {
		missing := s.missing(ctx)
		if missing == nil {
			return nil
		}
		if err := s.Ended(); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return trace.Wrap(missing, "the system does not serve; its logs are in %s", s.options.Dir)
		case <-ticker.C:
		}
	}
}

// missing says what keeps the system from serving; nil: nothing does.
func (s *System) missing(ctx context.Context) error {
	status, err := s.operator.Status(ctx, s.layout.control[0].at(portControl))
	if err != nil {
		return err
	}
	known := 0
	for _, service := range status.Services {
		known += service.Ready
	}
	if known < len(s.endpoints) {
		return &NotReadyError{What: fmt.Sprintf("%d of %d endpoints are known", known, len(s.endpoints))}
	}
	ready := 0
	for _, member := range status.Members {
		if member.Serving && member.ClientAddress != "" {
			ready++
		}
	}
	if ready < len(s.layout.relays) {
		return &NotReadyError{What: fmt.Sprintf("%d of %d relays are ready", ready, len(s.layout.relays))}
	}
	return nil
}

// Ended returns an error if a process has ended by itself.
func (s *System) Ended() error {
	for _, process := range s.processes {
		if !process.Running() {
			_, why := process.Exit()
			return &EndedError{Process: process.name, Why: why, Log: filepath.Join(s.folder(process.machine), logName)}
		}
	}
	return nil
}

// ControlAddresses are where the operator's orders go.
func (s *System) ControlAddresses() []string { return s.layout.seeds() }

// Relays names the relays with the addresses at which they serve clients.
func (s *System) Relays() []Relay {
	var relays []Relay
	for _, machine := range s.layout.relays {
		relays = append(relays, Relay{Name: machine.name, Zone: machine.zone, Front: machine.at(portFront)})
	}
	return relays
}

// Relay is one relay of the system.
type Relay struct {
	Name  string
	Zone  string
	Front string
}

// Close ends everything that was started, in order: first the relays, then the endpoints, then the control processes.
func (s *System) Close() error {
	var relays, control []process
	for _, process := range s.processes {
		if process.program == programRelay {
			relays = append(relays, process)
		} else {
			control = append(control, process)
		}
	}
	killed := s.end(relays)
	s.closeEndpoints()
	killed = append(killed, s.end(control)...)
	if s.operator != nil {
		s.operator.Close()
	}
	if len(killed) > 0 {
		return &KilledError{Processes: killed}
	}
	return nil
}

// end ends processes, and returns those that had to be killed.
func (s *System) end(processes []process) (killed []string) {
	for _, process := range processes {
		if err := process.Signal(syscall.SIGTERM); err != nil {
			s.options.Log.Warn("process takes no signal", "process", process.name, "error", err)
		}
	}
	late := time.NewTimer(graceS*time.Second + killLate)
	defer late.Stop()
	for _, process := range processes {
		select {
		case <-process.Done():
			continue
		case <-late.C:
			late.Reset(0) // it is late for all that follow
		}
		killed = append(killed, process.name)
		process.End()
	}
	return killed
}

// closeEndpoints has the endpoints say that they leave, and ends them.
func (s *System) closeEndpoints() {
	ctx, cancel := context.WithTimeout(context.Background(), leaveWithin)
	defer cancel()
	var leaving sync.WaitGroup
	for _, endpoint := range s.endpoints {
		leaving.Go(func() {
			if err := endpoint.Deregister(ctx); err != nil {
				s.options.Log.Info("endpoint's leave was not acknowledged", "endpoint", endpoint.ID(), "error", err)
			}
			endpoint.Close()
		})
	}
	leaving.Wait()
}

// CheckPrograms tells whether a folder holds the programs.
func CheckPrograms(folder string) error {
	for _, program := range []string{programControl, programRelay} {
		if _, err := exec.LookPath(filepath.Join(folder, program)); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}
