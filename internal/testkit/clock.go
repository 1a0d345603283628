package testkit

import (
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"
)

// secondBit is where a time.Time with a steady reading keeps the seconds of the time of day in its first word.
const secondBit = 30

// StepTimeOfDay returns the same moment after a step of the time of day: the steady reading stays. It checks itself, since it knows how
// the library lays out a time.
func StepTimeOfDay(t testing.TB, moment time.Time, by time.Duration) time.Time {
	t.Helper()
	moved := moment
	word := (*uint64)(unsafe.Pointer(&moved))
	*word += uint64(by/time.Second) << secondBit
	assert.Equal(t, moved.Sub(moment), time.Duration(0), "the steady reading moved")
	assert.Equal(t, moved.Unix()-moment.Unix(), int64(by/time.Second), "the time of day did not move")
	return moved
}
