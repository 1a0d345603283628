package transport

import (
	"errors"
	"fmt"
)

// ListenError tells that an internal address could not be taken.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

// Unwrap returns the error of the socket.
func (e *ListenError) Unwrap() error { return e.Err }

// FrameError tells why bytes from a peer are not frames of this protocol.
type FrameError struct {
	Reason string
}

func (e *FrameError) Error() string { return "malformed frame: " + e.Reason }

// isMalformed reports whether a connection ended because of what its peer sent.
func isMalformed(err error) bool {
	var frame *FrameError
	return errors.As(err, &frame)
}
