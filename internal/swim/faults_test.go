package swim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// convergedTwoRegions returns a converged fleet of two regions with three zones each.
func convergedTwoRegions(t *testing.T, seed uint64, membersPerZone int) *network {
	t.Helper()
	n := newNetwork(t, seed)
	for _, region := range []string{"north", "south"} {
		for zone := range 3 {
			for range membersPerZone {
				n.addIn(region, fmt.Sprintf("%s-hall-%d", region, zone))
			}
		}
	}
	for index := range 3 {
		n.seeds = append(n.seeds, n.all[index*membersPerZone].self.Address)
	}
	for _, each := range n.all {
		n.start(each)
	}
	_, ok := n.runUntil(10*time.Second, n.converged)
	assert.Assert(t, ok)
	n.run(5 * time.Second)
	return n
}

func TestLossOfAZoneIsDetected(t *testing.T) {
	for seed := range uint64(5) {
		n := convergedTwoRegions(t, seed, 10)
		for _, each := range n.all {
			if each.self.Meta.Zone == "south-hall-1" {
				n.kill(each)
			}
		}
		took, ok := n.runUntil(simContactBound, n.converged)
		assert.Assert(t, ok, "seed %d", seed)
		t.Logf("seed %d: until all knew: %v", seed, took)
		assert.Equal(t, n.countDeaths(), 10*len(n.running()), "seed %d: other members were declared dead", seed)
	}
}

// TestConvergenceAfterRandomFaults injects random kills, restarts, pauses, partitions and packet loss. After the
// faults end, all members must converge.
func TestConvergenceAfterRandomFaults(t *testing.T) {
	for seed := range uint64(15) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			n := convergedFleet(t, seed, 15)
			for range 25 {
				n.injectRandomFault()
				n.run(time.Duration(n.random.Int64N(int64(3 * time.Second))))
			}
			n.loss = 0.01
			n.blocked = func(_, _ *machine) bool { return false }
			for _, each := range n.all {
				if each.node == nil {
					n.start(each)
				}
			}
			n.run(3 * time.Second) // the longest pause ends
			took, ok := n.runUntil(10*time.Second, n.converged)
			assert.Assert(t, ok, "seed %d", seed)
			t.Logf("seed %d: agreed after %v", seed, took)
		})
	}
}

// injectRandomFault performs one random fault or repair.
func (n *network) injectRandomFault() {
	victim := n.all[n.random.IntN(len(n.all))]
	other := n.all[n.random.IntN(len(n.all))]
	switch n.random.IntN(7) {
	case 0:
		n.kill(victim)
	case 1:
		if victim.node == nil {
			victim.clockOffset = time.Duration(n.random.Int64N(int64(time.Hour))) - 30*time.Minute
			n.start(victim)
		}
	case 2:
		if victim.node != nil {
			n.freeze(victim, time.Duration(n.random.Int64N(int64(3*time.Second))))
		}
	case 3:
		region := victim.self.Meta.Region
		n.blocked = func(from, to *machine) bool {
			return (from.self.Meta.Region == region) != (to.self.Meta.Region == region)
		}
	case 4:
		n.blocked = func(from, to *machine) bool { return from == victim && to != other }
	case 5:
		n.blocked = func(_, _ *machine) bool { return false }
	case 6:
		n.loss = float64(n.random.IntN(3)) * 0.05
	}
}
