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
	mgmtLineMost = 256 // bytes of a call
	mgmtAskFor   = 5 * time.Second
	mgmtAnswerIn = time.Second
	mgmtLinger   = 200 * time.Millisecond // for the caller to take its answer in
	mgmtRetry    = 50 * time.Millisecond
)

// mgmt is the address where operators ask: one line a connection. It shares nothing with the clients' door and asks
// the loop for nothing, so that it answers while they are busy.
type mgmt struct {
	listener net.Listener
	log      *slog.Logger
	most     int                      // connections
	answer   func(line string) []byte // never waits
	wg       sync.WaitGroup

	mu     sync.Mutex
	conns  []net.Conn // the oldest first
	closed bool
}

// ownDescriptors are those that the process needs beside the connections it is asked for: its standard files, the poller, two
// listeners, the link to a successor, the journal with its lock and its new file, discovery's watch and notices, the fleet's
// agent, one client that waits for room.
const ownDescriptors = 24

// leastSockets is how few descriptors a relay can do with: some of each kind.
const leastSockets = 48

// descriptors are the most connections of each kind. Together with the process's own they are within the limit, so that no
// client, however idle, keeps the journal or discovery from a descriptor of theirs.
type descriptors struct{ clients, hosts, mgmt int }

func shares(sockets int) descriptors {
	d := descriptors{mgmt: min(24, max(4, sockets/24))}
	rest := max(2, sockets-ownDescriptors-d.mgmt)
	d.clients = max(1, min(sockets/2, rest*3/5))
	d.hosts = max(1, min(sockets/3, rest-d.clients))
	return d
}

// run answers until ctx ends.
func (g *mgmt) run(ctx context.Context) {
	stop := context.AfterFunc(ctx, g.close)
	defer stop()
	defer g.wg.Wait()
	for {
		conn, err := g.listener.Accept()
		if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
			if err == nil {
				conn.Close()
			}
			return
		}
		if err != nil { // out of descriptors, say: it passes
			select {
			case <-ctx.Done():
			case <-time.After(mgmtRetry):
			}
			continue
		}
		if !g.admit(conn) {
			conn.Close()
			return
		}
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			g.serve(conn)
			g.leave(conn)
		}()
	}
}

// close ends the listener and all connections.
func (g *mgmt) close() {
	g.listener.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = true
	for _, c := range g.conns {
		c.Close()
	}
}

// admit books a connection. A call takes no time to come: where there is no room, the oldest has had the longest to
// make its own, and makes room.
func (g *mgmt) admit(conn net.Conn) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	if len(g.conns) >= g.most {
		g.conns[0].Close()
		g.conns = append(g.conns[:0], g.conns[1:]...)
	}
	g.conns = append(g.conns, conn)
	return true
}

func (g *mgmt) leave(conn net.Conn) {
	conn.Close()
	g.mu.Lock()
	defer g.mu.Unlock()
	for i, c := range g.conns {
		if c == conn {
			g.conns = append(g.conns[:i], g.conns[i+1:]...)
			return
		}
	}
}

// serve reads one call and answers it.
func (g *mgmt) serve(conn net.Conn) {
	conn.SetDeadline(time.Now().Add(mgmtAskFor))
	in := bufio.NewReaderSize(io.LimitReader(conn, mgmtLineMost), mgmtLineMost)
	line, err := in.ReadString('\n')
	if err != nil && (!errors.Is(err, io.EOF) || line == "") {
		return // nobody is there, or no longer
	}
	conn.SetDeadline(time.Now().Add(mgmtAnswerIn))
	if _, err := conn.Write(g.answer(strings.TrimSpace(line))); err != nil {
		g.log.Debug("management answer not taken", "err", err)
		return
	}
	// Closed with input unread, a connection is reset, and its answer may be lost with it.
	if half, ok := conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		conn.SetDeadline(time.Now().Add(mgmtLinger))
		io.CopyN(io.Discard, conn, mgmtLineMost)
	}
}

// manage answers a call on the management address.
func (r *Relay) manage(line string) []byte {
	yes := false
	switch line {
	case "status":
		yes = r.served.Load() && r.ready() && !r.handed.Load()
	case "stats":
		var b bytes.Buffer
		r.figures.write(&b)
		b.WriteString("END\n")
		return b.Bytes()
	case "standby":
		yes = r.wish(policy.Standby)
	case "active":
		yes = r.wish(policy.Active)
	}
	if yes {
		return []byte("YES\n")
	}
	return []byte("NO\n")
}

// wish leaves word for the loop that clients are to be sent elsewhere, or may come again; of several the last counts.
// False if the process ends already, or handed its relay over: neither is undone.
func (r *Relay) wish(k policy.EventKind) bool {
	if r.ending.Load() || r.handed.Load() {
		return k == policy.Standby
	}
	for {
		select {
		case r.wishes <- k:
			return true
		default:
		}
		select {
		case <-r.wishes: // not taken up yet, and out of date
		default:
		}
	}
}
