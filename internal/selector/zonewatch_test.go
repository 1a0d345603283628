package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newTwoZoneFleet returns a fleet with engines in two regions, both of which have just answered.
func newTwoZoneFleet(t *testing.T) *fleet {
	f := newFleet(t)
	f.engines(homeZone, 8)
	f.engines(lastZone, 4)
	for range 3 {
		f.serve(f.mustSend(f.request("query")), 30*time.Millisecond)
	}
	f.receivedFrom(lastZone)
	f.advance(time.Millisecond)
	return f
}

// receivedFrom records that something was received from a zone.
func (f *fleet) receivedFrom(zone string) {
	f.s.zoneWatchFor(zone).recordReceived(f.now)
}

// hang sends requests that are not answered, and returns the zones to which they were sent.
func (f *fleet) hang(count int, pause time.Duration) (zones []string) {
	for range count {
		zones = append(zones, f.mustSend(f.request("query")).Instance.Zone)
		f.advance(pause)
	}
	return zones
}

// A zone from which nothing is received any more is avoided as a whole, before each of its endpoints is found to
// hang.
func TestSilentZoneBecomesUnreachable(t *testing.T) {
	f := newTwoZoneFleet(t)
	for _, zone := range f.hang(minOverdue, 10*time.Millisecond) {
		assert.Equal(t, zone, homeZone)
	}
	for range 8 {
		f.advance(100 * time.Millisecond)
		f.receivedFrom(lastZone)
		f.s.detectStall(f.now)
	}
	for _, zone := range f.hang(4, time.Millisecond) {
		assert.Equal(t, zone, lastZone)
	}
	assert.DeepEqual(t, f.s.UnreachableZones(), []string{homeZone})
}

// A zone is reachable again as soon as one byte is received from it.
func TestZoneThatAnswersIsReachableAgain(t *testing.T) {
	f := newTwoZoneFleet(t)
	attempts := []Decision{f.mustSend(f.request("query")), f.mustSend(f.request("query")),
		f.mustSend(f.request("query")), f.mustSend(f.request("query"))}
	for range 8 {
		f.advance(100 * time.Millisecond)
		f.receivedFrom(lastZone)
		f.s.detectStall(f.now)
	}
	assert.Equal(t, f.mustSend(f.request("query")).Instance.Zone, lastZone)
	f.s.FirstByte(f.now, attempts[0].Attempt)
	assert.Equal(t, f.mustSend(f.request("query")).Instance.Zone, homeZone)
}

// After a while one request is sent to an unreachable zone; while it is in flight, no other is.
func TestUnreachableZoneGetsOneTrial(t *testing.T) {
	f := newTwoZoneFleet(t)
	f.hang(minOverdue, 0)
	for range 8 {
		f.advance(100 * time.Millisecond)
		f.receivedFrom(lastZone)
		f.s.detectStall(f.now)
	}
	f.hang(1, 0)
	watch := f.s.zoneWatchFor(homeZone)
	for f.now.Before(watch.trialAfter) {
		f.advance(100 * time.Millisecond)
		f.receivedFrom(lastZone)
		f.s.detectStall(f.now)
	}
	assert.Equal(t, f.mustSend(f.request("query")).Instance.Zone, homeZone)
	for _, zone := range f.hang(3, time.Millisecond) {
		assert.Equal(t, zone, lastZone)
	}
}

// Fewer overdue requests are enough where the membership protocol has no contact with the zone.
func TestSuspectedZoneBecomesUnreachableSooner(t *testing.T) {
	f := newTwoZoneFleet(t)
	f.s.SetSuspectedZones(map[string]bool{homeZone: true})
	f.hang(minOverdueSuspected, 0)
	for range 8 {
		f.advance(100 * time.Millisecond)
		f.receivedFrom(lastZone)
		f.s.detectStall(f.now)
	}
	assert.Equal(t, f.mustSend(f.request("query")).Instance.Zone, lastZone)
}

// Silence from all zones is due to this relay itself, and so is silence after a stall of this process.
func TestOwnStallIsNotBlamedOnZone(t *testing.T) {
	f := newTwoZoneFleet(t)
	f.hang(minOverdue, 0)
	for range 12 {
		f.advance(100 * time.Millisecond)
		f.s.detectStall(f.now)
	}
	f.mustSend(f.request("query"))
	assert.Assert(t, !f.s.zoneWatchFor(homeZone).unreachable, "nothing was received from another zone either")

	f = newTwoZoneFleet(t)
	f.hang(minOverdue, 0)
	f.advance(3 * time.Second)
	f.receivedFrom(lastZone)
	f.mustSend(f.request("query"))
	assert.Assert(t, !f.s.zoneWatchFor(homeZone).unreachable, "the process was stalled for 3 s")
}

// Answered requests do not hide the silent ones behind them, however long the oldest one has been unanswered.
func TestAnsweredRequestsDoNotHideSilence(t *testing.T) {
	f := newTwoZoneFleet(t)
	f.mustSend(f.request("query"))
	for range 3 * maxUnansweredChecked {
		f.serve(f.mustSend(f.request("query")), time.Millisecond)
	}
	f.advance(time.Millisecond)
	f.hang(minOverdue, 0)
	for range 8 {
		f.advance(100 * time.Millisecond)
		f.receivedFrom(lastZone)
		f.s.detectStall(f.now)
	}
	assert.Equal(t, f.mustSend(f.request("query")).Instance.Zone, lastZone)
}
