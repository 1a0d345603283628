package relay

import (
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"syscall"
)

// rawOf is a connection's socket; nil if it has none.
func rawOf(conn net.Conn) syscall.RawConn {
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

// readBooked reads from a connection and books what came in one step with the system's handing it over, under mu. Between the two
// another goroutine would take the connection for one on which nothing has come: it would close it over a request, or write a
// request that has its answer in what came before it. Where there is no socket (raw is nil) it is two steps.
func readBooked(conn net.Conn, raw syscall.RawConn, mu *sync.Mutex, b []byte, book func(n int, err error) (int, error)) (n int, err error) {
	if raw == nil {
		n, err := conn.Read(b)
		mu.Lock()
		defer mu.Unlock()
		return book(n, err)
	}
	failed := raw.Read(func(fd uintptr) bool {
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
		n, err = book(n, err)
		return true
	})
	if failed == nil {
		return n, err
	}
	var op *net.OpError
	if errors.As(failed, &op) {
		op.Op = "read" // as of any other read: what follows from it goes by that
	}
	mu.Lock() // its time is up, or it is closed
	defer mu.Unlock()
	return book(0, failed)
}

// pending tells whether something has come on a connection that was not read yet, its end among it.
func pending(raw syscall.RawConn) (came, ended bool) {
	if raw == nil {
		return false, false
	}
	var n int
	err := error(syscall.EAGAIN)
	raw.Control(func(fd uintptr) { // fails where it is closed already: then whatever comes next does
		n, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	if err == syscall.EAGAIN || err == syscall.EINTR {
		return false, false
	}
	return n > 0, n <= 0
}
