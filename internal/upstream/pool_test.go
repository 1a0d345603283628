package upstream

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestKeptConnectionThatEndedIsNotUsed(t *testing.T) {
	over := make(chan bool)
	target := standIn(t, func(t *testing.T, n int, conn *net.TCPConn, reader *bufio.Reader) {
		if n > 0 {
			answersAll(t, n, conn, reader)
			return
		}
		receive(reader)
		answer(conn, "a", "/a")
		conn.CloseWrite() // the end is there before anything goes on
		close(over)
		io.Copy(io.Discard, reader)
	})
	pool := newTestPool(t, Options{})
	wantBody(t, pool, target, "a")
	<-over
	wantBody(t, pool, target, "b")
	stats := pool.Stats()
	assert.Equal(t, stats.Stale, uint64(1))
	assert.Equal(t, stats.Dials, uint64(2))
	assert.Equal(t, stats.Open, 1)
}

func TestBytesBehindAnAnswerBelongToNobody(t *testing.T) {
	written := make(chan bool)
	target := standIn(t, func(t *testing.T, n int, conn *net.TCPConn, reader *bufio.Reader) {
		if n > 0 {
			answersAll(t, n, conn, reader)
			return
		}
		receive(reader)
		answer(conn, "a", "/a")
		answer(conn, "b", "stolen")
		close(written)
		io.Copy(io.Discard, reader)
	})
	pool := newTestPool(t, Options{})
	wantBody(t, pool, target, "a")
	<-written
	wantBody(t, pool, target, "b")
	assert.Equal(t, pool.Stats().Dials, uint64(2))
}

func TestLateExtraAnswerIsSkipped(t *testing.T) {
	target := standIn(t, func(t *testing.T, n int, conn *net.TCPConn, reader *bufio.Reader) {
		if n > 0 {
			answersAll(t, n, conn, reader)
			return
		}
		receive(reader)
		answer(conn, "a", "/a")
		receive(reader)
		answer(conn, "a", "/a") // in the place of the answer to b
		answer(conn, "b", "/b")
		io.Copy(io.Discard, reader)
	})
	pool := newTestPool(t, Options{})
	for _, id := range []string{"a", "b", "c"} {
		wantBody(t, pool, target, id)
	}
	stats := pool.Stats()
	assert.Equal(t, stats.Extra, uint64(1))
	assert.Equal(t, stats.Dials, uint64(2)) // the odd connection was not kept
}

func TestTheSameRequestGoesOnAnotherConnection(t *testing.T) {
	target := standIn(t, answersAll)
	pool := newTestPool(t, Options{})
	wantBody(t, pool, target, "a")
	wantBody(t, pool, target, "a")
	assert.Equal(t, pool.Stats().Dials, uint64(2))
	wantBody(t, pool, target, "b")
	assert.Equal(t, pool.Stats().Dials, uint64(2))
}

func TestIdleTimeOfTheEndpointIsRespected(t *testing.T) {
	for name, c := range map[string]struct {
		header string
		rested time.Duration
		dials  uint64
	}{
		"within four fifths": {"Keep-Alive: timeout=5, max=9", 3900 * time.Millisecond, 1},
		"beyond":             {"Keep-Alive: timeout=5", 4000 * time.Millisecond, 2},
		"no time":            {"Keep-Alive: timeout=0", 0, 2},
		"not told":           {"X: y", 9 * time.Second, 1},
		"not told, beyond":   {"X: y", 10 * time.Second, 2},
		"close":              {"Connection: close", 0, 2},
	} {
		t.Run(name, func(t *testing.T) {
			target := standIn(t, func(_ *testing.T, _ int, conn *net.TCPConn, reader *bufio.Reader) {
				for request := receive(reader); request != nil; request = receive(reader) {
					id := request.Header.Get(headerRequestID)
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s\r\nX-Request-Id: %s\r\nContent-Length: 2\r\n\r\n/%s", c.header, id, id)
				}
			})
			now := time.Unix(1_000_000, 0)
			pool := newTestPool(t, Options{Now: func() time.Time { return now }})
			wantBody(t, pool, target, "a")
			now = now.Add(c.rested)
			wantBody(t, pool, target, "b")
			assert.Equal(t, pool.Stats().Dials, c.dials)
		})
	}
}

