package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// connectedFleet is a fleet with a large tier, in which this relay has open connections to the endpoints that answered it lately.
func connectedFleet(t *testing.T) (f *fleet, open map[string]bool) {
	f = newFleet(t)
	f.engines(homeZone, 100)
	open = make(map[string]bool)
	f.s.options.HasConnection = func(instanceID string) bool { return open[instanceID] }
	return f, open
}

// A relay of many sees each endpoint seldom. It goes where a connection is open, so that few new ones are opened.
func TestOpenConnectionsAreUsed(t *testing.T) {
	f, open := connectedFleet(t)
	opened := 0
	for range 200 {
		d := f.sent(f.request("query"))
		if !open[d.Instance.ID] {
			opened++
		}
		f.served(d, 50*time.Millisecond)
		open[d.Instance.ID] = true
	}
	assert.Assert(t, opened <= 5, "%d connections were opened", opened)
}

// An open connection is worth less than an engine that is free.
func TestBusyEndpointIsLeftThoughItIsConnected(t *testing.T) {
	f, open := connectedFleet(t)
	first := f.sent(f.request("query"))
	f.served(first, 50*time.Millisecond)
	open[first.Instance.ID] = true
	busy := f.endpoint(first.Instance.ID)
	busy.load.setOthers(f.now, others{requests: 64, unread: 60_000}, f.s.speedOf(busy))
	f.s.othersAt = f.now
	d := f.sent(f.request("query"))
	assert.Assert(t, d.Instance.ID != first.Instance.ID)
}

// To connect takes a round trip more, and an endpoint that keeps the opening of a large prompt is worth that.
func TestConnectingIsExpected(t *testing.T) {
	f, open := connectedFleet(t)
	first := f.sent(f.dossier(7))
	f.served(first, 500*time.Millisecond)
	f.engines(lastZone, 40)
	endpoint := f.s.service(engines).tier(last).warm()[0]
	request := f.request("query")
	cold := f.s.estimate(f.now, request, endpoint, unranked)
	open[endpoint.instance.ID] = true
	kept := f.s.estimate(f.now, request, endpoint, unranked)
	assert.Equal(t, cold.travel, 2*kept.travel)
	assert.Assert(t, cold.cost > kept.cost)

	other := f.s.service(engines).tier(home).warm()[99]
	open[other.instance.ID] = true
	again := f.sent(f.dossier(7))
	assert.Equal(t, again.Instance.ID, first.Instance.ID)
}

// Endpoints that are gone, or of which the connection was closed, are not looked at for it.
func TestClosedConnectionsAreForgotten(t *testing.T) {
	f, open := connectedFleet(t)
	d := f.sent(f.request("query"))
	f.served(d, 50*time.Millisecond)
	tier := f.s.service(engines).tier(home)
	assert.Equal(t, len(f.s.addConnected(nil, tier)), 0)
	open[d.Instance.ID] = true
	assert.Equal(t, len(f.s.addConnected(nil, tier)), 1)
	f.s.remove(f.endpoint(d.Instance.ID))
	assert.Equal(t, len(f.s.addConnected(nil, tier)), 0)
}
