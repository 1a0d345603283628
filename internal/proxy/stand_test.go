package proxy

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/config"
	"wallflow/internal/registry"
	"wallflow/internal/selector"
	"wallflow/internal/upstream"
)

const testTime = 10 * time.Second // nothing here takes so long

// received is a request as an endpoint got it.
type received struct {
	*http.Request
	body     string
	instance string
}

// does is what an endpoint does with a request. False: it ends the connection.
type does func(conn *net.TCPConn, request received) bool

// standIn is an endpoint that a test scripts.
type standIn struct {
	instance registry.Instance
	got      chan received // every request, in the order in which they came
	ended    chan bool     // for every connection that the relay closed
}

func newStandIn(t *testing.T, id string, act does) *standIn {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	e := &standIn{
		instance: registry.Instance{ID: id, Backend: "service", Address: listener.Addr().String(), State: registry.StateReady, Slots: 4},
		got:      make(chan received, 64), ended: make(chan bool, 64),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(conn.(*net.TCPConn), act)
		}
	}()
	return e
}

func (e *standIn) serve(conn *net.TCPConn, act does) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTime))
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			e.ended <- true
			return
		}
		body, _ := io.ReadAll(request.Body)
		got := received{Request: request, body: string(body), instance: e.instance.ID}
		e.got <- got
		if !act(conn, got) {
			return
		}
	}
}

// awaitEnd waits until the relay has closed a connection.
func (e *standIn) awaitEnd(t *testing.T) {
	t.Helper()
	select {
	case <-e.ended:
	case <-time.After(testTime):
		t.Fatal("the connection was not closed")
	}
}

func stampOf(id string) string { return "stamp." + id }

// head writes the head of an answer of an endpoint; further headers end with a line break.
func head(conn net.Conn, request received, status int, further string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s\r\n%s\r\n", status, http.StatusText(status),
		request.Header.Get(headerRequestID), stampOf(request.instance), further)
}

// replies answers with a status and a body.
func replies(status int, body, further string) does {
	return func(conn *net.TCPConn, request received) bool {
		head(conn, request, status, fmt.Sprintf("%sContent-Length: %d\r\n", further, len(body)))
		io.WriteString(conn, body)
		return true
	}
}

// declines answers that the request did not run.
func declines(status int) does { return replies(status, "no", "X-Not-Executed: 1\r\n") }

// cuts begins an answer and ends the connection.
func cuts(conn *net.TCPConn, request received) bool {
	head(conn, request, http.StatusOK, "Content-Length: 9\r\n")
	io.WriteString(conn, "half")
	return false
}

// hangs never answers.
func hangs(*net.TCPConn, received) bool { return true }

// script is a Chooser that sends each request to the next endpoint of a list, and keeps the rules of attempts.
type script struct {
	endpoints []*standIn
	giveUp    time.Duration // for idempotent requests; 0: the deadline

	next     map[*selector.Request]int
	runs     map[*selector.Request]int
	attempts map[*selector.Attempt]*selector.Request
	outcomes []selector.Outcome
	waits    chan bool // if set: requests wait until woken, and each says so here
	woken    []*selector.Request
	waiting  []*selector.Request
	reports  map[string]selector.EngineReport
	first    int // calls of FirstByte
}

func newScript(endpoints ...*standIn) *script {
	return &script{
		endpoints: endpoints, next: map[*selector.Request]int{}, runs: map[*selector.Request]int{},
		attempts: map[*selector.Attempt]*selector.Request{}, reports: map[string]selector.EngineReport{},
	}
}

func (s *script) Choose(now time.Time, request *selector.Request) selector.Decision {
	next := s.next[request]
	switch {
	case s.waits != nil:
		s.waiting = append(s.waiting, request)
		s.waits <- true
		return selector.Decision{Kind: selector.Wait, Until: now.Add(testTime)}
	case s.runs[request] > 0 && (!request.Route.Idempotent() || next >= len(s.endpoints)):
		return selector.Decision{Kind: selector.Fail, Reason: selector.ReasonRan}
	case next >= len(s.endpoints):
		return selector.Decision{Kind: selector.Refuse, RetryAfter: 250 * time.Millisecond, Reason: selector.ReasonNone}
	}
	s.next[request]++
	attempt := new(selector.Attempt)
	s.attempts[attempt] = request
	giveUp := request.Deadline
	if s.giveUp > 0 && request.Route.Idempotent() {
		giveUp = now.Add(s.giveUp)
	}
	return selector.Decision{Kind: selector.Send, Instance: s.endpoints[next].instance, Attempt: attempt, GiveUpAt: giveUp}
}

func (s *script) FirstByte(time.Time, *selector.Attempt) { s.first++ }

func (s *script) Done(_ time.Time, attempt *selector.Attempt, outcome selector.Outcome) {
	s.outcomes = append(s.outcomes, outcome)
	if outcome.MayHaveRun {
		s.runs[s.attempts[attempt]]++
	}
}

func (s *script) Report(_ time.Time, id string, report selector.EngineReport) { s.reports[id] = report }

