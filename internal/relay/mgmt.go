package relay

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"time"

	"wallflow/policy"
)

const (
	maxCommandBytes   = 256 // of a command line
	mgmtReadTimeout   = 5 * time.Second
	mgmtWriteTimeout  = time.Second
	mgmtLingerTimeout = 200 * time.Millisecond // for the caller to read its answer
	acceptRetryDelay  = 50 * time.Millisecond
)

// mgmtServer serves the management address for operators: one command line per connection. It shares nothing with the
// client listener and does not wait for the loop, so that it answers even if those are busy.
type mgmtServer struct {
	listener net.Listener
	log      *slog.Logger
	maxConns int                      // limit on open connections
	answer   func(line string) []byte // does not block
	wg       sync.WaitGroup

	mu     sync.Mutex
	conns  []net.Conn // oldest first
	closed bool
}

// reservedDescriptors is how many descriptors the process needs apart from the connections in connLimits: standard files,
// the poller, two listeners, the link to a successor, the write-ahead log with its lock and its replacement file,
// discovery's watch and notices, the fleet's agent, and one client connection that waits for room.
const reservedDescriptors = 24

// minSockets is the smallest descriptor limit with which a relay can run.
const minSockets = 48

// connLimits holds the limit on connections of each kind. Together with reservedDescriptors they stay within the
// process's descriptor limit, so that clients cannot use up the descriptors of the write-ahead log or of discovery.
type connLimits struct{ clients, hosts, mgmt int }

// connLimitsFor divides a descriptor limit among the kinds of connections.
func connLimitsFor(sockets int) connLimits {
	limits := connLimits{mgmt: min(24, max(4, sockets/24))}
	rest := max(2, sockets-reservedDescriptors-limits.mgmt)
	limits.clients = max(1, min(sockets/2, rest*3/5))
	limits.hosts = max(1, min(sockets/3, rest-limits.clients))
	return limits
}

// run serves connections until ctx ends.
func (m *mgmtServer) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, m.close)
	defer stop()
	defer m.wg.Wait()
	for {
		conn, err := m.listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			if err == nil {
				conn.Close()
			}
			return
		}
		if err != nil { // temporary, such as running out of descriptors
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryDelay):
			}
			continue
		}
		if !m.admit(conn) {
			conn.Close()
			return
		}
		m.wg.Add(1)
		go func() {
			defer m.wg.Done()
			m.serve(conn)
			m.remove(conn)
		}()
	}
}

// close closes the listener and all connections.
func (m *mgmtServer) close() {
	m.listener.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	for _, c := range m.conns {
		c.Close()
	}
}

// admit registers a connection. At the limit it closes the oldest one, which has had the most time to send its command. It
// returns false if the server is closed.
func (m *mgmtServer) admit(conn net.Conn) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	if len(m.conns) >= m.maxConns {
		m.conns[0].Close()
		m.conns = append(m.conns[:0], m.conns[1:]...)
	}
	m.conns = append(m.conns, conn)
	return true
}

// remove closes a connection and forgets it.
func (m *mgmtServer) remove(conn net.Conn) {
	conn.Close()
	m.mu.Lock()
	defer m.mu.Unlock()
	for i, c := range m.conns {
		if c == conn {
			m.conns = append(m.conns[:i], m.conns[i+1:]...)
			return
		}
	}
}

// serve reads one command and answers it.
func (m *mgmtServer) serve(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(mgmtReadTimeout))
	in := bufio.NewReaderSize(io.LimitReader(conn, maxCommandBytes), maxCommandBytes)
	line, err := in.ReadString('\n')
	if err != nil && (!errors.Is(err, io.EOF) || line == "") {
		return // the peer sent nothing in time, or has disconnected
	}
	conn.SetDeadline(time.Now().Add(mgmtWriteTimeout))
	if _, err := conn.Write(m.answer(strings.TrimSpace(line))); err != nil {
		m.log.Debug("management answer not written", "err", err)
		return
	}
	// Closing a connection with unread input resets it, and the answer may be lost.
	if half, ok := conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		conn.SetDeadline(time.Now().Add(mgmtLingerTimeout))
		io.CopyN(io.Discard, conn, maxCommandBytes)
	}
}

// handleCommand returns the answer to a command on the management address.
func (r *Relay) handleCommand(line string) []byte {
	yes := false
	switch line {
	case "status":
		yes = r.serving.Load() && r.ready() && !r.handedOver.Load()
	case "stats":
		var b bytes.Buffer
		r.metrics.write(&b)
		b.WriteString("END\n")
		return b.Bytes()
	case "standby":
		yes = r.requestDuty(policy.Standby)
	case "active":
		yes = r.requestDuty(policy.Active)
	}
	if yes {
		return []byte("YES\n")
	}
	return []byte("NO\n")
}

// requestDuty asks the loop to switch to Standby (clients are sent elsewhere) or Active; only the last request counts. It
// returns whether the request will be fulfilled: a process that is ending or has handed its relay over stays in standby.
func (r *Relay) requestDuty(kind policy.EventKind) bool {
	if r.ending.Load() || r.handedOver.Load() {
		return kind == policy.Standby
	}
	for {
		select {
		case r.dutyRequests <- kind:
			return true
		default:
		}
		select {
		case <-r.dutyRequests: // replace a request that the loop has not read yet
		default:
		}
	}
}
