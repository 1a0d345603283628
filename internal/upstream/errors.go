package upstream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"syscall"
)

// Kind is the way in which an exchange failed.
type Kind int

// The kinds of failure. With PoolExhausted, ConnectFailed and NotSent the endpoint has received nothing of the request.
const (
	PoolExhausted      Kind = iota + 1 // all connections that the target allows are in use
	ConnectFailed                      // no connection could be established
	NotSent                            // no byte of the request was written
	Truncated                          // the endpoint closed the connection before the response was complete
	Reset                              // the endpoint reset the connection
	TimedOut                           // the deadline of the request was reached
	MalformedResponse                  // what the endpoint sent is not a valid HTTP response
	MismatchedResponse                 // the response belongs to another request
	Canceled                           // the caller's context ended, or the connection was closed on this side
)

// kindNames are the names of the kinds in errors.
var kindNames = [...]string{
	PoolExhausted: "pool exhausted", ConnectFailed: "connect failed", NotSent: "not sent", Truncated: "truncated response",
	Reset: "connection reset", TimedOut: "timed out", MalformedResponse: "malformed response",
	MismatchedResponse: "response to another request", Canceled: "canceled",
}

// String returns the name of the kind.
func (k Kind) String() string {
	if k <= 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("kind %d", int(k))
	}
	return kindNames[k]
}

// Error is the error of a failed exchange with an endpoint.
type Error struct {
	Kind       Kind
	InstanceID string
	Sent       bool  // at least a part of the request was written
	Err        error // the underlying error, or nil
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("upstream: %s: %v", e.InstanceID, e.Kind)
	}
	return fmt.Sprintf("upstream: %s: %v: %v", e.InstanceID, e.Kind, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// MayHaveRun reports whether the endpoint may have run the request.
func (e *Error) MayHaveRun() bool { return e.Sent }

var (
	errAllBusy         = errors.New("all connections to the target are in use")
	errClosedOnConnect = errors.New("endpoint closed the new connection at once")
	errUnframedBody    = errors.New("response to another request ends with its connection")
	errHeadTooLong     = errors.New("response head is too large")
	errSkippedTooLong  = errors.New("response to another request is too large to skip")
	errNoRequestID     = errors.New("response has no X-Request-Id")
	errTooManySkipped  = errors.New("too many responses to other requests")
	errInvalidRequest  = errors.New("invalid request method, target, host or header")
)

// classifyError returns the kind of a read or write error.
func classifyError(ctx context.Context, err error) Kind {
	var netErr net.Error
	switch {
	case ctx.Err() != nil, errors.Is(err, net.ErrClosed):
		return Canceled
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &netErr) && netErr.Timeout():
		return TimedOut
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return Reset
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errUnframedBody):
		return Truncated
	}
	return MalformedResponse
}
