package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"wallflow/internal/accord"
	"wallflow/internal/agent"
	"wallflow/internal/listsvc"
)

// runAgent starts an agent that registers itself, and returns its address and a function that stops it.
func runAgent(t *testing.T, server, name, dir string) (addr string, stop func() error) {
	t.Helper()
	a, err := agent.Open(agent.Options{Dir: dir, Listen: "127.0.0.1:0", Servers: []string{server}, Name: name, Zone: "z", Build: "test",
		Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- a.Run(ctx) }()
	return a.Addr(), func() error { cancel(); return <-done }
}

// sendRelayReport sends a report to an agent as a relay would, in the name of the test process, and returns the agent's reply.
func sendRelayReport(t *testing.T, addr string, report accord.ProcessStatus) (reply accord.ProcessReply) {
	t.Helper()
	var err error
	if report.Process, err = accord.CurrentProcess(); err != nil {
		t.Fatal(err)
	}
	body, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	res, err := http.Post("http://"+addr+"/fleet/relay", "application/json", bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	text, err := io.ReadAll(res.Body)
	if err == nil {
		err = json.Unmarshal(text, &reply)
	}
	if err != nil {
		t.Fatalf("%s: %s: %v", res.Status, text, err)
	}
	return reply
}

// fleetReport returns the output of "policy show".
func fleetReport(t *testing.T, address string) (r listsvc.FleetReport) {
	t.Helper()
	var out bytes.Buffer
	run([]string{"policy", "show", "--json", "--server", address}, nil, &out, io.Discard)
	if err := json.Unmarshal(out.Bytes(), &r); err != nil {
		t.Fatalf("%v: %s", err, out.String())
	}
	return r
}

func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("timeout: not reached that " + what)
		}
	}
}

// TestPolicyLifecycle runs the policy commands in turn: an invalid file, a change that all accept, a change that a relay refuses, and a
// change that is blocked by a silent machine until an operator retires that machine.
func TestPolicyLifecycle(t *testing.T) {
	address := startListServer(t)
	dir := t.TempDir()
	writePolicy := func(text string) string {
		path := filepath.Join(dir, fmt.Sprintf("p%d.toml", len(text)))
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	runOnServer := func(args ...string) (int, string) {
		var out bytes.Buffer
		code := run(append(args, "--server", address), nil, &out, &out)
		return code, out.String()
	}
	expect := func(code int, text string, args ...string) {
		t.Helper()
		if got, out := runOnServer(args...); got != code || !strings.Contains(out, text) {
			t.Errorf("%v: code %d, want %d with %q:\n%s", args, got, code, text, out)
		}
	}
	validFile := writePolicy("form = 1\ntitle = \"first\"\n[classes.order]\nattempts = 3\n")
	expect(2, "classes.order.attempts: -3", "policy", "propose", writePolicy("form = 1\n[classes.order]\nattempts = -3\n"))
	expect(2, "weather", "policy", "propose", writePolicy("form = 1\nweather = 3\n"))
	firstAgent, stopFirst := runAgent(t, address, "m1", filepath.Join(dir, "m1"))
	waitFor(t, "m1 is registered", func() bool { return len(fleetReport(t, address).Sessions) == 1 })
	expect(0, "change 1 is sealed", "policy", "propose", validFile, "--wait")
	waitFor(t, "m1 knows the policy", func() bool { return fleetReport(t, address).Sessions[0].KnownPolicy == 1 })
	expect(0, "in force  1", "policy", "show")

	// A relay is admitted under the current policy and then refuses a change.
	var reply accord.ProcessReply
	waitFor(t, "the relay is admitted", func() bool {
		reply = sendRelayReport(t, firstAgent, accord.ProcessStatus{Follows: -1})
		return reply.Admitted
	})
	if reply.Policy.Number != 1 || len(reply.Policy.Document) == 0 {
		t.Errorf("the relay got the policy %+v", reply.Policy)
	}
	sendRelayReport(t, firstAgent, accord.ProcessStatus{Follows: 1})
	if code, out := runOnServer("policy", "propose", writePolicy("form = 1\ntitle = \"second one\"\n")); code != 0 {
		t.Fatal(out)
	}
	waitFor(t, "the relay gets the change", func() bool {
		reply = sendRelayReport(t, firstAgent, accord.ProcessStatus{Follows: 1})
		return reply.Change != nil && reply.Change.Number == 2
	})
	sendRelayReport(t, firstAgent, accord.ProcessStatus{Follows: 1, Cannot: 2, Why: "classes.order: this relay has no such class"})
	waitFor(t, "the change is dropped", func() bool { return fleetReport(t, address).Change == nil })
	expect(0, "m1 cannot follow it: classes.order: this relay has no such class", "policy", "show")

	// Another machine falls silent and blocks changes until it is retired.
	secondAgent, stopSecond := runAgent(t, address, "m2", filepath.Join(dir, "m2"))
	waitFor(t, "m2 is registered", func() bool { return len(fleetReport(t, address).Sessions) == 2 })
	id := fleetReport(t, address).Sessions[1].ID
	waitFor(t, "the relay of m2 is admitted", func() bool { return sendRelayReport(t, secondAgent, accord.ProcessStatus{Follows: -1}).Admitted })
	// The agent believes that its relay is still running, so that it stops without ending its session.
	if err := stopSecond(); err != nil {
		t.Fatal(err)
	}
	if code, out := runOnServer("policy", "propose", writePolicy("form = 1\ntitle = \"a third one\"\n"),
		"--within", "300ms", "--wait"); code != 1 || !strings.Contains(out, "no word of m1 and 1 more") {
		t.Errorf("code %d: %s", code, out)
	}
	expect(0, "is retired", "policy", "drop", "--retire", id)
	expect(2, "no such session", "policy", "drop", "--retire", id)
	expect(2, "give either the number of a change or --retire", "policy", "drop")
	expect(2, "no change of that number", "policy", "drop", "99")
	stop := make(chan struct{})
	done := make(chan struct{})
	go func() { // the relay confirms and promises every change
		defer close(done)
		for report := (accord.ProcessStatus{Follows: 1}); ; {
			select {
			case <-stop:
				return
			case <-time.After(5 * time.Millisecond):
			}
			reply := sendRelayReport(t, firstAgent, report)
			if reply.Change != nil {
				if report.Can = reply.Change.Number; reply.Change.Phase == accord.Armed {
					report.Promised = reply.Change.Number
				}
			}
			report.Follows = reply.Policy.Number
		}
	}()
	expect(0, "is sealed", "policy", "propose", writePolicy("form = 1\ntitle = \"the fourth of them\"\n"), "--wait")
	waitFor(t, "all follow the change",
		func() bool {
			r := fleetReport(t, address)
			return r.InForce.Number == 4 && r.Sessions[0].ActivePolicy == 4
		})
	close(stop)
	<-done
	if err := stopFirst(); err != nil {
		t.Error(err)
	}
}
