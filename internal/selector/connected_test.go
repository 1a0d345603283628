package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newConnectedFleet returns a fleet with a large tier and the set of endpoints to which this relay has an open
// connection.
func newConnectedFleet(t *testing.T) (f *fleet, open map[string]bool) {
	f = newFleet(t)
	f.engines(homeZone, 100)
	open = make(map[string]bool)
	f.s.options.HasConnection = func(instanceID string) bool { return open[instanceID] }
	return f, open
}

// In a large fleet a relay uses each endpoint seldom. It prefers endpoints with an open connection, so that few new
// ones are opened.
func TestOpenConnectionsArePreferred(t *testing.T) {
	f, open := newConnectedFleet(t)
	opened := 0
	for range 200 {
		d := f.mustSend(f.request("query"))
		if !open[d.Instance.ID] {
			opened++
		}
		f.serve(d, 50*time.Millisecond)
		open[d.Instance.ID] = true
	}
	assert.Assert(t, opened <= 5, "%d connections were opened", opened)
}

// An idle engine is preferred to a busy one with an open connection.
func TestBusyEndpointIsAvoidedDespiteOpenConnection(t *testing.T) {
	f, open := newConnectedFleet(t)
	first := f.mustSend(f.request("query"))
	f.serve(first, 50*time.Millisecond)
	open[first.Instance.ID] = true
	busy := f.endpoint(first.Instance.ID)
	busy.load.setOthers(f.now, othersLoad{requests: 64, unansweredPrefill: 60_000}, f.s.prefillRate(busy))
	f.s.otherLoadsAt = f.now
	d := f.mustSend(f.request("query"))
	assert.Assert(t, d.Instance.ID != first.Instance.ID)
}

// Opening a connection takes another round trip. An endpoint that caches the prefix of a large prompt is still
// preferred to one with an open connection.
func TestEstimateIncludesConnecting(t *testing.T) {
	f, open := newConnectedFleet(t)
	first := f.mustSend(f.dossier(7))
	f.serve(first, 500*time.Millisecond)
	f.engines(lastZone, 40)
	endpoint := f.s.service(engines).tier(last).warm()[0]
	request := f.request("query")
	connecting := f.s.estimate(f.now, request, endpoint, unranked)
	open[endpoint.instance.ID] = true
	connected := f.s.estimate(f.now, request, endpoint, unranked)
	assert.Equal(t, connecting.networkMs, 2*connected.networkMs)
	assert.Assert(t, connecting.costMs > connected.costMs)

	other := f.s.service(engines).tier(home).warm()[99]
	open[other.instance.ID] = true
	again := f.mustSend(f.dossier(7))
	assert.Equal(t, again.Instance.ID, first.Instance.ID)
}

// Endpoints that were removed, or whose connection was closed, are not added as connected ones.
func TestClosedConnectionsAreForgotten(t *testing.T) {
	f, open := newConnectedFleet(t)
	d := f.mustSend(f.request("query"))
	f.serve(d, 50*time.Millisecond)
	tier := f.s.service(engines).tier(home)
	assert.Equal(t, len(f.s.addConnected(nil, tier)), 0)
	open[d.Instance.ID] = true
	assert.Equal(t, len(f.s.addConnected(nil, tier)), 1)
	f.s.remove(f.endpoint(d.Instance.ID))
	assert.Equal(t, len(f.s.addConnected(nil, tier)), 0)
}
