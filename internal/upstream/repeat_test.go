package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"

	"gotest.tools/v3/assert"
)

// writeDeclined writes a response that says that the request did not run.
func writeDeclined(conn net.Conn, id string) {
	fmt.Fprintf(conn, "HTTP/1.1 503 Service Unavailable\r\nX-Request-Id: %s\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n", id)
}

// wantStatus does one exchange, and asserts that its response has the status.
func wantStatus(t *testing.T, pool *Pool, target Target, request *Request, status int) {
	t.Helper()
	response, err := pool.Do(context.Background(), target, request)
	assert.NilError(t, err)
	defer response.Close()
	assert.Equal(t, response.Status, status)
	_, err = io.Copy(io.Discard, response)
	assert.NilError(t, err)
}

// A request that an endpoint had declined ran twice: it was sent on the same connection again, with another request in between, and a late
// copy of the first response, which says that it did not run, was taken for the second one.
func TestRepeatedRequestNeverGetsTheResponseToItsEarlierAttempt(t *testing.T) {
	target := startFakeEndpoint(t, func(_ *testing.T, _ int, conn *net.TCPConn, reader *bufio.Reader) {
		declined := make(map[string]bool)
		for request := readRequest(reader); request != nil; request = readRequest(reader) {
			id := request.Header.Get(headerRequestID)
			switch {
			case declined[id]:
				writeDeclined(conn, id) // the late copy
			case request.Header.Get("X-First") != "":
				declined[id] = true
				writeDeclined(conn, id)
				continue
			}
			writeResponse(conn, id, "/"+id)
		}
	})
	pool := newTestPool(t, Options{})
	repeated := newRequest("a")
	repeated.Header.Set("X-First", "1")
	wantStatus(t, pool, target, repeated, http.StatusServiceUnavailable)
	wantBody(t, pool, target, "b")
	wantBody(t, pool, target, "c")
	assert.Equal(t, pool.Stats().Dials, uint64(1))
	repeated.Header.Del("X-First")
	wantStatus(t, pool, target, repeated, http.StatusOK)
	assert.Equal(t, pool.Stats().Dials, uint64(2))
}

// At the limit on connections a repeated request is sent on a new connection that replaces an idle one, so that it is not refused while
// its endpoint has connections to spare.
func TestRepeatedRequestReplacesAnIdleConnectionAtTheLimit(t *testing.T) {
	target := startFakeEndpoint(t, serveAll)
	target.MaxConns = 1
	pool := newTestPool(t, Options{})
	repeated := newRequest("a")
	for range 3 {
		body, err := roundTripBody(pool, target, repeated)
		assert.NilError(t, err)
		assert.Equal(t, body, "/a")
		assert.Equal(t, pool.Stats().Open, 1)
		wantBody(t, pool, target, "b")
	}
	assert.Equal(t, pool.Stats().Dials, uint64(3))
}

// busyEndpoint declines some requests, numbers the attempts of each, and sends copies of earlier responses where the next response should
// be, also of responses that are several exchanges old.
type busyEndpoint struct {
	mu       sync.Mutex
	random   *rand.Rand
	attempts map[string]int
}

// attempt counts an attempt, and decides whether it is declined and which earlier response precedes its own; -1: none.
func (b *busyEndpoint) attempt(id string, earlier int) (number int, declined bool, copied int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.attempts[id]++
	copied = -1
	if earlier > 0 && b.random.IntN(3) == 0 {
		copied = b.random.IntN(earlier)
	}
	return b.attempts[id], b.random.IntN(2) == 0, copied
}

func (b *busyEndpoint) serve(_ *testing.T, _ int, conn *net.TCPConn, reader *bufio.Reader) {
	var earlier []string
	for request := readRequest(reader); request != nil; request = readRequest(reader) {
		id := request.Header.Get(headerRequestID)
		number, declined, copied := b.attempt(id, len(earlier))
		if copied >= 0 {
			io.WriteString(conn, earlier[copied])
		}
		status := "200 OK"
		if declined {
			status = "503 Service Unavailable"
		}
		response := fmt.Sprintf("HTTP/1.1 %s\r\nX-Request-Id: %s\r\nX-Attempt: %d\r\nContent-Length: 0\r\n\r\n", status, id, number)
		io.WriteString(conn, response)
		earlier = append(earlier, response)
	}
}

// Requests are sent again in any order until they are not declined, to an endpoint that sends copies of earlier responses. Each response
// belongs to the attempt that it is returned for.
func TestResponsesBelongToTheirAttempts(t *testing.T) {
	const seeds, requests = 40, 60
	for seed := range uint64(seeds) {
		random := rand.New(rand.NewPCG(seed, 1))
		endpoint := &busyEndpoint{random: rand.New(rand.NewPCG(seed, 2)), attempts: make(map[string]int)}
		target := startFakeEndpoint(t, endpoint.serve)
		target.MaxConns = 1 + random.IntN(4)
		pool := newTestPool(t, Options{})
		var open []*Request
		sent := make(map[string]int)
		for started := 0; started < requests || len(open) > 0; {
			if started < requests && (len(open) == 0 || random.IntN(3) == 0) {
				open = append(open, newRequest(fmt.Sprintf("r%d", started)))
				started++
			}
			index := random.IntN(len(open))
			request := open[index]
			sent[request.ID]++
			response, err := pool.Do(context.Background(), target, request)
			assert.NilError(t, err, "seed %d", seed)
			assert.Equal(t, response.Header.Get("X-Attempt"), fmt.Sprint(sent[request.ID]), "seed %d, request %s", seed, request.ID)
			if response.Status == http.StatusOK {
				open = append(open[:index], open[index+1:]...)
			}
			response.Close()
		}
	}
}
