package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"wallflow/internal/config"
	"wallflow/internal/selector"
	"wallflow/internal/upstream"
)

const (
	// A final response is sent before the deadline by the total time divided by responseMarginDivisor, within these bounds, so that
	// it arrives in time.
	responseMarginDivisor = 20
	minResponseMargin     = 5 * time.Millisecond
	maxResponseMargin     = 40 * time.Millisecond

	// bodyReadTimeout bounds how long a client may take to send a request body.
	bodyReadTimeout = 10 * time.Second
	// writeGracePeriod is how long after the deadline a client may still read its response.
	writeGracePeriod = 2 * time.Second

	// minWait is the minimum wait before Choose is called again, unless the request is woken.
	minWait = 5 * time.Millisecond

	retryAfterNoConfig   = 500 * time.Millisecond // no configuration has been received yet
	retryAfterBodyMemory = 500 * time.Millisecond // the memory budget for bodies is exhausted
	minRetryAfter        = 50 * time.Millisecond  // lower bound of every Retry-After
	retryAfterDraining   = 100 * time.Millisecond // another relay can serve the request
)

// stepResult tells whether the work on a request has ended, and how.
type stepResult int

const (
	responseSent    stepResult = iota + 1 // the client has received a complete response
	responseAborted                       // the response cannot be completed: the connection must be aborted
	continueRequest                       // no response yet: ask the selector again
)

// exchange is the processing of one client request.
type exchange struct {
	server  *Server
	w       http.ResponseWriter
	r       *http.Request // from the client
	arrived time.Time

	target    requestTarget
	compiled  *config.Compiled
	route     *config.Route
	body      requestBody
	request   selector.Request
	outgoing  upstream.Request // sent to endpoints
	respondBy time.Time        // latest time to send the final response
	wake      chan struct{}    // receives a value when the selector is to be asked again

	mayHaveRun    bool              // an attempt may have run the request
	errorResponse *bufferedResponse // an endpoint's error response, forwarded if no further attempt succeeds
	stream        streamState
	record        requestRecord
}

// Wake makes a waiting request ask the selector again. It implements selector.Waiter.
func (e *exchange) Wake() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// release frees the memory of the request body.
func (e *exchange) release() { e.body.release() }

// serve processes the request up to its final response.
func (e *exchange) serve() stepResult {
	if result := e.receive(); result != continueRequest {
		return result
	}
	e.prepareRequest()
	for {
		if result := e.step(); result != continueRequest {
			return result
		}
	}
}

// receive finds the route, sets the deadlines and reads the body. If one of these fails, it responds with an error.
func (e *exchange) receive() stepResult {
	var ok bool
	if e.target, ok = parseTarget(e.r); !ok {
		return e.reject(http.StatusBadRequest, "the request names no path")
	}
	e.compiled = e.server.options.Config()
	if e.compiled == nil {
		return e.refuse(retryAfterNoConfig, "no configuration yet")
	}
	if e.route, ok = e.compiled.Route(e.r.Host, e.target.path); !ok {
		e.server.counters.noRoute.Add(1)
		return e.writeError(http.StatusNotFound, "no route")
	}
	e.setDeadlines()
	return e.readRequestBody()
}

// setDeadlines sets the deadline of the request: the earliest of the route's timeout, the client's deadline and, while the relay
// drains, the end of the drain.
func (e *exchange) setDeadlines() {
	deadline := e.arrived.Add(e.route.Timeout())
	if requested, ok := clientDeadline(e.r.Header, e.arrived); ok && requested.Before(deadline) {
		deadline = requested
	}
	if drainDeadline := e.server.drainDeadline.Load(); drainDeadline != nil && drainDeadline.Before(deadline) {
		deadline = *drainDeadline
	}
	margin := min(max(deadline.Sub(e.arrived)/responseMarginDivisor, minResponseMargin), maxResponseMargin)
	e.request.Deadline = deadline
	e.respondBy = deadline.Add(-margin)
	control := http.NewResponseController(e.w)
	control.SetWriteDeadline(deadline.Add(writeGracePeriod)) // a client that does not read must not block the goroutine forever
}

