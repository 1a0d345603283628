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

func eventsText(first, last int) string {
	text := ""
	for id := first; id <= last; id++ {
		text += eventText(id)
	}
	return text
}

func streamHead(conn net.Conn, request received) {
	head(conn, request, http.StatusOK, "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nVersions: 4\r\n")
}

func chunk(conn net.Conn, text string) { fmt.Fprintf(conn, "%x\r\n%s\r\n", len(text), text) }

// firstOf is the id that a stream begins with.
func firstOf(request received) int {
	last, err := strconv.Atoi(request.Header.Get(headerLastEventID))
	if err != nil {
		return 1
	}
	return last + 1
}

// streams sends events up to a last one, and the end.
func streams(last int) does {
	return func(conn *net.TCPConn, request received) bool {
		streamHead(conn, request)
		for id := firstOf(request); id <= last; id++ {
			chunk(conn, eventText(id))
		}
		io.WriteString(conn, "0\r\n\r\n")
		return true
	}
}

// streamsThen sends events up to a last one and more text, and then ends the connection without an end of the stream.
func streamsThen(last int, more string) does {
	return func(conn *net.TCPConn, request received) bool {
		streamHead(conn, request)
		if text := eventsText(firstOf(request), last) + more; text != "" {
			chunk(conn, text)
		}
		return false
	}
}

func wantStream(t *testing.T, got reply, stamp string, last int) {
	t.Helper()
	wantAnswer(t, got, http.StatusOK, stamp, eventsText(1, last))
	assert.Equal(t, got.Header.Get(headerContentType), eventStream)
}

func TestStreamPassesWhole(t *testing.T) {
	e := newStandIn(t, "i-1", streams(9))
	b := newBed(t, documentFor(config.KindStreaming, nil), newScript(e), nil)
	v := b.visit()
	for range 2 { // on kept connections, on both sides
		v.ask("POST", "/x", "id1", "", "")
		wantStream(t, v.answer(), stampOf("i-1"), 9)
	}
	assert.Equal(t, b.script.first, 2)
}

func TestStreamOfNoEvents(t *testing.T) {
	b := newBed(t, documentFor(config.KindStreaming, nil), newScript(newStandIn(t, "i-1", streams(0))), nil)
	wantStream(t, b.askOnce("", ""), stampOf("i-1"), 0)
}

func TestBytesBehindTheLastEventPassToo(t *testing.T) {
	e := newStandIn(t, "i-1", func(conn *net.TCPConn, request received) bool {
		streamHead(conn, request)
		chunk(conn, eventText(1)+"data: end")
		io.WriteString(conn, "0\r\n\r\n")
		return true
	})
	b := newBed(t, documentFor(config.KindStreaming, nil), newScript(e), nil)
	wantAnswer(t, b.askOnce("", ""), http.StatusOK, stampOf("i-1"), eventText(1)+"data: end")
}

func TestEventsPassAsTheyCome(t *testing.T) {
	seen := make(chan bool)
	e := newStandIn(t, "i-1", func(conn *net.TCPConn, request received) bool {
		streamHead(conn, request)
		for id := 1; id <= 3; id++ {
			chunk(conn, eventText(id)[:5]) // an event comes in two pieces
			chunk(conn, eventText(id)[5:])
			<-seen // the next one comes only once the client has this one
		}
		io.WriteString(conn, "0\r\n\r\n")
		return true
	})
	b := newBed(t, documentFor(config.KindStreaming, nil), newScript(e), nil)
	v := b.visit()
	v.ask("POST", "/x", "id1", "", "")
	response, err := http.ReadResponse(v.reader, nil)
	assert.NilError(t, err)
	for id := 1; id <= 3; id++ {
		event := make([]byte, len(eventText(id)))
		_, err := io.ReadFull(response.Body, event)
		assert.NilError(t, err)
		assert.Equal(t, string(event), eventText(id))
		seen <- true
	}
	rest, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, len(rest), 0)
}

