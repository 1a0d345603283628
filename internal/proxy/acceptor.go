package proxy

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"wallflow/internal/socket"
)

const (
	// newConnIdleTimeout is how long a new connection may send nothing before it counts as idle.
	newConnIdleTimeout = 500 * time.Millisecond
	// listenerQuietPeriod is how long no connection may arrive before the listener is closed: closing a listener resets the
	// connections that are still in its accept queue.
	listenerQuietPeriod = 20 * time.Millisecond
	// maxListenerDrain bounds the wait for a quiet period when connections keep arriving.
	maxListenerDrain = 500 * time.Millisecond

	// idleCheckInterval is the time between two searches for idle connections to close.
	idleCheckInterval = 100 * time.Millisecond
	// acceptRetryDelay is the pause after Accept has failed.
	acceptRetryDelay = 50 * time.Millisecond
)

// acceptor accepts client connections, bounds their number, and tracks each one until it is closed.
type acceptor struct {
	listener     net.Listener
	maxClients   int
	maxHeadBytes atomic.Int64 // largest request head, of the newest configuration

	mu          sync.Mutex
	clients     map[*client]struct{}
	freed       chan struct{} // closed and replaced whenever a connection ends or becomes idle
	shed        uint64        // idle connections closed because maxClients was reached
	closed      bool          // closeAll was called
	acceptUntil time.Time     // latest time to close the listener; zero while the listener stays open
}

// newAcceptor returns an acceptor for at most maxClients open connections.
func newAcceptor(maxClients int) *acceptor {
	return &acceptor{maxClients: maxClients, clients: map[*client]struct{}{}, freed: make(chan struct{})}
}

// setListener sets the listener for client connections. It returns false if closeAll was already called.
func (a *acceptor) setListener(listener net.Listener) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.listener = listener
	return !a.closed
}

// accept returns the next connection, once the number of open connections is below the limit.
func (a *acceptor) accept() (*client, error) {
	for {
		conn, err := a.listener.Accept()
		switch {
		case err == nil:
			a.waitForCapacity()
			a.extendAcceptDeadline()
			return a.track(conn), nil
		case errors.Is(err, os.ErrDeadlineExceeded): // the deadline that extendAcceptDeadline has set
			if a.stopping() {
				a.listener.Close()
				return nil, net.ErrClosed
			}
		case errors.Is(err, net.ErrClosed):
			return nil, err
		default: // out of file descriptors, or the peer has already disconnected
			time.Sleep(acceptRetryDelay)
		}
	}
}

// waitForCapacity waits until the number of open connections is below the limit. It closes the connection that has been idle
// longest to make room. Once accepting stops, it no longer waits.
func (a *acceptor) waitForCapacity() {
	for {
		a.mu.Lock()
		full, freed, stopping := len(a.clients) >= a.maxClients, a.freed, !a.acceptUntil.IsZero()
		var idle *client
		if full {
			idle = a.longestIdle()
		}
		a.mu.Unlock()
		if !full || stopping {
			return
		}
		if idle != nil && idle.expireIfIdle() {
			a.mu.Lock()
			a.shed++
			a.mu.Unlock()
		}
		timer := time.NewTimer(idleCheckInterval)
		select {
		case <-freed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// longestIdle returns the connection that has been idle longest, or nil if none is idle. The caller holds the lock.
func (a *acceptor) longestIdle() *client {
	var oldest *client
	var oldestSince time.Time
	now := time.Now()
	for c := range a.clients {
		idle, since := c.idleSince(now)
		if idle && (oldest == nil || since.Before(oldestSince)) {
			oldest, oldestSince = c, since
		}
	}
	return oldest
}

// track registers a newly accepted connection.
func (a *acceptor) track(conn net.Conn) *client {
	c := &client{
		Conn: conn, raw: socket.Raw(conn), state: http.StateNew, stateSince: time.Now(),
		head: headLimit{maxBytes: &a.maxHeadBytes},
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.clients[c] = struct{}{}
	return c
}

// connStateChanged is the http.Server ConnState hook.
func (a *acceptor) connStateChanged(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*client)
	if !ok {
		return
	}
	c.setState(state)
	if state == http.StateNew || state == http.StateActive {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if state == http.StateClosed || state == http.StateHijacked {
		delete(a.clients, c)
	}
	close(a.freed)
	a.freed = make(chan struct{})
}

// stopAccepting makes accept close the listener once no connection has arrived for listenerQuietPeriod, or after
// maxListenerDrain at the latest.
func (a *acceptor) stopAccepting() {
	a.mu.Lock()
	a.acceptUntil = time.Now().Add(maxListenerDrain)
	listener := a.listener
	a.mu.Unlock()
	if listener != nil && !a.extendAcceptDeadline() {
		listener.Close()
	}
}

// stopping reports whether stopAccepting was called.
func (a *acceptor) stopping() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !a.acceptUntil.IsZero()
}

// extendAcceptDeadline restarts the quiet period of a listener that is about to close, by setting the deadline of Accept. It
// returns false if the listener does not support deadlines.
func (a *acceptor) extendAcceptDeadline() bool {
	a.mu.Lock()
	latest, listener := a.acceptUntil, a.listener
	a.mu.Unlock()
	if latest.IsZero() {
		return true
	}
	deadline := time.Now().Add(listenerQuietPeriod)
	if deadline.After(latest) {
		deadline = latest
	}
	deadliner, ok := listener.(interface{ SetDeadline(time.Time) error })
	return ok && deadliner.SetDeadline(deadline) == nil
}

// waitForClients closes idle connections until none is open, or until ctx ends. It returns false if connections are still open,
// so that some requests may not have been answered.
func (a *acceptor) waitForClients(ctx context.Context) bool {
	for {
		anyOpen, freed := a.expireIdle()
		if !anyOpen {
			return true
		}
		timer := time.NewTimer(idleCheckInterval)
		select {
		case <-freed:
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return false
		}
		timer.Stop()
	}
}

// expireIdle makes idle connections end, and reports whether any connection is still open. The returned channel is closed when
// one ends or becomes idle.
func (a *acceptor) expireIdle() (anyOpen bool, freed <-chan struct{}) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	for c := range a.clients {
		if idle, _ := c.idleSince(now); idle {
			c.expireIfIdle()
		}
		anyOpen = true
	}
	return anyOpen, a.freed
}

// closeAll closes the listener and all connections at once.
func (a *acceptor) closeAll() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.closed = true
	if a.listener != nil {
		a.listener.Close()
	}
	for c := range a.clients {
		c.Conn.Close()
	}
}

// count returns the number of open connections, and how many idle ones were closed to make room.
func (a *acceptor) count() (clients int, shed uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.clients), a.shed
}
