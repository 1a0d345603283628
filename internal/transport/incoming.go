package transport

import (
	"bufio"
	"errors"
	"net"
	"time"
)

const (
	// helloTimeout bounds the wait for the hello frame.
	helloTimeout = 5 * time.Second
	// readTimeoutFactor is the read timeout of an accepted connection as a multiple of Options.IdleTimeout. A sender closes an
	// idle connection long before that.
	readTimeoutFactor = 3
	// readBufferSize is the size of the read buffer of a connection in bytes.
	readBufferSize = 4 << 10
	// acceptRetryDelay is the delay after a failed accept or receive, for example when no file descriptor is free.
	acceptRetryDelay = 100 * time.Millisecond
)

// incoming is an accepted connection, on which one peer sends.
type incoming struct {
	mesh     *Mesh
	socket   *net.TCPConn
	sender   string    // internal address of the peer, from its hello frame
	deadline time.Time // current read deadline
}

// acceptLoop accepts connections until the listener is closed.
func (m *Mesh) acceptLoop() {
	for {
		socket, err := m.listener.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			if !m.sleep(acceptRetryDelay) {
				return
			}
		default:
			m.accept(socket)
		}
	}
}

// sleep waits for a duration. It returns false if the mesh closes.
func (m *Mesh) sleep(duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-m.context.Done():
		return false
	case <-timer.C:
		return true
	}
}

// accept starts the reader of a connection, or closes it if there are too many.
func (m *Mesh) accept(socket *net.TCPConn) {
	connection := &incoming{mesh: m, socket: socket}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.closed || len(m.accepted) >= m.options.MaxAccepted {
		m.counters.refused.Add(1)
		_ = socket.Close()
		return
	}
	m.counters.accepted.Add(1)
	m.accepted[connection] = struct{}{}
	m.goroutines.Go(connection.run)
}

// run reads frames until the connection ends.
func (c *incoming) run() {
	err := c.read()
	_ = c.socket.Close()
	c.mesh.removeIncoming(c)
	if isMalformed(err) {
		c.mesh.reportMalformed(c.socket.RemoteAddr().String(), err)
	}
}

// removeIncoming removes a connection that has ended.
func (m *Mesh) removeIncoming(ended *incoming) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.accepted, ended)
	if m.bySender[ended.sender] == ended {
		delete(m.bySender, ended.sender)
	}
}

// reportMalformed counts and logs a protocol violation.
func (m *Mesh) reportMalformed(peer string, err error) {
	m.counters.malformed.Add(1)
	if suppressed, allowed := m.malformedLog.allow(time.Now()); allowed {
		m.options.Logger.Warn("malformed data from a peer", "peer", peer, "error", err, "not_logged", suppressed)
	}
}

// read reads the hello frame and then passes frames to the handler.
func (c *incoming) read() error {
	if err := c.socket.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	reader := bufio.NewReaderSize(c.socket, readBufferSize)
	sender, err := readHello(reader)
	if err != nil {
		return err
	}
	c.sender = sender
	c.mesh.replaceIncoming(c)
	for {
		if err := c.extendDeadline(time.Now()); err != nil {
			return err
		}
		received, err := readFrame(reader, MaxFrame)
		if err != nil {
			return err
		}
		if received.kind == kindHello {
			return &FrameError{Reason: "second hello"}
		}
		c.mesh.counters.framesReceived.Add(1)
		c.mesh.counters.bytesReceived.Add(uint64(frameHeaderSize + len(received.payload)))
		received, err = decompress(received)
		if err != nil {
			return err
		}
		c.mesh.options.Handler(c.sender, received.kind, received.payload)
	}
}

// replaceIncoming makes a connection the current one of its sender and closes the previous one, so that no message of a
// previous process at that address arrives later.
func (m *Mesh) replaceIncoming(newest *incoming) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if older := m.bySender[newest.sender]; older != nil {
		_ = older.socket.Close()
	}
	m.bySender[newest.sender] = newest
}

// extendDeadline extends the read deadline, but only after a third of it has passed, to save system calls.
func (c *incoming) extendDeadline(now time.Time) error {
	timeout := readTimeoutFactor * c.mesh.options.IdleTimeout
	if c.deadline.Sub(now) > timeout*2/3 {
		return nil
	}
	c.deadline = now.Add(timeout)
	return c.socket.SetReadDeadline(c.deadline)
}
