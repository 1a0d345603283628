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

// ServeHTTP serves requests, health checks and reports.
func (e *Endpoint) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.Method == http.MethodGet && r.URL.Path == "/report":
		e.answerReport(w)
	case r.Method == http.MethodGet && r.URL.Path == e.options.HealthPath:
		e.answerHealth(w)
	default:
		e.take(w, r)
	}
}

// answerHealth tells whether the endpoint is well. Unlike a request, a check takes no place here.
func (e *Endpoint) answerHealth(w http.ResponseWriter) {
	w.Header().Set(headerInstanceID, e.options.ID)
	w.Header().Set(headerWarmup, strconv.FormatInt(e.warmupLeft().Milliseconds(), 10))
	if e.draining.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// reportBody is the answer to GET /report.
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

type reportModel struct {
	Name       string   `json:"name"`
	Generation int      `json:"generation"`
	Loras      []string `json:"loras"`
}

// phaseDual is the phase of an engine that both prefills and decodes.
const phaseDual = "dual"

func (e *Endpoint) models() []reportModel {
	if e.options.Engine == nil {
		return []reportModel{}
	}
	return []reportModel{{Name: e.options.Model, Generation: e.options.Version, Loras: []string{}}}
}

func (e *Endpoint) answerReport(w http.ResponseWriter) {
	load := e.driver.report()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reportBody{ // a caller that went away asks again
		Phase:   phaseDual,
		Models:  e.models(),
		Queued:  load.Queued,
		Running: load.Running,
		KVUsed:  load.KVUsed,
		KVTotal: load.KVTotal,
	})
}

// take runs a request, or tells that it did not.
func (e *Endpoint) take(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	id := r.Header.Get(headerRequestID)
	if id == "" {
		e.decline(w, http.StatusBadRequest, "a request wants an "+headerRequestID)
		return
	}
	w.Header().Set(headerRequestID, id)
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	if e.misdirects(r.Header) {
		e.misdirected.Add(1)
		e.decline(w, http.StatusMisdirectedRequest, "meant for another endpoint")
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler) // the caller broke off: there is nobody to answer
	}
	job, err := parseJob(r.Header, arrived)
	if err != nil {
		e.decline(w, http.StatusBadRequest, err.Error())
		return
	}
	if e.options.Engine != nil {
		e.stream(w, r, job)
		return
	}
	e.work(w, r, job)
}

// misdirects tells whether a request is meant for another endpoint, or for other weights.
func (e *Endpoint) misdirects(header http.Header) bool {
	if expected := header.Get(headerExpectInstance); expected != "" && expected != e.options.ID {
		return true
	}
	expected := header.Get(headerExpectVersion)
	return expected != "" && expected != strconv.Itoa(e.options.Version)
}

// decline answers a request that did not run and never will.
func (e *Endpoint) decline(w http.ResponseWriter, status int, reason string) {
	w.Header().Set(headerNotExecuted, "1")
	http.Error(w, reason, status)
}

func (e *Endpoint) declineFull(w http.ResponseWriter) {
	e.full.Add(1)
	e.decline(w, http.StatusServiceUnavailable, "full")
}

// stamp marks the next run of this endpoint.
func (e *Endpoint) stamp(w http.ResponseWriter) {
	w.Header().Set(headerStamp, fmt.Sprintf("%s.%d", e.options.ID, e.run.Add(1)))
	w.Header().Set(headerVersions, strconv.Itoa(e.options.Version))
}

// work runs a request of a plain service.
func (e *Endpoint) work(w http.ResponseWriter, r *http.Request, job Job) {
	job.Work = e.options.Work
	id, events, ok := e.driver.submit(job, 1)
	if !ok {
		e.declineFull(w)
		return
	}
	select {
	case event := <-events:
		if event.Kind == EventExpired {
			e.decline(w, http.StatusServiceUnavailable, "the deadline passed in the queue")
			return
		}
	case <-r.Context().Done():
		e.abandon(id)
	}
	e.stamp(w)
	body := strings.Repeat("x", e.options.AnswerBytes)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body) // a caller that went away has no use for it
}

// abandon ends a request whose caller has gone.
func (e *Endpoint) abandon(id JobID) {
	e.driver.cancel(id)
	e.cut.Add(1)
	panic(http.ErrAbortHandler)
}
