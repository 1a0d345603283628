package operator

import (
	"errors"
	"fmt"
	"net/http"
	"net/url"
)

// ErrNoAddress tells that a client was given no control process to ask.
var ErrNoAddress = errors.New("no control process is named")

var (
	errRedirects  = errors.New("too many redirects")
	errOutOfTouch = errors.New("it is out of touch with the chain")
)

// RefusedError is an answer other than 200.
type RefusedError struct {
	Address string
	Status  int
	Reason  string
}

// Error puts it on one line.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s answers %d %s: %s", e.Address, e.Status, http.StatusText(e.Status), e.Reason)
}

// UnreachableError tells that a process gave no answer.
type UnreachableError struct {
	Address string
	Cause   error
}

// Error puts it on one line.
func (e *UnreachableError) Error() string {
	cause := e.Cause
	var inURL *url.Error
	if errors.As(cause, &inURL) {
		cause = inURL.Err // the address is named already
	}
	return fmt.Sprintf("%s gives no answer: %v", e.Address, cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// UnclearError tells that no control process gave a clear answer in time.
type UnclearError struct {
	Order bool // it was an order, which may have been taken all the same
	Last  error
}

// Error puts it on one line.
func (e *UnclearError) Error() string {
	if e.Order {
		return fmt.Sprintf("no clear answer in time; the order may have been taken, and can be given again: %v", e.Last)
	}
	return fmt.Sprintf("no clear answer in time: %v", e.Last)
}

// Unwrap returns the last failure.
func (e *UnclearError) Unwrap() error { return e.Last }
