package upstream

import (
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

// Do sends the request to the target and returns the response once its head has arrived. The request is written at most once: it
// is tried on another connection only if not a single byte could be written on a reused one. Every error is an *Error. The
// caller must close the response; until then the end of ctx closes the connection.
func (p *Pool) Do(ctx context.Context, target Target, request *Request) (*Response, error) {
	if !request.valid() {
		return nil, &Error{Kind: NotSent, InstanceID: target.InstanceID, Err: errInvalidRequest}
	}
	if !request.Deadline.IsZero() && !time.Now().Before(request.Deadline) {
		return nil, &Error{Kind: NotSent, InstanceID: target.InstanceID, Err: os.ErrDeadlineExceeded}
	}
	for {
		c, err := p.acquire(ctx, target, request)
		if err != nil {
			return nil, err
		}
		reused := c.reused
		response, failure := c.roundTrip(ctx, request)
		if failure == nil {
			return response, nil
		}
		if failure.Kind == NotSent && reused && !errors.Is(failure.Err, os.ErrDeadlineExceeded) {
			continue // try another idle connection or a new one
		}
		failure.InstanceID = target.InstanceID
		return nil, failure
	}
}

// roundTrip sends the request and reads the head of its response. After an error the connection is closed.
func (c *connection) roundTrip(ctx context.Context, request *Request) (*Response, *Error) {
	if err := c.prepare(request); err != nil {
		c.pool.discard(c)
		return nil, &Error{Kind: NotSent, Err: err}
	}
	stop := context.AfterFunc(ctx, func() { c.Conn.Close() })
	response, failure := c.sendAndReadHead(ctx, request)
	if failure != nil {
		stop()
		c.pool.discard(c)
		return nil, failure
	}
	response.stopWatch = stop
	return response, nil
}

// sendAndReadHead does the work of roundTrip, and classifies its errors.
func (c *connection) sendAndReadHead(ctx context.Context, request *Request) (*Response, *Error) {
	if n, err := c.send(request); err != nil {
		kind := classifyError(ctx, err)
		if n == 0 && kind != Canceled {
			kind = NotSent
		}
		return nil, &Error{Kind: kind, Sent: n > 0, Err: err}
	}
	res, err := c.readHead(request)
	if err != nil {
		kind := classifyReadError(ctx, err)
		if kind == MalformedResponse && c.peerClosed { // only a part of the head arrived
			kind = Truncated
		}
		return nil, &Error{Kind: kind, Sent: true, Err: err}
	}
	return c.newResponse(ctx, res), nil
}

// classifyReadError is classifyError extended by the errors of readHead.
func classifyReadError(ctx context.Context, err error) Kind {
	switch {
	case errors.Is(err, errNoRequestID), errors.Is(err, errTooManySkipped), errors.Is(err, errSkippedTooLong):
		return MismatchedResponse
	}
	return classifyError(ctx, err)
}

// readHead reads the head of the response to the request. It skips interim (1xx) responses and delayed responses to earlier
// requests.
func (c *connection) readHead(request *Request) (*http.Response, error) {
	sent := http.Request{Method: request.Method}
	for skipped := 0; ; {
		res, err := c.readOneHead(&sent)
		if err != nil {
			return nil, err
		}
		if interim(res.StatusCode) {
			continue
		}
		id := res.Header.Get(headerRequestID)
		if id == request.ID {
			return res, nil
		}
		c.tainted = true
		if err := c.skipResponse(res, id, skipped); err != nil {
			return nil, err
		}
		skipped++
	}
}

// readOneHead reads the next response head, of at most maxHeadBytes.
func (c *connection) readOneHead(sent *http.Request) (*http.Response, error) {
	c.headBytesLeft = maxHeadBytes
	defer func() { c.headBytesLeft = -1 }()
	res, err := http.ReadResponse(c.reader, sent)
	if err != nil {
		return nil, err
	}
	if res.StatusCode == http.StatusSwitchingProtocols || res.StatusCode < http.StatusContinue {
		return nil, errUnexpectedStatus
	}
	return res, nil
}

var errUnexpectedStatus = errors.New("unexpected response status")

// interim reports whether a status is in the 1xx class.
func interim(status int) bool {
	return status >= http.StatusContinue && status < http.StatusOK
}

// skipResponse reads and discards a response that belongs to another request.
func (c *connection) skipResponse(res *http.Response, id string, skipped int) error {
	switch {
	case id == "":
		return errNoRequestID
	case skipped >= maxSkippedResponses:
		return errTooManySkipped
	case !selfDelimited(res):
		return errUnframedBody
	}
	n, err := io.Copy(io.Discard, io.LimitReader(res.Body, maxSkippedBytes))
	if err != nil {
		return err
	}
	if n == maxSkippedBytes {
		return errSkippedTooLong
	}
	c.pool.mu.Lock()
	c.pool.stats.SkippedResponses++
	c.pool.mu.Unlock()
	return nil
}

// selfDelimited reports whether the response marks the end of its body by a length or by chunked encoding.
func selfDelimited(res *http.Response) bool {
	return res.Body == http.NoBody || res.ContentLength >= 0 || len(res.TransferEncoding) > 0
}

// idleTimeout returns how long the connection may stay idle after the response; 0 means that it must not be reused. It is 4/5 of the
// timeout in the Keep-Alive header, or fallback if the header has none.
func idleTimeout(res *http.Response, fallback time.Duration) time.Duration {
	if res.Close {
		return 0
	}
	for _, value := range res.Header.Values(headerKeepAlive) {
		for part := range strings.SplitSeq(value, ",") {
			seconds, ok := strings.CutPrefix(strings.TrimSpace(part), keepAliveTimeoutPrefix)
			if !ok {
				continue
			}
			timeout, err := strconv.Atoi(seconds)
			if err != nil || timeout <= 0 {
				return 0
			}
			return time.Duration(timeout) * time.Second * idleTimeoutNumerator / idleTimeoutDenominator
		}
	}
	return fallback
}
