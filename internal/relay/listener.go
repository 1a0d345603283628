package relay

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"wallflow/policy"
)

const (
	// silentTimeout is how long a new connection may go without a request while idle connections are being closed. A
	// client waits only 400 ms for its answer, so a connection that is silent for longer is not a client's.
	silentTimeout = 500 * time.Millisecond
	// With all connections in use there is less time, see evictionRank. Clients send as soon as they are connected, some
	// in several pieces; a peer that has sent only one piece is less likely to be a client than one that keeps sending.
	silentGrace = 50 * time.Millisecond  // nothing received yet
	pieceGrace  = 250 * time.Millisecond // one piece received
	slowGrace   = time.Second            // several pieces received
	// A connection that was idle for this long after an answer may be closed to make room.
	idleGrace = 2 * time.Second

	capLogInterval = 10 * time.Second

	sweepInterval = 50 * time.Millisecond
	// quietTime is how long no connection must arrive before a listener is closed: closing it resets the connections in
	// its accept queue.
	quietTime    = 20 * time.Millisecond
	maxQuietTime = 500 * time.Millisecond // the listener is closed after this long even if connections keep arriving

	// lingerTimeout is how long the relay keeps reading from a connection after closing its own sending half, and
	// maxLingerBytes how much: closing a socket with unread input resets it, and the answer may be lost.
	lingerTimeout  = 300 * time.Millisecond
	maxLingerBytes = 1 << 20
)

// clientListener is the listener for clients. Like netutil.LimitListener it limits the number of open connections. At the
// limit it closes the connection that is least likely to be a client's, so that peers that connect and send nothing do
// not keep clients out.
type clientListener struct {
	net.Listener
	log    *slog.Logger
	closed chan struct{}
	once   sync.Once

	mu             sync.Mutex
	maxConns       int
	conns          map[net.Conn]connState
	state          policy.ListenerState // instructions of the decision module
	sweepScheduled bool                 // a timer for sweep is running
	changed        chan struct{}        // closed and replaced when a connection ends or changes its state
	evicted        int                  // connections closed at the limit since this was last logged
	loggedAt       time.Time

	closeBy time.Time // latest time for the listener to close; zero: it is not closing

	processEnding atomic.Bool // connections close at once, without lingering
}

// clientConn is a connection from a client or another peer. It tracks how much of a request has arrived and when, so that
// the listener can choose a connection to close without losing a request.
type clientConn struct {
	net.Conn
	raw      syscall.RawConn // nil: Conn is not a socket
	listener *clientListener

	mu              sync.Mutex
	requestStarted  bool      // part of a request has been read since the last answer
	hungUp          bool      // hangUp has set a read deadline in the past
	readDeadline    time.Time // the read deadline that the server has set
	closing         bool      // the relay closes it: what is read no longer goes to the server
	answered        bool      // something was written
	peerClosed      bool      // reading has reached the peer's end of the stream, or failed
	lingering       bool      // the rest of the input is read and discarded before the socket closes
	requestComplete bool      // a whole submission has been read and is not answered yet

	lastReceived atomic.Int64 // Unix time of the last received byte in nanoseconds; 0: none yet
	reads        atomic.Int64 // number of reads that returned data
	submitted    atomic.Bool  // it has submitted a message
}

// clientConnKey is the context key of a request's clientConn.
type clientConnKey struct{}

// markRequestComplete notes that a submission has been read completely, so that its connection is not closed to make room
// for another. It returns false if that has already happened: the submission must not be accepted, because its answer
// could not be delivered.
func markRequestComplete(ctx context.Context) bool {
	c, ok := ctx.Value(clientConnKey{}).(*clientConn)
	if !ok {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.requestComplete = true
	c.submitted.Store(true)
	return true
}

// trackServer makes a server report its connection states to the listener, and puts the clientConn into the context of
// each request.
func (cl *clientListener) trackServer(server *http.Server) {
	server.ConnState = cl.connStateChanged
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, clientConnKey{}, conn)
	}
}

func (c *clientConn) Read(b []byte) (int, error) {
	return readAndRecord(c.Conn, c.raw, &c.mu, b, c.recordRead)
}

