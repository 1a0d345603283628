package operator

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
)

// ErrNoAddress is returned by New without any address.
var ErrNoAddress = errors.New("no control process is named")

var (
	errTooManyRedirects = errors.New("too many redirects")
	errChainUnreachable = errors.New("it is out of touch with the chain")
)

// RefusedError is a response with a status other than 200.
type RefusedError struct {
	Address string
	Status  int
	Reason  string
}

// Error returns the message on one line.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s answers %d %s: %s", e.Address, e.Status, http.StatusText(e.Status), e.Reason)
}

// UnreachableError says that a process did not respond, or has no up-to-date answer.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error returns the message on one line.
func (e *UnreachableError) Error() string {
	cause := e.Cause
	var urlErr *url.Error
	if errors.As(cause, &urlErr) {
		cause = urlErr.Err // without method and URL, as the message begins with the address
	}
	return fmt.Sprintf("%s gives no answer: %v", e.Address, cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// InconclusiveError says that no control process gave a conclusive answer before the context ended.
type InconclusiveError struct {
	IsOrder bool  // the request was an order, which may have been accepted nevertheless
	LastErr error // of the last request
}

// Error returns the message on one line.
func (e *InconclusiveError) Error() string {
	if e.IsOrder {
		return fmt.Sprintf("no conclusive answer in time; the order may have been taken nevertheless and can be repeated: %v", e.LastErr)
	}
	return fmt.Sprintf("no conclusive answer in time: %v", e.LastErr)
}

// Unwrap returns the error of the last request.
func (e *InconclusiveError) Unwrap() error { return e.LastErr }
