package logfile

import (
	"testing"

	"gotest.tools/v3/assert"
)

// Behind a damaged place a record counts only if its write may follow the one that is damaged: neither an earlier one nor one so far ahead
// that its number is chance.
func TestRecordsBehindADamagedPlaceThatCount(t *testing.T) {
	const damaged = 7
	for batch, counts := range map[uint32]bool{
		damaged - 1: false, damaged: true, damaged + 1: true, damaged + maximumBatchStep: true, damaged + maximumBatchStep + 1: false,
	} {
		data := append([]byte("garbage"), appendBatch(nil, batch, []Record{{Type: 1, Payload: []byte("whole")}})...)
		assert.Equal(t, holdsRecordFrom(data, damaged), counts, "batch %d", batch)
	}
}
