package swim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/swim/swimpb"
)

// Updates spread by gossip datagrams and not only piggybacked on probes, which takes three times as long.
func TestGossipIsFasterThanPiggybacking(t *testing.T) {
	const fleets = 5
	total := time.Duration(0)
	for seed := range uint64(fleets) {
		n := convergedFleet(t, seed, 120)
		total += n.announceNotServing(n.all[seed], 5*time.Second)
	}
	t.Logf("known to all after %v in the mean", total/fleets)
	assert.Assert(t, total/fleets < 500*time.Millisecond, "%v", total/fleets)
}

// Probes in flight prove nothing after a pause of this process: it discards them, and extends the suspicions by the
// length of the pause.
func TestPausedProcessDiscardsItsProbes(t *testing.T) {
	n := convergedFleet(t, 1, 20)
	paused, silent := n.all[0], n.all[1]
	n.blocked = func(from, _ *machine) bool { return from == silent }
	_, ok := n.runUntil(5*time.Second, func() bool {
		return len(paused.node.probes) > 0 && len(paused.node.suspects) > 0
	})
	assert.Assert(t, ok)
	suspect := paused.node.suspects[0]
	started, health := suspect.suspicion.started, paused.node.healthScore
	const gap = 3 * time.Second
	paused.node.detectPause(paused.node.lastTick.Add(gap))
	assert.Equal(t, len(paused.node.probes), 0)
	assert.Equal(t, len(paused.node.relayedProbes), 0)
	assert.Equal(t, suspect.suspicion.started, started.Add(gap))
	assert.Equal(t, paused.node.healthScore, min(health+1, maxHealthScore))
	probes := len(paused.node.probes)
	paused.node.detectPause(paused.node.lastTick.Add(maxTickGap))
	assert.Equal(t, len(paused.node.probes), probes)
	assert.Equal(t, suspect.suspicion.started, started.Add(gap), "a normal gap must not extend the suspicion")
}

// At most one probe of a member is in flight. A claim that the member should refute is sent nevertheless.
func TestMemberIsProbedOnceAtATime(t *testing.T) {
	n := convergedFleet(t, 2, 5)
	prober := n.all[0].node
	target := prober.table.byAddress[n.all[1].self.Address]
	prober.probes = nil
	prober.takeOutput()
	ask := func(claim bool) (datagrams, open int) {
		wanted := probeRequest{target: target}
		if claim {
			wanted.claim = encodeMember(target.Member, "", false)
		}
		prober.startProbe(n.now, wanted, claim)
		return len(prober.takeOutput().Datagrams), len(prober.probes)
	}
	for _, c := range []struct {
		claim          bool
		datagrams, all int
	}{{false, 1, 1}, {false, 0, 1}, {true, 1, 1}, {false, 0, 1}} {
		datagrams, open := ask(c.claim)
		assert.Equal(t, datagrams, c.datagrams)
		assert.Equal(t, open, c.all)
	}
	prober.startProbe(n.now, probeRequest{target: prober.self}, false)
	assert.Equal(t, len(prober.takeOutput().Datagrams), 0, "a member must not probe itself")
}

// A message from an unknown address, or from the address of this process, is not recorded as contact with a member.
func TestContactFromUnknownOrOwnAddressIsIgnored(t *testing.T) {
	n := convergedFleet(t, 3, 3)
	node := n.all[0].node
	before := node.self.lastContact
	node.RecordContact(n.now, "10.9.9.9:7000")
	node.RecordContact(n.now, node.self.Address)
	assert.Equal(t, node.self.lastContact, before)
}

// A helper relays at most maxRelayedProbes pings at a time, only to a target with an address, and none after it has left.
func TestRelayedProbesAreBounded(t *testing.T) {
	n := convergedFleet(t, 4, 5)
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

// Each accuser counts once. An accuser that has departed, or has no name, counts neither for a new suspicion nor for
// an existing one.
func TestOnlyLiveNamedAccusersCountOnce(t *testing.T) {
	n := convergedFleet(t, 5, 6)
	node := n.all[0].node
	find := func(index int) *peer { return node.table.byAddress[n.all[index].self.Address] }
	accused, gone := find(1), find(2)
	node.markDeparted(n.now, gone, Dead, gone.Incarnation)
	node.applySuspect(n.now, accused, report{Member: accused.Member, accuser: gone.Name})
	assert.Equal(t, accused.Status, Alive)
	node.applySuspect(n.now, accused, report{Member: accused.Member, accuser: find(3).Name})
	assert.Equal(t, accused.Status, Suspect)
	originalDeadline := accused.suspicion.deadline()
	for _, accuser := range []string{"", gone.Name, find(3).Name} {
		node.confirmSuspicion(accused, accuser)
		assert.Equal(t, len(accused.suspicion.accusers), 1, "accuser %q", accuser)
	}
	node.confirmSuspicion(accused, find(4).Name)
	assert.Equal(t, len(accused.suspicion.accusers), 2)
	assert.Assert(t, accused.suspicion.deadline().Before(originalDeadline))
}
