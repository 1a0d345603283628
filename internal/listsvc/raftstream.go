package listsvc

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"
)

const (
	handshakeTimeout     = 2 * time.Second // for the handshake of a new connection
	maxHandshakeBytes    = 1 << 10         // size of a handshake message in bytes
	maxPendingHandshakes = 64              // connections in their handshake at a time
)

// handshake is the first message on each connection between servers. An address may meanwhile belong to another server or
// cluster, which must not accept raft messages that are meant for the previous one.
type handshake struct {
	Protocol string `json:"wallflow"` // protocol: handshakeProtocol
	Cluster  string `json:"cluster"`
	From     string `json:"from"` // server IDs, as is To
	To       string `json:"to"`
}

const handshakeProtocol = "raft 1"

// handshakeReply is the response to a handshake.
type handshakeReply struct {
	Error string `json:"error,omitempty"`
}

// raftStream is the raft.StreamLayer of a server: it accepts and dials connections with a handshake.
type raftStream struct {
	net.Listener
	log         *slog.Logger
	identity    func() (cluster, id string) // of this server; cluster is empty if it is not a member yet
	dialAddress func(addr string) string    // maps an address to the one to connect to

	lastRejectLog atomic.Int64  // when a rejected connection was last logged, in Unix nanoseconds
	ready         chan net.Conn // connections that completed the handshake
	closed        chan struct{}
	once          sync.Once
	wg            sync.WaitGroup
}

func newRaftStream(l net.Listener, log *slog.Logger, identity func() (string, string), dialAddress func(string) string) *raftStream {
	s := &raftStream{Listener: l, log: log, identity: identity, dialAddress: dialAddress, ready: make(chan net.Conn), closed: make(chan struct{})}
	s.wg.Go(s.acceptConnections)
	return s
}

// Accept returns the next connection that has completed its handshake.
func (s *raftStream) Accept() (net.Conn, error) {
	select {
	case c := <-s.ready:
		return c, nil
	case <-s.closed:
		return nil, net.ErrClosed
	}
}

// Close stops accepting connections. Connections that Accept returned stay open.
func (s *raftStream) Close() error {
	s.once.Do(func() { close(s.closed) })
	err := s.Listener.Close()
	s.wg.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// acceptConnections accepts connections and performs their handshakes until the listener is closed.
func (s *raftStream) acceptConnections() {
	slots := make(chan struct{}, maxPendingHandshakes)
	for {
		c, err := s.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil { // usually out of file descriptors
			select {
			case <-time.After(50 * time.Millisecond):
				continue
			case <-s.closed:
				return
			}
		}
		select {
		case slots <- struct{}{}:
		default:
			c.Close() // too many handshakes at a time; raft will retry
			continue
		}
		s.wg.Go(func() {
			defer func() { <-slots }()
			if err := s.acceptHandshake(c); err != nil {
				if now := time.Now().UnixNano(); now-s.lastRejectLog.Load() > int64(logInterval) {
					s.lastRejectLog.Store(now)
					s.log.Warn("rejected a connection", "from", c.RemoteAddr().String(), "err", err)
				}
				c.Close()
				return
			}
			select {
			case s.ready <- c:
			case <-s.closed:
				c.Close()
			}
		})
	}
}

// readLine decodes one line of JSON. It reads byte by byte, because the bytes after the line belong to raft.
func readLine(c net.Conn, v any) error {
	var text []byte
	buf := make([]byte, 1)
	for len(text) < maxHandshakeBytes {
		if _, err := io.ReadFull(c, buf); err != nil {
			return err
		}
		if buf[0] == '\n' {
			return json.Unmarshal(text, v)
		}
		text = append(text, buf[0])
	}
	return fmt.Errorf("handshake over %d bytes", maxHandshakeBytes)
}

// writeLine encodes v as one line of JSON.
func writeLine(c net.Conn, v any) error {
	w := bufio.NewWriter(c)
	if err := json.NewEncoder(w).Encode(v); err != nil { // includes the line break
		return err
	}
	return w.Flush()
}

// acceptHandshake performs the accepting side of the handshake.
func (s *raftStream) acceptHandshake(c net.Conn) error {
	if err := c.SetDeadline(time.Now().Add(handshakeTimeout)); err != nil {
		return err
	}
	var request handshake
	if err := readLine(c, &request); err != nil {
		return fmt.Errorf("handshake: %w", err)
	}
	cluster, id := s.identity()
	var reason string
	switch {
	case request.Protocol != handshakeProtocol:
		reason = fmt.Sprintf("greeting of form %q, this build speaks %q", request.Protocol, handshakeProtocol)
	case request.To != id:
		reason = fmt.Sprintf("this is server %s, not %s", id, request.To)
	case cluster == "":
		reason = "this server is part of no cluster yet"
	case request.Cluster != cluster:
		reason = fmt.Sprintf("this server is part of cluster %s, not of %s", cluster, request.Cluster)
	}
	if err := writeLine(c, handshakeReply{reason}); err != nil {
		return err
	}
	if reason != "" {
		return errors.New(reason)
	}
	return c.SetDeadline(time.Time{})
}

// dialTarget encodes the ID that the remote server must have and its address as one raft address, for Dial.
func dialTarget(id raft.ServerID, addr raft.ServerAddress) raft.ServerAddress {
	return raft.ServerAddress(string(id) + "@" + string(addr))
}

// Dial connects to a server whose address was made by dialTarget, and performs the handshake.
func (s *raftStream) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	id, addr, ok := strings.Cut(string(to), "@")
	if !ok {
		return nil, fmt.Errorf("server %q: its id is not known", to)
	}
	cluster, ownID := s.identity()
	c, err := net.DialTimeout("tcp", s.dialAddress(addr), timeout)
	if err != nil {
		return nil, err
	}
	err = c.SetDeadline(time.Now().Add(min(timeout, handshakeTimeout)))
	if err == nil {
		err = writeLine(c, handshake{handshakeProtocol, cluster, ownID, id})
	}
	var answer handshakeReply
	if err == nil {
		err = readLine(c, &answer)
	}
	if err == nil && answer.Error != "" {
		err = fmt.Errorf("server at %s: %s", addr, answer.Error)
	}
	if err == nil {
		err = c.SetDeadline(time.Time{})
	}
	if err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}
