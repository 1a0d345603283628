package emulator

import (
	"net"
	"sync"
	"sync/atomic"
)

// boundedListener resets the connections beyond a bound.
type boundedListener struct {
	net.Listener
	most int64
	open atomic.Int64
}

// Accept returns the next connection that is within the bound.
func (l *boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &boundedConn{Conn: conn, open: &l.open}, nil
		}
		l.open.Add(-1)
		reset(conn)
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // without it the peer sees an orderly end: no harm
	}
	_ = conn.Close()
}

type boundedConn struct {
	net.Conn
	open *atomic.Int64
	once sync.Once
}

// Close gives the connection's place free.
func (c *boundedConn) Close() error {
	c.once.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}
