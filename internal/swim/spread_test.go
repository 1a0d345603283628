package swim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/swim/swimpb"
)

// News spreads by datagrams of its own and not only along with probes, which take three times as long.
func TestNewsSpreadsFasterThanProbes(t *testing.T) {
	const fleets = 5
	total := time.Duration(0)
	for seed := range uint64(fleets) {
		n := settled(t, seed, 120)
		total += n.stopServing(n.all[seed], 5*time.Second)
	}
	t.Logf("known to all after %v in the mean", total/fleets)
	assert.Assert(t, total/fleets < 500*time.Millisecond, "%v", total/fleets)
}

// What a process asked before it stood still proves nothing: it forgets its open probes, and gives those under suspicion the time that it
// missed.
func TestProcessThatStoodStillForgetsItsProbes(t *testing.T) {
	n := settled(t, 1, 20)
	still, silent := n.all[0], n.all[1]
	n.blocked = func(from, _ *machine) bool { return from == silent }
	_, ok := n.runUntil(5*time.Second, func() bool {
		return len(still.node.probes) > 0 && len(still.node.suspects) > 0
	})
	assert.Assert(t, ok)
	suspect := still.node.suspects[0]
	started, health := suspect.suspicion.started, still.node.health
	const gap = 3 * time.Second
	still.node.observe(still.node.lastTick.Add(gap))
	assert.Equal(t, len(still.node.probes), 0)
	assert.Equal(t, len(still.node.relayedProbes), 0)
	assert.Equal(t, suspect.suspicion.started, started.Add(gap))
	assert.Equal(t, still.node.health, min(health+1, maxHealth))
	probes := len(still.node.probes)
	still.node.observe(still.node.lastTick.Add(maxTickGap))
	assert.Equal(t, len(still.node.probes), probes)
	assert.Equal(t, suspect.suspicion.started, started.Add(gap), "a usual gap changes nothing")
}

// A member has one open probe at most. A claim that it should refute is sent to it all the same.
func TestMemberIsProbedOnceAtATime(t *testing.T) {
	n := settled(t, 2, 5)
	prober := n.all[0].node
	target := prober.table.byAddress[n.all[1].self.Address]
	prober.probes = nil
	prober.take()
	ask := func(claim bool) (datagrams, open int) {
		wanted := check{target: target}
		if claim {
			wanted.claim = encodeMember(target.Member, "", false)
		}
		prober.startProbe(n.now, wanted, claim)
		return len(prober.take().Datagrams), len(prober.probes)
	}
	for _, c := range []struct {
		claim          bool
		datagrams, all int
	}{{false, 1, 1}, {false, 0, 1}, {true, 1, 1}, {false, 0, 1}} {
		datagrams, open := ask(c.claim)
		assert.Equal(t, datagrams, c.datagrams)
		assert.Equal(t, open, c.all)
	}
	prober.startProbe(n.now, check{target: prober.self}, false)
	assert.Equal(t, len(prober.take().Datagrams), 0, "nobody probes itself")
}

// A message from an address that nobody has, or from the own one, counts for nobody.
func TestHeardFromNobody(t *testing.T) {
	n := settled(t, 3, 3)
	node := n.all[0].node
	before := node.self.heard
	node.Heard(n.now, "10.9.9.9:7000")
	node.Heard(n.now, node.self.Address)
	assert.Equal(t, node.self.heard, before)
}

// A member pings for others only so many at once, only a target that is named, and not once it has left.
func TestPingsForOthersAreBounded(t *testing.T) {
	n := settled(t, 4, 5)
	helper, asker, target := n.all[0].node, n.all[1].self.Address, n.all[2].self.Address
	ask := func(target string) {
		helper.Receive(n.now, asker, &swimpb.Message{Type: swimpb.Type_TYPE_PING_REQUEST, Sequence: 1, TargetAddress: target})
	}
	ask("")
	assert.Equal(t, len(helper.relayedProbes), 0)
	for range maxRelayedProbes + 10 {
		ask(target)
	}
	assert.Equal(t, len(helper.relayedProbes), maxRelayedProbes)
	helper.Leave(n.now)
	helper.relayedProbes = nil
	ask(target)
	assert.Equal(t, len(helper.relayedProbes), 0)
}

// Each accuser counts once. One that is gone itself, or has no name, counts neither for a new suspicion nor for one that there is.
func TestAccusersThatCount(t *testing.T) {
	n := settled(t, 5, 6)
	node := n.all[0].node
	find := func(index int) *peer { return node.table.byAddress[n.all[index].self.Address] }
	accused, gone := find(1), find(2)
	node.bury(n.now, gone, Dead, gone.Incarnation)
	node.doubt(n.now, accused, report{Member: accused.Member, accuser: gone.Name})
	assert.Equal(t, accused.Status, Alive)
	node.doubt(n.now, accused, report{Member: accused.Member, accuser: find(3).Name})
	assert.Equal(t, accused.Status, Suspect)
	patience := accused.suspicion.deadline()
	for _, accuser := range []string{"", gone.Name, find(3).Name} {
		node.confirm(accused, accuser)
		assert.Equal(t, len(accused.suspicion.accusers), 1, "accuser %q", accuser)
	}
	node.confirm(accused, find(4).Name)
	assert.Equal(t, len(accused.suspicion.accusers), 2)
	assert.Assert(t, accused.suspicion.deadline().Before(patience))
}
