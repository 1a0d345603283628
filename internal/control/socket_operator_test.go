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

// operatorConn is a TCP connection of an operator, on which a test writes and reads raw HTTP.
type operatorConn struct {
	t      *testing.T
	conn   *net.TCPConn
	reader *bufio.Reader
}

// newServedCluster starts three control processes. The API of the first one is served by the same HTTP server as in production.
func newServedCluster(t *testing.T) (c *socketCluster, server *httpapi.Server) {
	t.Helper()
	c = newSocketCluster(t, 3)
	server = c.machines[0].listen(t)
	serveUntilEnd(t, server)
	c.putVersion(1)
	return c, server
}

// listen returns the HTTP server of a process as in production, which does not serve yet.
func (m *socketMachine) listen(t *testing.T) *httpapi.Server {
	t.Helper()
	server, err := httpapi.Listen(httpapi.Options{
		Address: "127.0.0.1:0", Handler: m.process.ControlHandler(), OnAccept: m.process.OnAccept,
	})
	assert.NilError(t, err)
	return server
}

// serveUntilEnd serves until the test ends.
func serveUntilEnd(t *testing.T, server *httpapi.Server) {
	served := make(chan error, 1)
	go func() { served <- server.Serve() }()
	t.Cleanup(func() {
		server.ShutDown()
		assert.NilError(t, <-served)
	})
}

// putVersion puts a version at the first process, and retries until it is accepted.
func (c *socketCluster) putVersion(version uint64) {
	c.t.Helper()
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		status, answer := c.call(c.machines[0], http.MethodPut, "/config", fmt.Sprint(version-1), versionDocument(version))
		if status == http.StatusOK {
			return
		}
		assert.Assert(c.t, status == 0 || status == http.StatusServiceUnavailable, "%d %s", status, answer)
		assert.Assert(c.t, time.Since(began) < socketTimeout, "version %d is not accepted", version)
	}
}

func versionDocument(version uint64) string {
	return string(documentOf(version, fmt.Sprint("v", version)))
}

func dialOperator(t *testing.T, server *httpapi.Server) *operatorConn {
	t.Helper()
	conn, err := net.Dial("tcp", server.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { conn.Close() })
	assert.NilError(t, conn.SetDeadline(time.Now().Add(socketTimeout)))
	return &operatorConn{t: t, conn: conn.(*net.TCPConn), reader: bufio.NewReader(conn)}
}

func putRequest(match uint64, body string) string {
	return fmt.Sprintf("PUT /config HTTP/1.1\r\nHost: control\r\nIf-Match: %d\r\nContent-Length: %d\r\n\r\n%s", match, len(body), body)
}

const getRequest = "GET /config HTTP/1.1\r\nHost: control\r\n\r\n"

func (c *operatorConn) write(text string) {
	c.t.Helper()
	_, err := io.WriteString(c.conn, text)
	assert.NilError(c.t, err)
}

// readAnswer reads the next answer completely.
func (c *operatorConn) readAnswer() (status int, body []byte) {
	c.t.Helper()
	response, err := http.ReadResponse(c.reader, nil)
	assert.NilError(c.t, err)
	defer response.Body.Close()
	body, err = io.ReadAll(response.Body)
	assert.NilError(c.t, err)
	return response.StatusCode, body
}

// expectEOF checks that the connection ends without further data.
func (c *operatorConn) expectEOF() {
	c.t.Helper()
	rest, err := io.ReadAll(c.reader)
	assert.Equal(c.t, string(rest), "")
	assert.Assert(c.t, !errors.Is(err, os.ErrDeadlineExceeded), "the connection is not closed")
}

func generationOf(t *testing.T, body []byte) uint64 {
	t.Helper()
	document, err := config.Parse(body)
	assert.NilError(t, err, "%s", body)
	return document.Generation
}

// Pipelined requests on one connection get their own answers in order, however long each takes.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	t.Parallel()
	_, server := newServedCluster(t)
	operator := dialOperator(t, server)
	operator.write(putRequest(1, versionDocument(2)) + getRequest + putRequest(1, versionDocument(3)) +
		putRequest(2, versionDocument(4)) + getRequest)
	for number, want := range []struct {
		status     int
		generation uint64
	}{{http.StatusOK, 0}, {http.StatusOK, 2}, {http.StatusPreconditionFailed, 0}, {http.StatusOK, 0}, {http.StatusOK, 4}} {
		status, body := operator.readAnswer()
		assert.Equal(t, status, want.status, "answer %d: %s", number, body)
		if want.generation > 0 {
			assert.Equal(t, generationOf(t, body), want.generation)
		}
	}
}

