package swim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestLargeFleetJoins(t *testing.T) {
	t.Parallel()
	n := startFleet(t, 1, 300)
	took, ok := n.runUntil(15*time.Second, n.converged)
	assert.Assert(t, ok)
	t.Logf("all knew all after %v, %d bytes of full exchanges", took, n.exchangeBytes)
}

func TestLargeFleetDetectsOnlyTheActualFailure(t *testing.T) {
	t.Parallel()
	n := convergedFleet(t, 2, 300)
	victim := n.all[17]
	n.kill(victim)
	took, ok := n.runUntil(simContactBound, func() bool { return allSeeStatus(n.running(), victim, Dead) })
	assert.Assert(t, ok)
	t.Logf("until all knew: %v", took)
	assert.Equal(t, n.countDeaths(), len(n.running()))
}

func TestLargeFleetDetectsTheLossOfARegion(t *testing.T) {
	t.Parallel()
	n := convergedFleet(t, 3, 300)
	for _, lost := range n.inRegion("takoradi") {
		n.kill(lost)
	}
	took, ok := n.runUntil(2*simContactBound, n.converged)
	assert.Assert(t, ok)
	t.Logf("until all knew: %v", took)
	assert.Assert(t, took < simContactBound, "%v", took)
}

func TestLargeFleetHealsAfterAPartition(t *testing.T) {
	t.Parallel()
	n := convergedFleet(t, 4, 150)
	n.blocked = func(from, to *machine) bool {
		return (from.self.Meta.Region == "kumasi") != (to.self.Meta.Region == "kumasi")
	}
	n.run(15 * time.Second)
	n.blocked = func(_, _ *machine) bool { return false }
	took, ok := n.runUntil(30*time.Second, n.converged)
	assert.Assert(t, ok)
	t.Logf("healed after %v", took)
}

func TestTrafficOfAStableFleetIsBounded(t *testing.T) {
	t.Parallel()
	for _, members := range []int{11, 300} {
		n := convergedFleet(t, 5, members)
		n.run(10 * time.Second)
		n.datagramBytes, n.crossRegionBytes, n.datagrams, n.exchangeBytes = 0, 0, 0, 0
		const seconds = 20
		n.run(seconds * time.Second)
		each := members * seconds
		t.Logf("%d members, each a second: %d datagrams, %d bytes, %d between regions, %d in full exchanges", members,
			n.datagrams/each, n.datagramBytes/each, n.crossRegionBytes/each, n.exchangeBytes/each)
		assert.Assert(t, n.datagrams/each <= 16)
		assert.Assert(t, n.datagramBytes/each <= 1200)
		assert.Equal(t, n.exchangeBytes, 0)
	}
}

// When a region can send to the others but not receive from them, many unscheduled probes cross regions. They must
// carry no queued updates: with them, the partition caused 56 MB of traffic between regions.
func TestTrafficDuringAOneWayRegionPartitionIsBounded(t *testing.T) {
	t.Parallel()
	n := convergedFleet(t, 6, 300)
	n.datagramBytes, n.crossRegionBytes = 0, 0
	n.blocked = func(from, to *machine) bool {
		return from.self.Meta.Region == "takoradi" && to.self.Meta.Region != "takoradi"
	}
	n.run(6 * time.Second)
	t.Logf("partition: %d bytes between regions of %d", n.crossRegionBytes, n.datagramBytes)
	assert.Assert(t, n.crossRegionBytes <= 14<<20, "%d", n.crossRegionBytes)
	n.crossRegionBytes = 0
	n.blocked = func(_, _ *machine) bool { return false }
	took, ok := n.runUntil(10*time.Second, n.converged)
	t.Logf("healed after %v, %d bytes between regions", took, n.crossRegionBytes)
	assert.Assert(t, ok)
	assert.Assert(t, n.crossRegionBytes <= 14<<20, "%d", n.crossRegionBytes)
}
