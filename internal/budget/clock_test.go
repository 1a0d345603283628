package budget

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

func TestRetryBudgetSurvivesStepsOfTheTimeOfDay(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			b := NewRetryBudget(Options{Ratio: 0.2, Window: 10 * time.Second})
			before := time.Now()
			requests(b, before, 50)
			after := stepped(t, before, step)
			assert.Equal(t, taken(b, after.Add(time.Second), 100), 10, "what was measured before the step still pays")
			for second := range 30 {
				requests(b, after.Add(time.Duration(second)*time.Second), 50)
			}
			most := taken(b, after.Add(30*time.Second), 1000)
			assert.Assert(t, most <= 100, "%d repeats for the 500 requests of one window", most)
		})
	}
}
