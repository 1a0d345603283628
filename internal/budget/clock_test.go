package budget

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/testkit"
)

func TestRetryBudgetSurvivesStepsOfTheTimeOfDay(t *testing.T) {
	for _, step := range []time.Duration{-time.Hour, time.Hour} {
		t.Run(step.String(), func(t *testing.T) {
			b := NewRetryBudget(Options{Ratio: 0.2, Window: 10 * time.Second})
			before := time.Now()
			requests(b, before, 50)
			after := testkit.StepTimeOfDay(t, before, step)
			assert.Equal(t, taken(b, after.Add(time.Second), 100), 10, "what was measured before the step still pays")
			for second := range 30 {
				requests(b, after.Add(time.Duration(second)*time.Second), 50)
			}
			most := taken(b, after.Add(30*time.Second), 1000)
			assert.Assert(t, most <= 100, "%d repeats for the 500 requests of one window", most)
		})
	}
}
