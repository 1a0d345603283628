package main

import (
	"fmt"
	"net"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// runToEnd runs the program until it exits. Its only ROUTER_ variables are those in env.
func runToEnd(t *testing.T, env []string, args ...string) (output string, code int) {
	t.Helper()
	cmd := exec.Command(os.Args[0], args...)
	for _, v := range os.Environ() {
		if !strings.HasPrefix(v, "ROUTER_") {
			cmd.Env = append(cmd.Env, v)
		}
	}
	cmd.Env = append(append(cmd.Env, "CHERRYTRESTLE_TEST_RELAY=1"), env...)
	out, err := cmd.CombinedOutput()
	if err != nil && cmd.ProcessState == nil {
		t.Fatal(err)
	}
	return string(out), cmd.ProcessState.ExitCode()
}

func TestArgumentsDoNotStartTheRelay(t *testing.T) {
	for _, c := range []struct {
		args []string
		code int
		want string
	}{
		{[]string{"--help"}, 0, "ROUTER_CONFIG"},
		{[]string{"-h"}, 0, "ROUTER_STATE"},
		{[]string{"--version"}, 0, "cherrytrestle "},
		{[]string{"--verson"}, 2, "-verson"},
		{[]string{"start"}, 2, `argument "start"`},
	} {
		out, code := runToEnd(t, nil, c.args...)
		if code != c.code || !strings.Contains(out, c.want) {
			t.Errorf("%v: code %d, %q; want %d with %q", c.args, code, out, c.code, c.want)
		}
	}
}

// An error in the configuration names the variable, the file, the position and the expected value.
func TestStartupErrorsNameTheSourceAndTheExpectedValue(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		must(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	const class = `{"name":"order","goal_time_ms":10,"give_up_ms":20}`
	const settings = `"settings":{"tick_ms":5,"services":[` + class + `]}`
	classes := func(name, list string) string { return file(name, `{"settings":{"services":[`+list+`]}}`) }
	missing, truncated := filepath.Join(dir, "none.json"), file("cut.json", "{\"name\":\"n0\",\n \"listen\":\"127.0")
	trailingComma := file("comma.json", "{\n \"name\":\"n0\",\n}")
	wrongType := file("typed.json", "{\n \"limits\":{\"sockets\":\"many\"},\n "+settings+"}")
	wrongInnerType := file("inner.json", "{\n \"name\":\"n0\",\n \"settings\":{\n  \"tick_ms\":\"5\"}}")
	noAddresses, empty := file("bare.json", `{"name":"n0",`+settings+`}`), file("empty.json", "{}")
	for _, c := range []struct {
		env  []string
		want []string
	}{
		{nil, []string{"ROUTER_CONFIG is not set", "JSON"}},
		{[]string{"ROUTER_CONFIG=" + missing}, []string{"ROUTER_CONFIG", missing, "no such file"}},
		{[]string{"ROUTER_CONFIG=" + dir}, []string{"ROUTER_CONFIG", dir, "is a directory"}},
		{[]string{"ROUTER_CONFIG=" + truncated}, []string{"ROUTER_CONFIG", truncated, "line 2, column", "ends too early"}},
		{[]string{"ROUTER_CONFIG=" + trailingComma}, []string{trailingComma, "line 3, column 2", "invalid character"}},
		{[]string{"ROUTER_CONFIG=" + wrongType}, []string{wrongType, "line 2", "limits.sockets", "wanted is int"}},
		{[]string{"ROUTER_CONFIG=" + wrongInnerType}, []string{wrongInnerType, "line 4", "tick_ms", "wanted is float64"}},
		{[]string{"ROUTER_CONFIG=" + empty}, []string{empty, `no \"settings\"`}},
		{[]string{"ROUTER_CONFIG=" + classes("no.json", "")}, []string{"settings.services: missing, or empty"}},
		{[]string{"ROUTER_CONFIG=" + classes("two.json", class+","+class)}, []string{"settings.services[1].name", "a name of its own"}},
		{[]string{"ROUTER_CONFIG=" + classes("aim.json", class+`,{"name":"b","give_up_ms":5}`)}, []string{"settings.services[1]", "goal_time_ms"}},
		{[]string{"ROUTER_CONFIG=" + classes("minus.json", class+`,{"name":"b","give_up_ms":-5}`)}, []string{"services.1.give_up_ms", "-5"}},
		{[]string{"ROUTER_CONFIG=" + file("few.json", `{"limits":{"sockets":20},`+settings+`}`)}, []string{"limits.sockets: 20", "no fewer than 48"}},
		{[]string{"ROUTER_CONFIG=" + file("factor.json", `{"settings":{"rules":{"overload_factor":-2},"services":[`+class+`]}}`)},
			[]string{"rules.overload_factor", "-2"}},
		{[]string{"ROUTER_CONFIG=" + noAddresses}, []string{"ROUTER_LISTEN is not set", noAddresses, "where clients connect"}},
		{[]string{"ROUTER_CONFIG=" + noAddresses, "ROUTER_LISTEN=127.0.0.1:0"}, []string{"ROUTER_DISCOVERY is not set", noAddresses}},
		{[]string{"ROUTER_CONFIG=" + noAddresses, "ROUTER_LISTEN=127.0.0.1:0", "ROUTER_DISCOVERY=127.0.0.1:1"},
			[]string{"ROUTER_STATE is not set", "journal"}},
	} {
		out, code := runToEnd(t, c.env)
		if code != 1 {
			t.Errorf("%v: code %d, %q", c.env, code, out)
		}
		for _, want := range c.want {
			if !strings.Contains(out, want) {
				t.Errorf("%v: %q has no %q", c.env, out, want)
			}
		}
	}
}

// A relay without a list of endpoints and with an unresponsive discovery agent is ready within ten seconds, accepts a message, and
// still knows it after a kill.
func TestReadyWithoutDiscoveryAndList(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts connections and never responds
	must(t, err)
	defer l.Close()
	unresponsive := &fakeDiscovery{Server: &httptest.Server{Listener: l}}
	began := time.Now()
	r := newRelay(t, unresponsive, nil, nil)
	for range 2 {
		if took := time.Since(began); took > 10*time.Second {
			t.Errorf("ready after %v", took)
		}
		r.submitAccepted("m1", 60*time.Second) // the second time it is a duplicate
		r.kill()
		began = time.Now()
		r.start(unresponsive)
	}
}

// Signals overlap with each other and with the start: a second SIGTERM, a SIGHUP before and after one, a SIGTERM at any moment of
// the start or while the journal is read. The process shuts down, or is terminated by the signal if it does not handle it yet, and
// the next process has all messages.
func TestOverlappingSignals(t *testing.T) {
	discovery := newFakeDiscovery(t)
	r := newRelay(t, discovery, []member{newMember("s-1", "127.0.0.1:1", "a", "gateway", "draining")}, nil) // accepts no new calls, so messages wait
	accepted := 0
	for ; accepted < 20; accepted++ {
		r.submitAccepted(fmt.Sprint("m", accepted), 5*time.Minute)
	}
	for _, signals := range [][]os.Signal{{syscall.SIGHUP, syscall.SIGTERM}, {syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM}} {
		for _, s := range signals {
			must(t, r.cmd.Process.Signal(s))
		}
		began := time.Now()
		if err := r.cmd.Wait(); err != nil {
			t.Fatalf("%v: %v", signals, err)
		}
		if took := time.Since(began); took > 3700*time.Millisecond {
			t.Errorf("%v: ended after %v", signals, took)
		}
		r.start(discovery)
	}
	r.kill()
	for _, delay := range []time.Duration{0, 3 * time.Millisecond, 8 * time.Millisecond, 30 * time.Millisecond} {
		r.spawn(discovery)
		time.Sleep(delay)
		r.cmd.Process.Signal(syscall.SIGTERM)
		err := r.cmd.Wait()
		state := r.cmd.ProcessState.Sys().(syscall.WaitStatus)
		if err != nil && !(state.Signaled() && state.Signal() == syscall.SIGTERM) {
			t.Errorf("a SIGTERM %v after the start: %v", delay, err)
		}
	}
	r.start(discovery)
	waitUntil(t, "all accepted messages waiting", func() bool {
		return strings.Contains(managementCall(t, r.mgmt, "stats"), fmt.Sprintf("relay.active=%d\n", accepted))
	})
}
