package logfile

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A record behind damaged data proves a later batch only if its number is neither lower than expected nor so far ahead that it
// matches by chance.
func TestContainsRecordSinceBoundsBatchNumbers(t *testing.T) {
	const damaged = 7
	for batch, counts := range map[uint32]bool{
		damaged - 1: false, damaged: true, damaged + 1: true, damaged + maxBatchGap: true, damaged + maxBatchGap + 1: false,
	} {
		data := append([]byte("garbage"), appendBatch(nil, batch, []Record{{Type: 1, Payload: []byte("whole")}})...)
		assert.Equal(t, containsRecordSince(data, damaged), counts, "batch %d", batch)
	}
}
