package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/testkit"
)

func TestLastSecondSurvivesStepsOfTheTimeOfDay(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			var calls lastSecond
			before := time.Now()
			calls.add(before)
			after := testkit.StepTimeOfDay(t, before, step)
			assert.Equal(t, calls.rate(after.Add(500*time.Millisecond)), 1.0, "a call was lost by the step")
			calls.add(after.Add(2 * time.Second))
			assert.Equal(t, calls.rate(after.Add(2*time.Second)), 1.0, "a call more than a second old was counted")
		})
	}
}
