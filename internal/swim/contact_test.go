package swim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A process that checks its contact with other regions hears from them within a round trip, also in the middle of a large zone, whose
// members watch each other. Once its region is cut off it hears nothing from outside.
func TestContactWithOtherRegionsEndsWithAPartition(t *testing.T) {
	const silence = 350 * time.Millisecond
	for seed := range uint64(10) {
		n := convergedFleet(t, seed, 60)
		checked := n.all[0]
		outside := make(map[string]bool)
		for _, other := range n.outsideRegion(checked.self.Meta.Region) {
			outside[other.self.Meta.Zone] = true
		}
		check := func(duration time.Duration) (longestSilence time.Duration) {
			for end := n.now.Add(duration); n.now.Before(end); n.run(simTick) {
				n.deliver(checked, checked.node.CheckContact(n.clock(checked), outside, 3))
				longestSilence = max(longestSilence, n.now.Sub(checked.node.LastContact(outside)))
			}
			return longestSilence
		}
		check(silence) // the first answers
		longest := check(5 * time.Second)
		assert.Assert(t, longest < silence, "seed %d: nothing was heard for %v", seed, longest)
		n.blocked = func(from, to *machine) bool {
			return from.self.Meta.Region != to.self.Meta.Region &&
				(from.self.Meta.Region == checked.self.Meta.Region || to.self.Meta.Region == checked.self.Meta.Region)
		}
		cutAt := n.now
		check(2 * time.Second)
		late := checked.node.LastContact(outside).Sub(cutAt)
		assert.Assert(t, late <= 4*regionDelay, "seed %d: contact %v after the cut", seed, late)
	}
}

func TestLastContactWithoutMembersIsZero(t *testing.T) {
	n := convergedFleet(t, 1, 3)
	assert.Assert(t, n.all[0].node.LastContact(map[string]bool{"nowhere": true}).IsZero())
}
