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

const testTime = 10 * time.Second // no test takes this long

// endpointRequest is a request as received by an endpoint.
type endpointRequest struct {
	*http.Request
	body     string
	instance string // id of the instance that received it
}

// endpointHandler responds to a request at an endpoint. If it returns false, the connection is closed.
type endpointHandler func(conn *net.TCPConn, request endpointRequest) bool

// fakeEndpoint is an endpoint whose behavior a test defines.
type fakeEndpoint struct {
	instance registry.Instance
	requests chan endpointRequest // all requests in the order of their arrival
	closed   chan bool            // one value for each connection that the relay has closed
}

func newFakeEndpoint(t *testing.T, id string, handle endpointHandler) *fakeEndpoint {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	endpoint := &fakeEndpoint{
		instance: registry.Instance{ID: id, Backend: "service", Address: listener.Addr().String(), State: registry.StateReady, Slots: 4},
		requests: make(chan endpointRequest, 64), closed: make(chan bool, 64),
	}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go endpoint.serve(conn.(*net.TCPConn), handle)
		}
	}()
	return endpoint
}

func (e *fakeEndpoint) serve(conn *net.TCPConn, handle endpointHandler) {
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(testTime))
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			e.closed <- true
			return
		}
		body, _ := io.ReadAll(request.Body)
		got := endpointRequest{Request: request, body: string(body), instance: e.instance.ID}
		e.requests <- got
		if !handle(conn, got) {
			return
		}
	}
}

// waitUntilClosed waits until the relay has closed a connection to the endpoint.
func (e *fakeEndpoint) waitUntilClosed(t *testing.T) {
	t.Helper()
	select {
	case <-e.closed:
	case <-time.After(testTime):
		t.Fatal("the connection was not closed")
	}
}

// stampOf returns the X-Server-Stamp of an instance.
func stampOf(id string) string { return "stamp." + id }

// writeHead writes the head of a response. Each line of extraHeaders ends with a line break.
func writeHead(conn net.Conn, request endpointRequest, status int, extraHeaders string) {
	fmt.Fprintf(conn, "HTTP/1.1 %d %s\r\nX-Request-Id: %s\r\nX-Server-Stamp: %s\r\n%s\r\n", status, http.StatusText(status),
		request.Header.Get(headerRequestID), stampOf(request.instance), extraHeaders)
}

// respondWith sends a complete response.
func respondWith(status int, body, extraHeaders string) endpointHandler {
	return func(conn *net.TCPConn, request endpointRequest) bool {
		writeHead(conn, request, status, fmt.Sprintf("%sContent-Length: %d\r\n", extraHeaders, len(body)))
		io.WriteString(conn, body)
		return true
	}
}

// decline responds that the request did not run.
func decline(status int) endpointHandler { return respondWith(status, "no", "X-Not-Executed: 1\r\n") }

// respondTruncated sends a part of a response and closes the connection.
func respondTruncated(conn *net.TCPConn, request endpointRequest) bool {
	writeHead(conn, request, http.StatusOK, "Content-Length: 9\r\n")
	io.WriteString(conn, "half")
	return false
}

// neverRespond sends nothing and leaves the connection open.
func neverRespond(*net.TCPConn, endpointRequest) bool { return true }

// fakeChooser is a Chooser that sends each request to the endpoints of a list in turn. It does not send a request again that may
// have run, unless the route is idempotent.
type fakeChooser struct {
	endpoints      []*fakeEndpoint
	attemptTimeout time.Duration // for idempotent requests; 0: until the deadline

	nextIndex  map[*selector.Request]int
	mayHaveRun map[*selector.Request]int
	attempts   map[*selector.Attempt]*selector.Request
	outcomes   []selector.Outcome
	waitCalls  chan bool // if not nil, requests wait until woken, and each wait sends a value here
	woken      []*selector.Request
	waiting    []*selector.Request
	reports    map[string]selector.EngineReport
	firstBytes int // number of calls of FirstByte
}

func newFakeChooser(endpoints ...*fakeEndpoint) *fakeChooser {
	return &fakeChooser{
		endpoints: endpoints, nextIndex: map[*selector.Request]int{}, mayHaveRun: map[*selector.Request]int{},
		attempts: map[*selector.Attempt]*selector.Request{}, reports: map[string]selector.EngineReport{},
	}
}

func (c *fakeChooser) Choose(now time.Time, request *selector.Request) selector.Decision {
	next := c.nextIndex[request]
	switch {
	case c.waitCalls != nil:
		c.waiting = append(c.waiting, request)
		c.waitCalls <- true
		return selector.Decision{Kind: selector.Wait, Until: now.Add(testTime)}
	case c.mayHaveRun[request] > 0 && (!request.Route.Idempotent() || next >= len(c.endpoints)):
		return selector.Decision{Kind: selector.Fail, Reason: selector.ReasonMayHaveRun}
	case next >= len(c.endpoints):
		return selector.Decision{Kind: selector.Refuse, RetryAfter: 250 * time.Millisecond, Reason: selector.ReasonNoEndpoint}
	}
	c.nextIndex[request]++
	attempt := new(selector.Attempt)
	c.attempts[attempt] = request
	giveUpAt := request.Deadline
	if c.attemptTimeout > 0 && request.Route.Idempotent() {
		giveUpAt = now.Add(c.attemptTimeout)
	}
	return selector.Decision{Kind: selector.Send, Instance: c.endpoints[next].instance, Attempt: attempt, GiveUpAt: giveUpAt}
}

