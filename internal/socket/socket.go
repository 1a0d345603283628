// Package socket looks at the state of open connections without reading from them.
package socket

import (
	"net"
	"syscall"
)

// State is what a look at a connection has found.
type State int

// The states of a connection.
const (
	Unknown  State = iota // the connection is not a socket
	Quiet                 // open, and nothing waits to be read
	Readable              // bytes wait to be read
	Closed                // the peer has closed its sending side or reset the connection, or it is closed on this side
)

// Raw returns the raw socket of a connection, or nil if it has none.
func Raw(conn net.Conn) syscall.RawConn {
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

// Look returns the state of a socket as the kernel knows it at this moment. It neither waits nor consumes anything, and may be called
// while another goroutine reads from the connection. While bytes wait to be read, it does not see that the peer has closed behind them.
func Look(raw syscall.RawConn) State {
	if raw == nil {
		return Unknown
	}
	state := Quiet
	err := raw.Control(func(fd uintptr) {
		var probe [1]byte
		n, _, err := syscall.Recvfrom(int(fd), probe[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		switch {
		case n > 0:
			state = Readable
		case err != syscall.EAGAIN && err != syscall.EINTR:
			state = Closed
		}
	})
	if err != nil {
		return Closed
	}
	return state
}
