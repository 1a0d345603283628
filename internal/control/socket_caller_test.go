package control

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/config"
	"wallflow/internal/httpapi"
)

// caller is one connection of an operator, written and read by hand.
type caller struct {
	t      *testing.T
	conn   *net.TCPConn
	reader *bufio.Reader
}

// servedCore is a core of three with the API of its first process served as in service.
func servedCore(t *testing.T) (c *socketCore, server *httpapi.Server) {
	t.Helper()
	c = newSocketCore(t, 3)
	server, err := httpapi.Listen("127.0.0.1:0", c.machines[0].process.ControlHandler())
	assert.NilError(t, err)
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	t.Cleanup(func() {
		server.ShutDown()
		assert.NilError(t, <-served)
	})
	c.put(1)
	return c, server
}

// put has a version taken by the first process, whatever it takes.
func (c *socketCore) put(version uint64) {
	c.t.Helper()
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		status, answer := c.call(c.machines[0], http.MethodPut, "/config", fmt.Sprint(version-1), versionText(version))
		if status == http.StatusOK {
			return
		}
		assert.Assert(c.t, status == 0 || status == http.StatusServiceUnavailable, "%d %s", status, answer)
		assert.Assert(c.t, time.Since(began) < socketUpWithin, "version %d is not taken", version)
	}
}

func versionText(version uint64) string { return string(documentOf(version, fmt.Sprint("v", version))) }

func dialCaller(t *testing.T, server *httpapi.Server) *caller {
	t.Helper()
	conn, err := net.Dial("tcp", server.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(socketUpWithin)))
	return &caller{t: t, conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
}

func orderText(match uint64, body string) string {
	return fmt.Sprintf("PUT /config HTTP/1.1\r\nHost: control\r\nIf-Match: %d\r\nContent-Length: %d\r\n\r\n%s", match, len(body), body)
}

const readText = "GET /config HTTP/1.1\r\nHost: control\r\n\r\n"

func (c *caller) write(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	assert.NilError(c.t, err)
}

// answer reads the next answer whole.
func (c *caller) answer() (status int, body []byte) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	assert.NilError(c.t, err)
	return response.StatusCode, body
}

// silent holds that nothing more comes on a connection before it ends.
func (c *caller) silent() {
	c.t.Helper()
	rest, err := io.ReadAll(c.reader)
	assert.Equal(c.t, string(rest), "")
	assert.Assert(c.t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection does not end")
}

func generationOf(t *testing.T, body []byte) uint64 {
	t.Helper()
	document, err := config.Parse(body)
	assert.NilError(t, err, "%s", body)
	return document.Generation
}

// Requests that come one behind the other on a connection get their own answers in their order, however long each takes.
func TestPipelinedCallsGetTheirOwnAnswers(t *testing.T) {
	t.Parallel()
	_, server := servedCore(t)
	operator := dialCaller(t, server)
	operator.write(orderText(1, versionText(2)) + readText + orderText(1, versionText(3)) + orderText(2, versionText(4)) + readText)
	for number, want := range []struct {
		status     int
		generation uint64
	}{{http.StatusOK, 0}, {http.StatusOK, 2}, {http.StatusPreconditionFailed, 0}, {http.StatusOK, 0}, {http.StatusOK, 4}} {
		status, body := operator.answer()
		assert.Equal(t, status, want.status, "answer %d: %s", number, body)
		if want.generation > 0 {
			assert.Equal(t, generationOf(t, body), want.generation)
		}
	}
}

// An order of which a part alone has come is not taken, whether its connection ends, is reset, or another request seems to follow in the
// place of the rest.
func TestOrderThatDidNotComeWholeIsNotTaken(t *testing.T) {
	t.Parallel()
	c, server := servedCore(t)
	order := orderText(1, versionText(2))
	for name, end := range map[string]func(*caller){
		"ends": func(operator *caller) {
			assert.NilError(t, operator.conn.CloseWrite())
			operator.answer()
			operator.silent()
		},
		"reset": func(operator *caller) { assert.NilError(t, operator.conn.SetLinger(0)); operator.conn.Close() },
		"another request": func(operator *caller) {
			operator.write(readText) // is the rest of the body, and no request
			status, body := operator.answer()
			assert.Equal(t, status, http.StatusBadRequest, "%s", body)
		},
	} {
		operator := dialCaller(t, server)
		operator.write(order[:len(order)-len(readText)])
		end(operator)
		status, body := c.call(c.machines[0], http.MethodGet, "/config", "", "")
		assert.Equal(t, status, http.StatusOK, name)
		assert.Equal(t, generationOf(t, body), uint64(1), name)
	}
}

// An operator is gone right after it has sent its order. What became of it is the same for everybody, and the order sent again is taken.
func TestOrderWhoseCallerLeftIsTakenOnceAtMost(t *testing.T) {
	t.Parallel()
	c, server := servedCore(t)
	for version := uint64(2); version < 12; version++ {
		operator := dialCaller(t, server)
		operator.write(orderText(version-1, versionText(version)))
		assert.NilError(t, operator.conn.SetLinger(0))
		operator.conn.Close()
		c.put(version)
		for _, m := range c.machines {
			status, body := c.call(m, http.MethodGet, "/config", "", "")
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, generationOf(t, body), version)
		}
	}
}

// A process that is told to stop answers the calls that it has begun, and says nothing on connections at rest.
func TestCallsUnderWayAreAnsweredAtTheEnd(t *testing.T) {
	t.Parallel()
	c, server := servedCore(t)
	resting, waiting := dialCaller(t, server), dialCaller(t, server)
	resting.write(readText)
	status, _ := resting.answer()
	assert.Equal(t, status, http.StatusOK)
	for _, m := range c.machines[1:] {
		c.isolate(m, false, false) // so that the order waits
	}
	waiting.write(orderText(1, versionText(2)))
	time.Sleep(100 * time.Millisecond)
	server.ShutDown()
	status, body := waiting.answer()
	assert.Equal(t, status, http.StatusServiceUnavailable, "%s", body)
	waiting.silent()
	resting.silent()
	c.heal()
	c.put(2)
}

// The bytes of one caller never reach another: many call at once, each for something else.
func TestCallersAtOnceGetTheirOwnAnswers(t *testing.T) {
	t.Parallel()
	_, server := servedCore(t)
	const callers, calls = 8, 25
	failed := make(chan string, callers)
	for number := range callers {
		operator := dialCaller(t, server)
		go func() {
			for call := range calls {
				name := fmt.Sprintf("nobody-%d-%d", number, call)
				if _, err := io.WriteString(operator.conn, "POST /drain/"+name+" HTTP/1.1\r\nHost: control\r\n\r\n"); err != nil {
					failed <- err.Error()
					return
				}
				response, err := http.ReadResponse(operator.reader, nil)
				if err != nil {
					failed <- err.Error()
					return
				}
				body, _ := io.ReadAll(response.Body)
				if response.StatusCode != http.StatusNotFound || !strings.Contains(string(body), name+`"`) {
					failed <- fmt.Sprintf("%s: %d %s", name, response.StatusCode, body)
					return
				}
			}
			failed <- ""
		}()
	}
	for range callers {
		assert.Equal(t, <-failed, "")
	}
}
