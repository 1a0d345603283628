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

// tcpRelay serves a test relay's clients through a door on a loopback port, with its loop running.
func tcpRelay(t *testing.T, most int) (r *Relay, d *door, dial func() *net.TCPConn) {
	t.Helper()
	r = newTestRelay(t)
	r.listed.Store(true)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := r.newServer()
	d = newDoor(holdingListener{l.(*net.TCPListener)}, r.log, most)
	r.entry = d
	d.follow(server)
	ctx, stop := context.WithCancel(context.Background())
	served := make(chan struct{})
	go func() { defer close(served); server.Serve(d) }()
	go r.loop(ctx)
	t.Cleanup(func() { d.finish(lastAnswers); server.Close(); stop(); <-served; <-r.over })
	return r, d, func() *net.TCPConn {
		conn, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(patience))
		return conn.(*net.TCPConn)
	}
}

// A connection that ends with its answer while more lies unread on it is not reset: the answer comes through, and nothing behind it
// is served, whether it came before the close, with it or after it.
func TestAnAnswerSurvivesACloseOverUnreadBytes(t *testing.T) {
	for name, later := range map[string]time.Duration{"before": 0, "with it": 2 * time.Millisecond, "after": 50 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			r, _, dial := tcpRelay(t, 16)
			r.does.Store(&policy.ListenerState{Ready: true, Listen: true, Send: true}) // keeps none
			conn := dial()
			next := strings.Replace(handInHead("m2"), "Host:", "X-Pad: "+strings.Repeat("x", 12<<10)+"\r\nHost:", 1) + "Content-Length: 60000\r\n\r\n" + strings.Repeat("y", 60000)
			if _, err := io.WriteString(conn, request("m1")); err != nil {
				t.Fatal(err)
			}
			time.Sleep(later)
			if _, err := io.WriteString(conn, next); err != nil {
				t.Fatal(err)
			}
			time.Sleep(100 * time.Millisecond) // the client is slow to read: by now a reset would have come
			answers := bufio.NewReader(conn)
			res, err := http.ReadResponse(answers, nil)
			if err != nil || res.StatusCode != http.StatusAccepted || !res.Close {
				t.Fatalf("answered %+v, %v", res, err)
			}
			if rest, err := io.ReadAll(answers); len(rest) > 0 || err != nil {
				t.Errorf("then %q, %v", rest, err)
			}
			eventually(t, "one message is held", func() bool { return r.figures.active.Load() == 1 })
		})
	}
}

// heldClose is a connection whose close waits where it has a gate.
type heldClose struct {
	*net.TCPConn
	called atomic.Bool
	gate   atomic.Pointer[chan struct{}]
}

func (c *heldClose) Close() error {
	c.called.Store(true)
	if gate := c.gate.Load(); gate != nil {
		<-*gate
	}
	return c.TCPConn.Close()
}

type holdingListener struct{ *net.TCPListener }

func (l holdingListener) Accept() (net.Conn, error) {
	conn, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &heldClose{TCPConn: conn.(*net.TCPConn)}, nil
}

