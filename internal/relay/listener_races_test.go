package relay

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"wallflow/policy"
)

// newTCPRelay serves a test relay's clients through a clientListener on a loopback port, with the loop running.
func newTCPRelay(t *testing.T, maxConns int) (r *Relay, cl *clientListener, dial func() *net.TCPConn) {
	t.Helper()
	r = newTestRelay(t)
	r.hasList.Store(true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := r.newServer()
	cl = newClientListener(gatedCloseListener{l.(*net.TCPListener)}, r.log, maxConns)
	r.clients = cl
	cl.trackServer(server)
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() { defer close(served); server.Serve(cl) }()
	go r.loop(ctx)
	t.Cleanup(func() { cl.finish(lastAnswersTimeout); server.Close(); stop(); <-served; <-r.loopDone })
	return r, cl, func() *net.TCPConn {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(testTimeout))
		return conn.(*net.TCPConn)
	}
}

// A connection that is closed after its answer while it has unread input must not be reset, which would lose the answer.
// Requests after the answered one are not served, whether they arrive before the close, with it or after it.
func TestAnswerSurvivesCloseWithUnreadInput(t *testing.T) {
	for name, delay := range map[string]time.Duration{"before": 0, "with it": 2 * time.Millisecond, "after": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			r, _, dial := newTCPRelay(t, 16)
			r.listenerState.Store(&policy.ListenerState{Ready: true, Listen: true, Send: true}) // Keep is false: close after each answer
			conn := dial()
			next := strings.Replace(submissionHeader("m2"), "Host:", "X-Pad: "+strings.Repeat("x", 12<<10)+"\r\nHost:", 1) +
				"Content-Length: 60000\r\n\r\n" + strings.Repeat("y", 60000)
			if _, err := io.WriteString(conn, submissionText("m1")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(delay)
			if _, err := io.WriteString(conn, next); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond) // a slow client: a reset would have arrived by now
			answers := bufio.NewReader(conn)
			res, err := http.ReadResponse(answers, nil)
			if err != nil || res.StatusCode != http.StatusAccepted || !res.Close {
				t.Fatalf("answered %+v, %v", res, err)
			}
			if rest, err := io.ReadAll(answers); len(rest) > 0 || err != nil {
				t.Errorf("then %q, %v", rest, err)
			}
			eventually(t, "one message is held", func() bool { return r.metrics.active.Load() == 1 })
		})
	}
}

// gatedClose is a connection whose Close waits for its gate, if it has one.
type gatedClose struct {
	*net.TCPConn
	called atomic.Bool
	gate   atomic.Pointer[chan struct{}]
}

func (c *gatedClose) Close() error {
	c.called.Store(true)
	if gate := c.gate.Load(); gate != nil {
		<-*gate
	}
	return c.TCPConn.Close()
}

// gatedCloseListener accepts connections of type gatedClose.
type gatedCloseListener struct{ *net.TCPListener }

func (l gatedCloseListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &gatedClose{TCPConn: conn.(*net.TCPConn)}, nil
}

