package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"wallflow/internal/socket"
)

const (
	readBufferBytes    = 4 << 10
	writeBufferBytes   = 4 << 10
	maxInlineBodyBytes = 16 << 10 // bodies up to this size are sent in one write with the head

	maxHeadBytes        = 64 << 10 // of a response
	maxSkippedBytes     = 1 << 20  // a response to another request with a larger body ends the exchange
	maxSkippedResponses = 2        // further responses to other requests end the exchange
)

var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
	writerPool = sync.Pool{New: func() any {
		buffer := make([]byte, 0, writeBufferBytes)
		return &buffer
	}}
)

// connectionNumber identifies a connection within the life of its pool.
type connectionNumber uint64

// connection is a connection to an endpoint. It carries one exchange at a time.
type connection struct {
	net.Conn
	number   connectionNumber
	raw      syscall.RawConn // nil if the connection is not a socket
	pool     *Pool
	endpoint *endpoint

	reused        bool      // an earlier exchange has used it
	tainted       bool      // a response to another request arrived on it, so that it must not be reused
	peerClosed    bool      // the endpoint has closed its side
	lastRequestID string    // id of the last request sent on it
	expiresAt     time.Time // an idle connection is not reused from then on

	reader        *bufio.Reader // nil while the connection is idle
	headBytesLeft int           // bytes that the head may still have; negative while no head is being read
}

// Read reads from the socket for the buffered reader. While a head is being read, it enforces the limit on its size.
func (c *connection) Read(p []byte) (int, error) {
	if c.headBytesLeft == 0 {
		return 0, errHeadTooLong
	}
	if c.headBytesLeft > 0 && len(p) > c.headBytesLeft {
		p = p[:c.headBytesLeft]
	}
	n, err := c.Conn.Read(p)
	c.peerClosed = c.peerClosed || err == io.EOF
	if c.headBytesLeft > 0 {
		c.headBytesLeft -= n
	}
	return n, err
}

// prepare sets up the connection for an exchange.
func (c *connection) prepare(request *Request) error {
	c.reader = readerPool.Get().(*bufio.Reader)
	c.reader.Reset(c)
	c.lastRequestID = request.ID
	request.sentOn = append(request.sentOn, c.number)
	return c.SetDeadline(request.Deadline)
}

// releaseReader returns the read buffer to its pool.
func (c *connection) releaseReader() {
	if c.reader != nil {
		c.reader.Reset(nil)
		readerPool.Put(c.reader)
		c.reader = nil
	}
}

// stale reports whether a read on an idle connection would return at once: the endpoint has closed the connection, or has sent
// bytes that belong to no request.
func (c *connection) stale() bool {
	state := socket.Look(c.raw)
	return state == socket.Readable || state == socket.Closed
}

// send writes the request, with a single write if the body is small. It returns the number of bytes written.
func (c *connection) send(request *Request) (int64, error) {
	buffer := writerPool.Get().(*[]byte)
	defer func() {
		if cap(*buffer) <= 2*maxInlineBodyBytes {
			writerPool.Put(buffer)
		}
	}()
	head := request.appendHead((*buffer)[:0])
	if len(request.Body) <= maxInlineBodyBytes {
		head = append(head, request.Body...)
		*buffer = head[:0]
		n, err := c.Write(head)
		return int64(n), err
	}
	*buffer = head[:0]
	parts := net.Buffers{head, request.Body}
	return parts.WriteTo(c.Conn)
}

// dial opens a connection to the target.
func (p *Pool) dial(ctx context.Context, target Target) (net.Conn, error) {
	if p.options.Dial != nil {
		return p.options.Dial(ctx, target.Address)
	}
	dialer := net.Dialer{
		Timeout: dialTimeout(target.DialTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: tcpKeepAliveIdle, Interval: tcpKeepAliveInterval, Count: tcpKeepAliveProbes,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, p.options.UserTimeout) },
	}
	return dialer.DialContext(ctx, "tcp4", target.Address)
}

// dialTimeout limits the requested timeout to maxDialTimeout, which is also the default.
func dialTimeout(requested time.Duration) time.Duration {
	if requested <= 0 || requested > maxDialTimeout {
		return maxDialTimeout
	}
	return requested
}

// setUserTimeout bounds how long sent bytes may remain unacknowledged before the kernel closes the connection.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var sockoptErr error
	err := raw.Control(func(fd uintptr) {
		sockoptErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return sockoptErr
}

// tcpUserTimeout is TCP_USER_TIMEOUT, which the syscall package does not define on every platform.
const tcpUserTimeout = 0x12

var _ io.Reader = (*connection)(nil)
