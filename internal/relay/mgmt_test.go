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

// serveMgmt serves a relay's management address on a pipeListener, without running the loop.
func serveMgmt(t *testing.T, r *Relay, maxConns int) (l *pipeListener) {
	t.Helper()
	l = newPipeListener()
	m := &mgmtServer{listener: l, log: discardLogger(), maxConns: maxConns, answer: r.handleCommand}
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); m.run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return l
}

// ask sends a command and returns the whole answer.
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

// Management commands are answered correctly although the loop does not run.
func TestManagementAnswersWithoutLoop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelay(t)
		l := serveMgmt(t, r, 4)
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
		if k := <-r.dutyRequests; k != policy.Active || len(r.dutyRequests) > 0 {
			t.Errorf("the last request is %v", k)
		}
		r.serving.Store(true)
		if got := ask(t, l.dial(), "status\n"); got != "YES\n" {
			t.Errorf("serving: %q", got)
		}
		r.listenerState.Store(&policy.ListenerState{Listen: true})
		if got := ask(t, l.dial(), "status\n"); got != "NO\n" {
			t.Errorf("in a drain: %q", got)
		}
		r.ending.Store(true)
		if got := ask(t, l.dial(), "active\n"); got != "NO\n" || len(r.dutyRequests) > 0 {
			t.Errorf("active during shutdown: %q", got)
		}
		if got := ask(t, l.dial(), "standby\n"); got != "YES\n" {
			t.Errorf("standby during shutdown: %q", got)
		}
	})
}

// Callers that never finish their command line do not keep others from being served, and are disconnected in time.
func TestSilentCallersDoNotBlockManagement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelay(t)
		l := serveMgmt(t, r, 4)
		var silent []net.Conn
		began := time.Now()
		for range 40 {
			conn := l.dial()
			go io.WriteString(conn, "sta") // fails if the connection is closed to make room
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
		if took := time.Since(began); took > mgmtReadTimeout+time.Second {
			t.Errorf("the last silent caller was disconnected after %v", took)
		}
	})
}

func metricsText(r *Relay) string {
	var b bytes.Buffer
	r.metrics.write(&b)
	return b.String()
}

// Each way in which a message can end is counted once, for its class.
func TestMessageEndIsCountedOnce(t *testing.T) {
	submit := func(r *Relay, id string) *message {
		sub := &submission{msg: &wal.Message{Trace: id, Key: "k", Dest: 7, Deadline: time.Now().Add(5 * time.Second)},
			reply: make(chan answer, 1)}
		sub.class = r.names.Load().classes["order"]
		r.step([]any{sub})
		<-sub.reply
		return r.byTrace[id]
	}
	finish := func(r *Relay, m *message, res result) {
		a := &attempt{call: &call{route: "s-1"}, msg: m}
		m.inFlight++
		for range 2 { // reported twice, counted once
			r.deferredEvents = r.attemptEnded(r.deferredEvents, a, res)
		}
	}
	for name, c := range map[string]struct {
		do   func(r *Relay)
		want string
	}{
		"delivered": {func(r *Relay) { finish(r, submit(r, "m"), result{outcome: policy.OK}) }, "relay.ok.order=1"},
		"gone":      {func(r *Relay) { finish(r, submit(r, "m"), result{outcome: policy.Moot, messageEnded: true}) }, "relay.errors.order=1"},
		"delivered after its own timeout": {func(r *Relay) {
			m := submit(r, "m")
			a := &attempt{call: &call{route: "s-1"}, msg: m}
			m.inFlight++
			r.deferredEvents = r.attemptEnded(r.deferredEvents, a, result{outcome: policy.Timeout})
			r.deferredEvents = r.attemptEnded(r.deferredEvents, a, result{outcome: policy.OK})
		}, "relay.ok.order=1"},
		"failed": {func(r *Relay) {
			r.applyActions([]policy.Action{{Kind: policy.Fail, ID: submit(r, "m").ID}}, nil)
		}, "relay.errors.order=1"},
		"refused": {func(r *Relay) {
			m := submit(r, "m")
			r.applyActions([]policy.Action{{Kind: policy.Refuse, ID: m.ID}, {Kind: policy.Fail, ID: m.ID}}, nil)
		}, "relay.shed.order=1"},
		"refused at submission": {func(r *Relay) {
			r.cfg.Settings.MaxHeld = 1
			r.held = 1
			submit(r, "m")
		}, "relay.shed.order=1"},
		"withdrawn": {func(r *Relay) { r.step([]any{withdrawal{submit(r, "m").ID}}) }, "relay.active=0"},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTestRelay(t)
			c.do(r)
			got, total := metricsText(r), 0
			for line := range strings.Lines(got) {
				if strings.HasSuffix(line, ".order=1\n") {
					total++
				}
			}
			if !strings.Contains(got, c.want+"\n") || total > 1 {
				t.Errorf("metrics:\n%s", got)
			}
		})
	}
}

