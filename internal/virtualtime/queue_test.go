package virtualtime

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestEventsAreOrderedByTimeThenInsertion(t *testing.T) {
	start := time.Unix(0, 0)
	var queue Queue
	var happened []int
	for number, seconds := range []int{3, 1, 2, 1} {
		queue.At(start.Add(time.Duration(seconds)*time.Second), func() { happened = append(happened, number) })
	}
	for {
		_, run, due := queue.PopDue(start.Add(2 * time.Second))
		if !due {
			break
		}
		run()
	}
	assert.DeepEqual(t, happened, []int{1, 3, 2})
	assert.Equal(t, queue.Len(), 1)
	at, _, any := queue.Pop()
	assert.Assert(t, any)
	assert.Equal(t, at, start.Add(3*time.Second))
	_, _, any = queue.Pop()
	assert.Assert(t, !any)
}
