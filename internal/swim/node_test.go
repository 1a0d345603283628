package swim

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/swim/swimpb"
)

func TestJoinInAnyOrder(t *testing.T) {
	for seed := range uint64(20) {
		n := startFleet(t, seed, 30)
		took, ok := n.runUntil(5*time.Second, n.converged)
		assert.Assert(t, ok, "seed %d: the members did not find each other", seed)
		assert.Assert(t, took < 2*time.Second, "seed %d: took %v", seed, took)
	}
}

func TestJoinWhenSeedsStartLate(t *testing.T) {
	n := newNetwork(t, 3)
	for range 6 {
		n.add("tema")
	}
	n.seeds = []string{n.all[0].self.Address, n.all[1].self.Address, n.all[2].self.Address}
	for _, early := range n.all[3:] {
		n.start(early)
	}
	n.run(10 * time.Second)
	for _, seed := range n.all[:3] {
		n.start(seed)
	}
	took, ok := n.runUntil(5*time.Second, n.converged)
	assert.Assert(t, ok)
	assert.Assert(t, took < 2*time.Second, "took %v", took)
}

// A new member must keep asking the other seeds if the only seed that is up is partitioned from all others, and find
// them soon after they start.
func TestJoinThroughASeedThatIsCutOff(t *testing.T) {
	var worst time.Duration
	for seed := range uint64(30) {
		n := newNetwork(t, seed)
		for range 6 {
			n.add("tema")
		}
		n.seeds = []string{n.all[0].self.Address, n.all[1].self.Address, n.all[2].self.Address}
		alone, late, joiner := n.all[0], n.all[1:5], n.all[5]
		n.blocked = func(from, to *machine) bool {
			return from == alone && slices.Contains(late, to) || to == alone && slices.Contains(late, from)
		}
		n.start(alone)
		n.start(joiner)
		_, found := n.runUntil(2*time.Second, func() bool {
			_, known := joiner.node.Find(alone.self.Name)
			return known
		})
		assert.Assert(t, found, "seed %d", seed)
		for _, each := range late {
			n.start(each)
		}
		took, ok := n.runUntil(5*time.Second, func() bool {
			return !slices.ContainsFunc(late, func(each *machine) bool {
				member, known := joiner.node.Find(each.self.Name)
				return !known || member.Status != Alive
			})
		})
		assert.Assert(t, ok, "seed %d", seed)
		worst = max(worst, took)
	}
	assert.Assert(t, worst < time.Second, "took %v", worst)
	t.Logf("%v at most", worst)
}

func TestFailureIsDetectedWithinAThirdOfTheBound(t *testing.T) {
	const trials = 60
	var total, worst time.Duration
	for seed := range uint64(trials) {
		n := convergedFleet(t, seed, 20)
		victim := n.all[n.random.IntN(len(n.all))]
		n.kill(victim)
		took, ok := n.runUntil(simContactBound, func() bool { return allSeeStatus(n.running(), victim, Dead) })
		assert.Assert(t, ok, "seed %d", seed)
		total += took
		worst = max(worst, took)
		assert.Equal(t, n.countDeaths(), len(n.running()), "seed %d: other members were declared dead", seed)
	}
	mean := total / trials
	t.Logf("until all knew: mean %v, worst %v", mean, worst)
	assert.Assert(t, mean < simContactBound/3, "mean %v", mean)
	assert.Assert(t, worst < simContactBound/2, "worst %v", worst)
}

func TestManyFailuresAtOnce(t *testing.T) {
	for seed := range uint64(10) {
		n := convergedFleet(t, seed, 30)
		for _, index := range n.random.Perm(30)[:12] {
			n.kill(n.all[index])
		}
		took, ok := n.runUntil(simContactBound, n.converged)
		assert.Assert(t, ok, "seed %d", seed)
		t.Logf("seed %d: %v", seed, took)
	}
}

// A member that misses a refutation would declare a live member dead unless sendRefutations corrected it. Without
// that correction, one in twelve of these fleets declared a live member dead.
func TestNoFalseFailureUnderLoss(t *testing.T) {
	for seed := range uint64(40) {
		n := convergedFleet(t, seed, 30)
		n.loss = 0.05
		n.run(60 * time.Second)
		assert.Equal(t, n.countDeaths(), 0, "seed %d", seed)
	}
}

func TestRegionPartitionIsDetectedAndHeals(t *testing.T) {
	for _, members := range []int{11, 30} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%d members, seed %d", members, seed), func(t *testing.T) {
				t.Parallel()
				partitionAndHeal(t, seed, members)
			})
		}
	}
}