// readRequestBody reads the body within the limits on size, memory and time, or responds with an error.
func (e *exchange) readRequestBody() stepResult {
	maxBytes := e.compiled.Document().Limits.MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultBodyBytes
	}
	hasBody := e.r.Body != nil && e.r.Body != http.NoBody
	control := http.NewResponseController(e.w)
	if hasBody {
		control.SetReadDeadline(time.Now().Add(bodyReadTimeout))
	}
	body, err := readBody(e.w, e.r, maxBytes, &e.server.bodies)
	if hasBody && err == nil {
		control.SetReadDeadline(time.Time{})
	}
	switch {
	case err == nil:
		e.body = body
		markRequestRead(e.r.Context())
		return continueRequest
	case errors.Is(err, errBodyTooLarge):
		e.setConnectionClose()
		return e.reject(http.StatusRequestEntityTooLarge, "the body is too large")
	case errors.Is(err, errBodyMemory):
		e.setConnectionClose()
		return e.refuse(retryAfterBodyMemory, "too many bodies at once")
	case errors.Is(err, os.ErrDeadlineExceeded):
		e.setConnectionClose()
		return e.reject(http.StatusRequestTimeout, "the body took too long")
	case errors.Is(err, io.ErrUnexpectedEOF), e.r.Context().Err() != nil:
		e.server.counters.clientGone.Add(1)
		return responseAborted
	}
	e.setConnectionClose()
	return e.reject(http.StatusBadRequest, "the body can't be read")
}

// prepareRequest sets up the request for the selector and the one for the endpoints.
func (e *exchange) prepareRequest() {
	header := e.r.Header
	id := header.Get(headerRequestID)
	parts, tokensIn, tokensOut := selector.ParsePrompt(header.Get(headerPrefixHash), header.Get(headerTokenUsage))
	e.wake = make(chan struct{}, 1)
	e.request = selector.Request{
		Route: e.route, ID: id, Parts: parts, TokensIn: tokensIn, TokensOut: tokensOut, BodyBytes: len(e.body.bytes),
		Arrived: e.arrived, Deadline: e.request.Deadline, Waiter: e,
	}
	outgoing := make(http.Header, len(header)+4)
	copyForwardedHeaders(outgoing, header)
	outgoing[headerPriority] = []string{priorityOf(e.route)}
	e.outgoing = upstream.Request{
		Method: e.r.Method, RequestTarget: e.target.raw, Host: e.r.Host, Header: outgoing, Body: e.body.bytes, ID: id,
	}
	e.stream.resumeAt(header.Get(headerLastEventID))
}

// priorityOf returns the value of the Priority header for a route.
func priorityOf(route *config.Route) string {
	return strconv.Itoa(min(max(route.Priority, 0), lowestPriority))
}

// step asks the selector what to do next with the request, and does it.
func (e *exchange) step() stepResult {
	if e.r.Context().Err() != nil {
		return e.clientGone()
	}
	if !e.server.options.Now().Before(e.respondBy) {
		return e.fail(selector.Decision{RetryAfter: minRetryAfter, Reason: selector.ReasonDeadline})
	}
	decision := e.server.chooser.choose(&e.request)
	switch decision.Kind {
	case selector.Send:
		return e.sendAttempt(decision)
	case selector.Wait:
		return e.wait(decision.Until)
	}
	return e.fail(decision)
}

// wait blocks until the selector is to be asked again, the client disconnects, or waiting requests are refused.
func (e *exchange) wait(until time.Time) stepResult {
	if until.After(e.respondBy) {
		until = e.respondBy
	}
	timer := time.NewTimer(max(minWait, until.Sub(e.server.options.Now())))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.wake:
	case <-e.r.Context().Done():
		e.server.chooser.abandon(&e.request)
		return e.clientGone()
	case <-e.server.refuseWaiting:
		e.server.chooser.abandon(&e.request)
		return e.fail(selector.Decision{RetryAfter: retryAfterDraining})
	}
	return continueRequest
}

// fail ends a request that cannot be served. It forwards the error response of an endpoint if there is one; otherwise the status
// tells whether the request may have run.
func (e *exchange) fail(decision selector.Decision) stepResult {
	e.server.chooser.abandon(&e.request)
	e.record.failureReason = decision.Reason
	if e.stream.headerSent {
		e.server.warnings.warn("stream aborted", string(decision.Reason))
		return e.abort()
	}
	if e.errorResponse != nil {
		e.server.counters.endpointErrors.Add(1)
		e.record.failed = true
		return e.writeBuffered(e.errorResponse)
	}
	if !e.mayHaveRun {
		e.record.refused = true
		return e.refuse(decision.RetryAfter, string(decision.Reason))
	}
	e.record.failed = true
	if !e.server.options.Now().Before(e.respondBy) {
		e.server.counters.gatewayTimeout.Add(1)
		return e.writeError(http.StatusGatewayTimeout, "no answer in time")
	}
	e.server.counters.badGateway.Add(1)
	return e.writeError(http.StatusBadGateway, "the endpoint did not answer as it should")
}

// clientGone ends a request whose client has disconnected.
func (e *exchange) clientGone() stepResult {
	e.server.counters.clientGone.Add(1)
	return responseAborted
}

// abort ends a response that has begun, so that the client sees that it is incomplete.
func (e *exchange) abort() stepResult {
	e.server.counters.aborted.Add(1)
	return responseAborted
}

// context returns the context of the client request, which ends when the client disconnects.
func (e *exchange) context() context.Context { return e.r.Context() }
