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

// testTimeout limits every wait of a test for the network.
const testTimeout = 10 * time.Second

// startEndpoint starts an endpoint that is closed at the end of the test.
func startEndpoint(t *testing.T, options emulator.Options) *emulator.Endpoint {
	t.Helper()
	endpoint, err := emulator.Start(options)
	assert.NilError(t, err)
	t.Cleanup(endpoint.Close)
	return endpoint
}

func startModelEndpoint(t *testing.T) *emulator.Endpoint {
	return startEndpoint(t, emulator.Options{ID: "i-1", Backend: "b", Zone: "z", Engine: &emulator.EngineOptions{}})
}

// sendRequest sends a request with the given headers, alternately name and value.
func sendRequest(t *testing.T, endpoint *emulator.Endpoint, headers ...string) *http.Response {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
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

func readBody(t *testing.T, response *http.Response) string {
	t.Helper()
	text, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return string(text)
}

func TestStreamOverHTTP(t *testing.T) {
	endpoint := startModelEndpoint(t)
	response := sendRequest(t, endpoint, "X-Request-Id", "r1", "X-Token-Usage", "100,12", "X-Prefix-Hash", "a:60,b:40",
		"X-Deadline-Ms", "5000", "X-Expect-Instance", "i-1")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, response.Header.Get("X-Request-Id"), "r1")
	assert.Equal(t, response.Header.Get("X-Server-Stamp"), "i-1.1")
	assert.Equal(t, response.Header.Get("Versions"), "1")
	assert.Equal(t, response.Header.Get("Content-Type"), "text/event-stream")
	assert.Equal(t, readBody(t, response), "id: 1\ndata: w0 w1 w2 w3 w4\n\nid: 2\ndata: w0 w1 w2 w3 w4\n\nid: 3\ndata: w0 w1\n\n")
	assert.DeepEqual(t, endpoint.Counts(), emulator.Counts{Run: 1})
}

func TestStreamResumesAfterLastEventID(t *testing.T) {
	endpoint := startModelEndpoint(t)
	response := sendRequest(t, endpoint, "X-Request-Id", "r1", "X-Token-Usage", "100,12", "Last-Event-Id", "2")
	assert.Equal(t, readBody(t, response), "id: 3\ndata: w0 w1\n\n")
	response = sendRequest(t, endpoint, "X-Request-Id", "r2", "X-Token-Usage", "100,12", "Last-Event-Id", "3")
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, readBody(t, response), "")
}

func TestUnexecutedRequestsAreMarkedNotExecuted(t *testing.T) {
	endpoint := startModelEndpoint(t)
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
		response := sendRequest(t, endpoint, c.headers...)
		assert.Equal(t, response.StatusCode, c.status, "%v", c.headers)
		assert.Assert(t, response.Header.Get("X-Not-Executed") != "", "%v", c.headers)
		assert.Equal(t, response.Header.Get("X-Server-Stamp"), "", "%v", c.headers)
	}
	assert.DeepEqual(t, endpoint.Counts(), emulator.Counts{Rejected: 1, Misdirected: 2})
}

func TestDeadlineBeforeFirstTokenReturnsGatewayTimeout(t *testing.T) {
	endpoint := startModelEndpoint(t)
	response := sendRequest(t, endpoint, "X-Request-Id", "r", "X-Token-Usage", "100000,5", "X-Deadline-Ms", "1")
	assert.Equal(t, response.StatusCode, http.StatusGatewayTimeout)
	assert.Equal(t, response.Header.Get("X-Not-Executed"), "")
	assert.Assert(t, response.Header.Get("X-Server-Stamp") != "")
}

func TestDeadlineDuringStreamAbortsIt(t *testing.T) {
	endpoint := startModelEndpoint(t)
	response := sendRequest(t, endpoint, "X-Request-Id", "r", "X-Token-Usage", "10,100000", "X-Deadline-Ms", "200")
	text, err := io.ReadAll(response.Body)
	assert.Assert(t, errors.Is(err, io.ErrUnexpectedEOF), "%v", err)
	assert.Assert(t, strings.HasPrefix(string(text), "id: 1\n"))
}

