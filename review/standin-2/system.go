package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// The bounds of the small deployment, as on the sheet of tema-slotdesk.
const (
	heartbeat   = 1200 * time.Millisecond
	drainBound  = 3000 * time.Millisecond // drainMs
	applyBound  = 3000 * time.Millisecond // configApplyMs
	evacBound   = 5000 * time.Millisecond // evacMs
	callTimeout = time.Second             // of the operator and of endpoints: "a second of silence"
)

// The zones: one in each of three regions, each with one control process and one relay.
var zones = [...]struct{ zone, region string }{{"north-a", "north"}, {"south-b", "south"}, {"west-c", "west"}}

// system is a small deployment of the programs of deploy/system.toml on loopback addresses.
type system struct {
	root    string // of the repository
	folder  string // temporary: settings, stores, logs
	subnet  string
	record  *record
	running []*exec.Cmd
}

// newSystem finds free addresses and makes the temporary folder.
func newSystem(root string, record *record) (*system, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	s := &system{root: root, folder: folder, record: record}
	for range 50 {
		s.subnet = fmt.Sprintf("127.%d.%d", 64+rand.IntN(180), 1+rand.IntN(250))
		if s.free() {
			return s, nil
		}
	}
	return nil, fmt.Errorf("no free loopback addresses")
}

// free reports whether the ports of all processes can be listened on.
func (s *system) free() bool {
	for i := range zones {
		for _, address := range []string{s.control(i), s.directory(i), s.front(i), s.ready(i),
			s.ip(11+i) + ":7720", s.ip(31+i) + ":7720"} {
			listener, err := net.Listen("tcp4", address)
			if err != nil {
				return false
			}
			listener.Close()
		}
	}
	return true
}

func (s *system) ip(last int) string        { return fmt.Sprintf("%s.%d", s.subnet, last) }
func (s *system) control(zone int) string   { return s.ip(11+zone) + ":8166" }
func (s *system) directory(zone int) string { return s.ip(11+zone) + ":8165" }
func (s *system) front(zone int) string     { return s.ip(31+zone) + ":8161" }
func (s *system) ready(zone int) string     { return s.ip(31+zone) + ":8167" }

// start starts the control processes and relays, takes the first configuration and waits until all relays are ready.
func (s *system) start(config string) error {
	for i := range zones {
		if err := s.startProcess("control", i, 11+i); err != nil {
			return err
		}
	}
	for i := range zones {
		if err := s.startProcess("relay", i, 31+i); err != nil {
			return err
		}
	}
	operator := &operator{system: s}
	if err := within(20*time.Second, func() bool {
		status, _ := operator.call(0, "PUT", "/config", config, map[string]string{"If-Match": "0"})
		return status == 200
	}); err != nil {
		return fmt.Errorf("the first configuration was not taken")
	}
	s.record.add("the first configuration is taken")
	return nil
}

// awaitReady waits until every relay answers its readiness check with 200.
func (s *system) awaitReady() error {
	err := within(20*time.Second, func() bool {
		for i := range zones {
			client := http.Client{Timeout: time.Second}
			response, err := client.Get("http://" + s.ready(i) + "/readyz")
			if err != nil {
				return false
			}
			response.Body.Close()
			if response.StatusCode != 200 {
				return false
			}
		}
		return true
	})
	if err != nil {
		return fmt.Errorf("the relays are not ready")
	}
	s.record.add("all relays are ready")
	return nil
}

// within calls condition until it holds, or fails after the timeout.
func within(timeout time.Duration, condition func() bool) error {
	for began := time.Now(); time.Since(began) < timeout; time.Sleep(100 * time.Millisecond) {
		if condition() {
			return nil
		}
	}
	return fmt.Errorf("timeout")
}

// startProcess writes the settings of a process and starts its program from the root of the repository.
func (s *system) startProcess(kind string, zone, last int) error {
	name := fmt.Sprintf("%s-%d", kind, zone+1)
	folder := filepath.Join(s.folder, name)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return err
	}
	path := filepath.Join(folder, "settings.toml")
	if err := os.WriteFile(path, []byte(s.settings(name, kind, folder, zone, last)), 0o600); err != nil {
		return err
	}
	return s.launch(kind, zone, path)
}

