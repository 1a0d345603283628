package emulator

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// stream runs a request for a model: an event for every few tokens.
func (e *Endpoint) stream(w http.ResponseWriter, r *http.Request, job Job) {
	if err := parsePrompt(r.Header, &job); err != nil {
		e.decline(w, http.StatusBadRequest, err.Error())
		return
	}
	last, err := parseLastEvent(r.Header)
	if err != nil {
		e.decline(w, http.StatusBadRequest, err.Error())
		return
	}
	perEvent := e.options.Engine.TokensPerEvent
	job.Done = min(last*perEvent, job.Output)
	if job.Done == job.Output {
		e.beginStream(w) // nothing is left of it
		return
	}
	const endings = 2 // a last event of fewer tokens, and one that tells of the end
	id, events, ok := e.driver.submit(job, job.Output/perEvent+endings)
	if !ok {
		e.declineFull(w)
		return
	}
	e.relay(w, r, id, events)
}

// relay writes the events of a job as they come.
func (e *Endpoint) relay(w http.ResponseWriter, r *http.Request, id JobID, events <-chan Event) {
	flusher := http.NewResponseController(w)
	begun := false
	for {
		var event Event
		select {
		case event = <-events:
		case <-r.Context().Done():
			e.abandon(id)
		}
		switch {
		case event.Kind == EventExpired:
			e.decline(w, http.StatusServiceUnavailable, "the deadline passed in the queue")
			return
		case event.Kind == EventCutOff:
			e.cutOff(w, begun)
			return
		}
		if !begun {
			e.beginStream(w)
			begun = true
		}
		if _, err := fmt.Fprintf(w, "id: %d\ndata: %s\n\n", event.Number, words(event.Tokens)); err != nil {
			e.abandon(id)
		}
		if event.Last {
			return
		}
		if err := flusher.Flush(); err != nil {
			e.abandon(id)
		}
	}
}

func (e *Endpoint) beginStream(w http.ResponseWriter) {
	e.stamp(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.WriteHeader(http.StatusOK)
}

// cutOff ends a run at its deadline: with a failure, or, once the answer has begun, with a break.
func (e *Endpoint) cutOff(w http.ResponseWriter, begun bool) {
	e.cut.Add(1)
	if begun {
		panic(http.ErrAbortHandler)
	}
	e.stamp(w)
	http.Error(w, "the deadline passed", http.StatusGatewayTimeout)
}

// words stands for so many tokens.
func words(tokens int) string {
	text := make([]string, tokens)
	for i := range text {
		text[i] = "w" + strconv.Itoa(i)
	}
	return strings.Join(text, " ")
}
