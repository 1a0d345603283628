package proxy

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/config"
	"wallflow/internal/selector"
)

func eventText(id int) string { return fmt.Sprintf("id: %d\ndata: piece %d\n\n", id, id) }

// eventsText returns the events with the ids from first to last.
func eventsText(first, last int) string {
	text := ""
	for id := first; id <= last; id++ {
		text += eventText(id)
	}
	return text
}

func writeStreamHead(conn net.Conn, request endpointRequest) {
	writeHead(conn, request, http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nVersions: 4\r\n")
}

func writeChunk(conn net.Conn, text string) { fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }

// firstEventID returns the id of the first event that a request asks for.
func firstEventID(request endpointRequest) int {
	last, err := strconv.Atoi(request.Header.Get(headerLastEventID))
	if err != nil {
		return 1
	}
	return last + 1
}

// streamEvents sends events up to the id last, and then ends the stream properly.
func streamEvents(last int) endpointHandler {
	return func(conn *net.TCPConn, request endpointRequest) bool {
		writeStreamHead(conn, request)
		for id := firstEventID(request); id <= last; id++ {
			writeChunk(conn, eventText(id))
		}
		io.WriteString(conn, "0\r\n\r\n")
		return true
	}
}

// streamEventsThenClose sends events up to the id last and then trailing, and closes the connection without the last chunk.
func streamEventsThenClose(last int, trailing string) endpointHandler {
	return func(conn *net.TCPConn, request endpointRequest) bool {
		writeStreamHead(conn, request)
		if text := eventsText(firstEventID(request), last) + trailing; text != "" {
			writeChunk(conn, text)
		}
		return false
	}
}

func wantStream(t *testing.T, got clientResponse, stamp string, last int) {
	t.Helper()
	wantResponse(t, got, http.StatusOK, stamp, eventsText(1, last))
	assert.Equal(t, got.Header.Get(headerContentType), eventStream)
}

func TestStreamIsForwardedWhole(t *testing.T) {
	endpoint := newFakeEndpoint(t, "i-1", streamEvents(9))
	relay := newTestRelay(t, compiledConfig(config.KindStreaming, nil), newFakeChooser(endpoint), nil)
	client := relay.connect()
	for range 2 { // the second request reuses the connections on both sides
		client.sendRequest("POST", "/x", "id1", "", "")
		wantStream(t, client.readResponse(), stampOf("i-1"), 9)
	}
	assert.Equal(t, relay.chooser.firstBytes, 2)
}

func TestStreamWithoutEvents(t *testing.T) {
	relay := newTestRelay(t, compiledConfig(config.KindStreaming, nil),
		newFakeChooser(newFakeEndpoint(t, "i-1", streamEvents(0))), nil)
	wantStream(t, relay.requestOnce("", ""), stampOf("i-1"), 0)
}

func TestBytesAfterLastEventAreForwarded(t *testing.T) {
	endpoint := newFakeEndpoint(t, "i-1", func(conn *net.TCPConn, request endpointRequest) bool {
		writeStreamHead(conn, request)
		writeChunk(conn, eventText(1)+"data: end")
		io.WriteString(conn, "0\r\n\r\n")
		return true
	})
	relay := newTestRelay(t, compiledConfig(config.KindStreaming, nil), newFakeChooser(endpoint), nil)
	wantResponse(t, relay.requestOnce("", ""), http.StatusOK, stampOf("i-1"), eventText(1)+"data: end")
}

func TestEventsAreForwardedImmediately(t *testing.T) {
	received := make(chan bool)
	endpoint := newFakeEndpoint(t, "i-1", func(conn *net.TCPConn, request endpointRequest) bool {
		writeStreamHead(conn, request)
		for id := 1; id <= 3; id++ {
			writeChunk(conn, eventText(id)[:5]) // an event arrives in two parts
			writeChunk(conn, eventText(id)[5:])
			<-received // the next event is sent once the client has received this one
		}
		io.WriteString(conn, "0\r\n\r\n")
		return true
	})
	relay := newTestRelay(t, compiledConfig(config.KindStreaming, nil), newFakeChooser(endpoint), nil)
	client := relay.connect()
	client.sendRequest("POST", "/x", "id1", "", "")
	response, err := http.ReadResponse(client.reader, nil)
	assert.NilError(t, err)
	for id := 1; id <= 3; id++ {
		event := make([]byte, len(eventText(id)))
		_, err := io.ReadFull(response.Body, event)
		assert.NilError(t, err)
		assert.Equal(t, string(event), eventText(id))
		received <- true
	}
	rest, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(rest), 0)
}

