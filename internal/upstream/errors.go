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

// Kind says how an exchange failed.
type Kind int

// The ways in which an exchange fails. In those up to NotSent the endpoint has seen nothing of the request.
const (
	Crowded       Kind = iota + 1 // all connections that the target allows are busy
	ConnectFailed                 // no connection came up
	NotSent                       // the connection proved dead before a byte of the request was written
	Cut                           // the endpoint ended the connection before the whole answer
	Reset                         // the endpoint reset the connection
	Silence                       // the time was up
	Malformed                     // what came is no answer in the protocol
	WrongAnswer                   // an answer came, but to another request
	Abandoned                     // the caller's context ended
)

var kindNames = [...]string{
	Crowded: "crowded", ConnectFailed: "connect failed", NotSent: "not sent", Cut: "cut", Reset: "reset",
	Silence: "silence", Malformed: "malformed answer", WrongAnswer: "answer to another request", Abandoned: "abandoned",
}

// String names the kind.
func (k Kind) String() string {
	if k <= 0 || int(k) >= len(kindNames) {
		return fmt.Sprintf("kind %d", int(k))
	}
	return kindNames[k]
}

// Error is a failed exchange with an endpoint.
type Error struct {
	Kind       Kind
	InstanceID string
	Sent       bool  // a part of the request was written
	Err        error // the cause, if there is one
}

// Error describes the failure.
func (e *Error) Error() string {
	if e.Err == nil {
		return fmt.Sprintf("upstream: %s: %v", e.InstanceID, e.Kind)
	}
	return fmt.Sprintf("upstream: %s: %v: %v", e.InstanceID, e.Kind, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// MayHaveRun tells whether the endpoint may have run the request.
func (e *Error) MayHaveRun() bool { return e.Sent }

var (
	errAllBusy       = errors.New("all connections of the target are busy")
	errEndedAtOnce   = errors.New("the endpoint ended the new connection")
	errNoLength      = errors.New("the end of the body is not marked")
	errBytesTooMany  = errors.New("the head is too long")
	errExtraTooLarge = errors.New("an answer to another request is too long to be skipped")
	errNoRequestID   = errors.New("the answer names no request")
	errManyExtras    = errors.New("several answers to other requests")
	errInvalid       = errors.New("the request cannot be written")
)

// kindOf tells the kind of a failure to read or write.
func kindOf(ctx context.Context, err error) Kind {
	var netErr net.Error
	switch {
	case ctx.Err() != nil, errors.Is(err, net.ErrClosed):
		return Abandoned
	case errors.Is(err, os.ErrDeadlineExceeded), errors.As(err, &netErr) && netErr.Timeout():
		return Silence
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		return Reset
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, errNoLength):
		return Cut
	}
	return Malformed
}