// A connection that is closed for another takes no request along: one that waits in its socket, that is being read, or that has
// been read keeps it, and what comes later is read by nobody.
func TestWhoIsPushedOutHasNoRequestRead(t *testing.T) {
	r, d, dial := tcpRelay(t, 16)
	conn := dial()
	io.WriteString(conn, request("m1"))
	if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || res.StatusCode != http.StatusAccepted {
		t.Fatalf("%+v, %v", res, err)
	}
	var g *guest
	eventually(t, "the connection rests", func() bool {
		d.mu.Lock()
		defer d.mu.Unlock()
		for c, v := range d.visits {
			if g, _ = c.(*guest); v.state == http.StateIdle {
				return true
			}
		}
		return false
	})
	g.mu.Lock() // the reader waits to read, and whoever closes comes first or second
	io.WriteString(conn, request("m2")[:20])
	time.Sleep(20 * time.Millisecond)
	g.mu.Unlock()
	if g.pushOut(true) {
		t.Fatal("closed over a request")
	}
	eventually(t, "the beginning is read", func() bool { begun, _, _ := g.state(); return begun && !g.unread() })
	if g.pushOut(true) {
		t.Fatal("closed over a request that was read in part")
	}
	io.WriteString(conn, request("m2")[20:])
	if res, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || res.StatusCode != http.StatusAccepted {
		t.Fatalf("%+v, %v", res, err)
	}
	eventually(t, "it rests again", func() bool { begun, whole, _ := g.state(); return !begun && !whole })
	closes, gate := g.Conn.(*heldClose), make(chan struct{})
	closes.gate.Store(&gate)
	pushed := make(chan bool, 1)
	go func() { pushed <- g.pushOut(true) }()
	eventually(t, "it is about to be closed", closes.called.Load)
	io.WriteString(conn, request("m3")) // in the moment before the system closes it
	eventually(t, "it is read", func() bool { return !g.unread() })
	time.Sleep(20 * time.Millisecond)
	if n := r.figures.active.Load(); n != 2 {
		t.Errorf("%d messages are held, and two were answered", n)
	}
	close(gate)
	if !<-pushed {
		t.Error("not closed")
	}
	if ctx := context.WithValue(t.Context(), guestKey{}, g); wholeRequest(ctx) {
		t.Error("a request on it may still be taken on")
	}
}

// A listener that is to close lets in who comes within its quiet time, one after the other, and then no more.
func TestAListenerClosesOnceNobodyComes(t *testing.T) {
	const plays = 50
	for range plays {
		if playArrivalsAtAClosingListener(t) {
			return
		}
	}
	t.Errorf("in each of %d plays this machine let over %v pass between two connections", plays, queueFor)
}

// playArrivalsAtAClosingListener returns false if the test itself came too late with one of its connections, so that the listener had
// the right to be closed by then.
func playArrivalsAtAClosingListener(t *testing.T) (played bool) {
	r, d, _ := tcpRelay(t, 64)
	d.attend(policy.ListenerState{IdleTimeout: -1, Send: true})
	last := time.Now() // the listener has waited anew since then, at the latest
	r.does.Store(&policy.ListenerState{Send: true})
	for i := range 8 {
		begun := time.Now()
		err := handInOnce(t, d.Addr().String(), fmt.Sprint("m", i))
		if err != nil && time.Since(last) > queueFor {
			return false
		}
		if err != nil {
			t.Fatalf("%d, %v after the last one: %v", i, time.Since(last), err)
		}
		last = begun
		time.Sleep(queueFor / 2)
	}
	eventually(t, "the listener is closed", func() bool {
		conn, err := net.Dial("tcp", d.Addr().String())
		if err == nil {
			conn.Close()
		}
		return err != nil
	})
	return true
}

// handInOnce hands a message in on a connection of its own.
func handInOnce(t *testing.T, address, id string) error {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(patience))
	if _, err := io.WriteString(conn, request(id)); err != nil {
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

// A connection that was decided to be closed carries no answer any more, in the moment before the system closes it: what the
// library says for a handler that said nothing would be taken for a yes.
func TestAConnectionBeingClosedCarriesNoAnswer(t *testing.T) {
	r := newTestRelay(t)
	here, there := net.Pipe()
	defer here.Close()
	defer there.Close()
	g := &guest{Conn: there, door: newDoor(nil, quiet(), 1), shut: true}
	req := handInRequest(context.WithValue(t.Context(), guestKey{}, g), "m1")
	func() {
		defer func() {
			if p := recover(); p != http.ErrAbortHandler {
				t.Errorf("the handler ended with %v", p)
			}
		}()
		req.SetPathValue("class", "order")
		r.handIn(httptest.NewRecorder(), req)
	}()
	if len(r.events) > 0 {
		t.Error("it was taken on")
	}
	if n, err := g.Write([]byte("HTTP/1.1 200 OK")); n != 0 || err == nil {
		t.Errorf("written %d, %v", n, err)
	}
}