func TestPlainServiceSendsFullBody(t *testing.T) {
	endpoint := startEndpoint(t, emulator.Options{ID: "i-1", ServiceTime: time.Millisecond, ResponseBytes: 800})
	response := sendRequest(t, endpoint, "X-Request-Id", "r")
	assert.Equal(t, response.ContentLength, int64(800))
	assert.Equal(t, len(readBody(t, response)), 800)
	assert.Assert(t, response.Header.Get("X-Server-Stamp") != "")
}

func TestClientDisconnectFreesItsSlot(t *testing.T) {
	endpoint := startEndpoint(t, emulator.Options{ID: "i-1", ServiceTime: time.Hour, PlainService: emulator.PlainServiceOptions{Slots: 1, Queue: 1}})
	firstConn, err := net.Dial("tcp4", endpoint.Address())
	assert.NilError(t, err)
	const requestFormat = "POST /x HTTP/1.1\r\nHost: h\r\nX-Request-Id: %s\r\nContent-Length: 0\r\n\r\n"
	fmt.Fprintf(firstConn, requestFormat, "r1")
	secondConn, err := net.Dial("tcp4", endpoint.Address())
	assert.NilError(t, err)
	defer secondConn.Close()
	fmt.Fprintf(secondConn, requestFormat, "r2")
	waitUntil(t, func() bool { return reportsFull(t, endpoint) })
	firstConn.Close()
	waitUntil(t, func() bool { return endpoint.Counts().Aborted == 1 })
}

// reportsFull reports whether the endpoint's load report shows one running and one queued request.
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

// waitUntil checks a condition repeatedly until it holds, and fails the test after testTimeout.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); runtime.Gosched() {
		if time.Now().After(end) {
			t.Fatal("timeout: the condition did not become true")
		}
	}
}

func TestHealthAndReport(t *testing.T) {
	endpoint := startEndpoint(t, emulator.Options{ID: "i-1", HealthPath: "/well", Warmup: time.Hour,
		Engine: &emulator.EngineOptions{KVCapacity: 90000}})
	response, err := http.Get("http://" + endpoint.Address() + "/well")
	assert.NilError(t, err)
	response.Body.Close()
	assert.Equal(t, response.StatusCode, http.StatusOK)
	assert.Equal(t, response.Header.Get("X-Instance-Id"), "i-1")
	assert.Assert(t, len(response.Header.Get("X-Warmup-Ms")) == 7, "an hour in milliseconds, or a little less")
	response, err = http.Get("http://" + endpoint.Address() + "/report")
	assert.NilError(t, err)
	defer response.Body.Close()
	assert.Equal(t, readBody(t, response), `{"phase":"dual","models":[{"name":"m","generation":1,"loras":[]}],"busy":false,"seq":0,`+
		`"queued":0,"running":0,"kvUsed":0,"kvTotal":90000,"handles":0}`+"\n")
}

func TestConnectionsBeyondMaxConnsAreReset(t *testing.T) {
	endpoint := startEndpoint(t, emulator.Options{ID: "i-1", MaxConns: 1})
	first, err := net.Dial("tcp4", endpoint.Address())
	assert.NilError(t, err)
	defer first.Close()
	fmt.Fprintf(first, "GET /healthz HTTP/1.1\r\nHost: h\r\n\r\n")
	_, err = http.ReadResponse(bufio.NewReader(first), nil)
	assert.NilError(t, err)
	second, err := net.Dial("tcp4", endpoint.Address())
	if err == nil { // the reset may arrive before Dial returns
		defer second.Close()
		assert.NilError(t, second.SetDeadline(time.Now().Add(testTimeout)))
		_, err = second.Read(make([]byte, 1))
	}
	assert.Assert(t, errors.Is(err, syscall.ECONNRESET), "%v", err)
}

// recordedHeartbeat is a request that the fake control process received.
type recordedHeartbeat struct {
	method string
	path   string
	body   struct {
		Backend, Address, Zone, State string
		Slots                         int
		Seq                           uint64
		RemainingMs                   *int64
	}
}

// startFakeControlProcess starts a server that records heartbeats and responds with the given handler.
func startFakeControlProcess(t *testing.T, handler http.HandlerFunc) (address string, heartbeats chan recordedHeartbeat) {
	t.Helper()
	heartbeats = make(chan recordedHeartbeat, 100)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		got := recordedHeartbeat{method: r.Method, path: r.URL.Path}
		if r.Method == http.MethodPut {
			assert.Check(t, json.NewDecoder(r.Body).Decode(&got.body))
		}
		handler(w, r)
		heartbeats <- got
	}))
	t.Cleanup(server.Close)
	return strings.TrimPrefix(server.URL, "http://"), heartbeats
}