func TestSweepClosesWhatRestedTooLong(t *testing.T) {
	target := standIn(t, answersAll)
	now := time.Unix(1_000_000, 0)
	pool := newTestPool(t, Options{Now: func() time.Time { return now }})
	wantBody(t, pool, target, "a")
	pool.Sweep()
	assert.Equal(t, pool.Stats().Idle, 1)
	now = now.Add(defaultIdle)
	pool.Sweep()
	assert.Equal(t, pool.Stats().Open, 0)
	assert.Equal(t, len(pool.endpoints), 0)
}

func TestForgetClosesIdleConnections(t *testing.T) {
	ended := make(chan bool)
	target := standIn(t, func(t *testing.T, n int, conn *net.TCPConn, reader *bufio.Reader) {
		answersAll(t, n, conn, reader)
		close(ended)
	})
	pool := newTestPool(t, Options{})
	wantBody(t, pool, target, "a")
	pool.Forget(target.InstanceID)
	<-ended
	assert.Equal(t, pool.Stats().Open, 0)
}

func TestConnectionInUseIsClosedAfterItsInstanceWent(t *testing.T) {
	target := standIn(t, answersAll)
	pool := newTestPool(t, Options{})
	response, err := pool.Do(context.Background(), target, newRequest("a"))
	assert.NilError(t, err)
	pool.Forget(target.InstanceID)
	body, err := io.ReadAll(response)
	assert.NilError(t, err)
	assert.Equal(t, string(body), "/a")
	response.Close()
	assert.Equal(t, pool.Stats().Open, 0)
}

func TestNoMoreConnectionsThanTheTargetAllows(t *testing.T) {
	target := standIn(t, answersAll)
	target.MaxConns = 1
	pool := newTestPool(t, Options{})
	response, err := pool.Do(context.Background(), target, newRequest("a"))
	assert.NilError(t, err)
	_, err = pool.Do(context.Background(), target, newRequest("b"))
	wantFailure(t, err, Crowded, false)
	_, err = io.ReadAll(response)
	assert.NilError(t, err)
	response.Close()
	wantBody(t, pool, target, "b")
}

func TestNewConnectionThatEndsAtOnceTookNothing(t *testing.T) {
	ours, theirs := pipeOfSockets(t)
	theirs.CloseWrite()
	pool := newTestPool(t, Options{Dial: func(context.Context, string) (net.Conn, error) { return ours, nil }})
	_, err := exchangeWhole(pool, Target{InstanceID: "i-1"}, newRequest("a"))
	wantFailure(t, err, ConnectFailed, false)
	assert.Equal(t, pool.Stats().Open, 0)
}

// refusing is a connection that takes no byte.
type refusing struct{ net.Conn }

func (refusing) Write([]byte) (int, error) { return 0, errors.New("takes nothing") }

func TestConnectionThatTakesNoByte(t *testing.T) {
	ours, _ := pipeOfSockets(t)
	pool := newTestPool(t, Options{Dial: func(context.Context, string) (net.Conn, error) { return refusing{ours}, nil }})
	_, err := exchangeWhole(pool, Target{InstanceID: "i-1"}, newRequest("a"))
	wantFailure(t, err, NotSent, false)
}

func pipeOfSockets(t *testing.T) (ours, theirs *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	dialled, err := net.Dial("tcp4", listener.Addr().String())
	assert.NilError(t, err)
	accepted, err := listener.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() { dialled.Close(); accepted.Close() })
	return dialled.(*net.TCPConn), accepted.(*net.TCPConn)
}
