// Package stand holds the stand-ins of a trial, written from the platform's protocol: partners with their endpoints,
// the discovery agent of each relay, and clients. They run in the trial's own process and put down in the history what
// they saw; what they do to relays is what real ones do, faults included.
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

// door is a listener to which links hand their connections, inside the process.
type door struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newDoor() *door { return &door{conns: make(chan net.Conn), done: make(chan struct{})} }

func (d *door) Accept() (net.Conn, error) {
	select {
	case c := <-d.conns:
		return c, nil
	case <-d.done:
		return nil, net.ErrClosed
	}
}

func (d *door) Close() error {
	d.once.Do(func() { close(d.done) })
	return nil
}

func (d *door) Addr() net.Addr { return doorAddr{} }

type doorAddr struct{}

func (doorAddr) Network() string { return "door" }
func (doorAddr) String() string  { return "door" }

// wire is a connection from a relay: who it is from, and when its requests were written, before the link's delay.
type wire struct {
	relay string
	over  bool // the endpoint holds too many already

	mu      sync.Mutex
	waiting bool // for the first byte of a request
	began   time.Time
	last    time.Time
	reset   bool

	written, through int64 // bytes of answers: given to the link, and by it to the relay
	heard            []hearing
	hungUp           bool
}

// heardFor is how long a relay has to hang up on an answer that it has given up on. It is cut off from it at a moment of its
// own: what comes through just then may lie unread on a connection that it is about to close.
const heardFor = 20 * time.Millisecond

// hearing is an answer that may be heard.
type hearing struct {
	upTo  int64 // bytes
	tell  func(ago time.Duration)
	since time.Time // zero: not all through yet
	wait  *time.Timer
}

// whenHeard has tell called once what was written so far has come through to the relay and the relay has not hung up on it.
func (w *wire) whenHeard(tell func(ago time.Duration)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.heard = append(w.heard, hearing{upTo: w.written, tell: tell})
	w.listen(time.Now())
}

// listen looks which answers are through now.
func (w *wire) listen(now time.Time) {
	for i := range w.heard {
		h := &w.heard[i]
		if h.upTo > w.through || !h.since.IsZero() || w.hungUp {
			continue
		}
		tell := h.tell
		h.since = now
		h.wait = time.AfterFunc(heardFor, func() { tell(time.Since(now)) })
	}
	w.heard = slices.DeleteFunc(w.heard, func(h hearing) bool { return !h.since.IsZero() && now.Sub(h.since) > 2*heardFor })
}

// times are those of the request that is on the connection.
func (w *wire) times() (began, last time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.began, w.last
}

func (w *wire) wasReset() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.reset
}

// nearEnd is the link's side of it.
type nearEnd struct {
	net.Conn
	w *wire
}

// Mark notes that bytes came in from the relay.
func (n nearEnd) Mark(at time.Time) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	if n.w.waiting {
		n.w.waiting, n.w.began = false, at
	}
	n.w.last = at
}

// Through notes that bytes of an answer were handed to the relay's side.
func (n nearEnd) Through(bytes int, at time.Time) {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.w.through += int64(bytes)
	n.w.listen(at)
}

// Close is the end of the connection, for the link: what was not heard until then will not be.
func (n nearEnd) Close() error {
	n.w.mu.Lock()
	n.w.hungUp = true
	for _, h := range n.w.heard {
		if h.wait != nil {
			h.wait.Stop()
		}
	}
	n.w.mu.Unlock()
	return n.Conn.Close()
}

// WasReset tells that the far side ended the connection by a reset.
func (n nearEnd) WasReset() bool { return n.w.wasReset() }

// farEnd is the stand-in's side.
type farEnd struct {
	net.Conn
	w     *wire
	ended func()
	once  sync.Once
}

func (f *farEnd) Write(p []byte) (int, error) {
	f.w.mu.Lock()
	f.w.waiting = true // one call at a time: what comes next begins another
	f.w.written += int64(len(p))
	f.w.mu.Unlock()
	return f.Conn.Write(p)
}

func (f *farEnd) Close() error {
	f.once.Do(f.ended)
	return f.Conn.Close()
}

// RemoteAddr is the relay's name; the library logs it.
func (f *farEnd) RemoteAddr() net.Addr { return relayAddr(f.w.relay) }

type relayAddr string

func (relayAddr) Network() string  { return "relay" }
func (a relayAddr) String() string { return string(a) }

// dial hands a new connection to the stand-in, and returns the link's side.
func (d *door) dial(ctx context.Context, w *wire, ended func()) (net.Conn, error) {
	near, far := net.Pipe()
	w.waiting = true
	select {
	case d.conns <- &farEnd{Conn: far, w: w, ended: ended}:
		return nearEnd{near, w}, nil
	case <-d.done:
		return nil, errors.New("closed")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

type wireKey struct{}

// wireOf is the connection that a request came on.
func wireOf(r *http.Request) *wire { return r.Context().Value(wireKey{}).(*wire) }

// connContext lets handlers see their connection.
func connContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, wireKey{}, c.(*farEnd).w)
}