// An order whose body is incomplete is not accepted, whether its connection ends, is reset, or carries another request in place of the
// rest of the body.
func TestIncompleteOrderIsNotAccepted(t *testing.T) {
	t.Parallel()
	c, server := newServedCluster(t)
	order := putRequest(1, versionDocument(2))
	for name, end := range map[string]func(*operatorConn){
		"ends": func(operator *operatorConn) {
			assert.NilError(t, operator.conn.CloseWrite())
			operator.readAnswer()
			operator.expectEOF()
		},
		"reset": func(operator *operatorConn) { assert.NilError(t, operator.conn.SetLinger(0)); operator.conn.Close() },
		"another request": func(operator *operatorConn) {
			operator.write(getRequest) // is read as the rest of the body, not as a request
			status, body := operator.readAnswer()
			assert.Equal(t, status, http.StatusBadRequest, "%s", body)
		},
	} {
		operator := dialOperator(t, server)
		operator.write(order[:len(order)-len(getRequest)])
		end(operator)
		status, body := c.call(c.machines[0], http.MethodGet, "/config", "", "")
		assert.Equal(t, status, http.StatusOK, name)
		assert.Equal(t, generationOf(t, body), uint64(1), name)
	}
}

// An operator disconnects right after sending an order. All processes must agree on the outcome, and the order must be accepted when it is
// sent again.
func TestOrderOfDisconnectedOperatorIsAcceptedAtMostOnce(t *testing.T) {
	t.Parallel()
	c, server := newServedCluster(t)
	for version := uint64(2); version < 12; version++ {
		operator := dialOperator(t, server)
		operator.write(putRequest(version-1, versionDocument(version)))
		assert.NilError(t, operator.conn.SetLinger(0))
		operator.conn.Close()
		c.putVersion(version)
		for _, m := range c.machines {
			status, body := c.call(m, http.MethodGet, "/config", "", "")
			assert.Equal(t, status, http.StatusOK)
			assert.Equal(t, generationOf(t, body), version)
		}
	}
}

// A process that shuts down answers the requests in flight, and closes idle connections without sending anything.
func TestRequestsInFlightAreAnsweredAtShutdown(t *testing.T) {
	t.Parallel()
	c, server := newServedCluster(t)
	idle, waiting := dialOperator(t, server), dialOperator(t, server)
	idle.write(getRequest)
	status, _ := idle.readAnswer()
	assert.Equal(t, status, http.StatusOK)
	for _, m := range c.machines[1:] {
		c.isolate(m, false, false) // so that the order cannot be committed
	}
	waiting.write(putRequest(1, versionDocument(2)))
	time.Sleep(100 * time.Millisecond)
	server.ShutDown()
	status, body := waiting.readAnswer()
	assert.Equal(t, status, http.StatusServiceUnavailable, "%s", body)
	waiting.expectEOF()
	idle.expectEOF()
	c.heal()
	c.putVersion(2)
}

// Many operators send different requests at once. No operator may get data of another's answer.
func TestConcurrentOperatorsGetTheirOwnAnswers(t *testing.T) {
	t.Parallel()
	_, server := newServedCluster(t)
	const operators, calls = 8, 25
	results := make(chan string, operators)
	for number := range operators {
		operator := dialOperator(t, server)
		go func() {
			for call := range calls {
				name := fmt.Sprintf("nobody-%d-%d", number, call)
				if _, err := io.WriteString(operator.conn, "POST /drain/"+name+" HTTP/1.1\r\nHost: control\r\n\r\n"); err != nil {
					results <- err.Error()
					return
				}
				response, err := http.ReadResponse(operator.reader, nil)
				if err != nil {
					results <- err.Error()
					return
				}
				body, _ := io.ReadAll(response.Body)
				if response.StatusCode != http.StatusNotFound || !strings.Contains(string(body), name+`"`) {
					results <- fmt.Sprintf("%s: %d %s", name, response.StatusCode, body)
					return
				}
			}
			results <- ""
		}()
	}
	for range operators {
		assert.Equal(t, <-results, "")
	}
}
