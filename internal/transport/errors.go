package transport

import (
	"errors"
	"fmt"
)

// ListenError is returned when the internal address cannot be bound.
type ListenError struct {
	Address string
	Err     error
}

func (e *ListenError) Error() string { return fmt.Sprintf("listen on %s: %v", e.Address, e.Err) }

// Unwrap returns the underlying socket error.
func (e *ListenError) Unwrap() error { return e.Err }

// FrameError describes why data is not a valid frame of this protocol.
type FrameError struct {
	Reason string
}

func (e *FrameError) Error() string { return "malformed frame: " + e.Reason }

// isMalformed reports whether err means that the peer violated the protocol.
func isMalformed(err error) bool {
	var frame *FrameError
	return errors.As(err, &frame)
}
