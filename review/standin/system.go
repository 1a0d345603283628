// Package main holds the stand-ins of the review's scripts: a small deployment on loopback addresses with the project's own programs,
// an operator, endpoints and clients. It uses the standard library alone, and stands in a module of its own, so that neither the
// project's build nor its tests see it.
package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"time"
	"unsafe"
)

// The ports, the same on all machines.
const (
	portInternal  = 7720
	portLast      = 7735
	portFront     = 8161
	portDirectory = 8165
	portControl   = 8166
	portReady     = 8167
	portEndpoint  = 8080
)

// place is a zone with its region.
type place struct{ zone, region string }

var places = []place{{"hall-a", "north"}, {"hall-b", "south"}, {"hall-c", "west"}}

// machine is one machine of the deployment.
type machine struct {
	name string
	ip   string
	place
	control  bool
	process  *exec.Cmd
	exited   chan struct{}
	settings string
}

func (m *machine) at(port int) string { return fmt.Sprintf("%s:%d", m.ip, port) }

// system is a small deployment: three control processes and some relays, spread over three regions with a zone each.
type system struct {
	root     string // of the repository
	dir      string // temporary folder with settings, stores and logs
	subnet   string
	founded  bool // the first start is over
	controls []*machine
	relays   []*machine
}

// newSystem chooses free loopback addresses and writes the settings of all processes.
func newSystem(root string, relays int) (*system, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{root: root, dir: dir}
	for tries := 0; ; tries++ {
		s.subnet = fmt.Sprintf("127.%d.%d", 64+rand.IntN(190), 1+rand.IntN(250))
		s.controls, s.relays = nil, nil
		for i := range 3 {
			s.controls = append(s.controls, s.machine("core", i, 11, true))
		}
		for i := range relays {
			s.relays = append(s.relays, s.machine("edge", i, 31, false))
		}
		if s.free() {
			break
		}
		if tries > 40 {
			return nil, fmt.Errorf("no free loopback addresses")
		}
	}
	for _, m := range append(append([]*machine{}, s.controls...), s.relays...) {
		if err := s.writeSettings(m); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *system) machine(class string, i, first int, control bool) *machine {
	p := places[i%len(places)]
	return &machine{name: fmt.Sprintf("%s-%s-%d", class, p.zone, i/len(places)+1), ip: fmt.Sprintf("%s.%d", s.subnet, first+i), place: p, control: control}
}

func (s *system) free() bool {
	for _, m := range append(append([]*machine{}, s.controls...), s.relays...) {
		for _, port := range []int{portInternal, portFront, portDirectory, portControl, portReady} {
			listener, err := net.Listen("tcp4", m.at(port))
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

// writeSettings writes a settings file with the figures of a small deployment.
func (s *system) writeSettings(m *machine) error {
	folder := filepath.Join(s.dir, m.name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	var seeds []string
	for _, c := range s.controls {
		seeds = append(seeds, fmt.Sprintf("%q", c.at(portControl)))
	}
	class, role, serves := "edge", "proxy", `["edge"]`
	listen := fmt.Sprintf("front = %q\nready = %q\n", m.at(portFront), m.at(portReady))
	data := ""
	if m.control {
		class, role, serves = "core", "control", `["control", "directory"]`
		listen = fmt.Sprintf("control = %q\ndirectory = %q\n", m.at(portControl), m.at(portDirectory))
		data = fmt.Sprintf("dataDir = %q\n", filepath.Join(folder, "store"))
	}
	text := fmt.Sprintf("node = %q\nrole = %q\nmachineClass = %q\nserves = %s\nip = %q\nzone = %q\nregion = %q\nportRange = [%d, %d]\nseeds = [%s]\n",
		m.name, role, class, serves, m.ip, m.zone, m.region, portInternal, portLast, strings.Join(seeds, ", "))
	text += fmt.Sprintf("bootstrap = %t\ncountsForQuorum = %t\n%sdiscovery = \"registry\"\nentry = \"directory\"\nheartbeatMs = 1200\n", !s.founded, m.control, data)
	text += "contracts = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"engine\", \"stream\", \"places\"]\n[zones]\n"
	for _, p := range places {
		text += fmt.Sprintf("%s = %q\n", p.zone, p.region)
	}
	text += "[listen]\n" + listen
	text += "[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\ndiskMb = 128\n"
	text += "[tolerate]\nmachines = 1\nzones = 1\nregions = 1\n"
	text += "[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 4000\nackMs = 5000\nsyncS = 4\ndrainMs = 3000\ngraceS = 8\nlossSlackMs = 200\n" +
		"configApplyMs = 3000\nrollbackSlackMs = 250\nmaxSkewMs = 6000\nretryRatio = 0.2\nretryWindowS = 10\nretrySlack = 52\n" +
		"warmupOvershoot = 1.5\nwarmupSlack = 5\nevacMs = 5000\nrecoveryS = 12\npass_ms = 400\nagain_s = 10\nttl_max_s = 5\n"
	m.settings = filepath.Join(folder, "settings.toml")
	return os.WriteFile(m.settings, []byte(text), 0o600)
}

// start starts the process of a machine with the command of the deploy file.
func (s *system) start(m *machine) error {
	program := "target/wallflow-proxy"
	if m.control {
		program = "target/wallflow-control"
	}
	log, err := os.OpenFile(filepath.Join(filepath.Dir(m.settings), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(s.root, program))
	command.Dir = s.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "WALLFLOW_NODE_FILE=" + m.settings}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := startOnOneCore(command); err != nil {
		return err
	}
	m.process, m.exited = command, make(chan struct{})
	exited := m.exited
	go func() {
		command.Wait()
		close(exited)
	}()
	return nil
}

// startOnOneCore starts a command on one core, since a machine of the deployment has one (`cores = 1`).
func startOnOneCore(command *exec.Cmd) error {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	var all, one [16]uint64
	size := unsafe.Sizeof(all)
	if _, _, failure := syscall.RawSyscall(syscall.SYS_SCHED_GETAFFINITY, 0, size, uintptr(unsafe.Pointer(&all))); failure != 0 {
		return command.Start()
	}
	var cores []int
	for core := range 64 * len(all) {
		if all[core/64]>>(core%64)&1 != 0 {
			cores = append(cores, core)
		}
	}
	core := cores[rand.IntN(len(cores))]
	one[core/64] = 1 << (core % 64)
	syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, size, uintptr(unsafe.Pointer(&one)))
	defer syscall.RawSyscall(syscall.SYS_SCHED_SETAFFINITY, 0, size, uintptr(unsafe.Pointer(&all)))
	return command.Start()
}

// killAll kills the processes of machines at the same moment.
func killAll(machines []*machine) {
	for _, m := range machines {
		m.process.Process.Kill() // fails where it has ended
	}
	for _, m := range machines {
		<-m.exited
	}
}

// startAgain starts the processes of machines again, as after the first start of the system: `bootstrap` is false.
func (s *system) startAgain(machines []*machine) error {
	s.founded = true
	for _, m := range machines {
		if err := s.writeSettings(m); err != nil {
			return err
		}
		if err := s.start(m); err != nil {
			return err
		}
	}
	return nil
}

// startAll starts all processes.
func (s *system) startAll() error {
	for _, m := range append(append([]*machine{}, s.controls...), s.relays...) {
		if err := s.start(m); err != nil {
			return err
		}
	}
	return nil
}

// close ends every process that was started and removes the temporary folder.
func (s *system) close() {
	for _, m := range append(append([]*machine{}, s.controls...), s.relays...) {
		if m.process == nil {
			continue
		}
		m.process.Process.Kill()
		select {
		case <-m.exited:
		case <-time.After(5 * time.Second):
		}
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.dir)
	}
}
