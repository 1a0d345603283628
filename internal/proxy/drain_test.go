package proxy

import (
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/config"
)

// gate is an endpoint that answers once it is told to.
func gate(open <-chan bool) does {
	return func(conn *net.TCPConn, request received) bool {
		<-open
		return replies(http.StatusOK, "ok", "")(conn, request)
	}
}

// awaitDraining waits until answers tell that the relay stops: until then nothing that follows would be a test of that.
func (b *bed) awaitDraining() {
	b.t.Helper()
	b.until(b.server.draining.Load)
}

// until waits for something that another goroutine brings about.
func (b *bed) until(holds func() bool) {
	b.t.Helper()
	limit := time.NewTimer(testTime)
	defer limit.Stop()
	tick := time.NewTicker(time.Millisecond)
	defer tick.Stop()
	for !holds() {
		select {
		case <-tick.C:
		case <-limit.C:
			b.t.Fatal("it never came")
		}
	}
}

func TestStopWithRequestsAtEveryStage(t *testing.T) {
	open := make(chan bool)
	e := newStandIn(t, "i-1", gate(open))
	b := newBed(t, documentFor(config.KindUnsafe, nil), newScript(e), nil)

	read := b.visit() // its request is at the endpoint
	read.ask("POST", "/x", "id1", "", "body")
	<-e.got
	half := b.visit() // a part of its head has come
	half.say("POST /x HTTP/1.1\r\nHost: h.example\r\nX-Requ")
	headOnly := b.visit() // its head has come, its body hasn't
	headOnly.ask("POST", "/x", "id1", "Content-Length: 4\r\n", "")
	silent := b.visit() // nothing has come
	b.until(func() bool { return b.server.Stats().Requests == 2 && b.begun() == 3 && b.server.Stats().Clients == 4 })

	over := b.drain()
	b.awaitDraining()
	assert.Assert(t, !b.server.ReadyNow())
	late := b.visit() // it comes while the relay stops
	late.ask("POST", "/x", "id1", "", "body")
	half.say("est-Id: id1\r\nContent-Length: 4\r\n\r\nbody")
	headOnly.say("body")
	close(open)
	for _, v := range []*visitor{read, half, headOnly, late} {
		got := v.answer()
		wantAnswer(t, got, http.StatusOK, stampOf("i-1"), "ok")
		assert.Assert(t, got.Close, "the answer does not tell the end of the connection")
		v.gone()
	}
	silent.gone()
	assert.Assert(t, <-over)
	_, err := net.Dial("tcp4", b.address)
	assert.Assert(t, err != nil, "the listener is open still")
}

// begun counts the connections on which a part of a request was read.
func (b *bed) begun() int {
	b.server.acceptor.mu.Lock()
	defer b.server.acceptor.mu.Unlock()
	count := 0
	for c := range b.server.acceptor.clients {
		c.mu.Lock()
		if c.begun {
			count++
		}
		c.mu.Unlock()
	}
	return count
}

func TestConnectionAtRestServesUntilTheListenerCloses(t *testing.T) {
	b := newBed(t, documentFor(config.KindUnsafe, nil), newScript(newStandIn(t, "i-1", replies(http.StatusOK, "ok", ""))), nil)
	used, unused := b.visit(), b.visit()
	for _, v := range []*visitor{used, unused} {
		v.ask("POST", "/x", "id1", "", "")
		wantAnswer(t, v.answer(), http.StatusOK, stampOf("i-1"), "ok")
	}
	over := b.drain()
	b.awaitDraining()
	used.ask("POST", "/x", "id1", "", "")
	got := used.answer()
	wantAnswer(t, got, http.StatusOK, stampOf("i-1"), "ok")
	assert.Assert(t, got.Close)
	unused.gone()
	assert.Assert(t, <-over)
}

func TestStreamUnderWayEndsWhole(t *testing.T) {
	goOn := make(chan bool)
	e := newStandIn(t, "i-1", func(conn *net.TCPConn, request received) bool {
		streamHead(conn, request)
		chunk(conn, eventText(1))
		<-goOn
		chunk(conn, eventText(2))
		io.WriteString(conn, "0\r\n\r\n")
		return true
	})
	b := newBed(t, documentFor(config.KindStreaming, nil), newScript(e), nil)
	v := b.visit()
	v.ask("POST", "/x", "id1", "", "")
	response, err := http.ReadResponse(v.reader, nil)
	assert.NilError(t, err)
	over := b.drain()
	b.until(b.server.acceptor.stopping)
	close(goOn)
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), eventsText(1, 2))
	v.gone()
	assert.Assert(t, <-over)
}