// launch starts the program of a process with a settings file.
func (s *system) launch(kind string, zone int, path string) error {
	program := "target/wallflow-proxy"
	if kind == "control" {
		program = "target/wallflow-control"
	}
	log, err := os.OpenFile(filepath.Join(filepath.Dir(path), "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(filepath.Join(s.root, program))
	command.Dir = s.root
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "WALLFLOW_NODE_FILE=" + path}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // it ends with this process
	if err := command.Start(); err != nil {
		return err
	}
	s.running = append(s.running, command)
	s.record.add("started %s-%d", kind, zone+1)
	return nil
}

// settings returns the settings file of a process.
func (s *system) settings(name, kind, folder string, zone, last int) string {
	var b strings.Builder
	class, serves := "edge", `["edge"]`
	if kind == "control" {
		class, serves = "core", `["control","directory"]`
	}
	fmt.Fprintf(&b, "node = %q\nrole = %q\nmachineClass = %q\nserves = %s\n", name, kind, class, serves)
	fmt.Fprintf(&b, "ip = %q\nzone = %q\nregion = %q\nportRange = [7720,7735]\n", s.ip(last), zones[zone].zone, zones[zone].region)
	fmt.Fprintf(&b, "seeds = [%q,%q,%q]\n", s.control(0), s.control(1), s.control(2))
	fmt.Fprintf(&b, "bootstrap = true\ncountsForQuorum = %t\ndiscovery = \"registry\"\nentry = \"directory\"\nheartbeatMs = 1200\n", kind == "control")
	if kind == "control" {
		fmt.Fprintf(&b, "dataDir = %q\n", filepath.Join(folder, "store"))
	}
	b.WriteString("contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"places\"]\n[zones]\n")
	for _, z := range zones {
		fmt.Fprintf(&b, "%s = %q\n", z.zone, z.region)
	}
	b.WriteString("[listen]\n")
	if kind == "control" {
		fmt.Fprintf(&b, "control = %q\ndirectory = %q\n", s.control(zone), s.directory(zone))
	} else {
		fmt.Fprintf(&b, "front = %q\nready = %q\n", s.front(zone), s.ready(zone))
	}
	b.WriteString("[limits]\ncpuShare = 0.4\ncores = 1\nmemoryMb = 284\nmaxFds = 4100\nlinkMbps = 1000.0\n" +
		"[tolerate]\nmachines = 1\nzones = 1\nregions = 1\n" +
		"[bounds]\nseedLagS = 3\nreuseAfterS = 2\ncontactMs = 4000\nackMs = 5000\nsyncS = 4\ndrainMs = 3000\ngraceS = 8\n" +
		"lossSlackMs = 200\nconfigApplyMs = 3000\nrollbackSlackMs = 250\nmaxSkewMs = 6000\nretryRatio = 0.2\nretryWindowS = 10\n" +
		"retrySlack = 52\nwarmupOvershoot = 1.5\nwarmupSlack = 5\nevacMs = 5000\nrecoveryS = 12\npass_ms = 400\nagain_s = 10\nttl_max_s = 5\n")
	return b.String()
}

// stop ends all processes that were started and removes the temporary folder.
func (s *system) stop() {
	for _, command := range s.running {
		command.Process.Signal(syscall.SIGKILL)
		command.Wait()
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.folder)
	}
}

// operator sends orders. Each call has a connection of its own.
type operator struct{ system *system }

// call sends one order to a control process and waits a second for the answer; status 0: none came.
func (o *operator) call(zone int, method, path, body string, header map[string]string) (status int, answer string) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+o.system.control(zone)+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, ""
	}
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

// order sends an order to the control processes in turn, beginning with one, until it is acknowledged, as PROTOCOL.md has it. It returns
// when the acknowledgement came.
func (o *operator) order(first int, method, path, body string, header map[string]string) (time.Time, error) {
	for try := range 10 {
		zone := (first + try) % len(zones)
		status, answer := o.call(zone, method, path, body, header)
		o.system.record.add("operator: %s %s at control-%d: %d %s", method, path, zone+1, status, answer)
		if status/100 == 2 {
			return time.Now(), nil
		}
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("%s %s was not acknowledged", method, path)
}
