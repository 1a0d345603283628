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
		n := fleet(t, seed, 30)
		took, ok := n.runUntil(5*time.Second, n.complete)
		assert.Assert(t, ok, "seed %d: the members did not find each other", seed)
		assert.Assert(t, took < 2*time.Second, "seed %d: took %v", seed, took)
	}
}

func TestJoinWhileSeedsComeLate(t *testing.T) {
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
	took, ok := n.runUntil(5*time.Second, n.complete)
	assert.Assert(t, ok)
	assert.Assert(t, took < 2*time.Second, "took %v", took)
}

// A member that starts while the only seed that is up is cut off from all others goes on asking the other seeds, and finds them soon after
// they have come up.
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

func TestDeathIsNoticedWithinAThirdOfTheBound(t *testing.T) {
	const trials = 60
	var total, worst time.Duration
	for seed := range uint64(trials) {
		n := settled(t, seed, 20)
		victim := n.all[n.random.IntN(len(n.all))]
		n.kill(victim)
		took, ok := n.runUntil(simBound, func() bool { return agree(n.running(), victim, Dead) })
		assert.Assert(t, ok, "seed %d", seed)
		total += took
		worst = max(worst, took)
		assert.Equal(t, n.deaths(), len(n.running()), "seed %d: others were taken for dead", seed)
	}
	mean := total / trials
	t.Logf("until all knew: mean %v, worst %v", mean, worst)
	assert.Assert(t, mean < simBound/3, "mean %v", mean)
	assert.Assert(t, worst < simBound/2, "worst %v", worst)
}

func TestManyDeathsAtOnce(t *testing.T) {
	for seed := range uint64(10) {
		n := settled(t, seed, 30)
		for _, index := range n.random.Perm(30)[:12] {
			n.kill(n.all[index])
		}
		took, ok := n.runUntil(simBound, n.complete)
		assert.Assert(t, ok, "seed %d", seed)
		t.Logf("seed %d: %v", seed, took)
	}
}

// Without the correction of senders that still suspect a member, one in twelve of these fleets took a live member for dead: one that the
// refutation had missed.
func TestNoFalseDeathUnderLoss(t *testing.T) {
	for seed := range uint64(40) {
		n := settled(t, seed, 30)
		n.loss = 0.05
		n.run(60 * time.Second)
		assert.Equal(t, n.deaths(), 0, "seed %d", seed)
	}
}

func TestRegionCutIsNoticedAndHeals(t *testing.T) {
	for _, members := range []int{11, 30} {
		for seed := range uint64(10) {
			t.Run(fmt.Sprintf("%d members, seed %d", members, seed), func(t *testing.T) {
				t.Parallel()
				cutOffAndHeal(t, seed, members)
			})
		}
	}
}

func cutOffAndHeal(t *testing.T, seed uint64, members int) {
	t.Helper()
	n := settled(t, seed, members)
	n.blocked = func(from, to *machine) bool {
		return (from.self.Meta.Region == "kumasi") != (to.self.Meta.Region == "kumasi")
	}
	inside, outside := n.inRegion("kumasi"), n.outsideRegion("kumasi")
	took, ok := n.runUntil(simBound, func() bool {
		return sees(inside, len(inside)) && sees(outside, len(outside))
	})
	assert.Assert(t, ok, "seed %d: the cut was not noticed", seed)
	n.run(20 * time.Second)
	n.blocked = func(_, _ *machine) bool { return false }
	healed, ok := n.runUntil(10*time.Second, n.complete)
	assert.Assert(t, ok, "seed %d: the halves did not meet", seed)
	t.Logf("%d members, seed %d: noticed after %v, healed after %v", members, seed, took, healed)
	assert.Assert(t, healed < 5*time.Second, "seed %d: %v", seed, healed)
}

// sees reports whether each machine counts so many members.
func sees(among []*machine, members int) bool {
	for _, each := range among {
		if len(each.node.Members()) != members {
			return false
		}
	}
	return true
}

func TestCutBetweenTwoRegionsIsBridgedByTheThird(t *testing.T) {
	n := settled(t, 4, 30)
	n.blocked = func(from, to *machine) bool {
		regions := from.self.Meta.Region + " " + to.self.Meta.Region
		return regions == "kumasi takoradi" || regions == "takoradi kumasi"
	}
	n.run(30 * time.Second)
	assert.Equal(t, n.deaths(), 0)
}

func TestMemberThatHearsNobodyIsTakenOutAndComesBack(t *testing.T) {
	n := settled(t, 5, 20)
	deaf := n.all[7]
	n.blocked = func(_, to *machine) bool { return to == deaf }
	others := without(n.running(), deaf)
	_, ok := n.runUntil(simBound, func() bool { return agree(others, deaf, Dead) })
	assert.Assert(t, ok)
	n.run(20 * time.Second)
	for _, each := range others {
		delete(each.died, deaf.self.Name)
		assert.Equal(t, len(each.died), 0, "%s took others for dead", each.self.Name)
	}
	n.blocked = func(_, _ *machine) bool { return false }
	took, ok := n.runUntil(simBound, n.complete)
	assert.Assert(t, ok)
	t.Logf("back after %v", took)
}

