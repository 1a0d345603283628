package testkit

import (
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"
)

func TestEachCallsEachIndexOnce(t *testing.T) {
	calls := make([]atomic.Int32, 100)
	Each(len(calls), func(index int) { calls[index].Add(1) })
	for index := range calls {
		assert.Equal(t, calls[index].Load(), int32(1))
	}
	assert.Assert(t, Workers() >= 1)
}
