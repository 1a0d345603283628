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
	// A connection on which no request came for so long is no client's: a client waits 400 ms for its answer.
	silentFor = 500 * time.Millisecond
	// At the cap there is less time. Clients send as soon as they are connected, some in pieces; who has sent one
	// piece alone is more likely to be none of them than who goes on sending.
	silentGrace = 50 * time.Millisecond
	pieceGrace  = 250 * time.Millisecond
	slowGrace   = time.Second
	// One that stood idle for so long after an answer may be closed at will.
	spareAfter = 2 * time.Second

	doorLogEvery = 10 * time.Second

	sweepEvery = 50 * time.Millisecond
	// queueFor is how long a listener that is about to close goes without a connection first: closed with some in
	// its queue, it would reset them.
	queueFor  = 20 * time.Millisecond
	queueMost = 500 * time.Millisecond // however many come

	// lingerFor is how long a connection that was answered is read on after its end, so that nothing unread resets it and
	// takes the answer along; lingerMost is how much of it.
	lingerFor  = 300 * time.Millisecond
	lingerMost = 1 << 20
)

// door is the listener that clients come through. It holds so many connections at most, as a LimitListener
// does, but anyone may connect and then say nothing: at the cap it closes the connection that has been silent
// longest, so that clients do not wait behind peers that will never ask for anything.
type door struct {
	net.Listener
	log    *slog.Logger
	closed chan struct{}
	once   sync.Once

	mu       sync.Mutex
	most     int
	visits   map[net.Conn]visit
	does     policy.ListenerState // what the module has it do
	sweeping bool                 // a sweep is to come
	left     chan struct{}        // closed and made anew when a connection ends or changes its state
	shed     int                  // closed at the cap since the last line that told so
	loggedAt time.Time

	stopsBy time.Time // the listener closes then at the latest; zero: it does not

	over atomic.Bool // the process ends: no connection is read on
}

// guest is a connection that tells when it was last heard of.
type guest struct {
	net.Conn
	raw  syscall.RawConn // nil: it is no socket
	door *door

	mu       sync.Mutex
	begun    bool      // something of a request has been read since the last answer
	hung     bool      // it was hung up on
	due      time.Time // the server's deadline for reading
	shut     bool      // closed from here: nothing that is read goes to the server any more
	answered bool      // something was written
	left     bool      // the peer has ended its sending
	lingers  bool      // it is read on after its end
	whole    bool      // its request has come, all of it

	heard  atomic.Int64 // Unix time in nanoseconds of its last byte; 0: none has come
	pieces atomic.Int64 // that it sent
	client atomic.Bool  // it has handed a message in
}

// guestKey is the key of a request's context under which its guest stands.
type guestKey struct{}

// wholeRequest notes that all of a hand-in has come: its connection is not to make room for another. False: it has, and the
// hand-in is not to be taken on, since its answer has nowhere to go.
func wholeRequest(ctx context.Context) bool {
	g, ok := ctx.Value(guestKey{}).(*guest)
	if !ok {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.shut {
		return false
	}
	g.whole = true
	g.client.Store(true)
	return true
}

// follow has a server tell the door of its connections, and requests of their guest.
func (d *door) follow(server *http.Server) {
	server.ConnState = d.note
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, guestKey{}, conn)
	}
}

func (g *guest) Read(b []byte) (int, error) {
	return readBooked(g.Conn, g.raw, &g.mu, b, g.took)
}

// took books what was read. Its caller has the lock.
func (g *guest) took(n int, err error) (int, error) {
	switch {
	case g.shut:
		return 0, net.ErrClosed // closed by now: a request on it must not be served
	case n > 0:
		g.heard.Store(time.Now().UnixNano())
		g.pieces.Add(1)
		g.begun = true
		if g.hung { // which is taken back
			g.hung = false
			g.Conn.SetReadDeadline(g.due)
		}
	}
	g.left = g.left || err != nil && !errors.Is(err, os.ErrDeadlineExceeded)
	return n, err
}

// pushOut closes the connection for another, and tells whether it did: not one whose request has come, nor one on which the next
// has begun, nor one on which something waits to be read. What comes from then on is read by nobody.
func (g *guest) pushOut(idle bool) bool {
	g.mu.Lock()
	leave := g.lingers || !g.whole && !(idle && g.begun) && !g.unread()
	g.shut = g.shut || leave
	g.mu.Unlock()
	if leave {
		g.Conn.Close() // waits for a reader, who may wait for the lock
	}
	return leave
}

// Close ends the connection. One that was answered ends its sending first and takes in what still comes, up to a bound: a close
// over bytes that nobody has read would reset it, and take along an answer that is on its way.
func (g *guest) Close() error {
	g.mu.Lock()
	half, can := g.Conn.(interface{ CloseWrite() error })
	lingers := !g.shut && can && g.answered && !g.left && !g.door.over.Load()
	g.shut, g.lingers = true, lingers
	g.mu.Unlock()
	if lingers && half.CloseWrite() == nil {
		g.Conn.SetReadDeadline(time.Now().Add(lingerFor))
		io.Copy(io.Discard, io.LimitReader(g.Conn, lingerMost)) // however it ends
	}
	return g.Conn.Close()
}