func TestMemberThatNobodyHearsIsTakenOutAndComesBack(t *testing.T) {
	n := settled(t, 6, 20)
	mute := n.all[7]
	n.blocked = func(from, _ *machine) bool { return from == mute }
	others := without(n.running(), mute)
	_, ok := n.runUntil(simBound, func() bool { return agree(others, mute, Dead) })
	assert.Assert(t, ok)
	n.run(20 * time.Second)
	n.blocked = func(_, _ *machine) bool { return false }
	_, ok = n.runUntil(simBound, n.complete)
	assert.Assert(t, ok)
}

func without(machines []*machine, excluded *machine) []*machine {
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
		n := settled(t, seed, 20)
		slow := n.all[3]
		for range 30 {
			n.freeze(slow, 700*time.Millisecond)
			n.run(1200 * time.Millisecond)
		}
		for _, each := range n.running() {
			delete(each.died, slow.self.Name)
			assert.Equal(t, len(each.died), 0, "seed %d: %s took others for dead", seed, each.self.Name)
		}
		took, ok := n.runUntil(simBound, n.complete)
		assert.Assert(t, ok)
		t.Logf("seed %d: settled after %v", seed, took)
	}
}

func TestFrozenMemberIsTakenOutAndComesBack(t *testing.T) {
	for seed := range uint64(5) {
		n := settled(t, seed, 20)
		frozen := n.all[4]
		n.freeze(frozen, 6*time.Second)
		n.run(5900 * time.Millisecond)
		assert.Assert(t, agree(without(n.running(), frozen), frozen, Dead), "seed %d", seed)
		n.run(100 * time.Millisecond)
		took, ok := n.runUntil(simBound, n.complete)
		assert.Assert(t, ok, "seed %d", seed)
		assert.Assert(t, took < 1500*time.Millisecond, "seed %d: %v", seed, took)
		assert.Equal(t, len(frozen.died), 0, "seed %d: it took others for dead", seed)
	}
}

func TestRestartWithEmptyMemoryJoinsAtOnce(t *testing.T) {
	for _, offset := range []time.Duration{0, -time.Hour} {
		n := settled(t, 8, 20)
		restarted := n.all[11]
		n.kill(restarted)
		n.run(400 * time.Millisecond)
		restarted.clockOffset = offset
		restarted.self.Meta.Front = "10.9.9.9:1"
		n.start(restarted)
		took, ok := n.runUntil(5*time.Second, func() bool {
			for _, each := range n.running() {
				member, _ := each.node.Find(restarted.self.Name)
				if member.Meta.Front != "10.9.9.9:1" {
					return false
				}
			}
			return n.complete()
		})
		assert.Assert(t, ok, "clock %v", offset)
		assert.Assert(t, took < 1500*time.Millisecond, "clock %v: %v", offset, took)
	}
}

func TestReturnAfterDeathJoinsAtOnce(t *testing.T) {
	n := settled(t, 9, 20)
	returned := n.all[12]
	n.kill(returned)
	n.run(10 * time.Second)
	n.start(returned)
	took, ok := n.runUntil(5*time.Second, n.complete)
	assert.Assert(t, ok)
	assert.Assert(t, took < 1500*time.Millisecond, "%v", took)
}

func TestWholeFleetKilledAndBack(t *testing.T) {
	n := settled(t, 10, 30)
	for _, each := range n.all {
		n.kill(each)
	}
	n.run(time.Second)
	for _, each := range n.all {
		n.start(each)
	}
	took, ok := n.runUntil(5*time.Second, n.complete)
	assert.Assert(t, ok)
	assert.Assert(t, took < 2*time.Second, "%v", took)
}

func TestLeave(t *testing.T) {
	n := settled(t, 11, 20)
	n.loss = 0.05
	leaver := n.all[5]
	n.deliver(leaver, leaver.node.Leave(n.now))
	took, ok := n.runUntil(2*time.Second, func() bool { return agree(n.running(), leaver, Left) })
	assert.Assert(t, ok)
	t.Logf("known to all after %v", took)
	n.run(20 * time.Second)
	assert.Assert(t, agree(n.running(), leaver, Left))
	assert.Equal(t, n.deaths(), 0)
	assert.Equal(t, len(leaver.node.Members()), 19)
}

func TestMetaSpreads(t *testing.T) {
	n := settled(t, 12, 30)
	took := n.stopServing(n.all[5], 2*time.Second)
	t.Logf("known to all after %v", took)
	assert.Assert(t, took < time.Second, "%v", took)
}

func TestAddressPassesToAnotherName(t *testing.T) {
	n := settled(t, 13, 20)
	former := n.all[6]
	n.kill(former)
	n.run(time.Second)
	successor := &machine{self: former.self}
	successor.self.Name = "successor"
	n.all[6] = successor
	n.machines[successor.self.Address] = successor
	n.start(successor)
	others := without(n.running(), successor) // which never knew the former one
	_, ok := n.runUntil(5*time.Second, func() bool {
		return n.complete() && agree(others, former, Dead)
	})
	assert.Assert(t, ok)
}

func TestHeardCountsAsAcknowledgement(t *testing.T) {
	n := settled(t, 14, 3)
	watcher, talker := n.all[0], n.all[1]
	n.blocked = func(from, _ *machine) bool { return from == talker }
	for range 100 {
		for _, each := range without(n.all, talker) {
			each.node.Heard(n.now, talker.self.Address)
		}
		n.run(100 * time.Millisecond)
	}
	member, _ := watcher.node.Find(talker.self.Name)
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
	_, ok := n.runUntil(time.Second, n.complete)
	assert.Assert(t, ok)
}

func TestUselessStatesAreIgnored(t *testing.T) {
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
