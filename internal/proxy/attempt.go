package proxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"wallflow/internal/config"
	"wallflow/internal/registry"
	"wallflow/internal/selector"
	"wallflow/internal/upstream"
)

const (
	// maxBufferedBytes bounds the response bodies that are read completely before they are forwarded.
	maxBufferedBytes = 64 << 10
	// copyBufferBytes is the size of the buffer for copying larger bodies.
	copyBufferBytes = 32 << 10

	// The timeout for connecting is the remaining time divided by dialTimeoutDivisor, within these bounds.
	dialTimeoutDivisor   = 4
	maxLocalDialTimeout  = 250 * time.Millisecond
	maxRemoteDialTimeout = time.Second
	minDialTimeout       = 5 * time.Millisecond
)

var copyBuffers = sync.Pool{New: func() any {
	buffer := make([]byte, copyBufferBytes)
	return &buffer
}}

// sendAttempt sends the request to the endpoint that the selector has chosen.
func (e *exchange) sendAttempt(decision selector.Decision) stepResult {
	e.server.counters.attempts.Add(1)
	e.record.addAttempt(&decision, e.server.logsLateRequests())
	now := e.server.options.Now()
	e.setAttemptHeaders(&decision.Instance, now)
	e.outgoing.Deadline = earlier(decision.GiveUpAt, e.respondBy)
	response, err := e.server.options.Pool.Do(e.context(), e.upstreamTarget(&decision.Instance, now), &e.outgoing)
	if err != nil {
		return e.attemptFailed(decision.Attempt, err)
	}
	defer response.Close()
	return e.handleResponse(decision.Attempt, response)
}

// earlier returns the earlier of two times. A zero a is ignored.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}

// setAttemptHeaders sets the headers that differ between attempts: remaining time and expected instance, and for a resumed
// stream the last event and the version of the weights.
func (e *exchange) setAttemptHeaders(instance *registry.Instance, now time.Time) {
	header := e.outgoing.Header
	header[headerDeadline] = []string{formatMilliseconds(e.request.Deadline.Sub(now))}
	header[headerExpectInstance] = []string{instance.ID}
	if !e.stream.headerSent {
		return
	}
	if e.stream.hasID {
		header[headerLastEventID] = []string{strconv.FormatInt(e.stream.lastID, 10)}
	}
	if e.stream.version != "" && e.r.Header[headerExpectVersion] == nil {
		header[headerExpectVersion] = []string{e.stream.version}
	}
}

// upstreamTarget returns where and within which limits to connect to an instance.
func (e *exchange) upstreamTarget(instance *registry.Instance, now time.Time) upstream.Target {
	maxTimeout := maxRemoteDialTimeout
	if e.server.options.IsLocal(instance) {
		maxTimeout = maxLocalDialTimeout
	}
	target := upstream.Target{
		Address: instance.Address, InstanceID: instance.ID,
		DialTimeout: max(minDialTimeout, min(maxTimeout, e.respondBy.Sub(now)/dialTimeoutDivisor)),
	}
	if service, ok := e.compiled.Backend(instance.Backend); ok {
		target.MaxConns = e.server.maxConns(service)
	}
	return target
}

// maxConns returns this relay's share of the connections to one endpoint of a service; 0 means unlimited.
func (s *Server) maxConns(service *config.Backend) int {
	if service.MaxConns <= 0 {
		return 0
	}
	return max(1, s.options.MaxConns(service))
}

// attemptFailed reports a failed exchange with an endpoint to the selector.
func (e *exchange) attemptFailed(attempt *selector.Attempt, err error) stepResult {
	outcome := selector.Outcome{Kind: selector.Reset, MayHaveRun: true}
	var failure *upstream.Error
	if errors.As(err, &failure) {
		outcome = outcomeFromError(failure)
	}
	return e.finishAttempt(attempt, outcome)
}

// outcomeFromError converts an error of the connection pool to an outcome for the selector.
func outcomeFromError(failure *upstream.Error) selector.Outcome {
	outcome := selector.Outcome{MayHaveRun: failure.MayHaveRun()}
	switch failure.Kind {
	case upstream.PoolExhausted:
		outcome.Kind = selector.Full
	case upstream.ConnectFailed, upstream.NotSent:
		outcome.Kind = selector.ConnectFailed
	case upstream.TimedOut:
		outcome.Kind = selector.TimedOut
	case upstream.Canceled:
		outcome.Kind = selector.ClientGone
	default:
		outcome.Kind = selector.Reset
	}
	return outcome
}