func TestTruncatedStreamResumesAtAnotherEndpoint(t *testing.T) {
	for name, first := range map[string]endpointHandler{
		"between events":   streamEventsThenClose(3, ""),
		"within an event":  streamEventsThenClose(3, "id: 4\ndata: pie"),
		"no event":         streamEventsThenClose(0, ""),
		"part of an event": streamEventsThenClose(0, "id: 1\nda"),
	} {
		t.Run(name, func(t *testing.T) {
			one, two := newFakeEndpoint(t, "i-1", first), newFakeEndpoint(t, "i-2", streamEvents(7))
			relay := newTestRelay(t, compiledConfig(config.KindStreaming, withResume), newFakeChooser(one, two), nil)
			got := relay.requestOnce("", "body")
			if name == "no event" || name == "part of an event" { // nothing was forwarded
				wantStream(t, got, stampOf("i-2"), 7)
				return
			}
			wantStream(t, got, stampOf("i-1"), 7)
			second := <-two.requests
			assert.Equal(t, second.Header.Get(headerLastEventID), "3")
			assert.Equal(t, second.Header.Get(headerExpectVersion), "4")
			assert.Equal(t, second.Header.Get(headerExpectInstance), "i-2")
			assert.Equal(t, second.body, "body")
			assert.Equal(t, relay.server.Stats().Resumed, uint64(1))
		})
	}
}

func TestStreamResumesTwiceDespiteRefusals(t *testing.T) {
	endpoints := []*fakeEndpoint{
		newFakeEndpoint(t, "i-1", streamEventsThenClose(2, "id: 3")), newFakeEndpoint(t, "i-2", decline(503)),
		newFakeEndpoint(t, "i-3", streamEventsThenClose(5, "")), newFakeEndpoint(t, "i-4", respondWith(500, "own", "")),
		newFakeEndpoint(t, "i-5", respondWith(404, "own", "")), newFakeEndpoint(t, "i-6", streamEvents(6)),
	}
	relay := newTestRelay(t, compiledConfig(config.KindStreaming, withResume), newFakeChooser(endpoints...), nil)
	wantStream(t, relay.requestOnce("", ""), stampOf("i-1"), 6)
}

func TestLastEventIDOfClientIsForwarded(t *testing.T) {
	one, two := newFakeEndpoint(t, "i-1", streamEventsThenClose(0, "")), newFakeEndpoint(t, "i-2", streamEvents(7))
	relay := newTestRelay(t, compiledConfig(config.KindStreaming, withResume), newFakeChooser(one, two), nil)
	wantResponse(t, relay.requestOnce("Last-Event-Id: 5\r\n", ""), http.StatusOK, stampOf("i-2"), eventsText(6, 7))
	assert.Equal(t, (<-one.requests).Header.Get(headerLastEventID), "5")
	assert.Equal(t, (<-two.requests).Header.Get(headerLastEventID), "5")
}

// If no endpoint can resume a truncated stream, the client must see that it is incomplete.
func TestStreamThatCannotResumeDoesNotLookComplete(t *testing.T) {
	restartStream := func(conn *net.TCPConn, request endpointRequest) bool {
		request.Header.Del(headerLastEventID)
		return streamEvents(7)(conn, request)
	}
	withoutID := streamEventsThenClose(3, "data: no id\n\n")
	for name, c := range map[string]struct {
		change      func(*config.Document)
		first, next endpointHandler
		body        string
		calls       int
	}{
		"no resume":      {nil, streamEventsThenClose(3, "id: 4"), streamEvents(7), eventsText(1, 3), 0},
		"restarts":       {withResume, streamEventsThenClose(3, ""), restartStream, eventsText(1, 3), 1},
		"error response": {withResume, streamEventsThenClose(3, ""), respondWith(500, "own", ""), eventsText(1, 3), 1},
		"no stream":      {withResume, streamEventsThenClose(3, ""), respondWith(200, "plain", ""), eventsText(1, 3), 1},
		"declined":       {withResume, streamEventsThenClose(3, ""), decline(503), eventsText(1, 3), 1},
		"no ids":         {withResume, withoutID, streamEvents(7), eventsText(1, 3) + "data: no id\n\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			one, two := newFakeEndpoint(t, "i-1", c.first), newFakeEndpoint(t, "i-2", c.next)
			relay := newTestRelay(t, compiledConfig(config.KindStreaming, c.change), newFakeChooser(one, two), nil)
			got := relay.requestOnce("", "")
			assert.Equal(t, got.Header.Get(headerStamp), stampOf("i-1"))
			assert.Assert(t, got.err != nil, "the truncated response looks complete")
			assert.Equal(t, got.body, c.body)
			assert.Equal(t, len(two.requests), c.calls)
		})
	}
}

