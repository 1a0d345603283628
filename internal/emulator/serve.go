package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ServeHTTP serves health checks, load reports and requests.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		e.serveReport(w)
	case r.Method == http.MethodGet && r.URL.Path == e.options.HealthPath:
		e.serveHealth(w)
	default:
		e.serveRequest(w, r)
	}
}

// serveHealth answers a health check: 200, or 503 while draining. A health check does not occupy a slot.
func (e *Endpoint) serveHealth(w http.ResponseWriter) {
	w.Header().Set(headerInstanceID, e.options.ID)
	w.Header().Set(headerWarmup, strconv.FormatInt(e.remainingWarmup().Milliseconds(), 10))
	if e.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// reportBody is the JSON body of the response to GET /report.
type reportBody struct {
	Phase   string        `json:"phase"`
	Models  []reportModel `json:"models"`
	Busy    bool          `json:"busy"`
	Seq     uint64        `json:"seq"`
	Queued  int           `json:"queued"`
	Running int           `json:"running"`
	KVUsed  int           `json:"kvUsed"`
	KVTotal int           `json:"kvTotal"`
	Handles int           `json:"handles"`
}

// reportModel describes a model that the endpoint serves.
type reportModel struct {
	Name       string   `json:"name"`
	Generation int      `json:"generation"`
	Loras      []string `json:"loras"`
}

// phaseDual is the phase of an engine that does both prefill and decode.
const phaseDual = "dual"

func (e *Endpoint) models() []reportModel {
	if e.options.Engine == nil {
		return []reportModel{}
	}
	return []reportModel{{Name: e.options.Model, Generation: e.options.Version, Loras: []string{}}}
}

func (e *Endpoint) serveReport(w http.ResponseWriter) {
	load := e.driver.delayedLoad()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reportBody{ // a client that disconnected sends a new request
		Phase:   phaseDual,
		Models:  e.models(),
		Queued:  load.Queued,
		Running: load.Running,
		KVUsed:  load.KVUsed,
		KVTotal: load.KVTotal,
	})
}

// serveRequest validates a request and runs it. A rejection says that the request was not executed.
func (e *Endpoint) serveRequest(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := r.Header.Get(headerRequestID)
	if id == "" {
		e.rejectNotExecuted(w, http.StatusBadRequest, "a request wants an "+headerRequestID)
		return
	}
	w.Header().Set(headerRequestID, id)
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if e.isMisdirected(r.Header) {
		e.misdirectedCount.Add(1)
		e.rejectNotExecuted(w, http.StatusMisdirectedRequest, "meant for another endpoint")
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler) // the client aborted the request, so no response is possible
	}
	job, err := parseJob(r.Header, arrived)
	if err != nil {
		e.rejectNotExecuted(w, http.StatusBadRequest, err.Error())
		return
	}
	if e.options.Engine != nil {
		e.serveStream(w, r, job)
		return
	}
	e.serveService(w, r, job)
}

// isMisdirected reports whether a request expects another instance or another version of the model's weights.
func (e *Endpoint) isMisdirected(header http.Header) bool {
	if expected := header.Get(headerExpectInstance); expected != "" && expected != e.options.ID {
		return true
	}
	expected := header.Get(headerExpectVersion)
	return expected != "" && expected != strconv.Itoa(e.options.Version)
}

// rejectNotExecuted rejects a request with a header that says that it was not executed and never will be.
func (e *Endpoint) rejectNotExecuted(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(headerNotExecuted, "1")
	http.Error(w, reason, status)
}

func (e *Endpoint) rejectOverloaded(w http.ResponseWriter) {
	e.rejectedCount.Add(1)
	e.rejectNotExecuted(w, http.StatusServiceUnavailable, "full")
}

// writeRunHeaders counts a run and sets the response headers that identify it.
func (e *Endpoint) writeRunHeaders(w http.ResponseWriter) {
	w.Header().Set(headerServerStamp, fmt.Sprintf("%s.%d", e.options.ID, e.runCount.Add(1)))
	w.Header().Set(headerVersions, strconv.Itoa(e.options.Version))
}

// serveService runs a request at a plain service.
func (e *Endpoint) serveService(w http.ResponseWriter, r *http.Request, job Job) {
	job.ServiceTime = e.options.ServiceTime
	id, events, ok := e.driver.submit(job, 1)
	if !ok {
		e.rejectOverloaded(w)
		return
	}
	select {
	case event := <-events:
		if event.Kind == EventExpired {
			e.rejectNotExecuted(w, http.StatusServiceUnavailable, "the deadline passed in the queue")
			return
		}
	case <-r.Context().Done():
		e.abortRequest(id)
	}
	e.writeRunHeaders(w)
	body := strings.Repeat("x", e.options.ResponseBytes)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body) // the client may have disconnected
}

// abortRequest cancels the job of a disconnected client and aborts the response.
func (e *Endpoint) abortRequest(id JobID) {
	e.driver.cancel(id)
	e.abortedCount.Add(1)
	panic(http.ErrAbortHandler)
}