// receiveHeartbeat waits for the next recorded heartbeat.
func receiveHeartbeat(t *testing.T, heartbeats chan recordedHeartbeat) recordedHeartbeat {
	t.Helper()
	select {
	case got := <-heartbeats:
		return got
	case <-time.After(testTimeout):
		t.Fatal("timeout: no heartbeat received")
		return recordedHeartbeat{}
	}
}

func TestHeartbeatsFromStartToDeregistration(t *testing.T) {
	address, heartbeats := startFakeControlProcess(t, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("{}")) })
	endpoint := startEndpoint(t, emulator.Options{ID: "i-1", Backend: "b", Zone: "z", ControlAddresses: []string{address},
		HeartbeatInterval: 10 * time.Millisecond, Engine: &emulator.EngineOptions{}})
	first, second := receiveHeartbeat(t, heartbeats), receiveHeartbeat(t, heartbeats)
	assert.Equal(t, first.method+" "+first.path, "PUT /instances/i-1")
	assert.Equal(t, first.body.Backend, "b")
	assert.Equal(t, first.body.Zone, "z")
	assert.Equal(t, first.body.Address, endpoint.Address())
	assert.Equal(t, first.body.Slots, 64)
	assert.Equal(t, first.body.State, "ready")
	assert.Assert(t, second.body.Seq > first.body.Seq)
	assert.NilError(t, endpoint.Drain(t.Context()))
	got := receiveHeartbeat(t, heartbeats)
	for got.body.State == "ready" { // sent before Drain
		got = receiveHeartbeat(t, heartbeats)
	}
	assert.Equal(t, got.body.State, "draining")
	response := sendRequest(t, endpoint, "X-Request-Id", "r", "X-Token-Usage", "1,1")
	assert.Equal(t, response.StatusCode, http.StatusOK, "a draining endpoint continues to serve")
	assert.Assert(t, response.Close, "a draining endpoint closes the connection after the response")
	assert.NilError(t, endpoint.Deregister(t.Context()))
	for got.method != http.MethodDelete {
		got = receiveHeartbeat(t, heartbeats)
	}
	assert.Equal(t, got.path, "/instances/i-1")
}

func TestDrainWithinReportsRemainingTime(t *testing.T) {
	address, heartbeats := startFakeControlProcess(t, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("{}")) })
	endpoint := startEndpoint(t, emulator.Options{ID: "i-1", Backend: "b", Zone: "z", ControlAddresses: []string{address}, HeartbeatInterval: time.Hour})
	assert.Assert(t, receiveHeartbeat(t, heartbeats).body.RemainingMs == nil)
	assert.NilError(t, endpoint.DrainWithin(t.Context(), time.Hour))
	got := receiveHeartbeat(t, heartbeats)
	assert.Equal(t, got.body.State, "draining")
	assert.Assert(t, *got.body.RemainingMs > 3_000_000 && *got.body.RemainingMs <= 3_600_000, "%d", *got.body.RemainingMs)
}

func TestFailedHeartbeatIsSentToNextControlProcess(t *testing.T) {
	var calls atomic.Int64
	failing, _ := startFakeControlProcess(t, func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	working, heartbeats := startFakeControlProcess(t, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("{}")) })
	startEndpoint(t, emulator.Options{ID: "i-1", Backend: "b", Zone: "z", ControlAddresses: []string{failing, working},
		HeartbeatInterval: 10 * time.Millisecond})
	receiveHeartbeat(t, heartbeats)
	receiveHeartbeat(t, heartbeats)
	assert.Equal(t, calls.Load(), int64(1), "heartbeats continue at the control process that acknowledged")
}

func TestHeartbeatFollowsHeartbeatURL(t *testing.T) {
	redirectTarget, heartbeats := startFakeControlProcess(t, func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("{}")) })
	initial, _ := startFakeControlProcess(t, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"heartbeatUrl":"http://%s"}`, redirectTarget)
	})
	startEndpoint(t, emulator.Options{ID: "i-1", Backend: "b", Zone: "z", ControlAddresses: []string{initial}, HeartbeatInterval: 10 * time.Millisecond})
	assert.Equal(t, receiveHeartbeat(t, heartbeats).path, "/instances/i-1")
}
