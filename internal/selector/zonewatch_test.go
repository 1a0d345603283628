package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// zonesOfTwo is a fleet with engines in two regions, in which both have just answered.
func zonesOfTwo(t *testing.T) *fleet {
	f := newFleet(t)
	f.engines(homeZone, 8)
	f.engines(lastZone, 4)
	for range 3 {
		f.served(f.sent(f.request("query")), 30*time.Millisecond)
	}
	f.heardFrom(lastZone)
	f.after(time.Millisecond)
	return f
}

// heardFrom has an endpoint of a zone answer something.
func (f *fleet) heardFrom(zone string) {
	f.s.watchOf(zone).heard(f.now)
}

// hang sends requests that are not answered, and returns the zones that they went to.
func (f *fleet) hang(count int, pause time.Duration) (zones []string) {
	for range count {
		zones = append(zones, f.sent(f.request("query")).Instance.Zone)
		f.after(pause)
	}
	return zones
}

// A zone from which nothing comes any more is left as a whole: not each endpoint has to be found out.
func TestSilentZoneIsLeft(t *testing.T) {
	f := zonesOfTwo(t)
	for _, zone := range f.hang(darkAfter, 10*time.Millisecond) {
		assert.Equal(t, zone, homeZone)
	}
	for range 8 {
		f.after(100 * time.Millisecond)
		f.heardFrom(lastZone)
		f.s.noteAwake(f.now)
	}
	for _, zone := range f.hang(4, time.Millisecond) {
		assert.Equal(t, zone, lastZone)
	}
	assert.DeepEqual(t, f.s.DarkZones(), []string{homeZone})
}

// One byte from the zone ends it.
func TestZoneThatAnswersIsTakenBack(t *testing.T) {
	f := zonesOfTwo(t)
	attempts := []Decision{f.sent(f.request("query")), f.sent(f.request("query")), f.sent(f.request("query")), f.sent(f.request("query"))}
	for range 8 {
		f.after(100 * time.Millisecond)
		f.heardFrom(lastZone)
		f.s.noteAwake(f.now)
	}
	assert.Equal(t, f.sent(f.request("query")).Instance.Zone, lastZone)
	f.s.FirstByte(f.now, attempts[0].Attempt)
	assert.Equal(t, f.sent(f.request("query")).Instance.Zone, homeZone)
}

// After a while one request tries the zone; while it is out, no other does.
func TestDarkZoneIsTriedByOne(t *testing.T) {
	f := zonesOfTwo(t)
	f.hang(darkAfter, 0)
	for range 8 {
		f.after(100 * time.Millisecond)
		f.heardFrom(lastZone)
		f.s.noteAwake(f.now)
	}
	f.hang(1, 0)
	watch := f.s.watchOf(homeZone)
	for f.now.Before(watch.until) {
		f.after(100 * time.Millisecond)
		f.heardFrom(lastZone)
		f.s.noteAwake(f.now)
	}
	assert.Equal(t, f.sent(f.request("query")).Instance.Zone, homeZone)
	for _, zone := range f.hang(3, time.Millisecond) {
		assert.Equal(t, zone, lastZone)
	}
}

// Where membership hears nobody in a zone, fewer requests are enough.
func TestDoubtedZoneIsLeftSooner(t *testing.T) {
	f := zonesOfTwo(t)
	f.s.SetDoubtedZones(map[string]bool{homeZone: true})
	f.hang(darkAfterDoubt, 0)
	for range 8 {
		f.after(100 * time.Millisecond)
		f.heardFrom(lastZone)
		f.s.noteAwake(f.now)
	}
	assert.Equal(t, f.sent(f.request("query")).Instance.Zone, lastZone)
}

// Silence from everywhere is this relay's own trouble, and so is silence after a pause in which it stood still.
func TestOwnSilenceIsHeldAgainstNoZone(t *testing.T) {
	f := zonesOfTwo(t)
	f.hang(darkAfter, 0)
	for range 12 {
		f.after(100 * time.Millisecond)
		f.s.noteAwake(f.now)
	}
	f.sent(f.request("query"))
	assert.Assert(t, !f.s.watchOf(homeZone).dark, "nothing came from elsewhere")

	f = zonesOfTwo(t)
	f.hang(darkAfter, 0)
	f.after(3 * time.Second)
	f.heardFrom(lastZone)
	f.sent(f.request("query"))
	assert.Assert(t, !f.s.watchOf(homeZone).dark, "it stood still for 3 s")
}

// Requests that were answered don't hide the silent ones behind them, however long the oldest one waits.
func TestAnsweredRequestsHideNoSilence(t *testing.T) {
	f := zonesOfTwo(t)
	f.sent(f.request("query"))
	for range 3 * darkLook {
		f.served(f.sent(f.request("query")), time.Millisecond)
	}
	f.after(time.Millisecond)
	f.hang(darkAfter, 0)
	for range 8 {
		f.after(100 * time.Millisecond)
		f.heardFrom(lastZone)
		f.s.noteAwake(f.now)
	}
	assert.Equal(t, f.sent(f.request("query")).Instance.Zone, lastZone)
}
