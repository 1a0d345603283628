package emulator_test

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/emulator"
)

// within bounds what a test waits for on a socket.
const within = 10 * time.Second

func open(t *testing.T, options emulator.Options) *emulator.Endpoint {
	t.Helper()
	endpoint, err := emulator.Start(options)
	assert.NilError(t, err)
	t.Cleanup(endpoint.Close)
	return endpoint
}

func modelEndpoint(t *testing.T) *emulator.Endpoint {
	return open(t, emulator.Options{ID: "i-1", Backend: "b", Zone: "z", Engine: &emulator.EngineOptions{}})
}

// ask sends a request with headers given as name and value.
func ask(t *testing.T, endpoint *emulator.Endpoint, headers ...string) *http.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), within)
	t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+endpoint.Address()+"/p/x", strings.NewReader("hello"))
	assert.NilError(t, err)
	for i := 0; i < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	response, err := http.DefaultClient.Do(request)
	assert.NilError(t, err)
	t.Cleanup(func() { response.Body.Close() })
	return response
}

func textOf(t *testing.T, response *http.Response) string {
	t.Helper()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(text)
}

func TestAStreamOverASocket(t *testing.T) {
	endpoint := modelEndpoint(t)
	response := ask(t, endpoint, "X-Request-Id", "r1", "X-Token-Usage", "100,12", "X-Prefix-Hash", "a:60,b:40", "X-Deadline-Ms", "5000", "X-Expect-Instance", "i-1")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, response.Header.Get("X-Request-Id"), "r1")
	assert.Equal(t, response.Header.Get("X-Server-Stamp"), "i-1.1")
	assert.Equal(t, response.Header.Get("Versions"), "1")
	assert.Equal(t, response.Header.Get("Content-Type"), "text/event-stream")
	assert.Equal(t, textOf(t, response), "id: 1\ndata: w0 w1 w2 w3 w4\n\nid: 2\ndata: w0 w1 w2 w3 w4\n\nid: 3\ndata: w0 w1\n\n")
	assert.DeepEqual(t, endpoint.Counts(), emulator.Counts{Run: 1})
}

func TestAStreamIsTakenUpAfterItsLastEvent(t *testing.T) {
	endpoint := modelEndpoint(t)
	response := ask(t, endpoint, "X-Request-Id", "r1", "X-Token-Usage", "100,12", "Last-Event-Id", "2")
	assert.Equal(t, textOf(t, response), "id: 3\ndata: w0 w1\n\n")
	response = ask(t, endpoint, "X-Request-Id", "r2", "X-Token-Usage", "100,12", "Last-Event-Id", "3")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, textOf(t, response), "")
}

func TestWhatDoesNotRunSaysSo(t *testing.T) {
	endpoint := modelEndpoint(t)
	for _, c := range []struct {
		headers []string
		status  int
	}{
		{[]string{"X-Token-Usage", "1,1"}, http.StatusBadRequest},
		{[]string{"X-Request-Id", "r", "X-Token-Usage", "1,1", "X-Expect-Instance", "i-2"}, http.StatusMisdirectedRequest},
		{[]string{"X-Request-Id", "r", "X-Token-Usage", "1,1", "Expect-Version", "2"}, http.StatusMisdirectedRequest},
		{[]string{"X-Request-Id", "r", "X-Token-Usage", "1"}, http.StatusBadRequest},
		{[]string{"X-Request-Id", "r", "X-Token-Usage", "1,1", "X-Prefix-Hash", "a"}, http.StatusBadRequest},
		{[]string{"X-Request-Id", "r", "X-Token-Usage", "1,1", "X-Deadline-Ms", "soon"}, http.StatusBadRequest},
		{[]string{"X-Request-Id", "r", "X-Token-Usage", "1,1", "Priority", "10"}, http.StatusBadRequest},
		{[]string{"X-Request-Id", "r", "X-Token-Usage", "1,1", "Last-Event-Id", "x"}, http.StatusBadRequest},
		{[]string{"X-Request-Id", "r", "X-Token-Usage", "400000,1"}, http.StatusServiceUnavailable},
	} {
		response := ask(t, endpoint, c.headers...)
		assert.Equal(t, response.StatusCode, c.status, "%v", c.headers)
		assert.Assert(t, response.Header.Get("X-Not-Executed") != "", "%v", c.headers)
		assert.Equal(t, response.Header.Get("X-Server-Stamp"), "", "%v", c.headers)
	}
	assert.DeepEqual(t, endpoint.Counts(), emulator.Counts{Full: 1, Misdirected: 2})
}