// A try is counted once a call is written completely. A call without a connection is not counted.
func TestTriesCountWrittenMessages(t *testing.T) {
	f := &metrics{}
	m := &message{Message: &wal.Message{Trace: "m"}, counters: f.forClass("order")}
	host := newFixedAnswerHost(t, "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
	h := newHostPool(Config{ConnectTimeout: time.Second, KeepAlive: time.Second, Limits: Limits{Sockets: 16}})
	defer h.close()
	for _, addr := range []string{host, "127.0.0.1:1"} {
		c := &call{addr: addr, deadline: time.Now().Add(5 * time.Second)}
		c.attempts = []*attempt{{call: c, msg: m}}
		h.makeCall(t.Context(), c, clearAll)
	}
	if n := m.counters.tries.Load(); n != 1 {
		t.Errorf("%d tries", n)
	}
}

// newFixedAnswerHost starts a host that answers each request with the same text.
func newFixedAnswerHost(t *testing.T, text string) string {
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

// In a drain, kept connections close after their next answer and idle ones after the configured time. A connection on which
// a request is arriving stays open until it is answered.
func TestDrainClosesKeptConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newTestRelay(t)
		l, server := newPipeListener(), r.newServer()
		cl := newClientListener(l, r.log, 8)
		r.clients, server.ConnState = cl, cl.connStateChanged
		served := make(chan struct{})
		go func() { defer close(served); server.Serve(cl) }()
		health := func(conn net.Conn) *http.Response {
			go io.WriteString(conn, "GET /_health HTTP/1.1\r\nHost: x\r\n\r\n")
			res, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatal(err)
			}
			return res
		}
		used, idle, arriving := l.dial(), l.dial(), l.dial()
		for _, conn := range []net.Conn{used, idle} {
			if res := health(conn); res.StatusCode != http.StatusOK || res.Close {
				t.Fatalf("before the drain: %s, closes %v", res.Status, res.Close)
			}
		}
		r.applyListenerState(policy.ListenerState{IdleTimeout: time.Second, Listen: true, Send: true})
		if res := health(used); res.StatusCode == http.StatusOK || !res.Close {
			t.Errorf("in a drain: %s, closes %v", res.Status, res.Close)
		}
		began := time.Now()
		go io.WriteString(arriving, "GET /_health HTTP/1.1\r\n")
		if _, err := idle.Read(make([]byte, 1)); err == nil {
			t.Error("an answer without a request")
		}
		if took := time.Since(began); took < 900*time.Millisecond || took > 1200*time.Millisecond {
			t.Errorf("closed after %v of idling", took)
		}
		r.applyListenerState(policy.ListenerState{Listen: true, Send: true})
		time.Sleep(200 * time.Millisecond)
		go io.WriteString(arriving, "Host: x\r\n\r\n")
		if res, err := http.ReadResponse(bufio.NewReader(arriving), nil); err != nil || !res.Close {
			t.Errorf("a request that was arriving: %v", err)
		}
		r.applyListenerState(policy.ListenerState{Ready: true, KeepAlive: true, IdleTimeout: -1, Listen: true, Send: true})
		later := l.dial()
		if res := health(later); res.StatusCode != http.StatusOK || res.Close {
			t.Errorf("after the drain: %s, closes %v", res.Status, res.Close)
		}
		for _, conn := range []net.Conn{used, idle, arriving, later} {
			conn.Close()
		}
		server.Close()
		<-served
	})
}
