package proxy

import (
	"context"
	"log/slog"
	"strconv"
	"sync/atomic"
	"time"

	"wallflow/internal/selector"
)

// Cause is the main reason why a client received its response late or not at all.
type Cause int

// The causes, in the order in which they are checked.
const (
	CauseRefused    Cause = iota // 503: the request did not run
	CauseFailed                  // 502, 504, an error response of an endpoint, or a response that was cut short
	CauseClientGone              // the client disconnected before the response was complete
	CauseRetried                 // an attempt before the last one failed
	CauseHeld                    // the relay held the request for over a quarter of its target latency, or never sent it
	CausePrefill                 // the expected prefill time at the endpoint was more than half of the target latency
	CauseQueued                  // none of the above: the endpoint began to work on the request late
	CauseEventGap                // the first byte was in time, but a pause between two events was too long
	causeCount                   // number of causes
)

// String returns the name of the cause, as in logs and metrics.
func (c Cause) String() string {
	names := [...]string{"refused", "failed", "client left", "retried", "held", "reading", "queued", "pause"}
	if c < 0 || int(c) >= len(names) {
		return "none"
	}
	return names[c]
}

const (
	// maxLoggedAttempts bounds how many attempts of one request are logged.
	maxLoggedAttempts = 4
	// The relay's delay is the cause above 1/heldDivisor of the target latency, the endpoint's prefill time above
	// 1/prefillDivisor of it.
	heldDivisor    = 4
	prefillDivisor = 2
)

// causeCounters counts late and unanswered requests by cause.
type causeCounters [causeCount]atomic.Uint64

// requestRecord collects what is needed to find the cause of a late request and to log it.
type requestRecord struct {
	attempts      int // number of attempts
	lastAttempt   sentAttempt
	logged        []sentAttempt   // the first attempts; filled only at debug level
	failureReason selector.Reason // of the decision that ended the request
	refused       bool            // the client got 503 because no attempt may have run the request
	failed        bool            // the client got 502, 504 or an error response of an endpoint
	lastEventAt   time.Time       // when events were last written to the client
	longestGap    time.Duration   // between two such writes
}

// sentAttempt is an attempt with its forecast.
type sentAttempt struct {
	*selector.Attempt
	selector.Forecast
}

// addAttempt records an attempt. log tells whether to keep it for the log.
func (r *requestRecord) addAttempt(decision *selector.Decision, log bool) {
	r.attempts++
	r.lastAttempt = sentAttempt{decision.Attempt, decision.Forecast}
	if log && len(r.logged) < maxLoggedAttempts {
		r.logged = append(r.logged, r.lastAttempt)
	}
}

// addEvent records that events were written to the client.
func (r *requestRecord) addEvent(now time.Time) {
	if !r.lastEventAt.IsZero() {
		r.longestGap = max(r.longestGap, now.Sub(r.lastEventAt))
	}
	r.lastEventAt = now
}

// logsLateRequests reports whether late requests are logged one by one, which is done at debug level only.
func (s *Server) logsLateRequests() bool {
	return s.options.Log.Enabled(context.Background(), slog.LevelDebug)
}

// recordIfLate counts a request whose response was late or missing, and logs it at debug level.
func (e *exchange) recordIfLate(result stepResult) {
	if e.route == nil || e.request.Route == nil {
		return // rejected before an endpoint could be chosen
	}
	now := e.server.options.Now()
	cause, late := e.classify(result, now)
	if !late {
		return
	}
	e.server.causeCounts[cause].Add(1)
	if e.server.logsLateRequests() {
		e.logLate(cause, now)
	}
}

