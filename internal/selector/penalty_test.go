package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// After one failure, which is too little for a skip, the next requests are sent elsewhere for a while.
func TestFailurePenalizesEndpoint(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 4)
	failed := f.fail("query", EndpointError)
	for range 12 {
		d := f.mustSend(f.request("query"))
		assert.Assert(t, d.Instance.ID != failed.ID)
		f.serve(d, 20*time.Millisecond)
	}
	assert.Assert(t, f.endpoint(failed.ID).skip.until.IsZero())
	f.advance(10 * failureHalfLife)
	assert.Assert(t, f.endpoint(failed.ID).health.penaltyMs(f.now) < costJitterMs)
}

// The only endpoint of a region is used despite a recent failure.
func TestPenaltyDoesNotExcludeOnlyEndpoint(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	f.plain(lastZone, 1)
	failed := f.fail("gate", EndpointError)
	assert.Equal(t, f.mustSend(f.request("gate")).Instance.ID, failed.ID)
}
