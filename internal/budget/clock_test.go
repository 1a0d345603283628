package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/testkit"
)

func TestRetryBudgetSurvivesWallClockSteps(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			b := NewRetryBudget(Options{Ratio: 0.2, Window: 10 * time.Second})
			before := time.Now()
			countRequests(b, before, 50)
			after := testkit.StepTimeOfDay(t, before, step)
			assert.Equal(t, takeRetries(b, after.Add(time.Second), 100), 10, "requests before the step still allow retries")
			for second := range 30 {
				countRequests(b, after.Add(time.Duration(second)*time.Second), 50)
			}
			retries := takeRetries(b, after.Add(30*time.Second), 1000)
			assert.Assert(t, retries <= 100, "%d retries for the 500 requests of one window", retries)
		})
	}
}
