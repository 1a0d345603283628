package selector

import (
	"testing"
	"time"
	"unsafe"

	"gotest.tools/v3/assert"
)

// secondBit is where a time.Time with a steady reading keeps the seconds of the time of day in its first word.
const secondBit = 30

// stepped is the same moment after a step of the time of day: the steady reading stays. It checks itself, since it knows how the
// library lays out a time.
func stepped(t *testing.T, moment time.Time, by time.Duration) time.Time {
	t.Helper()
	moved := moment
	word := (*uint64)(unsafe.Pointer(&moved))
	*word += uint64(by/time.Second) << secondBit
	assert.Equal(t, moved.Sub(moment), time.Duration(0), "the steady reading moved")
	assert.Equal(t, moved.Unix()-moment.Unix(), int64(by/time.Second), "the time of day did not move")
	return moved
}

func TestLastSecondSurvivesStepsOfTheTimeOfDay(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			var calls lastSecond
			before := time.Now()
			calls.add(before)
			after := stepped(t, before, step)
			assert.Equal(t, calls.rate(after.Add(500*time.Millisecond)), 1.0, "the step forgot a call")
			calls.add(after.Add(2 * time.Second))
			assert.Equal(t, calls.rate(after.Add(2*time.Second)), 1.0, "a call that is over a second old counts")
		})
	}
}