func partitionAndHeal(t *testing.T, seed uint64, members int) {
	t.Helper()
	n := convergedFleet(t, seed, members)
	n.blocked = func(from, to *machine) bool {
		return (from.self.Meta.Region == "kumasi") != (to.self.Meta.Region == "kumasi")
	}
	inside, outside := n.inRegion("kumasi"), n.outsideRegion("kumasi")
	took, ok := n.runUntil(simContactBound, func() bool {
		return allCountMembers(inside, len(inside)) && allCountMembers(outside, len(outside))
	})
	assert.Assert(t, ok, "seed %d: the partition was not detected", seed)
	n.run(20 * time.Second)
	n.blocked = func(_, _ *machine) bool { return false }
	healed, ok := n.runUntil(10*time.Second, n.converged)
	assert.Assert(t, ok, "seed %d: the two sides did not converge", seed)
	t.Logf("%d members, seed %d: detected after %v, healed after %v", members, seed, took, healed)
	assert.Assert(t, healed < 5*time.Second, "seed %d: %v", seed, healed)
}

// allCountMembers reports whether each machine has the given number of live members.
func allCountMembers(among []*machine, members int) bool {
	for _, each := range among {
		if len(each.node.Members()) != members {
			return false
		}
	}
	return true
}

func TestPartitionBetweenTwoRegionsIsBridgedByTheThird(t *testing.T) {
	n := convergedFleet(t, 4, 30)
	n.blocked = func(from, to *machine) bool {
		regions := from.self.Meta.Region + " " + to.self.Meta.Region
		return regions == "kumasi takoradi" || regions == "takoradi kumasi"
	}
	n.run(30 * time.Second)
	assert.Equal(t, n.countDeaths(), 0)
}

func TestMemberThatReceivesNothingIsRemovedAndRejoins(t *testing.T) {
	n := convergedFleet(t, 5, 20)
	isolated := n.all[7]
	n.blocked = func(_, to *machine) bool { return to == isolated }
	others := excluding(n.running(), isolated)
	_, ok := n.runUntil(simContactBound, func() bool { return allSeeStatus(others, isolated, Dead) })
	assert.Assert(t, ok)
	n.run(20 * time.Second)
	for _, each := range others {
		delete(each.deathsSeen, isolated.self.Name)
		assert.Equal(t, len(each.deathsSeen), 0, "%s declared others dead", each.self.Name)
	}
	n.blocked = func(_, _ *machine) bool { return false }
	took, ok := n.runUntil(simContactBound, n.converged)
	assert.Assert(t, ok)
	t.Logf("rejoined after %v", took)
}

func TestMemberThatCannotSendIsRemovedAndRejoins(t *testing.T) {
	n := convergedFleet(t, 6, 20)
	isolated := n.all[7]
	n.blocked = func(from, _ *machine) bool { return from == isolated }
	others := excluding(n.running(), isolated)
	_, ok := n.runUntil(simContactBound, func() bool { return allSeeStatus(others, isolated, Dead) })
	assert.Assert(t, ok)
	n.run(20 * time.Second)
	n.blocked = func(_, _ *machine) bool { return false }
	_, ok = n.runUntil(simContactBound, n.converged)
	assert.Assert(t, ok)
}

func excluding(machines []*machine, excluded *machine) []*machine {
	var rest []*machine
	for _, each := range machines {
		if each != excluded {
			rest = append(rest, each)
		}
	}
	return rest
}

func TestSlowMemberAccusesNobody(t *testing.T) {
	for seed := range uint64(5) {
		n := convergedFleet(t, seed, 20)
		slow := n.all[3]
		for range 30 {
			n.freeze(slow, 700*time.Millisecond)
			n.run(1200 * time.Millisecond)
		}
		for _, each := range n.running() {
			delete(each.deathsSeen, slow.self.Name)
			assert.Equal(t, len(each.deathsSeen), 0, "seed %d: %s declared others dead", seed, each.self.Name)
		}
		took, ok := n.runUntil(simContactBound, n.converged)
		assert.Assert(t, ok)
		t.Logf("seed %d: converged after %v", seed, took)
	}
}

func TestFrozenMemberIsRemovedAndRejoins(t *testing.T) {
	for seed := range uint64(5) {
		n := convergedFleet(t, seed, 20)
		frozen := n.all[4]
		n.freeze(frozen, 6*time.Second)
		n.run(5900 * time.Millisecond)
		assert.Assert(t, allSeeStatus(excluding(n.running(), frozen), frozen, Dead), "seed %d", seed)
		n.run(100 * time.Millisecond)
		took, ok := n.runUntil(simContactBound, n.converged)
		assert.Assert(t, ok, "seed %d", seed)
		assert.Assert(t, took < 1500*time.Millisecond, "seed %d: %v", seed, took)
		assert.Equal(t, len(frozen.deathsSeen), 0, "seed %d: it declared others dead", seed)
	}
}

