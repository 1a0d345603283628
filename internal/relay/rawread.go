package relay

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// rawConnOf returns the raw socket of a connection, or nil if it has none.
func rawConnOf(conn net.Conn) syscall.RawConn {
	sock, ok := conn.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := sock.SyscallConn()
	if err != nil { // closed already
		return nil
	}
	return raw
}

// readAndRecord reads from a connection and calls record with the result, atomically under mu. If the two were separate,
// another goroutine could see a connection without input in between, and close it although a request had been read, or
// write a request although the bytes just read would be taken for its answer. If raw is nil, because there is no
// socket, the read happens outside mu.
func readAndRecord(conn net.Conn, raw syscall.RawConn, mu *sync.Mutex, b []byte,
	record func(n int, err error) (int, error)) (n int, err error) {
	if raw == nil {
		n, err := conn.Read(b)
		mu.Lock()
		defer mu.Unlock()
		return record(n, err)
	}
	rawErr := raw.Read(func(fd uintptr) bool {
		mu.Lock()
		defer mu.Unlock()
		n, err = syscall.Read(int(fd), b)
		for err == syscall.EINTR {
			n, err = syscall.Read(int(fd), b)
		}
		switch {
		case err == syscall.EAGAIN:
			return false
		case err != nil:
			n, err = 0, &net.OpError{Op: "read", Net: "tcp", Source: conn.LocalAddr(), Addr: conn.RemoteAddr(), Err: os.NewSyscallError("read", err)}
		case n == 0 && len(b) > 0:
			err = io.EOF
		}
		n, err = record(n, err)
		return true
	})
	if rawErr == nil {
		return n, err
	}
	var op *net.OpError
	if errors.As(rawErr, &op) {
		op.Op = "read" // RawConn reports "raw-read"; callers of Read expect "read"
	}
	mu.Lock() // the deadline has passed, or the connection is closed
	defer mu.Unlock()
	return record(0, rawErr)
}

// peekInput reports whether a socket has unread data, and whether the peer has closed it or it has failed.
func peekInput(raw syscall.RawConn) (unread, ended bool) {
	if raw == nil {
		return false, false
	}
	var n int
	err := error(syscall.EAGAIN)
	raw.Control(func(fd uintptr) { // fails if the connection is closed already; the caller's next operation fails too
		n, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err == syscall.EAGAIN || err == syscall.EINTR {
		return false, false
	}
	return n > 0, n <= 0
}