// recordRead records the result of a read. The caller holds the lock.
func (c *clientConn) recordRead(n int, err error) (int, error) {
	switch {
	case c.closing:
		return 0, net.ErrClosed // a request on a connection that is being closed must not be served
	case n > 0:
		c.lastReceived.Store(time.Now().UnixNano())
		c.reads.Add(1)
		c.requestStarted = true
		if c.hungUp { // a request arrived after all: undo it
			c.hungUp = false
			c.Conn.SetReadDeadline(c.readDeadline)
		}
	}
	c.peerClosed = c.peerClosed || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// evict closes the connection to make room for another, and reports whether it did. It does not close a connection with a
// complete request, an idle one (idle is the server's view) on which the next request has started, or one with unread
// input. Nothing that arrives afterwards is read.
func (c *clientConn) evict(idle bool) bool {
	c.mu.Lock()
	evicted := c.lingering || !c.requestComplete && !(idle && c.requestStarted) && !c.hasUnread()
	c.closing = c.closing || evicted
	c.mu.Unlock()
	if evicted {
		c.Conn.Close() // outside the lock: it waits for a reader, which may wait for the lock
	}
	return evicted
}

// Close closes the connection. After an answer it first closes the sending half and discards further input, within limits:
// closing a socket with unread input resets it, and an answer on its way would be lost.
func (c *clientConn) Close() error {
	c.mu.Lock()
	half, halfCloses := c.Conn.(interface{ CloseWrite() error })
	lingering := !c.closing && halfCloses && c.answered && !c.peerClosed && !c.listener.processEnding.Load()
	c.closing, c.lingering = true, lingering
	c.mu.Unlock()
	if lingering && half.CloseWrite() == nil {
		c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		io.Copy(io.Discard, io.LimitReader(c.Conn, maxLingerBytes)) // errors do not matter here
	}
	return c.Conn.Close()
}

// hangUp makes the server close the connection unless part of a request has arrived. It sets a read deadline in the past:
// the server's next read either returns data, and the request is served, or fails, and the server closes the connection.
// Closing the connection here could drop a request that the server has read but not reported yet.
func (c *clientConn) hangUp() {
	if c.hasUnread() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.requestStarted && !c.hungUp {
		c.hungUp = true
		c.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// SetReadDeadline is called by the server. It does not undo hangUp.
func (c *clientConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeadline = t
	if c.hungUp {
		return nil
	}
	return c.Conn.SetReadDeadline(t)
}

// Write writes part of an answer. Input that is read from now on belongs to the next request, whose first bytes may arrive
// before the server has finished with the current one.
func (c *clientConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	closing := c.closing
	c.requestStarted, c.answered = false, true
	c.mu.Unlock()
	if closing { // net/http answers 200 for a handler that wrote nothing: the client would take its message for accepted
		return 0, net.ErrClosed
	}
	return c.Conn.Write(b)
}

// requestState reports whether part of an unanswered request has been read, whether a whole submission has been read, and
// whether the connection is lingering after its end.
func (c *clientConn) requestState() (started, complete, lingering bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.requestStarted, c.requestComplete, c.lingering
}

// hasUnread reports whether the socket has input that was not read yet.
func (c *clientConn) hasUnread() bool {
	unread, _ := peekInput(c.raw)
	return unread
}

// markAnswered notes that the request has been answered.
func (c *clientConn) markAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requestComplete = false
}

// CloseWrite closes the sending half, if the connection supports that, so that the peer has time to read the answer.
func (c *clientConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// connState is the server's state of a connection and the time when it was entered.
type connState struct {
	state http.ConnState
	since time.Time
}

func newClientListener(l net.Listener, log *slog.Logger, maxConns int) *clientListener {
	return &clientListener{
		Listener: l, log: log, maxConns: maxConns, closed: make(chan struct{}),
		conns: map[net.Conn]connState{}, changed: make(chan struct{}), state: policy.ListenerState{Listen: true, IdleTimeout: -1},
	}
}

// Accept returns the next connection once there is room for it. At the limit it closes another connection, or waits until
// one ends or may be closed.
func (cl *clientListener) Accept() (net.Conn, error) {
	raw, err := cl.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) { // see stopListening
		cl.Close()
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, err
	}
	cl.extendQuietTime()
	conn := &clientConn{Conn: raw, raw: rawConnOf(raw), listener: cl}
	for {
		wait, changed := cl.admit(conn)
		if wait <= 0 {
			return conn, nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-cl.closed:
			timer.Stop()
			conn.Close()
			return nil, net.ErrClosed
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// admit registers a connection, closing another one if the limit is reached. If none may be closed yet, it returns how
// long to wait before the next try, and a channel that is closed if connections change before that.
func (cl *clientListener) admit(conn net.Conn) (wait time.Duration, changed <-chan struct{}) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	now := time.Now()
	if len(cl.conns) >= cl.maxConns {
		victim, wait := cl.evictOne(now)
		if wait > 0 {
			return wait, cl.changed
		}
		delete(cl.conns, victim)
		cl.evicted++
		if now.Sub(cl.loggedAt) >= capLogInterval {
			cl.log.Warn("client connections at the limit, silent ones closed", "cap", cl.maxConns, "closed", cl.evicted)
			cl.evicted, cl.loggedAt = 0, now
		}
	}
	cl.conns[conn] = connState{http.StateNew, now}
	return 0, nil
}

// evictOne closes the connection that is least likely to be a client's. If all are busy or within their grace period, it
// returns how long to wait until one may be closed.
func (cl *clientListener) evictOne(now time.Time) (victim net.Conn, wait time.Duration) {
	for {
		victim, wait = cl.evictionCandidate(now)
		c, ok := victim.(*clientConn)
		switch {
		case victim == nil:
			return nil, wait
		case !ok:
			victim.Close()
			return victim, 0
		case c.evict(cl.conns[victim].state == http.StateIdle):
			return victim, 0
		}
		// Input has arrived and is about to be read: the connection makes progress.
		c.lastReceived.Store(now.UnixNano())
		c.reads.Add(1)
	}
}

// evictionCandidate returns the connection with the lowest rank among those past their grace period, and of equal ranks
// the one that has been silent longest. If there is none, it returns how long to wait.
func (cl *clientListener) evictionCandidate(now time.Time) (victim net.Conn, wait time.Duration) {
	wait = idleGrace
	var lowestRank int
	var lowestLast time.Time
	for conn, v := range cl.conns {
		rank, grace, last := evictionRank(conn, v)
		if rank < 0 {
			continue
		}
		if rest := grace - now.Sub(last); rest > 0 {
			wait = min(wait, rest)
			continue
		}
		if victim == nil || rank < lowestRank || rank == lowestRank && last.Before(lowestLast) {
			victim, lowestRank, lowestLast = conn, rank, last
		}
	}
	if victim != nil {
		wait = 0
	}
	return victim, wait
}

// evictionRank estimates how likely a connection is to be a client's: 0 is the least likely, and a negative rank means
// that the connection is busy and must not be closed. last is when it last made progress, and grace how long it is safe
// after that.
func evictionRank(conn net.Conn, v connState) (rank int, grace time.Duration, last time.Time) {
	c, ok := conn.(*clientConn)
	var started, complete, lingering bool
	if ok {
		started, complete, lingering = c.requestState()
	}
	switch {
	case lingering:
		return 0, 0, v.since
	case v.state == http.StateIdle && started:
		return -1, 0, v.since // the next request is being read
	case v.state == http.StateIdle && ok && !c.submitted.Load():
		return 1, silentGrace, v.since // it has only made a health check, which is answered
	case v.state == http.StateIdle:
		return 2, idleGrace, v.since
	case v.state != http.StateNew && (!ok || complete):
		return -1, 0, v.since
	case !ok || c.lastReceived.Load() == 0:
		return 0, silentGrace, v.since
	case c.reads.Load() == 1:
		return 1, pieceGrace, time.Unix(0, c.lastReceived.Load())
	}
	return 3, slowGrace, time.Unix(0, c.lastReceived.Load())
}

// connStateChanged is the server's ConnState hook.
func (cl *clientListener) connStateChanged(conn net.Conn, state http.ConnState) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	switch _, tracked := cl.conns[conn]; {
	case !tracked || state == http.StateNew: // already evicted, or registered by admit
		return
	case state == http.StateClosed || state == http.StateHijacked:
		delete(cl.conns, conn)
	default:
		cl.conns[conn] = connState{state, time.Now()}
		if c, ok := conn.(*clientConn); ok && state == http.StateIdle {
			c.markAnswered()
		}
	}
	if state != http.StateActive {
		close(cl.changed)
		cl.changed = make(chan struct{})
	}
}

// applyState applies the decision module's instructions: it closes idle connections, now or once they are old enough, and
// stops listening. It does not block.
func (cl *clientListener) applyState(state policy.ListenerState) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	stopping := cl.state.Listen && !state.Listen
	cl.state = state
	if stopping {
		go cl.stopListening()
	}
	cl.sweepLocked()
	if !cl.sweepScheduled && state.IdleTimeout >= 0 {
		cl.sweepScheduled = true
		time.AfterFunc(sweepInterval, cl.sweep)
	}
}

// sweep closes connections that have become idle, and schedules itself for as long as the decision module asks for that.
func (cl *clientListener) sweep() {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.sweepLocked()
	if cl.sweepScheduled = cl.state.IdleTimeout >= 0 && len(cl.conns) > 0; cl.sweepScheduled {
		time.AfterFunc(sweepInterval, cl.sweep)
	}
}

// sweepLocked hangs up on all connections that have been idle for long enough. The caller holds the lock. A connection on
// which part of a request has arrived is not idle, even if the server still says so: it reports a request only once it
// has read the whole header.
func (cl *clientListener) sweepLocked() {
	if cl.state.IdleTimeout < 0 {
		return
	}
	now := time.Now()
	for conn, v := range cl.conns {
		minAge := max(silentTimeout, cl.state.IdleTimeout)
		c, ok := conn.(*clientConn)
		switch {
		case !ok:
			continue
		case v.state == http.StateIdle:
			minAge = cl.state.IdleTimeout
		case v.state != http.StateNew:
			continue
		}
		if now.Sub(v.since) >= minAge {
			c.hangUp() // connStateChanged is called when the server has closed it
		}
	}
}

// stopListening closes the listener once no connection has arrived for quietTime.
func (cl *clientListener) stopListening() {
	cl.mu.Lock()
	cl.closeBy = time.Now().Add(maxQuietTime)
	cl.mu.Unlock()
	if !cl.extendQuietTime() {
		cl.Close()
	}
}

// extendQuietTime restarts the quiet time of a listener that is about to close, by a deadline for Accept. It returns false
// if the listener has no deadlines.
func (cl *clientListener) extendQuietTime() bool {
	cl.mu.Lock()
	closeBy := cl.closeBy
	cl.mu.Unlock()
	if closeBy.IsZero() {
		return true
	}
	deadline := time.Now().Add(quietTime)
	if deadline.After(closeBy) {
		deadline = closeBy
	}
	l, ok := cl.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(deadline) == nil
}

// finish hangs up on all connections without a complete submission, and waits until every complete one is answered, or
// for timeout. From then on connections close without lingering.
func (cl *clientListener) finish(timeout time.Duration) {
	defer cl.processEnding.Store(true)
	end := time.NewTimer(timeout)
	defer end.Stop()
	for {
		cl.mu.Lock()
		pending, changed := false, cl.changed
		for conn, v := range cl.conns {
			c, ok := conn.(*clientConn)
			if !ok {
				continue
			}
			if _, complete, lingering := c.requestState(); lingering || complete && v.state != http.StateIdle {
				pending = true // it still needs its answer, or time for the answer to reach the client
			} else {
				c.hangUp()
			}
		}
		cl.mu.Unlock()
		if !pending {
			return
		}
		select {
		case <-changed:
		case <-end.C:
			return
		}
	}
}

// setMaxConns sets the limit on open connections.
func (cl *clientListener) setMaxConns(maxConns int) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	cl.maxConns = maxConns
}

// count returns the number of open connections.
func (cl *clientListener) count() int {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return len(cl.conns)
}

// Close closes the listener. It also ends an Accept that waits for room.
func (cl *clientListener) Close() error {
	cl.once.Do(func() { close(cl.closed) })
	return cl.Listener.Close()
}