func TestCutStreamGoesOnAtAnotherEndpoint(t *testing.T) {
	for name, first := range map[string]does{
		"between events":   streamsThen(3, ""),
		"within an event":  streamsThen(3, "id: 4\ndata: pie"),
		"before the event": streamsThen(0, ""),
		"half an event":    streamsThen(0, "id: 1\nda"),
	} {
		t.Run(name, func(t *testing.T) {
			one, two := newStandIn(t, "i-1", first), newStandIn(t, "i-2", streams(7))
			b := newBed(t, documentFor(config.KindStreaming, resumes), newScript(one, two), nil)
			got := b.askOnce("", "body")
			if name == "before the event" || name == "half an event" { // nothing had gone out
				wantStream(t, got, stampOf("i-2"), 7)
				return
			}
			wantStream(t, got, stampOf("i-1"), 7)
			second := <-two.got
			assert.Equal(t, second.Header.Get(headerLastEventID), "3")
			assert.Equal(t, second.Header.Get(headerExpectVersion), "4")
			assert.Equal(t, second.Header.Get(headerExpectInstance), "i-2")
			assert.Equal(t, second.body, "body")
			assert.Equal(t, b.server.Stats().Resumed, uint64(1))
		})
	}
}

func TestCutStreamGoesOnTwiceAndPastRefusals(t *testing.T) {
	endpoints := []*standIn{
		newStandIn(t, "i-1", streamsThen(2, "id: 3")), newStandIn(t, "i-2", declines(503)),
		newStandIn(t, "i-3", streamsThen(5, "")), newStandIn(t, "i-4", replies(500, "own", "")),
		newStandIn(t, "i-5", replies(404, "own", "")), newStandIn(t, "i-6", streams(6)),
	}
	b := newBed(t, documentFor(config.KindStreaming, resumes), newScript(endpoints...), nil)
	wantStream(t, b.askOnce("", ""), stampOf("i-1"), 6)
}

func TestClientsLastEventIDIsPassedOn(t *testing.T) {
	one, two := newStandIn(t, "i-1", streamsThen(0, "")), newStandIn(t, "i-2", streams(7))
	b := newBed(t, documentFor(config.KindStreaming, resumes), newScript(one, two), nil)
	wantAnswer(t, b.askOnce("Last-Event-Id: 5\r\n", ""), http.StatusOK, stampOf("i-2"), eventsText(6, 7))
	assert.Equal(t, (<-one.got).Header.Get(headerLastEventID), "5")
	assert.Equal(t, (<-two.got).Header.Get(headerLastEventID), "5")
}

func TestStreamThatCantGoOnDoesNotLookWhole(t *testing.T) {
	beginsAnew := func(conn *net.TCPConn, request received) bool {
		request.Header.Del(headerLastEventID)
		return streams(7)(conn, request)
	}
	unnamed := streamsThen(3, "data: no id\n\n")
	for name, c := range map[string]struct {
		change      func(*config.Document)
		first, next does
		body        string
		calls       int
	}{
		"no resume":    {nil, streamsThen(3, "id: 4"), streams(7), eventsText(1, 3), 0},
		"begins anew":  {resumes, streamsThen(3, ""), beginsAnew, eventsText(1, 3), 1},
		"own failure":  {resumes, streamsThen(3, ""), replies(500, "own", ""), eventsText(1, 3), 1},
		"other answer": {resumes, streamsThen(3, ""), replies(200, "plain", ""), eventsText(1, 3), 1},
		"declined":     {resumes, streamsThen(3, ""), declines(503), eventsText(1, 3), 1},
		"no ids":       {resumes, unnamed, streams(7), eventsText(1, 3) + "data: no id\n\n", 0},
	} {
		t.Run(name, func(t *testing.T) {
			one, two := newStandIn(t, "i-1", c.first), newStandIn(t, "i-2", c.next)
			b := newBed(t, documentFor(config.KindStreaming, c.change), newScript(one, two), nil)
			got := b.askOnce("", "")
			assert.Equal(t, got.Header.Get(headerStamp), stampOf("i-1"))
			assert.Assert(t, got.err != nil, "it looks whole")
			assert.Equal(t, got.body, c.body)
			assert.Equal(t, len(two.got), c.calls)
		})
	}
}

