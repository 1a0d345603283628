package emulator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// serveStream runs a request at an engine and streams its output as server-sent events.
func (e *Endpoint) serveStream(w http.ResponseWriter, r *http.Request, job Job) {
	if err := parsePrompt(r.Header, &job); err != nil {
		e.rejectNotExecuted(w, http.StatusBadRequest, err.Error())
		return
	}
	lastEventID, err := parseLastEventID(r.Header)
	if err != nil {
		e.rejectNotExecuted(w, http.StatusBadRequest, err.Error())
		return
	}
	tokensPerEvent := e.options.Engine.TokensPerEvent
	job.Delivered = min(lastEventID*tokensPerEvent, job.Output)
	if job.Delivered == job.Output {
		e.startStream(w) // the client has received all tokens already
		return
	}
	const extraEvents = 2 // one for the remaining tokens, and one for expiry or cut-off
	id, events, ok := e.driver.submit(job, job.Output/tokensPerEvent+extraEvents)
	if !ok {
		e.rejectOverloaded(w)
		return
	}
	e.writeEvents(w, r, id, events)
}

// writeEvents writes the events of a job to the response as they arrive.
func (e *Endpoint) writeEvents(w http.ResponseWriter, r *http.Request, id JobID, events <-chan Event) {
	flusher := http.NewResponseController(w)
	started := false
	for {
		var event Event
		select {
		case event = <-events:
		case <-r.Context().Done():
			e.abortRequest(id)
		}
		switch {
		case event.Kind == EventExpired:
			e.rejectNotExecuted(w, http.StatusServiceUnavailable, "the deadline passed in the queue")
			return
		case event.Kind == EventCutOff:
			e.endAtDeadline(w, started)
			return
		}
		if !started {
			e.startStream(w)
			started = true
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event.Number, placeholderText(event.Tokens)); err != nil {
			e.abortRequest(id)
		}
		if event.Last {
			return
		}
		if err := flusher.Flush(); err != nil {
			e.abortRequest(id)
		}
	}
}

// startStream sends the headers of an event stream.
func (e *Endpoint) startStream(w http.ResponseWriter) {
	e.writeRunHeaders(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
}

// endAtDeadline ends a request whose deadline passed during its run: with status 504, or, if the stream has started, by aborting it.
func (e *Endpoint) endAtDeadline(w http.ResponseWriter, started bool) {
	e.abortedCount.Add(1)
	if started {
		panic(http.ErrAbortHandler)
	}
	e.writeRunHeaders(w)
	http.Error(w, "the deadline passed", http.StatusGatewayTimeout)
}

// placeholderText returns the given number of words, which stand for generated tokens.
func placeholderText(tokens int) string {
	words := make([]string, tokens)
	for i := range words {
		words[i] = "w" + strconv.Itoa(i)
	}
	return strings.Join(words, " ")
}
