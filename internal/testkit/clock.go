package testkit

import (
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"
)

// secondsShift is the bit position of the wall-clock seconds in the first word of a time.Time that has a monotonic reading.
const secondsShift = 30

// StepTimeOfDay returns moment with its wall clock moved and its monotonic reading unchanged, as after a clock step. It relies on the
// internal layout of time.Time and therefore checks its result.
func StepTimeOfDay(t testing.TB, moment time.Time, by time.Duration) time.Time {
	t.Helper()
	moved := moment
	firstWord := (*uint64)(unsafe.Pointer(&moved))
	*firstWord += uint64(by/time.Second) << secondsShift
	assert.Equal(t, moved.Sub(moment), time.Duration(0), "the monotonic reading moved")
	assert.Equal(t, moved.Unix()-moment.Unix(), int64(by/time.Second), "the wall clock did not move")
	return moved
}
