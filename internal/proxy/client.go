package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// lingerFor is how long a connection that was answered is read on after its end when something unread is on it: a close
	// would reset it and take the answer along. lingerMost is how much is read.
	lingerFor  = 300 * time.Millisecond
	lingerMost = 1 << 20
)

// client is a connection of a client. It knows whether a part of a request was read that has no answer yet, so that it is
// closed for its idleness only when no request is on it.
type client struct {
	net.Conn
	raw syscall.RawConn // nil: it is no socket

	mu       sync.Mutex
	state    http.ConnState
	since    time.Time // it is in that state
	begun    bool      // something of a request was read
	whole    bool      // the request was read, all of it
	early    bool      // something of the next request was read, before this one's answer
	answered bool      // something was written
	hung     bool      // it was hung up on
	due      time.Time // the server's deadline for reading
}

// clientKey is the key of a request's context under which its client stands.
type clientKey struct{}

func withClient(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientKey{}, conn)
}

// requestRead notes that the whole request has been read: what comes next is of another one.
func requestRead(ctx context.Context) {
	c, ok := ctx.Value(clientKey{}).(*client)
	if !ok {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.whole = true
}

// Read reads for the server. What comes takes back that the connection was hung up on.
func (c *client) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.takeBack() {
		n, err = c.Conn.Read(p)
	}
	if n > 0 {
		c.took()
	}
	return n, err
}

// takeBack undoes a hang-up that crossed with bytes of a request.
func (c *client) takeBack() bool {
	if !c.unread() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.hung {
		return false
	}
	c.hung = false
	return c.Conn.SetReadDeadline(c.due) == nil
}

// took notes that bytes were read.
func (c *client) took() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.whole {
		c.early = true
	} else {
		c.begun = true
	}
	if c.hung {
		c.hung = false
		c.Conn.SetReadDeadline(c.due)
	}
}

// Write writes an answer.
func (c *client) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.answered = true
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// SetReadDeadline is the server's, and does not undo that the connection was hung up on.
func (c *client) SetReadDeadline(at time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due = at
	if c.hung {
		return nil
	}
	return c.Conn.SetReadDeadline(at)
}

// enter notes a change of state.
func (c *client) enter(state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.state, c.since = state, time.Now()
	if state == http.StateIdle {
		c.begun, c.early, c.whole = c.early, false, false
	}
}

// resting tells whether no request is on the connection, as far as was read, and since when.
func (c *client) resting(now time.Time) (rests bool, since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.begun || c.hung:
		return false, c.since
	case c.state == http.StateIdle:
		return true, c.since
	}
	return c.state == http.StateNew && now.Sub(c.since) >= silentFor, c.since
}

// hangUp has the server end the connection if nothing of a request has come. With its time up, a read either brings something,
// and then the request is served, or ends the connection. It tells whether that is so.
func (c *client) hangUp() bool {
	if c.unread() {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun || c.hung || c.state == http.StateActive {
		return false
	}
	c.hung = true
	c.Conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// unread tells whether bytes have come that were not read yet.
func (c *client) unread() bool {
	if c.raw == nil {
		return false
	}
	var n int
	c.raw.Control(func(fd uintptr) { // fails where it is closed already: then nothing is unread
		var one [1]byte
		n, _, _ = syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n > 0
}

// Close ends the connection. After an answer, with bytes unread, it ends its sending first and takes in what still comes, up to a
// bound. A connection that rested is closed as it is: a request that comes just then must not be read to no end.
func (c *client) Close() error {
	c.mu.Lock()
	answered := c.answered && c.state == http.StateActive && !c.hung
	c.mu.Unlock()
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && answered && c.unread() && half.CloseWrite() == nil {
		c.Conn.SetReadDeadline(time.Now().Add(lingerFor))
		io.Copy(io.Discard, io.LimitReader(c.Conn, lingerMost)) // however it ends
	}
	return c.Conn.Close()
}

// CloseWrite ends the answer and leaves the peer time to take it in, where the connection can.
func (c *client) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

func rawOf(conn net.Conn) syscall.RawConn {
	socket, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return nil
	}
	return raw
}