func TestRequestThatWaitsIsRefusedAtTheEnd(t *testing.T) {
	chooser := newScript()
	chooser.waits = make(chan bool, 64)
	b := newBed(t, documentFor(config.KindUnsafe, nil), chooser, func(o *Options) { o.Grace = 1500 * time.Millisecond })
	v := b.visit()
	v.ask("POST", "/x", "id1", "", "")
	<-chooser.waits
	over := b.drain()
	wantRefusal(t, v.answer())
	assert.Assert(t, <-over)
}

func TestStopEndsWithItsTime(t *testing.T) {
	e := newStandIn(t, "i-1", hangs)
	b := newBed(t, documentFor(config.KindUnsafe, nil), newScript(e), func(o *Options) { o.Grace = 700 * time.Millisecond })
	v := b.visit()
	v.ask("POST", "/x", "id1", "", "")
	<-e.got
	assert.Assert(t, !<-b.drain())
	v.gone()
	e.awaitEnd(t)
}

func TestSecondSignalDoesNothing(t *testing.T) {
	b := newBed(t, documentFor(config.KindUnsafe, nil), newScript(), func(o *Options) { o.Grace = 600 * time.Millisecond })
	b.drainAll(t)
	assert.Assert(t, b.server.Drain(context.Background()))
}

// A request whose bytes cross with the hang-up is served.
func TestHangUpThatCrossesWithARequest(t *testing.T) {
	ours, theirs := socketPair(t)
	c := &client{Conn: ours, raw: rawOf(ours), state: http.StateIdle}
	due := time.Now().Add(testTime)
	assert.NilError(t, c.SetReadDeadline(due))
	assert.Assert(t, c.hangUp())
	_, err := io.WriteString(theirs, "GET")
	assert.NilError(t, err)
	b := &bed{t: t}
	b.until(c.unread)
	got := make([]byte, 8)
	n, err := c.Read(got)
	assert.NilError(t, err)
	assert.Equal(t, string(got[:n]), "GET")
	assert.Assert(t, !c.hung && c.begun)
	assert.Assert(t, !c.hangUp(), "a request has begun")
}

func TestHangUpLeavesAloneWhatHasComeUnread(t *testing.T) {
	ours, theirs := socketPair(t)
	c := &client{Conn: ours, raw: rawOf(ours), state: http.StateIdle}
	_, err := io.WriteString(theirs, "GET")
	assert.NilError(t, err)
	b := &bed{t: t}
	b.until(c.unread)
	assert.Assert(t, !c.hangUp())
}

func TestHangUpEndsARestingRead(t *testing.T) {
	ours, _ := socketPair(t)
	c := &client{Conn: ours, raw: rawOf(ours), state: http.StateIdle}
	ended := make(chan error)
	go func() {
		_, err := c.Read(make([]byte, 1))
		ended <- err
	}()
	assert.Assert(t, c.hangUp())
	assert.Assert(t, <-ended != nil)
	assert.NilError(t, c.SetReadDeadline(time.Time{})) // the server's own; it takes nothing back
	_, err := c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
}

// What was read before an answer went out, but belongs to the next request, keeps the connection.
func TestEarlyRequestIsNoRest(t *testing.T) {
	ours, theirs := socketPair(t)
	c := &client{Conn: ours, raw: rawOf(ours), state: http.StateActive, begun: true}
	ctx := withClient(context.Background(), c)
	requestRead(ctx)
	_, err := io.WriteString(theirs, "G")
	assert.NilError(t, err)
	_, err = c.Read(make([]byte, 1))
	assert.NilError(t, err)
	c.enter(http.StateIdle)
	rests, _ := c.resting(time.Now())
	assert.Assert(t, !rests)
}

// An answer to a request that was not read whole must not be lost to a reset.
func TestAnswerBeforeTheEndOfTheRequestArrives(t *testing.T) {
	ours, theirs := socketPair(t)
	c := &client{Conn: ours, raw: rawOf(ours), state: http.StateActive}
	_, err := io.WriteString(theirs, "unread")
	assert.NilError(t, err)
	b := &bed{t: t}
	b.until(c.unread)
	_, err = io.WriteString(c, "answer")
	assert.NilError(t, err)
	theirs.SetReadDeadline(time.Now().Add(testTime))
	closed := make(chan error)
	go func() { closed <- c.Close() }()
	got, err := io.ReadAll(theirs)
	assert.NilError(t, err)
	assert.Equal(t, string(got), "answer")
	theirs.Close()
	assert.NilError(t, <-closed)
}

func socketPair(t *testing.T) (ours, theirs *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	dialled, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { dialled.Close(); accepted.Close() })
	return accepted.(*net.TCPConn), dialled.(*net.TCPConn)
}