// finishAttempt ends an attempt that gave no response to forward. Once any attempt may have run the request, that holds for the
// rest of the exchange.
func (e *exchange) finishAttempt(attempt *selector.Attempt, outcome selector.Outcome) stepResult {
	e.mayHaveRun = e.mayHaveRun || outcome.MayHaveRun
	e.server.chooser.done(attempt, outcome)
	if outcome.Kind == selector.ClientGone {
		return e.clientGone()
	}
	return continueRequest
}

// handleResponse decides by status and headers what to do with an endpoint's response.
func (e *exchange) handleResponse(attempt *selector.Attempt, response *upstream.Response) stepResult {
	status := response.Status
	_, notExecuted := response.Header[headerNotExecuted]
	stamp := response.Header.Get(headerStamp)
	switch {
	case status == http.StatusMisdirectedRequest:
		return e.handleDeclined(attempt, response, e.misdirectedKind())
	case notExecuted && (status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests):
		return e.handleDeclined(attempt, response, selector.Full)
	case notExecuted:
		return e.handleOtherDecline(attempt, response)
	case !isSuccess(status):
		return e.handleErrorStatus(attempt, response)
	case stamp == "": // nothing proves that the endpoint itself sent the response
		e.server.counters.noStamp.Add(1)
		return e.finishAttempt(attempt, selector.Outcome{Kind: selector.Reset, MayHaveRun: true})
	}
	return e.handleSuccess(attempt, response)
}

// misdirectedKind returns what a 421 says about an endpoint: that another instance has its address or, if the request expects a version of the
// weights, perhaps only that the endpoint has another version, which does not speak against it for other requests.
func (e *exchange) misdirectedKind() selector.OutcomeKind {
	if len(e.outgoing.Header[headerExpectVersion]) > 0 {
		return selector.NotExecuted
	}
	return selector.Misdirected
}

// isSuccess reports whether a status is in the 2xx class.
func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// handleDeclined tries the next endpoint after a response that proves that the request did not run.
func (e *exchange) handleDeclined(attempt *selector.Attempt, response *upstream.Response, kind selector.OutcomeKind) stepResult {
	e.readBuffered(response) // so that the connection can be reused
	return e.finishAttempt(attempt, selector.Outcome{Kind: kind, RetryAfter: parseSeconds(response.Header.Get(headerRetryAfter))})
}

// handleOtherDecline handles a response that proves that the request did not run, but whose status is neither 429 nor 503. A
// client error is forwarded to the client; after any other status the next endpoint is tried.
func (e *exchange) handleOtherDecline(attempt *selector.Attempt, response *upstream.Response) stepResult {
	clientError := response.Status >= http.StatusBadRequest && response.Status < http.StatusInternalServerError &&
		response.Status != http.StatusRequestTimeout
	if !clientError || e.stream.headerSent {
		return e.handleDeclined(attempt, response, selector.NotExecuted)
	}
	buffered, err := e.bufferResponse(response)
	if err != nil {
		return e.finishAttempt(attempt, selector.Outcome{Kind: selector.NotExecuted})
	}
	e.server.chooser.done(attempt, selector.Outcome{Kind: selector.NotExecuted})
	e.server.counters.endpointErrors.Add(1)
	e.record.failed = true
	return e.writeBuffered(buffered)
}

// handleErrorStatus handles an error response without proof that the request did not run. The request counts as possibly run.
// The response is kept, unless a stream has already begun or its status would promise that the request did not run. A kept
// response is forwarded at once, except after a server error on an idempotent route: there another endpoint is tried first.
func (e *exchange) handleErrorStatus(attempt *selector.Attempt, response *upstream.Response) stepResult {
	buffered, err := e.bufferResponse(response)
	if err != nil {
		return e.attemptFailed(attempt, err)
	}
	if !impliesNotExecuted(buffered.status) && !e.stream.headerSent {
		e.errorResponse = buffered
	}
	serverError := buffered.status >= http.StatusInternalServerError
	if e.errorResponse != nil && !(serverError && e.route.Idempotent()) {
		e.mayHaveRun = true
		e.server.chooser.done(attempt, selector.Outcome{Kind: errorStatusKind(serverError), MayHaveRun: true})
		e.server.counters.endpointErrors.Add(1)
		e.record.failed = true
		return e.writeBuffered(e.errorResponse)
	}
	return e.finishAttempt(attempt, selector.Outcome{Kind: selector.EndpointError, MayHaveRun: true})
}

// errorStatusKind returns the outcome kind of an error response. A 4xx or 3xx is the client's matter: the endpoint itself worked.
func errorStatusKind(serverError bool) selector.OutcomeKind {
	if serverError {
		return selector.EndpointError
	}
	return selector.Success
}