func TestRestartWithoutStateRejoinsAtOnce(t *testing.T) {
	for _, clockOffset := range []time.Duration{0, -time.Hour} {
		n := convergedFleet(t, 8, 20)
		restarted := n.all[11]
		n.kill(restarted)
		n.run(400 * time.Millisecond)
		restarted.clockOffset = clockOffset
		restarted.self.Meta.Front = "10.9.9.9:1"
		n.start(restarted)
		took, ok := n.runUntil(5*time.Second, func() bool {
			for _, each := range n.running() {
				member, _ := each.node.Find(restarted.self.Name)
				if member.Meta.Front != "10.9.9.9:1" {
					return false
				}
			}
			return n.converged()
		})
		assert.Assert(t, ok, "clock %v", clockOffset)
		assert.Assert(t, took < 1500*time.Millisecond, "clock %v: %v", clockOffset, took)
	}
}

func TestRestartAfterDetectedFailureRejoinsAtOnce(t *testing.T) {
	n := convergedFleet(t, 9, 20)
	returned := n.all[12]
	n.kill(returned)
	n.run(10 * time.Second)
	n.start(returned)
	took, ok := n.runUntil(5*time.Second, n.converged)
	assert.Assert(t, ok)
	assert.Assert(t, took < 1500*time.Millisecond, "%v", took)
}

func TestWholeFleetRestarts(t *testing.T) {
	n := convergedFleet(t, 10, 30)
	for _, each := range n.all {
		n.kill(each)
	}
	n.run(time.Second)
	for _, each := range n.all {
		n.start(each)
	}
	took, ok := n.runUntil(5*time.Second, n.converged)
	assert.Assert(t, ok)
	assert.Assert(t, took < 2*time.Second, "%v", took)
}

func TestLeave(t *testing.T) {
	n := convergedFleet(t, 11, 20)
	n.loss = 0.05
	leaver := n.all[5]
	n.deliver(leaver, leaver.node.Leave(n.now))
	took, ok := n.runUntil(2*time.Second, func() bool { return allSeeStatus(n.running(), leaver, Left) })
	assert.Assert(t, ok)
	t.Logf("known to all after %v", took)
	n.run(20 * time.Second)
	assert.Assert(t, allSeeStatus(n.running(), leaver, Left))
	assert.Equal(t, n.countDeaths(), 0)
	assert.Equal(t, len(leaver.node.Members()), 19)
}

func TestMetaChangeSpreads(t *testing.T) {
	n := convergedFleet(t, 12, 30)
	took := n.announceNotServing(n.all[5], 2*time.Second)
	t.Logf("known to all after %v", took)
	assert.Assert(t, took < time.Second, "%v", took)
}

func TestAddressPassesToAnotherName(t *testing.T) {
	n := convergedFleet(t, 13, 20)
	former := n.all[6]
	n.kill(former)
	n.run(time.Second)
	successor := &machine{self: former.self}
	successor.self.Name = "successor"
	n.all[6] = successor
	n.machines[successor.self.Address] = successor
	n.start(successor)
	others := excluding(n.running(), successor) // the successor never knew the former member
	_, ok := n.runUntil(5*time.Second, func() bool {
		return n.converged() && allSeeStatus(others, former, Dead)
	})
	assert.Assert(t, ok)
}

func TestConnectionContactCountsAsAcknowledgement(t *testing.T) {
	n := convergedFleet(t, 14, 3)
	watcher, silenced := n.all[0], n.all[1]
	n.blocked = func(from, _ *machine) bool { return from == silenced }
	for range 100 {
		for _, each := range excluding(n.all, silenced) {
			each.node.RecordContact(n.now, silenced.self.Address)
		}
		n.run(100 * time.Millisecond)
	}
	member, _ := watcher.node.Find(silenced.self.Name)
	assert.Equal(t, member.Status, Alive)
}

func TestSeedsMayChange(t *testing.T) {
	n := newNetwork(t, 15)
	first, second := n.add("tema"), n.add("tema")
	n.start(first)
	n.start(second)
	n.run(time.Second)
	assert.Equal(t, len(first.node.Members()), 1)
	first.node.SetSeeds([]string{second.self.Address, first.self.Address})
	_, ok := n.runUntil(time.Second, n.converged)
	assert.Assert(t, ok)
}

func TestInvalidStatesAreIgnored(t *testing.T) {
	node := New(Options{
		Self:   Member{Name: "a", Address: "10.0.0.1:7000"},
		Random: rand.New(rand.NewPCG(1, 1)),
	}, simEpoch)
	message := &swimpb.Message{Type: swimpb.Type_TYPE_GOSSIP, States: []*swimpb.State{
		{},
		{Name: "b"},
		{Name: "b", Address: "10.0.0.2:7000"},
		{Name: "b", Address: "10.0.0.2:7000", Meta: &swimpb.Meta{}, Incarnation: 1 << 63},
		{Name: "b", Address: "10.0.0.2:7000", Meta: &swimpb.Meta{}, Status: 17},
		{Name: "b", Address: "10.0.0.2:7000", Status: swimpb.Status_STATUS_DEAD},
		nil,
	}}
	output := node.Receive(simEpoch, "10.0.0.2:7000", message)
	assert.Equal(t, len(output.Changed), 0)
	assert.Equal(t, len(node.Members()), 1)
}
