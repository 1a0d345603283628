package emulator

import (
	"net"
	"sync"
	"sync/atomic"
)

// connLimitListener accepts up to maxConns open connections and resets further ones.
type connLimitListener struct {
	net.Listener
	maxConns  int64
	openConns atomic.Int64
}

// Accept returns the next connection that is within the limit.
func (l *connLimitListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.openConns.Add(1) <= l.maxConns {
			return &limitedConn{Conn: conn, openConns: &l.openConns}, nil
		}
		l.openConns.Add(-1)
		reset(conn)
	}
}

// reset closes a connection so that its peer sees a reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // if this fails, the peer sees an orderly close, which is acceptable
	}
	_ = conn.Close()
}

// limitedConn is a connection that counts towards the limit of its listener until it is closed.
type limitedConn struct {
	net.Conn
	openConns *atomic.Int64
	once      sync.Once
}

// Close closes the connection and releases its share of the limit.
func (c *limitedConn) Close() error {
	c.once.Do(func() { c.openConns.Add(-1) })
	return c.Conn.Close()
}