func (s *script) Abandon(*selector.Request) {}

func (s *script) Woken() []*selector.Request {
	woken := s.woken
	s.woken = nil
	return woken
}

// bed is a relay with clients and endpoints.
type bed struct {
	t       *testing.T
	server  *Server
	script  *script
	lock    sync.Mutex
	address string
	served  chan bool
}

func documentFor(kind config.Kind, change func(*config.Document)) *config.Compiled {
	document := &config.Document{
		Generation: 1,
		Routes: []config.Route{{
			Name: "r", Host: "h.example", PathPrefix: "/", Kind: kind, TimeoutMs: 5000, TargetMs: 1000, Priority: 3,
			Backend: "service", Retries: 3,
		}},
		Backends: []config.Backend{{Name: "service", MaxConns: 100}},
		Limits:   config.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 100_000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
	if change != nil {
		change(document)
	}
	return config.Compile(document)
}

func resumes(document *config.Document) { document.Routes[0].Resume = true }

func newBed(t *testing.T, compiled *config.Compiled, chooser *script, change func(*Options)) *bed {
	t.Helper()
	b := &bed{t: t, script: chooser, served: make(chan bool)}
	options := Options{
		Config: func() *config.Compiled { return compiled }, Chooser: chooser, Lock: &b.lock,
		Pool: upstream.NewPool(upstream.Options{}), Grace: 3 * time.Second,
	}
	if change != nil {
		change(&options)
	}
	b.server = New(options)
	if compiled != nil {
		b.server.ApplyLimits(compiled.Document().Limits)
	}
	listener, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	b.address = listener.Addr().String()
	go func() {
		defer close(b.served)
		b.server.Serve(listener)
	}()
	t.Cleanup(func() {
		b.server.Close()
		<-b.served
	})
	return b
}

// outcome returns how the n-th attempt ended.
func (b *bed) outcome(n int) selector.Outcome {
	b.t.Helper()
	b.lock.Lock()
	defer b.lock.Unlock()
	assert.Assert(b.t, n < len(b.script.outcomes), "outcomes: %v", b.script.outcomes)
	return b.script.outcomes[n]
}

// visitor is a raw client on one connection.
type visitor struct {
	t *testing.T
	*net.TCPConn
	reader *bufio.Reader
}

func (b *bed) visit() *visitor {
	b.t.Helper()
	conn, err := net.Dial("tcp4", b.address)
	assert.NilError(b.t, err)
	conn.SetDeadline(time.Now().Add(testTime))
	b.t.Cleanup(func() { conn.Close() })
	return &visitor{t: b.t, TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
}

// say sends bytes.
func (v *visitor) say(text string) {
	v.t.Helper()
	_, err := io.WriteString(v, text)
	assert.NilError(v.t, err)
}

// ask sends a request; further headers end with a line break.
func (v *visitor) ask(method, target, id, further, body string) {
	v.t.Helper()
	v.say(requestText(method, target, id, further, body))
}

func requestText(method, target, id, further, body string) string {
	if body != "" {
		further += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\n%s\r\n%s", method, target, id, further, body)
}

// reply is an answer as the client sees it.
type reply struct {
	*http.Response
	body string
	err  error // of reading the body: not nil where the answer is cut
}

// answer reads an answer.
func (v *visitor) answer() reply {
	v.t.Helper()
	response, err := http.ReadResponse(v.reader, nil)
	assert.NilError(v.t, err)
	body, err := io.ReadAll(response.Body)
	return reply{Response: response, body: string(body), err: err}
}

// gone asserts that the connection ends with nothing more on it.
func (v *visitor) gone() {
	v.t.Helper()
	rest, _ := io.ReadAll(v.reader)
	assert.Equal(v.t, string(rest), "")
}

// askOnce sends one request on a connection of its own and reads its answer.
func (b *bed) askOnce(further, body string) reply {
	b.t.Helper()
	v := b.visit()
	v.ask("POST", "/x", "id1", further, body)
	return v.answer()
}

func wantAnswer(t *testing.T, got reply, status int, stamp, body string) {
	t.Helper()
	assert.NilError(t, got.err)
	assert.Equal(t, got.StatusCode, status, "body: %s", got.body)
	assert.Equal(t, got.Header.Get(headerStamp), stamp)
	assert.Equal(t, got.Header.Get(headerRequestID), "id1")
	if stamp != "" {
		assert.Equal(t, got.body, body)
		return
	}
	assert.Assert(t, strings.HasPrefix(got.body, `{"error":"`), "body: %s", got.body)
}

// wantRefusal asserts the promise that a request did not run.
func wantRefusal(t *testing.T, got reply) {
	t.Helper()
	wantAnswer(t, got, http.StatusServiceUnavailable, "", "")
	assert.Assert(t, parseSeconds(got.Header.Get(headerRetryAfter)) > 0)
}

// drain begins to stop the relay, and returns what tells of its end.
func (b *bed) drain() <-chan bool {
	over := make(chan bool, 1)
	go func() { over <- b.server.Drain(context.Background()) }()
	return over
}
