package chain

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// TestRandomWalkIsDeterministic verifies that equal seeds give equal runs, so that a failed run can be reproduced.
func TestRandomWalkIsDeterministic(t *testing.T) {
	for seed := range int64(5) {
		first := historyOf(t, seed)
		second := historyOf(t, seed)
		assert.Assert(t, len(first) > 10)
		assert.Assert(t, slices.Equal(first, second), "seed %d", seed)
	}
}

func historyOf(t *testing.T, seed int64) []string {
	w := newRandomWalk(t, seed, 5, 3, seededChooser(seed))
	for range 30 {
		w.step()
	}
	return w.history
}
