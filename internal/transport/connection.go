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
	// writeChunk is the number of bytes that one write deadline covers, and the size up to which small frames are joined
	// into one write.
	writeChunk = 64 << 10
	// noKeepAlive disables the keep-alive probes of a socket. They are not needed: a connection may be idle, and is
	// closed after Options.IdleTimeout.
	noKeepAlive = -1
)

// connection is an outgoing connection. The peer never sends on it, so a read returns only when the connection has ended.
type connection struct {
	socket *net.TCPConn
	broken atomic.Bool
}

// dial connects to a destination and sends the hello frame.
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

// setUserTimeout sets TCP_USER_TIMEOUT, so that a peer behind a network partition is noticed.
func (m *Mesh) setUserTimeout(_, _ string, raw syscall.RawConn) error {
	var optionErr error
	err := raw.Control(func(descriptor uintptr) {
		milliseconds := int(m.options.UserTimeout / time.Millisecond)
		optionErr = unix.SetsockoptInt(int(descriptor), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, milliseconds)
	})
	if err != nil {
		return err
	}
	return optionErr
}

// watch waits until a connection ends and marks it broken, so that the restart of a peer is noticed before the next message
// is written.
func (m *Mesh) watch(watched *connection) {
	var unexpected [1]byte
	_, err := watched.socket.Read(unexpected[:])
	watched.broken.Store(true)
	watched.abort()
	if !errors.Is(err, net.ErrClosed) {
		m.counters.peerClosed.Add(1)
	}
}

// write writes all bytes in chunks, each with its own timeout, so that a slow peer that keeps reading is not disconnected.
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

// abort closes the connection and discards data that the kernel has not sent yet, so that no stale data arrives later.
func (c *connection) abort() {
	_ = c.socket.SetLinger(0)
	_ = c.socket.Close()
}

// finish closes the connection gracefully.
func (c *connection) finish() {
	_ = c.socket.Close()
}