func TestADeadlineBeforeTheFirstTokenIsAFailureThatRan(t *testing.T) {
	endpoint := modelEndpoint(t)
	response := ask(t, endpoint, "X-Request-Id", "r", "X-Token-Usage", "100000,5", "X-Deadline-Ms", "1")
	assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
	assert.Equal(t, response.Header.Get("X-Not-Executed"), "")
	assert.Assert(t, response.Header.Get("X-Server-Stamp") != "")
}

func TestADeadlineInAStreamBreaksItOff(t *testing.T) {
	endpoint := modelEndpoint(t)
	response := ask(t, endpoint, "X-Request-Id", "r", "X-Token-Usage", "10,100000", "X-Deadline-Ms", "200")
	text, err := io.ReadAll(response.Body)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	assert.Assert(t, strings.HasPrefix(string(text), "id: 1\n"))
}

func TestAPlainServiceAnswersWhole(t *testing.T) {
	endpoint := open(t, emulator.Options{ID: "i-1", Work: time.Millisecond, AnswerBytes: 800})
	response := ask(t, endpoint, "X-Request-Id", "r")
	assert.Equal(t, response.ContentLength, int64(800))
	assert.Equal(t, len(textOf(t, response)), 800)
	assert.Assert(t, response.Header.Get("X-Server-Stamp") != "")
}

func TestACallerThatGoesAwayFreesItsPlace(t *testing.T) {
	endpoint := open(t, emulator.Options{ID: "i-1", Work: time.Hour, Shop: emulator.ShopOptions{Slots: 1, Queue: 1}})
	conn, err := net.Dial("tcp4", endpoint.Address())
	assert.NilError(t, err)
	const head = "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
	fmt.Fprintf(conn, head, "r1")
	other, err := net.Dial("tcp4", endpoint.Address())
	assert.NilError(t, err)
	defer other.Close()
	fmt.Fprintf(other, head, "r2")
	until(t, func() bool { return reportsFull(t, endpoint) })
	conn.Close()
	until(t, func() bool { return endpoint.Counts().Cut == 1 })
}

// reportsFull tells whether an endpoint says that one request runs and one waits.
func reportsFull(t *testing.T, endpoint *emulator.Endpoint) bool {
	t.Helper()
	conn, err := net.Dial("tcp4", endpoint.Address())
	assert.NilError(t, err)
	defer conn.Close()
	fmt.Fprintf(conn, "GET /report HTTP/1.1\r\nHost: h\r\n\r\n")
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	assert.NilError(t, err)
	var report struct{ Queued, Running int }
	assert.NilError(t, json.NewDecoder(response.Body).Decode(&report))
	return report.Queued == 1 && report.Running == 1
}

// until asks again until something holds; each question is a call over a socket or a look at a counter.
func until(t *testing.T, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !holds(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("it never came to hold")
		}
	}
}

func TestHealthAndReport(t *testing.T) {
	endpoint := open(t, emulator.Options{ID: "i-1", HealthPath: "/well", Warmup: time.Hour, Engine: &emulator.EngineOptions{KVCapacity: 90000}})
	response, err := http.Get("http://" + endpoint.Address() + "/well")
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, response.Header.Get("X-Instance-Id"), "i-1")
	assert.Assert(t, len(response.Header.Get("X-Warmup-Ms")) == 7, "an hour in milliseconds, or a little less")
	response, err = http.Get("http://" + endpoint.Address() + "/report")
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, textOf(t, response), `{"phase":"dual","models":[{"name":"m","generation":1,"loras":[]}],"busy":false,"seq":0,`+
		`"queued":0,"running":0,"kvUsed":0,"kvTotal":90000,"handles":0}`+"\n")
}

