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

// start runs the program to its end, with nothing but env of ROUTER_ variables.
func start(t *testing.T, env []string, args ...string) (output string, code int) {
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

func TestArgumentsAskAndStartNothing(t *testing.T) {
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
		out, code := start(t, nil, c.args...)
		if code != c.code || !strings.Contains(out, c.want) {
			t.Errorf("%v: code %d, %q; want %d with %q", c.args, code, out, c.code, c.want)
		}
	}
}

// Whatever is wrong with what the relay is told, the error names the variable, the file, the place and what is wanted.
func TestAStartThatFailsSaysWhereAndWhatIsWanted(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		must(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	const class = `{"name":"order","goal_time_ms":10,"give_up_ms":20}`
	const settings = `"settings":{"tick_ms":5,"services":[` + class + `]}`
	classes := func(name, list string) string { return file(name, `{"settings":{"services":[`+list+`]}}`) }
	none, cut := filepath.Join(dir, "none.json"), file("cut.json", "{\"name\":\"n0\",\n \"listen\":\"127.0")
	comma := file("comma.json", "{\n \"name\":\"n0\",\n}")
	typed := file("typed.json", "{\n \"limits\":{\"sockets\":\"many\"},\n "+settings+"}")
	inner := file("inner.json", "{\n \"name\":\"n0\",\n \"settings\":{\n  \"tick_ms\":\"5\"}}")
	bare, empty := file("bare.json", `{"name":"n0",`+settings+`}`), file("empty.json", "{}")
	for _, c := range []struct {
		env  []string
		want []string
	}{
		{nil, []string{"ROUTER_CONFIG is not set", "JSON"}},
		{[]string{"ROUTER_CONFIG=" + none}, []string{"ROUTER_CONFIG", none, "no such file"}},
		{[]string{"ROUTER_CONFIG=" + dir}, []string{"ROUTER_CONFIG", dir, "is a directory"}},
		{[]string{"ROUTER_CONFIG=" + cut}, []string{"ROUTER_CONFIG", cut, "line 2, column", "ends too early"}},
		{[]string{"ROUTER_CONFIG=" + comma}, []string{comma, "line 3, column 2", "invalid character"}},
		{[]string{"ROUTER_CONFIG=" + typed}, []string{typed, "line 2", "limits.sockets", "wanted is int"}},
		{[]string{"ROUTER_CONFIG=" + inner}, []string{inner, "line 4", "tick_ms", "wanted is float64"}},
		{[]string{"ROUTER_CONFIG=" + empty}, []string{empty, `no \"settings\"`}},
		{[]string{"ROUTER_CONFIG=" + classes("no.json", "")}, []string{"settings.services: missing, or empty"}},
		{[]string{"ROUTER_CONFIG=" + classes("two.json", class+","+class)}, []string{"settings.services[1].name", "a name of its own"}},
		{[]string{"ROUTER_CONFIG=" + classes("aim.json", class+`,{"name":"b","give_up_ms":5}`)}, []string{"settings.services[1]", "goal_time_ms"}},
		{[]string{"ROUTER_CONFIG=" + classes("minus.json", class+`,{"name":"b","give_up_ms":-5}`)}, []string{"services.1.give_up_ms", "-5"}},
		{[]string{"ROUTER_CONFIG=" + file("few.json", `{"limits":{"sockets":20},`+settings+`}`)}, []string{"limits.sockets: 20", "no fewer than 48"}},
		{[]string{"ROUTER_CONFIG=" + file("factor.json", `{"settings":{"rules":{"overload_factor":-2},"services":[`+class+`]}}`)}, []string{"rules.overload_factor", "-2"}},
		{[]string{"ROUTER_CONFIG=" + bare}, []string{"ROUTER_LISTEN is not set", bare, "where clients connect"}},
		{[]string{"ROUTER_CONFIG=" + bare, "ROUTER_LISTEN=127.0.0.1:0"}, []string{"ROUTER_DISCOVERY is not set", bare}},
		{[]string{"ROUTER_CONFIG=" + bare, "ROUTER_LISTEN=127.0.0.1:0", "ROUTER_DISCOVERY=127.0.0.1:1"}, []string{"ROUTER_STATE is not set", "journal"}},
	} {
		out, code := start(t, c.env)
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

// A relay whose discovery is away, with no list at all, is ready within ten seconds, takes a message on, and takes it over a kill.
func TestReadyWithNoDiscoveryAndNoList(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0") // accepts and says nothing
	must(t, err)
	defer l.Close()
	away := &platform{Server: &httptest.Server{Listener: l}}
	began := time.Now()
	r := newRelay(t, away, nil, nil)
	for range 2 {
		if took := time.Since(began); took > 10*time.Second {
			t.Errorf("ready after %v", took)
		}
		r.take("m1", 60*time.Second) // the second time it is known
		r.kill()
		began = time.Now()
		r.start(away)
	}
}

// Signals meet each other and the start: a second SIGTERM, a SIGHUP before and behind one, a SIGTERM at any moment of a start or of
// the reading of a journal. The process ends by itself, or by the signal where it was not yet heard, and the next one has all.
func TestSignalsCross(t *testing.T) {
	p := newPlatform(t)
	r := newRelay(t, p, []member{listed("s-1", "127.0.0.1:1", "a", "gateway", "draining")}, nil) // takes nothing new: they are held
	held := 0
	for ; held < 20; held++ {
		r.take(fmt.Sprint("m", held), 5*time.Minute)
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
		r.start(p)
	}
	r.kill()
	for _, wait := range []time.Duration{0, 3 * time.Millisecond, 8 * time.Millisecond, 30 * time.Millisecond} {
		r.spawn(p)
		time.Sleep(wait)
		r.cmd.Process.Signal(syscall.SIGTERM)
		err := r.cmd.Wait()
		state := r.cmd.ProcessState.Sys().(syscall.WaitStatus)
		if err != nil && !(state.Signaled() && state.Signal() == syscall.SIGTERM) {
			t.Errorf("a SIGTERM %v after the start: %v", wait, err)
		}
	}
	r.start(p)
	eventually(t, "all that was taken on is held", func() bool {
		return strings.Contains(manage(t, r.mgmt, "stats"), fmt.Sprintf("relay.active=%d\n", held))
	})
}
