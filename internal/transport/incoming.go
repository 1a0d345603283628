package transport

import (
	"bufio"
	"errors"
	"net"
	"time"
)

const (
	// helloTimeout bounds the wait for the first frame.
	helloTimeout = 5 * time.Second
	// silenceFactor times the idle time of a sender is how long an accepted connection may say nothing: its sender would
	// have closed it long before.
	silenceFactor = 3
	// readBuffer is the size of the reader's buffer.
	readBuffer = 4 << 10
	// acceptPause is the wait after a failed accept or receive, such as one without a free descriptor.
	acceptPause = 100 * time.Millisecond
)

// incoming is an accepted connection.
type incoming struct {
	mesh     *Mesh
	socket   *net.TCPConn
	from     string
	deadline time.Time
}

// acceptLoop takes connections until the listener closes.
func (m *Mesh) acceptLoop() {
	for {
		socket, err := m.listener.AcceptTCP()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			if !m.rest(acceptPause) {
				return
			}
		default:
			m.accept(socket)
		}
	}
}

// rest waits for a while. It returns false when the mesh closes.
func (m *Mesh) rest(pause time.Duration) bool {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-m.context.Done():
		return false
	case <-timer.C:
		return true
	}
}

// accept starts the reader of a connection unless there are too many.
func (m *Mesh) accept(socket *net.TCPConn) {
	added := &incoming{mesh: m, socket: socket}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.closed || len(m.accepted) >= m.options.MaxAccepted {
		m.meters.refused.Add(1)
		_ = socket.Close()
		return
	}
	m.meters.accepted.Add(1)
	m.accepted[added] = struct{}{}
	m.running.Go(added.run)
}

// run reads frames until the connection ends.
func (c *incoming) run() {
	err := c.read()
	_ = c.socket.Close()
	c.mesh.forget(c)
	if isMalformed(err) {
		c.mesh.malformed(c.socket.RemoteAddr().String(), err)
	}
}

// forget removes a connection that ended.
func (m *Mesh) forget(ended *incoming) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	delete(m.accepted, ended)
	if m.bySender[ended.from] == ended {
		delete(m.bySender, ended.from)
	}
}

// malformed counts and logs bytes that are not of this protocol.
func (m *Mesh) malformed(peer string, err error) {
	m.meters.malformed.Add(1)
	if held, allowed := m.logs.allow(time.Now()); allowed {
		m.options.Logger.Warn("malformed bytes from a peer", "peer", peer, "error", err, "not_logged", held)
	}
}

// read takes the hello, then frames.
func (c *incoming) read() error {
	if err := c.socket.SetReadDeadline(time.Now().Add(helloTimeout)); err != nil {
		return err
	}
	reader := bufio.NewReaderSize(c.socket, readBuffer)
	from, err := readHello(reader)
	if err != nil {
		return err
	}
	c.from = from
	c.mesh.replace(c)
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
		c.mesh.meters.framesReceived.Add(1)
		c.mesh.meters.bytesReceived.Add(uint64(frameHeader + len(received.payload)))
		received, err = decompress(received)
		if err != nil {
			return err
		}
		c.mesh.options.Handler(c.from, received.kind, received.payload)
	}
}

// replace makes a connection the one of its sender, and ends an older one: nothing may arrive from an earlier life.
func (m *Mesh) replace(newest *incoming) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if older := m.bySender[newest.from]; older != nil {
		_ = older.socket.Close()
	}
	m.bySender[newest.from] = newest
}

// extendDeadline moves the read deadline on, but only once a third of it has passed.
func (c *incoming) extendDeadline(now time.Time) error {
	silence := silenceFactor * c.mesh.options.IdleTimeout
	if c.deadline.Sub(now) > silence*2/3 {
		return nil
	}
	c.deadline = now.Add(silence)
	return c.socket.SetReadDeadline(c.deadline)
}
