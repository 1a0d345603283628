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
	greetFor   = 2 * time.Second // for both to say who they are
	greetMost  = 1 << 10         // bytes of a greeting
	greetersAt = 64              // connections that greet at one time
)

// greeting begins each connection between servers. An address may be another server's by now, or another cluster's: what
// raft says to one must not be taken for words to the other.
type greeting struct {
	Wallflow string `json:"wallflow"` // "raft 1"
	Cluster  string `json:"cluster"`
	From     string `json:"from"` // ids
	To       string `json:"to"`
}

const greetingForm = "raft 1"

// greeted is the answer to a greeting.
type greeted struct {
	Error string `json:"error,omitempty"`
}

// stream carries raft's connections.
type stream struct {
	net.Listener
	log  *slog.Logger
	self func() (cluster, id string) // who this server is; cluster empty: part of none yet
	via  func(addr string) string    // where to connect in place of an address

	said  atomic.Int64 // when somebody was turned away, as the log has it
	ready chan net.Conn
	over  chan struct{}
	once  sync.Once
	wg    sync.WaitGroup
}

func newStream(l net.Listener, log *slog.Logger, self func() (string, string), via func(string) string) *stream {
	s := &stream{Listener: l, log: log, self: self, via: via, ready: make(chan net.Conn), over: make(chan struct{})}
	s.wg.Go(s.greetAll)
	return s
}

// Accept returns a connection whose far side has said who it is.
func (s *stream) Accept() (net.Conn, error) {
	select {
	case c := <-s.ready:
		return c, nil
	case <-s.over:
		return nil, net.ErrClosed
	}
}

// Close ends the stream; connections that were handed out are their users' own.
func (s *stream) Close() error {
	s.once.Do(func() { close(s.over) })
	err := s.Listener.Close()
	s.wg.Wait()
	if errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

func (s *stream) greetAll() {
	room := make(chan struct{}, greetersAt)
	for {
		c, err := s.Listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		} else if err != nil { // no descriptors left, most of all
			select {
			case <-time.After(50 * time.Millisecond):
				continue
			case <-s.over:
				return
			}
		}
		select {
		case room <- struct{}{}:
		default:
			c.Close() // whoever means it comes again
			continue
		}
		s.wg.Go(func() {
			defer func() { <-room }()
			if err := s.welcome(c); err != nil {
				if now := time.Now().UnixNano(); now-s.said.Load() > int64(sayEach) {
					s.said.Store(now)
					s.log.Warn("turned away a connection", "from", c.RemoteAddr().String(), "err", err)
				}
				c.Close()
				return
			}
			select {
			case s.ready <- c:
			case <-s.over:
				c.Close()
			}
		})
	}
}

// line reads one line, byte by byte: what follows it belongs to raft.
func line(c net.Conn, v any) error {
	var text []byte
	one := make([]byte, 1)
	for len(text) < greetMost {
		if _, err := io.ReadFull(c, one); err != nil {
			return err
		}
		if one[0] == '\n' {
			return json.Unmarshal(text, v)
		}
		text = append(text, one[0])
	}
	return fmt.Errorf("a greeting of over %d bytes", greetMost)
}

func say(c net.Conn, v any) error {
	w := bufio.NewWriter(c)
	if err := json.NewEncoder(w).Encode(v); err != nil { // with its line's end
		return err
	}
	return w.Flush()
}

func (s *stream) welcome(c net.Conn) error {
	if err := c.SetDeadline(time.Now().Add(greetFor)); err != nil {
		return err
	}
	var g greeting
	if err := line(c, &g); err != nil {
		return fmt.Errorf("greeting: %w", err)
	}
	cluster, id := s.self()
	var why string
	switch {
	case g.Wallflow != greetingForm:
		why = fmt.Sprintf("greeting of form %q, this build speaks %q", g.Wallflow, greetingForm)
	case g.To != id:
		why = fmt.Sprintf("this is server %s, not %s", id, g.To)
	case cluster == "":
		why = "this server is part of no cluster yet"
	case g.Cluster != cluster:
		why = fmt.Sprintf("this server is part of cluster %s, not of %s", cluster, g.Cluster)
	}
	if err := say(c, greeted{why}); err != nil {
		return err
	}
	if why != "" {
		return errors.New(why)
	}
	return c.SetDeadline(time.Time{})
}

// target is where raft connects to: an id, which the far side has to have, and an address.
func target(id raft.ServerID, addr raft.ServerAddress) raft.ServerAddress {
	return raft.ServerAddress(string(id) + "@" + string(addr))
}

// Dial connects to a server.
func (s *stream) Dial(to raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	id, addr, ok := strings.Cut(string(to), "@")
	if !ok {
		return nil, fmt.Errorf("server %q: its id is not known", to)
	}
	cluster, self := s.self()
	c, err := net.DialTimeout("tcp", s.via(addr), timeout)
	if err != nil {
		return nil, err
	}
	err = c.SetDeadline(time.Now().Add(min(timeout, greetFor)))
	if err == nil {
		err = say(c, greeting{greetingForm, cluster, self, id})
	}
	var answer greeted
	if err == nil {
		err = line(c, &answer)
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
