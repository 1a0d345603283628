package transport

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// writeChunk is how many bytes one write deadline covers, and how far small frames are joined into one write.
	writeChunk = 64 << 10
	// noKeepAlive turns the keep-alive probes of a socket off: silence is fine here.
	noKeepAlive = -1
)

// connection is an outgoing connection. The peer never sends on it, so a read that returns means that it is over.
type connection struct {
	socket *net.TCPConn
	broken atomic.Bool
}

// dial connects to a destination and greets it.
func (m *Mesh) dial(to string) (*connection, error) {
	dialer := net.Dialer{Timeout: m.options.DialTimeout, KeepAlive: noKeepAlive, Control: m.setUserTimeout}
	socket, err := dialer.DialContext(m.context, "tcp4", to)
	if err != nil {
		return nil, err
	}
	opened := &connection{socket: socket.(*net.TCPConn)}
	if err := opened.write(m.hello, m.options.WriteTimeout); err != nil {
		opened.abort()
		return nil, err
	}
	if !m.spawn(func() { m.watch(opened) }) {
		opened.abort()
		return nil, context.Canceled
	}
	return opened, nil
}

// setUserTimeout bounds how long sent bytes may stay unacknowledged, so that a peer behind a cut is noticed.
func (m *Mesh) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var failed error
	err := raw.Control(func(descriptor uintptr) {
		milliseconds := int(m.options.UserTimeout / time.Millisecond)
		failed = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
	if err != nil {
		return err
	}
	return failed
}

// watch waits for the peer's end of a connection, and marks it broken at once: a peer that restarts is noticed before the
// next message is written.
func (m *Mesh) watch(watched *connection) {
	var unexpected [1]byte
	_, err := watched.socket.Read(unexpected[:])
	watched.broken.Store(true)
	watched.abort()
	if !errors.Is(err, net.ErrClosed) {
		m.meters.peerClosed.Add(1)
	}
}

// write writes all bytes in chunks, each within the time-out: a slow peer that reads on is not cut off.
func (c *connection) write(bytes []byte, timeout time.Duration) error {
	for len(bytes) > 0 {
		chunk := bytes[:min(len(bytes), writeChunk)]
		if err := c.socket.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
			return err
		}
		written, err := c.socket.Write(chunk)
		if err != nil {
			return err
		}
		bytes = bytes[written:]
	}
	return nil
}

// abort closes the connection and discards what the kernel still holds, so that no stale byte arrives later.
func (c *connection) abort() {
	_ = c.socket.SetLinger(0)
	_ = c.socket.Close()
}

// finish closes the connection in order, after a rest.
func (c *connection) finish() {
	_ = c.socket.Close()
}