func (c *fakeChooser) FirstByte(time.Time, *selector.Attempt) { c.firstBytes++ }

func (c *fakeChooser) Done(_ time.Time, attempt *selector.Attempt, outcome selector.Outcome) {
	c.outcomes = append(c.outcomes, outcome)
	if outcome.MayHaveRun {
		c.mayHaveRun[c.attempts[attempt]]++
	}
}

func (c *fakeChooser) Report(_ time.Time, id string, report selector.EngineReport) {
	c.reports[id] = report
}

func (c *fakeChooser) Abandon(*selector.Request) {}

func (c *fakeChooser) Woken() []*selector.Request {
	woken := c.woken
	c.woken = nil
	return woken
}

// testRelay is a Server on a local listener, with a fakeChooser.
type testRelay struct {
	t         *testing.T
	server    *Server
	chooser   *fakeChooser
	lock      sync.Mutex
	address   string
	serveDone chan bool
}

// compiledConfig returns a configuration with one route of the given kind.
func compiledConfig(kind config.Kind, change func(*config.Document)) *config.Compiled {
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

func withResume(document *config.Document) { document.Routes[0].Resume = true }

// newTestRelay starts a relay. change adapts its options and may be nil.
func newTestRelay(t *testing.T, compiled *config.Compiled, chooser *fakeChooser, change func(*Options)) *testRelay {
	t.Helper()
	relay := &testRelay{t: t, chooser: chooser, serveDone: make(chan bool)}
	options := Options{
		Config: func() *config.Compiled { return compiled }, Chooser: chooser, Lock: &relay.lock,
		Pool: upstream.NewPool(upstream.Options{}), GracePeriod: 3 * time.Second,
	}
	if change != nil {
		change(&options)
	}
	relay.server = New(options)
	if compiled != nil {
		relay.server.ApplyLimits(compiled.Document().Limits)
	}
	listener, err := Listen("127.0.0.1:0")
	assert.NilError(t, err)
	relay.address = listener.Addr().String()
	go func() {
		defer close(relay.serveDone)
		relay.server.Serve(listener)
	}()
	t.Cleanup(func() {
		relay.server.Close()
		<-relay.serveDone
	})
	return relay
}

// outcome returns the outcome of the n-th attempt, counted from 0.
func (r *testRelay) outcome(n int) selector.Outcome {
	r.t.Helper()
	r.lock.Lock()
	defer r.lock.Unlock()
	assert.Assert(r.t, n < len(r.chooser.outcomes), "outcomes: %v", r.chooser.outcomes)
	return r.chooser.outcomes[n]
}

// testClient is a client that writes raw requests to one connection.
type testClient struct {
	t *testing.T
	*net.TCPConn
	reader *bufio.Reader
}

// connect opens a client connection.
func (r *testRelay) connect() *testClient {
	r.t.Helper()
	conn, err := net.Dial("tcp4", r.address)
	assert.NilError(r.t, err)
	conn.SetDeadline(time.Now().Add(testTime))
	r.t.Cleanup(func() { conn.Close() })
	return &testClient{t: r.t, TCPConn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
}

// write sends bytes.
func (c *testClient) write(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(c.t, err)
}

// sendRequest sends a request. Each line of extraHeaders ends with a line break.
func (c *testClient) sendRequest(method, target, id, extraHeaders, body string) {
	c.t.Helper()
	c.write(requestText(method, target, id, extraHeaders, body))
}

func requestText(method, target, id, extraHeaders, body string) string {
	if body != "" {
		extraHeaders += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: %s\r\n%s\r\n%s", method, target, id, extraHeaders, body)
}

// clientResponse is a response as received by the client.
type clientResponse struct {
	*http.Response
	body string
	err  error // error of reading the body; not nil if the response is truncated
}

// readResponse reads a response with its body.
func (c *testClient) readResponse() clientResponse {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	body, err := io.ReadAll(response.Body)
	return clientResponse{Response: response, body: string(body), err: err}
}

// wantClosed asserts that the relay closes the connection without sending anything more.
func (c *testClient) wantClosed() {
	c.t.Helper()
	rest, _ := io.ReadAll(c.reader)
	assert.Equal(c.t, string(rest), "")
}

// requestOnce sends one request on a new connection and reads the response.
func (r *testRelay) requestOnce(extraHeaders, body string) clientResponse {
	r.t.Helper()
	client := r.connect()
	client.sendRequest("POST", "/x", "id1", extraHeaders, body)
	return client.readResponse()
}

// wantResponse asserts a complete response. With an empty stamp it must be an error response of the relay itself.
func wantResponse(t *testing.T, got clientResponse, status int, stamp, body string) {
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

// wantRefusal asserts a 503 with Retry-After, which promises that the request did not run.
func wantRefusal(t *testing.T, got clientResponse) {
	t.Helper()
	wantResponse(t, got, http.StatusServiceUnavailable, "", "")
	assert.Assert(t, parseSeconds(got.Header.Get(headerRetryAfter)) > 0)
}

// drain starts draining the relay, and returns a channel for the result.
func (r *testRelay) drain() <-chan bool {
	done := make(chan bool, 1)
	go func() { done <- r.server.Drain(context.Background()) }()
	return done
}
