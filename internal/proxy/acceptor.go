package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"time"
)

const (
	// silentFor is how long a new connection may be silent before it is taken for one that won't ask for anything.
	silentFor = 500 * time.Millisecond
	// queueFor is how long a listener that is about to close goes without a connection first: closed with some in its queue, it
	// would reset them.
	queueFor  = 20 * time.Millisecond
	queueMost = 500 * time.Millisecond // however many come

	roomWait    = 100 * time.Millisecond // between two looks for a connection to close, at the cap
	acceptRetry = 50 * time.Millisecond  // after a failure to accept
)

// acceptor takes the connections of clients and knows each of them.
type acceptor struct {
	listener net.Listener
	most     int

	mu      sync.Mutex
	clients map[*client]struct{}
	left    chan struct{} // closed and made anew when a connection ends or rests
	shed    uint64
	ended   bool      // close was called
	stopsBy time.Time // accepting ends then at the latest; zero: it does not
}

func newAcceptor(most int) *acceptor {
	return &acceptor{most: most, clients: map[*client]struct{}{}, left: make(chan struct{})}
}

// open sets the listener that clients come through. False: it is over already.
func (d *acceptor) open(listener net.Listener) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.listener = listener
	return !d.ended
}

// accept returns the next connection, once there is room for it.
func (d *acceptor) accept() (*client, error) {
	for {
		conn, err := d.listener.Accept()
		switch {
		case err == nil:
			d.makeRoom()
			d.quiet()
			return d.admit(conn), nil
		case errors.Is(err, os.ErrDeadlineExceeded): // see stop
			if d.stopping() {
				d.listener.Close()
				return nil, net.ErrClosed
			}
		case errors.Is(err, net.ErrClosed):
			return nil, err
		default: // out of descriptors, or the peer left already
			time.Sleep(acceptRetry)
		}
	}
}

// makeRoom waits until there is room for the connection that has come, and has the one that has rested longest make it.
func (d *acceptor) makeRoom() {
	for {
		d.mu.Lock()
		full, left, stopping := len(d.clients) >= d.most, d.left, !d.stopsBy.IsZero()
		var idle *client
		if full {
			idle = d.longestIdle()
		}
		d.mu.Unlock()
		if !full || stopping {
			return
		}
		if idle != nil && idle.hangUp() {
			d.mu.Lock()
			d.shed++
			d.mu.Unlock()
		}
		timer := time.NewTimer(roomWait)
		select {
		case <-left:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// longestIdle finds the connection that has rested longest. The caller holds the lock.
func (d *acceptor) longestIdle() *client {
	var longest *client
	var since time.Time
	now := time.Now()
	for c := range d.clients {
		rests, from := c.resting(now)
		if rests && (longest == nil || from.Before(since)) {
			longest, since = c, from
		}
	}
	return longest
}

func (d *acceptor) admit(conn net.Conn) *client {
	c := &client{Conn: conn, raw: rawOf(conn), state: http.StateNew, since: time.Now()}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.clients[c] = struct{}{}
	return c
}

// note is the server's hook: it follows what the connections do.
func (d *acceptor) note(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*client)
	if !ok {
		return
	}
	c.enter(state)
	if state == http.StateNew || state == http.StateActive {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(d.clients, c)
	}
	close(d.left)
	d.left = make(chan struct{})
}

// stop has the listener close once nobody has come to it for a while.
func (d *acceptor) stop() {
	d.mu.Lock()
	d.stopsBy = time.Now().Add(queueMost)
	listener := d.listener
	d.mu.Unlock()
	if listener != nil && !d.quiet() {
		listener.Close()
	}
}

func (d *acceptor) stopping() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.stopsBy.IsZero()
}

// quiet has a listener that is to close wait anew: an Accept ends by its deadline. False: it cannot wait.
func (d *acceptor) quiet() bool {
	d.mu.Lock()
	by, listener := d.stopsBy, d.listener
	d.mu.Unlock()
	if by.IsZero() {
		return true
	}
	until := time.Now().Add(queueFor)
	if until.After(by) {
		until = by
	}
	l, ok := listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(until) == nil
}

// finish hangs up on all who ask nothing, and waits until every request has its answer or ctx ends. False: some have none.
func (d *acceptor) finish(ctx context.Context) bool {
	for {
		owed, left := d.hangUpIdle()
		if !owed {
			return true
		}
		timer := time.NewTimer(roomWait)
		select {
		case <-left:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}

// hangUpIdle hangs up on connections that rest, and tells whether any connection is left.
func (d *acceptor) hangUpIdle() (owed bool, left <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	for c := range d.clients {
		if rests, _ := c.resting(now); rests {
			c.hangUp()
		}
		owed = true
	}
	return owed, d.left
}

// close closes the listener and every connection.
func (d *acceptor) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ended = true
	if d.listener != nil {
		d.listener.Close()
	}
	for c := range d.clients {
		c.Conn.Close()
	}
}

func (d *acceptor) count() (clients int, shed uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.clients), d.shed
}