// impliesNotExecuted reports whether a status promises the client that its request did not run. A response with such a status
// and without X-Not-Executed must not be forwarded, as the request may have run.
func impliesNotExecuted(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// handleSuccess forwards a successful response.
func (e *exchange) handleSuccess(attempt *selector.Attempt, response *upstream.Response) stepResult {
	response.SetDeadline(e.respondBy)
	isStream := strings.HasPrefix(response.Header.Get(headerContentType), eventStream)
	switch {
	case isStream:
		return e.relayStream(attempt, response)
	case e.stream.headerSent: // a stream cannot be resumed with a response of another type
		return e.finishAttempt(attempt, selector.Outcome{Kind: selector.Reset, MayHaveRun: true})
	case response.Length > maxBufferedBytes:
		e.server.chooser.firstByte(attempt)
		return e.forwardUnbuffered(attempt, response, nil)
	}
	return e.forwardBuffered(attempt, response)
}

// forwardBuffered reads a response completely before it writes a byte to the client, so that the request can be sent to another
// endpoint if the response is truncated.
func (e *exchange) forwardBuffered(attempt *selector.Attempt, response *upstream.Response) stepResult {
	e.server.chooser.firstByte(attempt)
	body, err := e.readBuffered(response)
	if err != nil {
		return e.attemptFailed(attempt, err)
	}
	if !response.Complete() {
		return e.forwardUnbuffered(attempt, response, body)
	}
	e.server.chooser.done(attempt, selector.Outcome{Kind: selector.Success, MayHaveRun: true})
	response.Close() // the connection is reusable before the client has read the response
	e.mayHaveRun = true
	e.server.counters.answered.Add(1)
	return e.writeBuffered(&bufferedResponse{status: response.Status, header: response.Header, body: body})
}

// bufferResponse reads a complete response into memory. A body that exceeds maxBufferedBytes is an error.
func (e *exchange) bufferResponse(response *upstream.Response) (*bufferedResponse, error) {
	body, err := e.readBuffered(response)
	if err != nil {
		return nil, err
	}
	if !response.Complete() {
		return nil, &upstream.Error{Kind: upstream.MalformedResponse, Sent: true}
	}
	return &bufferedResponse{status: response.Status, header: response.Header, body: body}, nil
}

// readBuffered reads a body of up to maxBufferedBytes. It returns nil if the announced length is larger, and only the first part
// of a longer body of unknown length; Response.Complete tells whether the body was read to its end.
func (e *exchange) readBuffered(response *upstream.Response) ([]byte, error) {
	response.SetDeadline(e.respondBy)
	if response.Length > maxBufferedBytes {
		return nil, nil
	}
	size := int(response.Length) + 1 // one byte more, so that the read returns io.EOF
	if response.Length < 0 {
		size = 1 << 10
	}
	body := make([]byte, 0, size)
	for len(body) < maxBufferedBytes {
		if len(body) == cap(body) {
			body = append(body, 0)[:len(body)]
		}
		n, err := response.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err == io.EOF {
			return body, nil
		}
		if err != nil {
			return nil, err
		}
	}
	return body, nil
}

// forwardUnbuffered forwards a response while it arrives. alreadyRead is the part of the body that was read before. If the
// response is truncated, the client's connection is aborted, so that the client sees it.
func (e *exchange) forwardUnbuffered(attempt *selector.Attempt, response *upstream.Response, alreadyRead []byte) stepResult {
	e.mayHaveRun = true
	e.copyHeader(response.Header)
	e.announceClose()
	if response.Length >= 0 {
		e.w.Header()[headerContentLength] = []string{strconv.FormatInt(response.Length, 10)}
	}
	e.w.WriteHeader(response.Status)
	if _, err := e.w.Write(alreadyRead); err != nil {
		return e.clientWriteFailed(attempt)
	}
	buffer := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buffer)
	for {
		n, err := response.Read(*buffer)
		if n > 0 {
			if _, writeErr := e.w.Write((*buffer)[:n]); writeErr != nil {
				return e.clientWriteFailed(attempt)
			}
		}
		if err == io.EOF {
			e.server.chooser.done(attempt, selector.Outcome{Kind: selector.Success, MayHaveRun: true})
			e.server.counters.answered.Add(1)
			return responseSent
		}
		if err != nil {
			e.attemptFailed(attempt, err)
			return e.abort()
		}
	}
}

// clientWriteFailed ends an attempt after a write to the client has failed.
func (e *exchange) clientWriteFailed(attempt *selector.Attempt) stepResult {
	return e.finishAttempt(attempt, selector.Outcome{Kind: selector.ClientGone, MayHaveRun: true})
}
