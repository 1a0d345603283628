package dataplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/settings"
)

func isolationIn(zone string, zones map[string]string) isolation {
	return newIsolation(&settings.Settings{Zone: zone, Region: zones[zone], Zones: zones})
}

var threeRegions = map[string]string{"a": "north", "d": "north", "b": "south", "c": "west"}

func TestZonesOutside(t *testing.T) {
	assert.DeepEqual(t, isolationIn("a", threeRegions).outside, map[string]bool{"b": true, "c": true})
	assert.DeepEqual(t, isolationIn("a", map[string]string{"a": "north", "b": "north"}).outside, map[string]bool{"b": true})
}

// A relay whose feed has ended though other regions answer is not isolated: the control processes alone are away.
func TestRelayThatReachesOtherRegionsIsNotIsolated(t *testing.T) {
	i := isolationIn("a", threeRegions)
	now := testStart
	for range 50 {
		now = now.Add(100 * time.Millisecond)
		assert.Assert(t, !i.update(now, false, now.Add(-200*time.Millisecond)))
	}
}

// A relay that is cut off floods endpoints that have become cold, since it does not hear that their zone was evacuated and restored. It
// counts as isolated until its feed is fresh, not only until the first answer comes through.
func TestRelayIsIsolatedUntilItsFeedIsFresh(t *testing.T) {
	i := isolationIn("a", threeRegions)
	now := testStart
	assert.Assert(t, !i.update(now, true, time.Time{}), "the feed is fresh")
	assert.Assert(t, !i.update(now, false, time.Time{}), "there was no time for an answer yet")
	now = now.Add(isolationSilence)
	assert.Assert(t, i.update(now, false, time.Time{}))
	assert.Assert(t, i.update(now, false, now), "nothing has told what was missed")
	assert.Assert(t, !i.update(now, true, now))
	assert.Assert(t, !i.update(now, false, now))
}

func TestRelayOfTheOnlyZoneIsNeverIsolated(t *testing.T) {
	i := isolationIn("a", map[string]string{"a": "north"})
	assert.Assert(t, !i.update(testStart, false, time.Time{}))
	assert.Assert(t, !i.update(testStart.Add(time.Hour), false, time.Time{}))
}
