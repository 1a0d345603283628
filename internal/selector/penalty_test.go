package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// One failure has the next requests go elsewhere for a while, though it is too little for a skip; it is forgotten with time.
func TestFailureCostsAnEndpoint(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 4)
	failed := f.fail("query", EndpointError)
	for range 12 {
		d := f.sent(f.request("query"))
		assert.Assert(t, d.Instance.ID != failed.ID)
		f.served(d, 20*time.Millisecond)
	}
	assert.Assert(t, f.endpoint(failed.ID).skip.until.IsZero())
	f.after(10 * failureMemory)
	assert.Assert(t, f.endpoint(failed.ID).health.penalty(f.now) < noiseMs)
}

// An endpoint that is the only one of its region is taken all the same.
func TestFailureKeepsNoRequestFromTheOnlyEndpoint(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	f.plain(lastZone, 1)
	failed := f.fail("gate", EndpointError)
	assert.Equal(t, f.sent(f.request("gate")).Instance.ID, failed.ID)
}