// Evicting a connection must not drop a request: a connection whose request is waiting in the socket, is being read or has
// been read is not evicted. Nothing that arrives after an eviction has been decided is read.
func TestEvictionDropsNoRequest(t *testing.T) {
	r, cl, dial := newTCPRelay(t, 16)
	conn := dial()
	io.WriteString(conn, submissionText("m1"))
	if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || res.StatusCode != http.StatusAccepted {
		t.Fatalf("%+v, %v", res, err)
	}
	var c *clientConn
	eventually(t, "the connection is idle", func() bool {
		cl.mu.Lock()
		defer cl.mu.Unlock()
		for open, v := range cl.conns {
			if c, _ = open.(*clientConn); v.state == http.StateIdle {
				return true
			}
		}
		return false
	})
	c.mu.Lock() // reader and evict both wait for the lock, in either order
	io.WriteString(conn, submissionText("m2")[:20])
	time.Sleep(20 * time.Millisecond)
	c.mu.Unlock()
	if c.evict(true) {
		t.Fatal("evicted with an unread request")
	}
	eventually(t, "the beginning has been read", func() bool { started, _, _ := c.requestState(); return started && !c.hasUnread() })
	if c.evict(true) {
		t.Fatal("evicted with a partly read request")
	}
	io.WriteString(conn, submissionText("m2")[20:])
	if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || res.StatusCode != http.StatusAccepted {
		t.Fatalf("%+v, %v", res, err)
	}
	eventually(t, "the connection is idle again", func() bool { started, complete, _ := c.requestState(); return !started && !complete })
	gated, gate := c.Conn.(*gatedClose), make(chan struct{})
	gated.gate.Store(&gate)
	evicted := make(chan bool, 1)
	go func() { evicted <- c.evict(true) }()
	eventually(t, "Close has been called", gated.called.Load)
	io.WriteString(conn, submissionText("m3")) // just before the socket closes
	eventually(t, "the request has been read", func() bool { return !c.hasUnread() })
	time.Sleep(20 * time.Millisecond)
	if n := r.metrics.active.Load(); n != 2 {
		t.Errorf("%d messages are held, want the two that were answered", n)
	}
	close(gate)
	if !<-evicted {
		t.Error("not closed")
	}
	if ctx := context.WithValue(t.Context(), clientConnKey{}, c); markRequestComplete(ctx) {
		t.Error("a request on it may still be accepted")
	}
}

// A listener that is about to close accepts connections that arrive within its quiet time of each other, and closes after a
// quiet time without any. The run is repeated if the test itself was too slow with a connection.
func TestListenerClosesAfterQuietTime(t *testing.T) {
	const runs = 50
	for range runs {
		if runArrivalsAtClosingListener(t) {
			return
		}
	}
	t.Errorf("in each of %d runs over %v passed between two connections on this machine", runs, quietTime)
}

// runArrivalsAtClosingListener returns false if the test was too slow with one of its connections, so that the listener may
// have been closed correctly.
func runArrivalsAtClosingListener(t *testing.T) (inTime bool) {
	r, cl, _ := newTCPRelay(t, 64)
	cl.applyState(policy.ListenerState{IdleTimeout: -1, Send: true})
	last := time.Now() // the current quiet time started then or later
	r.listenerState.Store(&policy.ListenerState{Send: true})
	for i := range 8 {
		begun := time.Now()
		err := submitOnce(t, cl.Addr().String(), fmt.Sprint("m", i))
		if err != nil && time.Since(last) > quietTime {
			return false
		}
		if err != nil {
			t.Fatalf("%d, %v after the last one: %v", i, time.Since(last), err)
		}
		last = begun
		time.Sleep(quietTime / 2)
	}
	eventually(t, "the listener is closed", func() bool {
		conn, err := net.Dial("tcp", cl.Addr().String())
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	return true
}

// submitOnce submits a message on a connection of its own.
func submitOnce(t *testing.T, address, id string) error {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	if _, err := io.WriteString(conn, submissionText(id)); err != nil {
		return err
	}
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusAccepted {
		t.Fatalf("%s: status %d", id, res.StatusCode)
	}
	return nil
}

// A connection that is being evicted must not carry an answer in the moment before its socket closes: for a handler that
// wrote nothing net/http sends a 200, which the client would take for an acceptance.
func TestClosingConnectionCarriesNoAnswer(t *testing.T) {
	r := newTestRelay(t)
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	c := &clientConn{Conn: there, listener: newClientListener(nil, discardLogger(), 1), closing: true}
	req := submissionRequest(context.WithValue(t.Context(), clientConnKey{}, c), "m1")
	func() {
		defer func() {
			if p := recover(); p != http.ErrAbortHandler {
				t.Errorf("the handler panicked with %v", p)
			}
		}()
		req.SetPathValue("class", "order")
		r.handleMessage(httptest.NewRecorder(), req)
	}()
	if len(r.events) > 0 {
		t.Error("the message was accepted")
	}
	if n, err := c.Write([]byte("HTTP/1.1 200 OK")); n != 0 || err == nil {
		t.Errorf("written %d, %v", n, err)
	}
}