// hangUp has the server end the connection, if nothing of a request has come. Closed from here, it would take along what the
// server has read and told nobody of yet: its request would be answered by nobody. With its time up, a read either brings
// something, and then the request is served, or ends the connection.
func (g *guest) hangUp() {
	if g.unread() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.begun && !g.hung {
		g.hung = true
		g.Conn.SetReadDeadline(time.Unix(1, 0))
	}
}

// SetReadDeadline is the server's, and does not undo that the connection was hung up on.
func (g *guest) SetReadDeadline(t time.Time) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.due = t
	if g.hung {
		return nil
	}
	return g.Conn.SetReadDeadline(t)
}

// Write takes an answer. What is read from here on is of the next request, whose first bytes may come before the server has
// done with this one.
func (g *guest) Write(b []byte) (int, error) {
	g.mu.Lock()
	shut := g.shut
	g.begun, g.answered = false, true
	g.mu.Unlock()
	if shut { // the library answers what its handler did not: that must not reach a client whose request is not taken on
		return 0, net.ErrClosed
	}
	return g.Conn.Write(b)
}

// state tells whether something of a request has been read that has no answer yet, whether all of it has, and whether the
// connection is read on after its end.
func (g *guest) state() (begun, whole, lingers bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.begun, g.whole, g.lingers
}

// unread tells whether something has come that was not read yet.
func (g *guest) unread() bool {
	came, _ := pending(g.raw)
	return came
}

// rest notes that the request has its answer.
func (g *guest) rest() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.whole = false
}