// classify returns the cause of a late or missing response. It returns false if the response was in time.
func (e *exchange) classify(result stepResult, now time.Time) (Cause, bool) {
	record := &e.record
	switch {
	case record.refused:
		return CauseRefused, true
	case record.failed, result == responseAborted && e.r.Context().Err() == nil:
		return CauseFailed, true
	case result == responseAborted:
		return CauseClientGone, true
	}
	firstByteAt := now
	if record.attempts > 0 && !record.lastAttempt.FirstByteAt().IsZero() {
		firstByteAt = record.lastAttempt.FirstByteAt()
	}
	targetLatency := e.route.Target()
	if firstByteAt.Sub(e.arrived) <= targetLatency {
		return CauseEventGap, record.longestGap > e.route.TargetEventGap()
	}
	return e.lateFirstByteCause(targetLatency), true
}

// lateFirstByteCause returns why the first byte arrived after the target latency.
func (e *exchange) lateFirstByteCause(targetLatency time.Duration) Cause {
	record := &e.record
	if record.attempts > 1 {
		return CauseRetried
	}
	switch {
	case record.attempts == 0, record.lastAttempt.SentAt.Sub(e.arrived) > targetLatency/heldDivisor:
		return CauseHeld
	case record.lastAttempt.Processing > targetLatency/prefillDivisor:
		return CausePrefill
	}
	return CauseQueued
}

// logLate logs a request whose response was late or missing, with the forecast of each attempt. Of its keys, aim is the target
// latency, left the time until the deadline, tokens the length of the prompt, and opening the length of the first part of the
// prompt, in tokens.
func (e *exchange) logLate(cause Cause, now time.Time) {
	record := &e.record
	fields := []any{
		"cause", cause, "route", e.route.Name, "priority", e.route.Priority, "id", e.request.ID, "took", now.Sub(e.arrived),
		"aim", e.route.Target(), "left", e.request.Deadline.Sub(now), "tokens", e.request.TokensIn, "attempts", record.attempts,
	}
	if len(e.request.Parts) > 0 {
		fields = append(fields, "opening", e.request.Parts[0].Tokens)
	}
	if record.failureReason != "" {
		fields = append(fields, "reason", record.failureReason)
	}
	if record.longestGap > 0 {
		fields = append(fields, "longest gap", record.longestGap)
	}
	for index, attempt := range record.logged {
		fields = append(fields, slog.Group("attempt"+strconv.Itoa(index+1), e.attemptFields(&attempt)...))
	}
	e.server.options.Log.Debug("request late or failed", fields...)
}

// attemptFields returns the log fields of an attempt: its forecast, and what was measured.
//
// held is the time from the arrival of the request to its sending. expected is the forecast time to the first byte: the sum of
// travel (on the network), wait (until the endpoint begins with the request) and own (from then to the first byte). late is the
// part of wait that is known only from earlier late responses. unread is the number of prompt tokens to prefill, kept the number
// of prompt parts that the endpoint is believed to cache, and ranked tells whether it is one of those chosen to cache the prompt
// prefix. requests is the estimated number of requests at the endpoint. forced tells that it was chosen as a last resort. first is
// the measured time to the first byte.
func (e *exchange) attemptFields(attempt *sentAttempt) []any {
	fields := []any{
		"instance", attempt.Instance, "zone", attempt.Zone, "held", attempt.SentAt.Sub(e.arrived),
		"expected", attempt.First(), "wait", attempt.Wait, "late", attempt.Lateness,
		"own", attempt.Processing, "travel", attempt.Network, "unread", attempt.PrefillTokens, "kept", attempt.CachedParts,
		"ranked", attempt.Ranked, "requests", attempt.Requests,
		"forced", attempt.Forced,
	}
	if firstByteAt := attempt.FirstByteAt(); !firstByteAt.IsZero() {
		fields = append(fields, "first", firstByteAt.Sub(attempt.SentAt))
	}
	return fields
}

// logSummary logs how many requests were served, and how many were late or failed by cause.
func (s *Server) logSummary() {
	stats := s.Stats()
	fields := []any{"requests", stats.Requests, "answered", stats.Answered, "attempts", stats.Attempts}
	for cause, count := range stats.LateByCause {
		if count > 0 {
			fields = append(fields, Cause(cause).String(), count)
		}
	}
	s.options.Log.Info("request summary", fields...)
}
