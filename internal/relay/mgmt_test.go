package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"wallflow/internal/wal"
	"wallflow/policy"
)

// manageTest serves a management address whose relay's loop does not run.
func manageTest(t *testing.T, r *Relay, most int) (l *pipeListener) {
	t.Helper()
	l = newPipeListener()
	g := &mgmt{listener: l, log: quiet(), most: most, answer: r.manage}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); g.run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return l
}

// ask makes a call and returns the whole answer.
func ask(t *testing.T, conn net.Conn, line string) string {
	t.Helper()
	if _, err := io.WriteString(conn, line); err != nil {
		t.Fatal(err)
	}
	answer, err := io.ReadAll(conn)
	if err != nil {
		t.Fatal(err)
	}
	return string(answer)
}

// Answers come though nothing decides, and say what is so.
func TestTheManagementAddressAnswersWithoutTheLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelay(t)
		l := manageTest(t, r, 4)
		for _, c := range []struct{ line, want string }{
			{"status\n", "NO\n"},
			{"bad\n", "NO\n"},
			{"\n", "NO\n"},
			{"STATUS\n", "NO\n"},
			{strings.Repeat("x", 250) + "\n", "NO\n"},
			{"standby\r\n", "YES\n"},
			{"active\n", "YES\n"},
		} {
			if got := ask(t, l.dial(), c.line); got != c.want {
				t.Errorf("%q: %q", c.line, got)
			}
		}
		if k := <-r.wishes; k != policy.Active || len(r.wishes) > 0 {
			t.Errorf("the last wish is %v", k)
		}
		r.served.Store(true)
		if got := ask(t, l.dial(), "status\n"); got != "YES\n" {
			t.Errorf("serving: %q", got)
		}
		r.does.Store(&policy.ListenerState{Listen: true})
		if got := ask(t, l.dial(), "status\n"); got != "NO\n" {
			t.Errorf("in a drain: %q", got)
		}
		r.ending.Store(true)
		if got := ask(t, l.dial(), "active\n"); got != "NO\n" || len(r.wishes) > 0 {
			t.Errorf("active while it ends: %q", got)
		}
		if got := ask(t, l.dial(), "standby\n"); got != "YES\n" {
			t.Errorf("standby while it ends: %q", got)
		}
	})
}

// Callers that say nothing, or never finish their line, hold no place that another needs, and are ended in time.
func TestSilentCallersKeepNobodyOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelay(t)
		l := manageTest(t, r, 4)
		var silent []net.Conn
		began := time.Now()
		for range 40 {
			conn := l.dial()
			go io.WriteString(conn, "sta") // fails where the connection is ended for another
			silent = append(silent, conn)
			if got := ask(t, l.dial(), "status\n"); got != "NO\n" {
				t.Fatalf("answer %q", got)
			}
		}
		if took := time.Since(began); took > time.Second {
			t.Errorf("answers took %v", took)
		}
		for _, conn := range silent {
			io.Copy(io.Discard, conn)
			conn.Close()
		}
		if took := time.Since(began); took > mgmtAskFor+time.Second {
			t.Errorf("the last silent caller was held %v", took)
		}
	})
}

func figuresOf(r *Relay) string {
	var b bytes.Buffer
	r.figures.write(&b)
	return b.String()
}

// Every end that a message may come to is counted once, against its class.
func TestEachEndIsCountedOnce(t *testing.T) {
	handIn := func(r *Relay, id string) *message {
		in := &handIn{m: &wal.Message{Trace: id, Key: "k", Dest: 7, Deadline: time.Now().Add(5 * time.Second)}, reply: make(chan answer, 1)}
		in.class = r.names.Load().classes["order"]
		r.step([]any{in})
		<-in.reply
		return r.traces[id]
	}
	finish := func(r *Relay, m *message, res result) {
		a := &attempt{call: &call{route: "s-1"}, m: m}
		m.out++
		for range 2 { // an end that is told twice is one
			r.later = r.attemptEnded(r.later, a, res)
		}
	}
	for name, c := range map[string]struct {
		do   func(r *Relay)
		want string
	}{
		"delivered": {func(r *Relay) { finish(r, handIn(r, "m"), result{outcome: policy.OK}) }, "relay.ok.order=1"},
		"over":      {func(r *Relay) { finish(r, handIn(r, "m"), result{outcome: policy.Moot, gone: true}) }, "relay.errors.order=1"},
		"delivered after its own time-out": {func(r *Relay) {
			m := handIn(r, "m")
			a := &attempt{call: &call{route: "s-1"}, m: m}
			m.out++
			r.later = r.attemptEnded(r.later, a, result{outcome: policy.Timeout})
			r.later = r.attemptEnded(r.later, a, result{outcome: policy.OK})
		}, "relay.ok.order=1"},
		"failed": {func(r *Relay) {
			r.carryOut([]policy.Action{{Kind: policy.Fail, ID: handIn(r, "m").ID}}, nil)
		}, "relay.errors.order=1"},
		"handed back": {func(r *Relay) {
			m := handIn(r, "m")
			r.carryOut([]policy.Action{{Kind: policy.Refuse, ID: m.ID}, {Kind: policy.Fail, ID: m.ID}}, nil)
		}, "relay.shed.order=1"},
		"refused at the door": {func(r *Relay) {
			r.cfg.Settings.MaxHeld = 1
			r.held = 1
			handIn(r, "m")
		}, "relay.shed.order=1"},
		"withdrawn": {func(r *Relay) { r.step([]any{withdrawal{handIn(r, "m").ID}}) }, "relay.active=0"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRelay(t)
			c.do(r)
			got, total := figuresOf(r), 0
			for line := range strings.Lines(got) {
				if strings.HasSuffix(line, ".order=1\n") {
					total++
				}
			}
			if !strings.Contains(got, c.want+"\n") || total > 1 {
				t.Errorf("figures:\n%s", got)
			}
		})
	}
}