// CloseWrite ends the answer and leaves the peer time to take it in, where the connection can.
func (g *guest) CloseWrite() error {
	if half, ok := g.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// visit is the state of a connection, and since when.
type visit struct {
	state http.ConnState
	since time.Time
}

func newDoor(l net.Listener, log *slog.Logger, most int) *door {
	return &door{
		Listener: l, log: log, most: most, closed: make(chan struct{}),
		visits: map[net.Conn]visit{}, left: make(chan struct{}), does: policy.ListenerState{Listen: true, IdleTimeout: -1},
	}
}

// Accept returns the next connection once there is room for it.
func (d *door) Accept() (net.Conn, error) {
	raw, err := d.Listener.Accept()
	if errors.Is(err, os.ErrDeadlineExceeded) { // see stopListening
		d.Close()
		return nil, net.ErrClosed
	}
	if err != nil {
		return nil, err
	}
	d.quiet()
	conn := &guest{Conn: raw, raw: rawOf(raw), door: d}
	for {
		wait, left := d.admit(conn)
		if wait <= 0 {
			return conn, nil
		}
		timer := time.NewTimer(wait)
		select {
		case <-d.closed:
			timer.Stop()
			conn.Close()
			return nil, net.ErrClosed
		case <-left:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// admit books a connection, in the place of a silent one at need. Where there is none it returns how long to
// wait for one, and what tells of a change before that.
func (d *door) admit(conn net.Conn) (wait time.Duration, left <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	if len(d.visits) >= d.most {
		victim, wait := d.mostSilent(now)
		if wait > 0 {
			return wait, d.left
		}
		delete(d.visits, victim)
		d.shed++
		if now.Sub(d.loggedAt) >= doorLogEvery {
			d.log.Warn("client connections at the cap, silent ones closed", "cap", d.most, "closed", d.shed)
			d.shed, d.loggedAt = 0, now
		}
	}
	d.visits[conn] = visit{http.StateNew, now}
	return 0, nil
}

// mostSilent closes one connection: the one that has shown least, and of those the one longest silent.
// Where all are too young or busy it returns how long until one may be old enough.
func (d *door) mostSilent(now time.Time) (victim net.Conn, wait time.Duration) {
	for {
		victim, wait = d.leastLikely(now)
		g, ok := victim.(*guest)
		switch {
		case victim == nil:
			return nil, wait
		case !ok:
			victim.Close()
			return victim, 0
		case g.pushOut(d.visits[victim].state == http.StateIdle):
			return victim, 0
		}
		// More has come and is about to be read: it makes progress.
		g.heard.Store(now.UnixNano())
		g.pieces.Add(1)
	}
}

func (d *door) leastLikely(now time.Time) (victim net.Conn, wait time.Duration) {
	wait = spareAfter
	var worst int
	var since time.Time
	for conn, v := range d.visits {
		rank, due, last := standing(conn, v)
		if rank < 0 {
			continue
		}
		if rest := due - now.Sub(last); rest > 0 {
			wait = min(wait, rest)
			continue
		}
		if victim == nil || rank < worst || rank == worst && last.Before(since) {
			victim, worst, since = conn, rank, last
		}
	}
	if victim != nil {
		wait = 0
	}
	return victim, wait
}

// standing is how likely a connection is to be a client's, from 0, when it last showed that, and how long it is left
// alone after. Negative: it is one's, and busy.
func standing(conn net.Conn, v visit) (rank int, grace time.Duration, last time.Time) {
	g, ok := conn.(*guest)
	var begun, whole, lingers bool
	if ok {
		begun, whole, lingers = g.state()
	}
	switch {
	case lingers:
		return 0, 0, v.since
	case v.state == http.StateIdle && begun:
		return -1, 0, v.since // its next request is being read
	case v.state == http.StateIdle && ok && !g.client.Load():
		return 1, silentGrace, v.since // it asked for health alone, and has its answer
	case v.state == http.StateIdle:
		return 2, spareAfter, v.since
	case v.state != http.StateNew && (!ok || whole):
		return -1, 0, v.since
	case !ok || g.heard.Load() == 0:
		return 0, silentGrace, v.since
	case g.pieces.Load() == 1:
		return 1, pieceGrace, time.Unix(0, g.heard.Load())
	}
	return 3, slowGrace, time.Unix(0, g.heard.Load())
}

// note is the server's hook: it follows what the connections do.
func (d *door) note(conn net.Conn, state http.ConnState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	switch _, here := d.visits[conn]; {
	case !here || state == http.StateNew: // closed at the cap, or booked already
		return
	case state == http.StateClosed || state == http.StateHijacked:
		delete(d.visits, conn)
	default:
		d.visits[conn] = visit{state, time.Now()}
		if g, ok := conn.(*guest); ok && state == http.StateIdle {
			g.rest()
		}
	}
	if state != http.StateActive {
		close(d.left)
		d.left = make(chan struct{})
	}
}

// attend does what the module decided: it ends idle connections, now or as they get older, and stops listening. It
// never waits.
func (d *door) attend(does policy.ListenerState) {
	d.mu.Lock()
	defer d.mu.Unlock()
	closing := d.does.Listen && !does.Listen
	d.does = does
	if closing {
		go d.stopListening()
	}
	d.sweep1()
	if !d.sweeping && does.IdleTimeout >= 0 {
		d.sweeping = true
		time.AfterFunc(sweepEvery, d.sweep)
	}
}

// sweep closes what has become idle, for as long as the module wants that.
func (d *door) sweep() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.sweep1()
	if d.sweeping = d.does.IdleTimeout >= 0 && len(d.visits) > 0; d.sweeping {
		time.AfterFunc(sweepEvery, d.sweep)
	}
}

// sweep1 is one look at all connections. One on which part of a request has come is never idle, whatever the server has told
// of it: it tells once it has read a whole head.
func (d *door) sweep1() {
	if d.does.IdleTimeout < 0 {
		return
	}
	now := time.Now()
	for conn, v := range d.visits {
		least := max(silentFor, d.does.IdleTimeout)
		g, ok := conn.(*guest)
		switch {
		case !ok:
			continue
		case v.state == http.StateIdle:
			least = d.does.IdleTimeout
		case v.state != http.StateNew:
			continue
		}
		if now.Sub(v.since) >= least {
			g.hangUp() // the server tells of its end
		}
	}
}

// stopListening closes the listener once nobody has come to it for a while.
func (d *door) stopListening() {
	d.mu.Lock()
	d.stopsBy = time.Now().Add(queueMost)
	d.mu.Unlock()
	if !d.quiet() {
		d.Close()
	}
}

// quiet has a listener that is to close wait anew: an Accept ends by its deadline. False: it cannot wait.
func (d *door) quiet() bool {
	d.mu.Lock()
	by := d.stopsBy
	d.mu.Unlock()
	if by.IsZero() {
		return true
	}
	until := time.Now().Add(queueFor)
	if until.After(by) {
		until = by
	}
	l, ok := d.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && l.SetDeadline(until) == nil
}

// finish hangs up on all who ask nothing, and waits for so long at most until every request that came whole has its answer.
// From then on connections close at once.
func (d *door) finish(most time.Duration) {
	defer d.over.Store(true)
	end := time.NewTimer(most)
	defer end.Stop()
	for {
		d.mu.Lock()
		owed, left := false, d.left
		for conn, v := range d.visits {
			g, ok := conn.(*guest)
			if !ok {
				continue
			}
			if _, whole, lingers := g.state(); lingers || whole && v.state != http.StateIdle {
				owed = true // its answer, or that this reaches its client
			} else {
				g.hangUp()
			}
		}
		d.mu.Unlock()
		if !owed {
			return
		}
		select {
		case <-left:
		case <-end.C:
			return
		}
	}
}

// allow sets how many connections there may be from here on.
func (d *door) allow(most int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.most = most
}

// count is how many connections there are.
func (d *door) count() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.visits)
}

// Close ends an Accept that waits for room, too.
func (d *door) Close() error {
	d.once.Do(func() { close(d.closed) })
	return d.Listener.Close()
}
