package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// sendsInASecond returns how many of the requests that arrive at each millisecond of a time are sent in the busiest second.
func sendsInASecond(f *fleet, duration time.Duration) int {
	var sent []time.Time
	for end := f.now.Add(duration); f.now.Before(end); f.advance(time.Millisecond) {
		if decision := f.choose(f.request("query")); decision.Kind == Send {
			sent = append(sent, f.now)
			f.finish(decision, Success)
		}
	}
	busiest := 0
	for first := range sent {
		count := 0
		for _, at := range sent[first:] {
			if at.Sub(sent[first]) < time.Second {
				count++
			}
		}
		busiest = max(busiest, count)
	}
	return busiest
}

// Relays that were cut off flooded the cold endpoints of a zone that had been evacuated and restored meanwhile, of which they had heard
// nothing. Together, isolated relays send no more to an endpoint than a cold one can take.
func TestIsolatedRelaysTogetherStayWithinTheColdBound(t *testing.T) {
	const bound = 36.5 // of the endpoints of the fleet: 21 * 1.5 + 5
	for _, relays := range []int{1, 3, 20, 97, 400} {
		f := newFleet(t)
		f.engines(homeZone, 1)
		f.s.SetIsolated(relays)
		const duration = 30 * time.Second
		began := f.now
		busiest := sendsInASecond(f, duration)
		assert.Assert(t, float64(busiest) <= bound/float64(relays) || busiest <= 1, "%d relays: %d in a second", relays, busiest)
		sent := f.s.endpointList[0].lastSentAt.Sub(began)
		assert.Assert(t, sent > 0, "%d relays: nothing is sent", relays)
	}
}

// One request a second of each of many relays would be more than a cold endpoint can take, so they send less than one a second.
func TestManyIsolatedRelaysSendLessThanOneRequestASecond(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	f.s.SetIsolated(273) // 0.1 a second for each
	f.mustSend(f.request("query"))
	f.advance(9900 * time.Millisecond)
	assert.Assert(t, f.choose(f.request("query")).Kind != Send)
	f.advance(200 * time.Millisecond)
	f.mustSend(f.request("query"))
}

func TestIsolationBindsForcedRequests(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	f.s.SetIsolated(27)
	f.mustSend(f.request("query"))
	late := f.request("query")
	f.advance(late.Route.Target() / 2) // past its offer deadline
	assert.Assert(t, f.choose(late).Kind != Send)
}

func TestIsolationDoesNotBindServicesWithoutWarmup(t *testing.T) {
	f := newFleet(t)
	f.plain(homeZone, 1)
	f.s.SetIsolated(100)
	for range 5 {
		f.finish(f.mustSend(f.request("gate")), Success)
	}
}

func TestEndOfIsolationLiftsTheLimit(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	f.s.SetIsolated(27)
	f.mustSend(f.request("query"))
	assert.Assert(t, f.choose(f.request("query")).Kind != Send)
	f.s.SetIsolated(0)
	f.mustSend(f.request("query"))
}