func TestOutOfOrderEventsAreNotForwarded(t *testing.T) {
	endpoint := newFakeEndpoint(t, "i-1", func(conn *net.TCPConn, request endpointRequest) bool {
		writeStreamHead(conn, request)
		writeChunk(conn, eventText(1)+eventText(2)+eventText(2)+eventText(3))
		io.WriteString(conn, "0\r\n\r\n")
		return true
	})
	relay := newTestRelay(t, compiledConfig(config.KindStreaming, nil), newFakeChooser(endpoint), nil)
	got := relay.requestOnce("", "")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, eventsText(1, 2))
	assert.Equal(t, relay.server.Stats().OutOfOrder, uint64(1))
}

func TestNonResumableStreamThatFailsBeforeFirstEvent(t *testing.T) {
	one, two := newFakeEndpoint(t, "i-1", streamEventsThenClose(0, "id: 1")), newFakeEndpoint(t, "i-2", streamEvents(7))
	relay := newTestRelay(t, compiledConfig(config.KindStreaming, nil), newFakeChooser(one, two), nil)
	wantResponse(t, relay.requestOnce("", ""), http.StatusBadGateway, "", "")
	assert.Equal(t, len(two.requests), 0)
}

// The attempt timeout applies until the first event. After it, a pause does not end the stream.
func TestAttemptTimeoutAppliesOnlyBeforeFirstEvent(t *testing.T) {
	resume := make(chan bool)
	pauseAfterFirstEvent := func(conn *net.TCPConn, request endpointRequest) bool {
		writeStreamHead(conn, request)
		writeChunk(conn, eventText(1))
		<-resume
		writeChunk(conn, eventText(2))
		io.WriteString(conn, "0\r\n\r\n")
		return true
	}
	sendHeadOnly := func(conn *net.TCPConn, request endpointRequest) bool { writeStreamHead(conn, request); return true }
	one, two := newFakeEndpoint(t, "i-1", sendHeadOnly), newFakeEndpoint(t, "i-2", pauseAfterFirstEvent)
	chooser := newFakeChooser(one, two)
	chooser.attemptTimeout = 100 * time.Millisecond
	relay := newTestRelay(t, compiledConfig(config.KindStreaming, withResume), chooser, nil)
	client := relay.connect()
	client.sendRequest("POST", "/x", "id1", "", "")
	response, err := http.ReadResponse(client.reader, nil)
	assert.NilError(t, err)
	time.AfterFunc(2*chooser.attemptTimeout, func() { close(resume) })
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), eventsText(1, 2))
	assert.Equal(t, response.Header.Get(headerStamp), stampOf("i-2"))
	assert.Equal(t, relay.outcome(0).Kind, selector.TimedOut)
}

func TestStreamIsAbortedAtDeadline(t *testing.T) {
	endpoint := newFakeEndpoint(t, "i-1", func(conn *net.TCPConn, request endpointRequest) bool {
		writeStreamHead(conn, request)
		writeChunk(conn, eventText(1))
		return true // the connection stays open without further events
	})
	relay := newTestRelay(t, compiledConfig(config.KindStreaming, withResume), newFakeChooser(endpoint), nil)
	got := relay.requestOnce("X-Deadline-Ms: 200\r\n", "")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, eventText(1))
	endpoint.waitUntilClosed(t)
}

func TestClientDisconnectDuringStream(t *testing.T) {
	endpoint := newFakeEndpoint(t, "i-1", func(conn *net.TCPConn, request endpointRequest) bool {
		writeStreamHead(conn, request)
		writeChunk(conn, eventText(1))
		return true
	})
	relay := newTestRelay(t, compiledConfig(config.KindStreaming, withResume), newFakeChooser(endpoint), nil)
	client := relay.connect()
	client.sendRequest("POST", "/x", "id1", "", "")
	_, err := http.ReadResponse(client.reader, nil)
	assert.NilError(t, err)
	client.Close()
	endpoint.waitUntilClosed(t)
	relay.drainAll(t)
	assert.Equal(t, relay.outcome(0).Kind, selector.ClientGone)
}

func TestResumedStreamExpectsVersionOfLastEvent(t *testing.T) {
	one := newFakeEndpoint(t, "i-1", streamEventsThenClose(1, "versions: 9\n"+eventText(2)))
	two := newFakeEndpoint(t, "i-2", streamEvents(3))
	relay := newTestRelay(t, compiledConfig(config.KindStreaming, withResume), newFakeChooser(one, two), nil)
	wantResponse(t, relay.requestOnce("", ""), http.StatusOK, stampOf("i-1"), eventText(1)+"versions: 9\n"+eventText(2)+eventText(3))
	assert.Equal(t, (<-two.requests).Header.Get(headerExpectVersion), "9")
}
