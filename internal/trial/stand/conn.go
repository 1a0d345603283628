// Package stand holds the fakes of a trial, written from the platform's protocol: partners with their endpoints, the
// discovery agent of each relay, clients, and users of the list servers. They run in the process of the trial and record
// in the history what they saw. Towards relays they behave as the real parties do, faults included.
package stand

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// pipeListener is an in-process net.Listener for the connections of links.
type pipeListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (d *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-d.conns:
		return c, nil
	case <-d.done:
		return nil, net.ErrClosed
	}
}

func (d *pipeListener) Close() error {
	d.once.Do(func() { close(d.done) })
	return nil
}

func (d *pipeListener) Addr() net.Addr { return pipeAddr{} }

type pipeAddr struct{}

func (pipeAddr) Network() string { return "pipe" }
func (pipeAddr) String() string  { return "pipe" }

// relayConn is the state of a connection from a relay: the relay's name, and when its requests were written, before the
// delay of the link.
type relayConn struct {
	relay     string
	overLimit bool // the endpoint has too many open connections already

	mu              sync.Mutex
	awaitingRequest bool // no byte of the next request has arrived yet
	requestBegan    time.Time
	lastByteAt      time.Time
	reset           bool

	bytesWritten, bytesDelivered int64 // bytes of answers written to the link, and passed on by it to the relay
	awaitingDelivery             []answerDelivery
	closed                       bool
}

// hangUpGrace is how long a relay may take to close a connection on whose answer it has given up. A relay's timeout is
// not synchronized with the delivery of bytes, so bytes that arrive just then may stay unread.
const hangUpGrace = 20 * time.Millisecond

// answerDelivery is an answer whose delivery to the relay is awaited.
type answerDelivery struct {
	endOffset   int64 // bytesDelivered at which the answer is complete
	notify      func(ago time.Duration)
	deliveredAt time.Time // zero until the answer is complete
	timer       *time.Timer
}

// onDelivered arranges that notify is called once all bytes written so far have reached the relay and the relay has kept
// the connection open for hangUpGrace.
func (c *relayConn) onDelivered(notify func(ago time.Duration)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.awaitingDelivery = append(c.awaitingDelivery, answerDelivery{endOffset: c.bytesWritten, notify: notify})
	c.startGraceTimers(time.Now())
}

// startGraceTimers starts the timers of the answers that have been delivered by now.
func (c *relayConn) startGraceTimers(now time.Time) {
	for i := range c.awaitingDelivery {
		h := &c.awaitingDelivery[i]
		if h.endOffset > c.bytesDelivered || !h.deliveredAt.IsZero() || c.closed {
			continue
		}
		notify := h.notify
		h.deliveredAt = now
		h.timer = time.AfterFunc(hangUpGrace, func() { notify(time.Since(now)) })
	}
	c.awaitingDelivery = slices.DeleteFunc(c.awaitingDelivery,
		func(h answerDelivery) bool { return !h.deliveredAt.IsZero() && now.Sub(h.deliveredAt) > 2*hangUpGrace })
}

// requestTimes returns the arrival times of the first and last byte of the current request.
func (c *relayConn) requestTimes() (began, last time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestBegan, c.lastByteAt
}

func (c *relayConn) wasReset() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.reset
}

// linkConn is the link's end of a connection.
type linkConn struct {
	net.Conn
	conn *relayConn
}

// OnReceive records that bytes arrived from the relay.
func (n linkConn) OnReceive(at time.Time) {
	n.conn.mu.Lock()
	defer n.conn.mu.Unlock()
	if n.conn.awaitingRequest {
		n.conn.awaitingRequest, n.conn.requestBegan = false, at
	}
	n.conn.lastByteAt = at
}

// OnDeliver records that bytes of an answer were passed on to the relay.
func (n linkConn) OnDeliver(bytes int, at time.Time) {
	n.conn.mu.Lock()
	defer n.conn.mu.Unlock()
	n.conn.bytesDelivered += int64(bytes)
	n.conn.startGraceTimers(at)
}

// Close closes the connection. Answers whose grace period has not passed count as not received.
func (n linkConn) Close() error {
	n.conn.mu.Lock()
	n.conn.closed = true
	for _, h := range n.conn.awaitingDelivery {
		if h.timer != nil {
			h.timer.Stop()
		}
	}
	n.conn.mu.Unlock()
	return n.Conn.Close()
}

// WasReset reports whether the endpoint has reset the connection.
func (n linkConn) WasReset() bool { return n.conn.wasReset() }

// serverConn is the endpoint's end of a connection.
type serverConn struct {
	net.Conn
	conn    *relayConn
	onClose func()
	once    sync.Once
}

func (f *serverConn) Write(p []byte) (int, error) {
	f.conn.mu.Lock()
	f.conn.awaitingRequest = true // requests are not pipelined: the next byte starts a new request
	f.conn.bytesWritten += int64(len(p))
	f.conn.mu.Unlock()
	return f.Conn.Write(p)
}

func (f *serverConn) Close() error {
	f.once.Do(f.onClose)
	return f.Conn.Close()
}

// RemoteAddr returns the relay's name; net/http logs it.
func (f *serverConn) RemoteAddr() net.Addr { return relayAddr(f.conn.relay) }

type relayAddr string

func (relayAddr) Network() string  { return "relay" }
func (a relayAddr) String() string { return string(a) }

// dial hands a new connection to the endpoint's server and returns the link's end of it.
func (d *pipeListener) dial(ctx context.Context, c *relayConn, onClose func()) (net.Conn, error) {
	near, far := net.Pipe()
	c.awaitingRequest = true
	select {
	case d.conns <- &serverConn{Conn: far, conn: c, onClose: onClose}:
		return linkConn{near, c}, nil
	case <-d.done:
		return nil, errors.New("the endpoint is closed")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type connKey struct{}

// connOf returns the connection of a request.
func connOf(r *http.Request) *relayConn { return r.Context().Value(connKey{}).(*relayConn) }

// connContext makes the connection available to handlers.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c.(*serverConn).conn)
}