func TestStreamOutOfOrderIsNotPassed(t *testing.T) {
	e := newStandIn(t, "i-1", func(conn *net.TCPConn, request received) bool {
		streamHead(conn, request)
		chunk(conn, eventText(1)+eventText(2)+eventText(2)+eventText(3))
		io.WriteString(conn, "0\r\n\r\n")
		return true
	})
	b := newBed(t, documentFor(config.KindStreaming, nil), newScript(e), nil)
	got := b.askOnce("", "")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, eventsText(1, 2))
	assert.Equal(t, b.server.Stats().OutOfOrder, uint64(1))
}

func TestStreamWithoutResumeThatFailedBeforeAnEvent(t *testing.T) {
	one, two := newStandIn(t, "i-1", streamsThen(0, "id: 1")), newStandIn(t, "i-2", streams(7))
	b := newBed(t, documentFor(config.KindStreaming, nil), newScript(one, two), nil)
	wantAnswer(t, b.askOnce("", ""), http.StatusBadGateway, "", "")
	assert.Equal(t, len(two.got), 0)
}

// Before the first event an attempt is given up at its time; after it silence is no ground to end the stream.
func TestSilenceOfAStream(t *testing.T) {
	goOn := make(chan bool)
	pauses := func(conn *net.TCPConn, request received) bool {
		streamHead(conn, request)
		chunk(conn, eventText(1))
		<-goOn
		chunk(conn, eventText(2))
		io.WriteString(conn, "0\r\n\r\n")
		return true
	}
	silent := func(conn *net.TCPConn, request received) bool { streamHead(conn, request); return true }
	one, two := newStandIn(t, "i-1", silent), newStandIn(t, "i-2", pauses)
	chooser := newScript(one, two)
	chooser.giveUp = 100 * time.Millisecond
	b := newBed(t, documentFor(config.KindStreaming, resumes), chooser, nil)
	v := b.visit()
	v.ask("POST", "/x", "id1", "", "")
	response, err := http.ReadResponse(v.reader, nil)
	assert.NilError(t, err)
	time.AfterFunc(2*chooser.giveUp, func() { close(goOn) })
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	assert.Equal(t, string(body), eventsText(1, 2))
	assert.Equal(t, response.Header.Get(headerStamp), stampOf("i-2"))
	assert.Equal(t, b.outcome(0).Kind, selector.TimedOut)
}

func TestStreamAtItsDeadline(t *testing.T) {
	e := newStandIn(t, "i-1", func(conn *net.TCPConn, request received) bool {
		streamHead(conn, request)
		chunk(conn, eventText(1))
		return true // and nothing more
	})
	b := newBed(t, documentFor(config.KindStreaming, resumes), newScript(e), nil)
	got := b.askOnce("X-Deadline-Ms: 200\r\n", "")
	assert.Assert(t, got.err != nil)
	assert.Equal(t, got.body, eventText(1))
	e.awaitEnd(t)
}

func TestClientThatLeavesAStream(t *testing.T) {
	e := newStandIn(t, "i-1", func(conn *net.TCPConn, request received) bool {
		streamHead(conn, request)
		chunk(conn, eventText(1))
		return true
	})
	b := newBed(t, documentFor(config.KindStreaming, resumes), newScript(e), nil)
	v := b.visit()
	v.ask("POST", "/x", "id1", "", "")
	_, err := http.ReadResponse(v.reader, nil)
	assert.NilError(t, err)
	v.Close()
	e.awaitEnd(t)
	b.drainAll(t)
	assert.Equal(t, b.outcome(0).Kind, selector.ClientGone)
}

func TestVersionOfAnEventIsExpectedOfTheNextEndpoint(t *testing.T) {
	one := newStandIn(t, "i-1", streamsThen(1, "versions: 9\n"+eventText(2)))
	two := newStandIn(t, "i-2", streams(3))
	b := newBed(t, documentFor(config.KindStreaming, resumes), newScript(one, two), nil)
	wantAnswer(t, b.askOnce("", ""), http.StatusOK, stampOf("i-1"), eventText(1)+"versions: 9\n"+eventText(2)+eventText(3))
	assert.Equal(t, (<-two.got).Header.Get(headerExpectVersion), "9")
}