// A message is tried when its call is written whole; a call that never came up is none.
func TestTriesCountWhatWasWritten(t *testing.T) {
	f := &figures{}
	m := &message{Message: &wal.Message{Trace: "m"}, tally: f.of("order")}
	host := newAnswering(t, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	h := newHosts(Config{ConnectTimeout: time.Second, KeepAlive: time.Second, Limits: Limits{Sockets: 16}})
	defer h.close()
	for _, addr := range []string{host, "127.0.0.1:1"} {
		c := &call{addr: addr, until: time.Now().Add(5 * time.Second)}
		c.attempts = []*attempt{{call: c, m: m}}
		h.do(t.Context(), c, yes)
	}
	if n := m.tally.tries.Load(); n != 1 {
		t.Errorf("%d tries", n)
	}
}

// newAnswering is a host that answers each request head with the same text.
func newAnswering(t *testing.T, text string) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				for in := bufio.NewReader(conn); ; {
					if req, err := http.ReadRequest(in); err != nil || req.Method == "" {
						return
					}
					io.WriteString(conn, text)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// In a drain kept connections end with their next answer, idle ones as they get older, and a connection on which a
// request is coming in is left alone.
func TestADrainEndsKeptConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelay(t)
		l, server := newPipeListener(), r.newServer()
		d := newDoor(l, r.log, 8)
		r.entry, server.ConnState = d, d.note
		served := make(chan struct{})
		go func() { defer close(served); server.Serve(d) }()
		health := func(conn net.Conn) *http.Response {
			go io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			return res
		}
		used, idle, half := l.dial(), l.dial(), l.dial()
		for _, conn := range []net.Conn{used, idle} {
			if res := health(conn); res.StatusCode != http.StatusOK || res.Close {
				t.Fatalf("before: %s, closes %v", res.Status, res.Close)
			}
		}
		r.attend(policy.ListenerState{IdleTimeout: time.Second, Listen: true, Send: true})
		if res := health(used); res.StatusCode == http.StatusOK || !res.Close {
			t.Errorf("in a drain: %s, closes %v", res.Status, res.Close)
		}
		began := time.Now()
		go io.WriteString(half, "GET /_health HTTP/1.1\r\n")
		if _, err := idle.Read(make([]byte, 1)); err == nil {
			t.Error("an answer to nothing")
		}
		if took := time.Since(began); took < 900*time.Millisecond || took > 1200*time.Millisecond {
			t.Errorf("idle for %v", took)
		}
		r.attend(policy.ListenerState{Listen: true, Send: true})
		time.Sleep(200 * time.Millisecond)
		go io.WriteString(half, "Host: x\r\n\r\n")
		if res, err := http.ReadResponse(bufio.NewReader(half), nil); err != nil || !res.Close {
			t.Errorf("a request that was coming in: %v", err)
		}
		r.attend(policy.ListenerState{Ready: true, KeepAlive: true, IdleTimeout: -1, Listen: true, Send: true})
		back := l.dial()
		if res := health(back); res.StatusCode != http.StatusOK || res.Close {
			t.Errorf("after it: %s, closes %v", res.Status, res.Close)
		}
		for _, conn := range []net.Conn{used, idle, half, back} {
			conn.Close()
		}
		server.Close()
		<-served
	})
}
