package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

const (
	readBufferBytes  = 4 << 10
	writeBufferBytes = 4 << 10
	joinBodyBytes    = 16 << 10 // a body up to this is copied behind the head, so that both go out in one write

	headBytesMost  = 64 << 10
	extraBytesMost = 1 << 20 // of an answer to another request, which is skipped
	extraMost      = 2       // such answers before ours
)

var (
	readerPool = sync.Pool{New: func() any { return bufio.NewReaderSize(nil, readBufferBytes) }}
	writerPool = sync.Pool{New: func() any {
		buffer := make([]byte, 0, writeBufferBytes)
		return &buffer
	}}
)

// connection is one connection to an endpoint. It serves one exchange at a time.
type connection struct {
	net.Conn
	raw      syscall.RawConn // nil: it is no socket
	pool     *Pool
	endpoint *endpoint

	kept    bool      // it served an exchange before
	tainted bool      // something odd came on it; it is not used again
	ended   bool      // the endpoint has ended it
	lastID  string    // of its last request
	expires time.Time // it is not used after that while idle

	reader   *bufio.Reader // while it is in use
	headLeft int           // bytes that a head may still have; negative: no head is being read
}

// Read reads for the buffered reader, and bounds heads.
func (c *connection) Read(p []byte) (int, error) {
	if c.headLeft == 0 {
		return 0, errBytesTooMany
	}
	if c.headLeft > 0 && len(p) > c.headLeft {
		p = p[:c.headLeft]
	}
	n, err := c.Conn.Read(p)
	c.ended = c.ended || err == io.EOF
	if c.headLeft > 0 {
		c.headLeft -= n
	}
	return n, err
}

// begin readies the connection for an exchange.
func (c *connection) begin(request *Request) error {
	c.reader = readerPool.Get().(*bufio.Reader)
	c.reader.Reset(c)
	c.lastID = request.ID
	return c.SetDeadline(request.GiveUpAt)
}

// releaseReader hands the read buffer back.
func (c *connection) releaseReader() {
	if c.reader != nil {
		c.reader.Reset(nil)
		readerPool.Put(c.reader)
		c.reader = nil
	}
}

// stale tells whether something can be read on an idle connection: bytes that belong to no request, or its end.
func (c *connection) stale() bool {
	if c.raw == nil {
		return false
	}
	waiting := true
	err := c.raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		waiting = err != syscall.EAGAIN && err != syscall.EINTR
	})
	return err != nil || waiting
}

// send writes the request, in one write where it is small. It returns how many bytes went out.
func (c *connection) send(request *Request) (int64, error) {
	buffer := writerPool.Get().(*[]byte)
	defer func() {
		if cap(*buffer) <= 2*joinBodyBytes {
			writerPool.Put(buffer)
		}
	}()
	head := request.appendHead((*buffer)[:0])
	if len(request.Body) <= joinBodyBytes {
		head = append(head, request.Body...)
		*buffer = head[:0]
		n, err := c.Write(head)
		return int64(n), err
	}
	*buffer = head[:0]
	parts := net.Buffers{head, request.Body}
	return parts.WriteTo(c.Conn)
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, target Target) (net.Conn, error) {
	if p.options.Dial != nil {
		return p.options.Dial(ctx, target.Address)
	}
	dialer := net.Dialer{
		Timeout: dialTimeout(target.DialTimeout),
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, p.options.UserTimeout) },
	}
	return dialer.DialContext(ctx, "tcp4", target.Address)
}

func dialTimeout(wanted time.Duration) time.Duration {
	if wanted <= 0 || wanted > dialMost {
		return dialMost
	}
	return wanted
}

// setUserTimeout bounds how long sent bytes may stay without acknowledgement.
func setUserTimeout(raw syscall.RawConn, timeout time.Duration) error {
	var failed error
	err := raw.Control(func(fd uintptr) {
		failed = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(timeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// tcpUserTimeout is TCP_USER_TIMEOUT, which the syscall package does not name on every platform.
const tcpUserTimeout = 0x12

// rawOf is a connection's socket; nil if it has none.
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

var _ io.Reader = (*connection)(nil)
