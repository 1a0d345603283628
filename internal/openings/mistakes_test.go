package openings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// troubled plays a fleet with bound openings, late and repeated messages, a region that is lost and returns, and a swing.
func troubled(t *testing.T, planted mistake) *world {
	w := newWorld(t, 3, 2, 3, 11, planted)
	w.repeat = 0.1
	for opening := range 30 {
		if opening%3 == 0 {
			w.bound[opening] = HomesOf(w.regions[:2])
		}
	}
	w.run(20*time.Second, nil)
	return w
}

func TestAFleetWithoutMistakesBreaksNothing(t *testing.T) {
	w := troubled(t, noMistake)
	w.swing(w.regions[0], w.regions[1])
	w.run(20*time.Second, nil)
	assert.Equal(t, w.allFaults(), Faults{})
	assert.Assert(t, w.decided() > 0)
	assert.Assert(t, w.lastWord() < 0.2, "a lost region still counts %v", w.lastWord())
}

func TestPlantedMistakesAreFound(t *testing.T) {
	found := func(planted mistake) Faults {
		w := troubled(t, planted)
		w.run(20*time.Second, nil)
		return w.allFaults()
	}
	assert.Assert(t, found(mistakeRepeatsCount).CountedTwice > 0)
	assert.Assert(t, found(mistakeOlderWins).VersionsFell > 0)
	assert.Assert(t, found(mistakeTwoOwners).UnfencedMoves > 0)
	assert.Assert(t, found(mistakeHomesIgnored).BrokenHomes > 0)
	w := troubled(t, mistakeLastWordStands)
	assert.Assert(t, w.lastWord() > 0.9)
}

// lastWord is what a lost region still counts after a while in the pictures of the others.
func (w *world) lastWord() float64 {
	lost := w.regions[2]
	before := w.rateOf(lost)
	w.lose(lost)
	w.run(25*time.Second, nil)
	return w.rateOf(lost) / before
}

// rateOf is what the first relay's picture says of a region.
func (w *world) rateOf(region string) float64 {
	total := 0.0
	for _, entry := range w.relays[0].node.Picture().Snapshot(w.now).Entries {
		total += entry.rate(region)
	}
	return total
}

func (w *world) decided() int {
	return len(w.relays[0].node.Picture().decisions.byKey)
}

func TestOpeningsAreNotNamedOutsideTheirHomes(t *testing.T) {
	w := troubled(t, noMistake)
	for _, relay := range w.inRegion(w.regions[2]) {
		for _, entry := range relay.node.Picture().Snapshot(w.now).Entries {
			assert.Assert(t, entry.Key.Homes == "", "%v", entry.Key)
		}
	}
	named := 0
	for _, entry := range w.relays[0].node.Picture().Snapshot(w.now).Entries {
		if entry.Key.Homes != "" {
			named++
		}
	}
	assert.Assert(t, named > 0)
}

func TestAllRelaysAgreeOnThePlacesInCalmTimes(t *testing.T) {
	w := troubled(t, noMistake)
	w.loss, w.repeat = 0, 0
	w.run(40*time.Second, nil)
	for opening := range worldOpenings {
		key := w.key(opening)
		if key.Homes != "" {
			continue
		}
		first := w.relays[0].node.Picture().decisions.byKey[key]
		for _, relay := range w.relays {
			other := relay.node.Picture().decisions.byKey[key]
			assert.Assert(t, (first == nil) == (other == nil) || w.movedLately(key), "opening %d at %s", opening, relay.self.Name)
			if first != nil && other != nil && !w.movedLately(key) {
				assert.Assert(t, first.same(other), "%v and %v", first, other)
			}
		}
	}
}

// movedLately tells whether a decision may still be on its way.
func (w *world) movedLately(key Key) bool {
	const spread = 12 * time.Second
	for _, relay := range w.relays {
		if moved, known := relay.node.planner.movedAt[key]; known && w.now.Sub(moved) < spread {
			return true
		}
	}
	return false
}

func TestTwoPartsThatWereApartJoinWithoutAJump(t *testing.T) {
	w := newWorld(t, 3, 2, 3, 12, noMistake)
	w.run(25*time.Second, nil)
	w.cut[w.regions[2]] = true
	w.noticeLater()
	w.run(30*time.Second, nil)
	w.cut = map[string]bool{}
	w.noticeLater()
	highest := 0.0
	whole := 0.0
	for _, region := range w.regions {
		for _, rate := range w.demand[region] {
			whole += rate
		}
	}
	w.run(20*time.Second, func() {
		total := 0.0
		for _, entry := range w.relays[0].node.Picture().Snapshot(w.now).Entries {
			total += entry.Rate
		}
		highest = max(highest, total)
	})
	assert.Assert(t, highest <= 1.1*whole, "%v of %v", highest, whole)
	assert.Assert(t, highest >= 0.6*whole, "%v of %v", highest, whole)
	assert.Equal(t, w.allFaults(), Faults{})
}

func TestADecisionThatHasEndedIsForgotten(t *testing.T) {
	w := newWorld(t, 1, 1, 1, 13, noMistake)
	relay := w.relays[0]
	w.run(20*time.Second, nil)
	assert.Assert(t, w.decided() > 0)
	w.setDemand(w.regions[0], make([]float64, worldOpenings))
	w.run(60*time.Second, nil) // until the rate is well under what is decided for
	assert.Equal(t, relay.node.Places().Len(), 0)
	w.run(relay.node.fading.forget+5*time.Second, nil)
	assert.Equal(t, w.decided(), 0)
}
