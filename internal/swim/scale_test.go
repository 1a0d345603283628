package swim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLargeFleetJoins(t *testing.T) {
	t.Parallel()
	n := fleet(t, 1, 300)
	took, ok := n.runUntil(15*time.Second, n.complete)
	assert.Assert(t, ok)
	t.Logf("all knew all after %v, %d bytes of full exchanges", took, n.messageBytes)
}

func TestLargeFleetNoticesDeathsAndLosesNobodyElse(t *testing.T) {
	t.Parallel()
	n := settled(t, 2, 300)
	victim := n.all[17]
	n.kill(victim)
	took, ok := n.runUntil(simBound, func() bool { return agree(n.running(), victim, Dead) })
	assert.Assert(t, ok)
	t.Logf("until all knew: %v", took)
	assert.Equal(t, n.deaths(), len(n.running()))
}

func TestLargeFleetLosesARegion(t *testing.T) {
	t.Parallel()
	n := settled(t, 3, 300)
	for _, lost := range n.inRegion("takoradi") {
		n.kill(lost)
	}
	took, ok := n.runUntil(2*simBound, n.complete)
	assert.Assert(t, ok)
	t.Logf("until all knew: %v", took)
	assert.Assert(t, took < simBound, "%v", took)
}

func TestLargeFleetHeals(t *testing.T) {
	t.Parallel()
	n := settled(t, 4, 150)
	n.blocked = func(from, to *machine) bool {
		return (from.self.Meta.Region == "kumasi") != (to.self.Meta.Region == "kumasi")
	}
	n.run(15 * time.Second)
	n.blocked = func(_, _ *machine) bool { return false }
	took, ok := n.runUntil(30*time.Second, n.complete)
	assert.Assert(t, ok)
	t.Logf("healed after %v", took)
}

func TestCalmFleetIsCheap(t *testing.T) {
	t.Parallel()
	for _, members := range []int{11, 300} {
		n := settled(t, 5, members)
		n.run(10 * time.Second)
		n.bytes, n.crossBytes, n.datagrams, n.messageBytes = 0, 0, 0, 0
		const seconds = 20
		n.run(seconds * time.Second)
		each := members * seconds
		t.Logf("%d members, each a second: %d datagrams, %d bytes, %d between regions, %d in full exchanges", members,
			n.datagrams/each, n.bytes/each, n.crossBytes/each, n.messageBytes/each)
		assert.Assert(t, n.datagrams/each <= 16)
		assert.Assert(t, n.bytes/each <= 1200)
		assert.Equal(t, n.messageBytes, 0)
	}
}

// A region that can be heard but hears nobody costs few bytes between regions: the probes that look for it carry no updates. With them
// the cut took 56 MB.
func TestCutRegionIsCheap(t *testing.T) {
	t.Parallel()
	n := settled(t, 6, 300)
	n.bytes, n.crossBytes = 0, 0
	n.blocked = func(from, to *machine) bool {
		return from.self.Meta.Region == "takoradi" && to.self.Meta.Region != "takoradi"
	}
	n.run(6 * time.Second)
	t.Logf("cut: %d bytes between regions of %d", n.crossBytes, n.bytes)
	assert.Assert(t, n.crossBytes <= 14<<20, "%d", n.crossBytes)
	n.crossBytes = 0
	n.blocked = func(_, _ *machine) bool { return false }
	took, ok := n.runUntil(10*time.Second, n.complete)
	t.Logf("healed after %v, %d bytes between regions", took, n.crossBytes)
	assert.Assert(t, ok)
	assert.Assert(t, n.crossBytes <= 14<<20, "%d", n.crossBytes)
}