func TestConnectionsBeyondTheBoundAreReset(t *testing.T) {
	endpoint := open(t, emulator.Options{ID: "i-1", MaxConns: 1})
	first, err := net.Dial("tcp4", endpoint.Address())
	assert.NilError(t, err)
	defer first.Close()
	fmt.Fprintf(first, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err = http.ReadResponse(bufio.NewReader(first), nil)
	assert.NilError(t, err)
	second, err := net.Dial("tcp4", endpoint.Address())
	if err == nil { // the reset may come before the connection is known to be up
		defer second.Close()
		assert.NilError(t, second.SetDeadline(time.Now().Add(within)))
		_, err = second.Read(make([]byte, 1))
	}
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// beat is what a stand-in control process was told.
type beat struct {
	method string
	path   string
	body   struct {
		Backend, Address, Zone, State string
		Slots                         int
		Seq                           uint64
		RemainingMs                   *int64
	}
}

// controlProcess takes heartbeats and answers as told.
func controlProcess(t *testing.T, answer http.HandlerFunc) (address string, beats chan beat) {
	t.Helper()
	beats = make(chan beat, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := beat{method: r.Method, path: r.URL.Path}
		if r.Method == http.MethodPut {
			assert.Check(t, json.NewDecoder(r.Body).Decode(&got.body))
		}
		answer(w, r)
		beats <- got
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), beats
}

func await(t *testing.T, beats chan beat) beat {
	t.Helper()
	select {
	case got := <-beats:
		return got
	case <-time.After(within):
		t.Fatal("no heartbeat came")
		return beat{}
	}
}

func TestALifeFromTheFirstHeartbeatToTheLast(t *testing.T) {
	address, beats := controlProcess(t, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("{}")) })
	endpoint := open(t, emulator.Options{ID: "i-1", Backend: "b", Zone: "z", Control: []string{address}, Heartbeat: 10 * time.Millisecond,
		Engine: &emulator.EngineOptions{}})
	first, second := await(t, beats), await(t, beats)
	assert.Equal(t, first.method+" "+first.path, "PUT /instances/i-1")
	assert.Equal(t, first.body.Backend, "b")
	assert.Equal(t, first.body.Zone, "z")
	assert.Equal(t, first.body.Address, endpoint.Address())
	assert.Equal(t, first.body.Slots, 64)
	assert.Equal(t, first.body.State, "ready")
	assert.Assert(t, second.body.Seq > first.body.Seq)
	assert.NilError(t, endpoint.Drain(t.Context()))
	got := await(t, beats)
	for got.body.State == "ready" { // sent before
		got = await(t, beats)
	}
	assert.Equal(t, got.body.State, "draining")
	response := ask(t, endpoint, "X-Request-Id", "r", "X-Token-Usage", "1,1")
	assert.Equal(t, response.StatusCode, http.StatusOK, "it serves on")
	assert.Assert(t, response.Close, "and says that the connection ends")
	assert.NilError(t, endpoint.Leave(t.Context()))
	for got.method != http.MethodDelete {
		got = await(t, beats)
	}
	assert.Equal(t, got.path, "/instances/i-1")
}

func TestAnEndpointThatIsTakenAwaySaysWhatTimeItHasLeft(t *testing.T) {
	address, beats := controlProcess(t, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("{}")) })
	endpoint := open(t, emulator.Options{ID: "i-1", Backend: "b", Zone: "z", Control: []string{address}, Heartbeat: time.Hour})
	assert.Assert(t, await(t, beats).body.RemainingMs == nil)
	assert.NilError(t, endpoint.TakeAway(t.Context(), time.Hour))
	got := await(t, beats)
	assert.Equal(t, got.body.State, "draining")
	assert.Assert(t, *got.body.RemainingMs > 3_000_000 && *got.body.RemainingMs <= 3_600_000, "%d", *got.body.RemainingMs)
}

func TestAHeartbeatThatFailsGoesToTheNextProcess(t *testing.T) {
	var calls atomic.Int64
	failing, _ := controlProcess(t, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	working, beats := controlProcess(t, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("{}")) })
	open(t, emulator.Options{ID: "i-1", Backend: "b", Zone: "z", Control: []string{failing, working}, Heartbeat: 10 * time.Millisecond})
	await(t, beats)
	await(t, beats)
	assert.Equal(t, calls.Load(), int64(1), "the one that answered is asked on")
}

func TestAnAnswerMayNameWhereToBeat(t *testing.T) {
	other, beats := controlProcess(t, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("{}")) })
	first, _ := controlProcess(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"heartbeatUrl":"http://%s"}`, other)
	})
	open(t, emulator.Options{ID: "i-1", Backend: "b", Zone: "z", Control: []string{first}, Heartbeat: 10 * time.Millisecond})
	assert.Equal(t, await(t, beats).path, "/instances/i-1")
}
