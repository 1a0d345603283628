package stand

import (
	"context"
	"net"
	"sync"
	"time"
)

// unusedConnTimeout is how long a client keeps a connection on which it has sent nothing. A relay ends such connections somewhat later, and
// a message that is sent at that moment gets no answer.
const unusedConnTimeout = time.Second

// dialFunc dials as net.Dialer.DialContext does.
type dialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// closingUnused returns a dialFunc whose connections close unless something is sent on them within unusedConnTimeout. net/http keeps
// connections that it has dialled for a request and did not use, since another one became free first.
func closingUnused(dial dialFunc) dialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		c := &unusedConn{Conn: conn}
		c.expiry = time.AfterFunc(unusedConnTimeout, c.expire)
		return c, nil
	}
}

// unusedConn is a connection that closes unless something is sent on it in time.
type unusedConn struct {
	net.Conn
	expiry *time.Timer

	mu   sync.Mutex
	used bool // something was sent
}

// Write implements net.Conn.
func (c *unusedConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if !c.used {
		c.used = true
		c.expiry.Stop()
	}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// Close implements net.Conn.
func (c *unusedConn) Close() error {
	c.expiry.Stop()
	return c.Conn.Close()
}

// expire closes the connection if nothing was sent. net/http then sends on another one.
func (c *unusedConn) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.used {
		c.Conn.Close()
	}
}
