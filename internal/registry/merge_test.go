package registry

import (
	"fmt"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"wallflow/internal/distribution/feedpb"
)

// pair is two control processes that are in touch.
func pair(now time.Time) (one, two *Table) {
	one, two = newTestTable("c1", "hall-a", now), newTestTable("c2", "hall-b", now)
	one.SetPeers([]Peer{{Name: "c2", Zone: "hall-b"}}, []string{"c1", "c2"})
	two.SetPeers([]Peer{{Name: "c1", Zone: "hall-a"}}, []string{"c1", "c2"})
	return one, two
}

// pass gives a message to a table, and the answers to and fro until there is none.
func pass(now time.Time, from, to *Table, message *feedpb.RegistryMessage) []Instance {
	var all []Instance
	for message != nil {
		changed, reply := to.Merge(now, message)
		all = append(all, changed...)
		message = reply
		from, to = to, from
	}
	return all
}

// tickBoth ticks two tables that hear each other.
func tickBoth(from, to int, one, two *Table) {
	for ms := from; ms <= to; ms += 100 {
		pass(at(ms), one, two, one.Tick(at(ms)).Broadcast)
		pass(at(ms), two, one, two.Tick(at(ms)).Broadcast)
	}
}

func TestDrainIsSafeOnceAnotherZoneHasIt(t *testing.T) {
	one := newTestTable("c1", "hall-a", at(0))
	one.SetPeers([]Peer{{Name: "c2", Zone: "hall-a"}, {Name: "c3", Zone: "hall-b"}}, []string{"c1", "c2", "c3"})
	neighbour, distant := newTestTable("c2", "hall-a", at(0)), newTestTable("c3", "hall-b", at(0))
	change := one.Heartbeat(at(0), heartbeatOf("i", 1).draining())
	assert.Assert(t, change.NeedsReplica)
	replica := one.Replicate(at(0), change)
	assert.Assert(t, !replica.Safe)
	pass(at(10), one, neighbour, replica.Message)
	assert.Assert(t, !one.Acked(replica.ID))
	pass(at(20), one, distant, replica.Message)
	assert.Assert(t, one.Acked(replica.ID))
	assert.DeepEqual(t, one.TakeSafe(), []uint64{replica.ID})
	assert.Equal(t, len(one.TakeSafe()), 0)
	again := one.Heartbeat(at(1200), heartbeatOf("i", 2).draining())
	assert.Assert(t, !again.NeedsReplica)
	assert.Equal(t, stateOf(t, distant, "i"), StateDraining)
}

func TestLeaveNeedsItsOwnReplica(t *testing.T) {
	one, two := pair(at(0))
	pass(at(0), one, two, one.Replicate(at(0), one.Heartbeat(at(0), heartbeatOf("i", 1).draining())).Message)
	change := one.Leave(at(100), "i")
	assert.Assert(t, change.NeedsReplica)
	pass(at(100), one, two, one.Replicate(at(100), change).Message)
	assert.Assert(t, !one.Leave(at(200), "i").NeedsReplica)
	assert.Equal(t, stateOf(t, two, "i"), StateGone)
}

func TestNeighbourIsEnoughWhenNoOtherZoneIsLeft(t *testing.T) {
	one := newTestTable("c1", "hall-a", at(0))
	one.SetPeers([]Peer{{Name: "c2", Zone: "hall-a"}, {Name: "c3", Zone: "hall-b"}}, []string{"c1", "c2", "c3"})
	neighbour := newTestTable("c2", "hall-a", at(0))
	replica := one.Replicate(at(0), one.Heartbeat(at(0), heartbeatOf("i", 1).draining()))
	pass(at(10), one, neighbour, replica.Message)
	assert.Assert(t, !one.Acked(replica.ID))
	one.SetPeers([]Peer{{Name: "c2", Zone: "hall-a"}}, []string{"c1", "c2", "c3"})
	assert.Assert(t, one.Acked(replica.ID))
}

func TestReplicaOnALostProcessDoesNotCount(t *testing.T) {
	one, two := pair(at(0))
	pass(at(0), one, two, one.Replicate(at(0), one.Heartbeat(at(0), heartbeatOf("i", 1).draining())).Message)
	one.SetPeers([]Peer{{Name: "c3", Zone: "hall-c"}}, []string{"c1", "c2", "c3"})
	assert.Assert(t, one.Heartbeat(at(100), heartbeatOf("i", 2).draining()).NeedsReplica)
}

func TestProcessThatIsAloneAcknowledgesOnlyInTouch(t *testing.T) {
	one := newTestTable("c1", "hall-a", at(0))
	one.SetPeers(nil, []string{"c1"})
	change := one.Heartbeat(at(0), heartbeatOf("i", 1).draining())
	assert.Assert(t, one.Replicate(at(0), change).Safe)
	one.SetInTouch(at(100), false)
	replica := one.Replicate(at(100), change)
	assert.Assert(t, !replica.Safe)
	one.SetInTouch(at(200), true)
	assert.DeepEqual(t, one.TakeSafe(), []uint64{replica.ID})
}

func TestChangeIsSentAgainUntilAcknowledged(t *testing.T) {
	one, two := pair(at(0))
	replica := one.Replicate(at(0), one.Heartbeat(at(0), heartbeatOf("i", 1).draining()))
	assert.Equal(t, len(one.Tick(at(200)).Sends), 0)
	sends := one.Tick(at(300)).Sends
	assert.Equal(t, len(sends), 1)
	assert.Equal(t, sends[0].To, "c2")
	pass(at(310), one, two, sends[0].Message)
	assert.Assert(t, one.Acked(replica.ID))
	assert.Equal(t, len(one.Tick(at(600)).Sends), 0)
	assert.Equal(t, len(one.replicas), 0)
}

func TestChangeIsGivenUpInTheEnd(t *testing.T) {
	one, _ := pair(at(0))
	one.Replicate(at(0), one.Heartbeat(at(0), heartbeatOf("i", 1).draining()))
	tickUntil(one, 0, 3000)
	assert.Equal(t, len(one.replicas), 0)
	assert.Equal(t, len(one.TakeSafe()), 0)
}

func TestAcknowledgementOfAnEarlierLifeDoesNotCount(t *testing.T) {
	before, two := pair(at(0))
	replica := before.Replicate(at(0), before.Heartbeat(at(0), heartbeatOf("i", 1).draining()))
	_, reply := two.Merge(at(10), replica.Message)
	after := newTestTable("c1", "hall-a", at(20))
	after.SetPeers([]Peer{{Name: "c2", Zone: "hall-b"}}, []string{"c1", "c2"})
	mine := after.Replicate(at(20), after.Heartbeat(at(20), heartbeatOf("j", 1).draining()))
	assert.Equal(t, mine.ID, replica.ID)
	after.Merge(at(30), reply)
	assert.Assert(t, !after.Acked(mine.ID))
}

func TestDigestKeepsInstancesAliveElsewhere(t *testing.T) {
	one, two := pair(at(0))
	for ms := 0; ms <= 6000; ms += 1200 {
		change := one.Heartbeat(at(ms), heartbeatOf("i", uint64(ms/1200+1)))
		if change.Changed {
			pass(at(ms), one, two, one.Replicate(at(ms), change).Message)
		}
		tickBoth(ms, ms+1100, one, two)
	}
	assert.Equal(t, stateOf(t, two, "i"), StateReady)
	instance, _ := two.Instance("i")
	assert.Equal(t, instance.Seq, uint64(6))
}

func TestDigestBringsASilentInstanceBack(t *testing.T) {
	one, two := pair(at(0))
	pass(at(0), one, two, one.Replicate(at(0), one.Heartbeat(at(0), heartbeatOf("i", 1))).Message)
	tickUntil(two, 0, 4000)
	assert.Equal(t, stateOf(t, two, "i"), StateSilent)
	one.Heartbeat(at(4000), heartbeatOf("i", 2))
	changed := pass(at(4000), one, two, one.Tick(at(4000)).Broadcast)
	assert.Equal(t, len(changed), 1)
	assert.Equal(t, stateOf(t, two, "i"), StateReady)
}

func TestDigestBringsAnExpiredInstanceBack(t *testing.T) {
	one, two := pair(at(0))
	pass(at(0), one, two, one.Replicate(at(0), one.Heartbeat(at(0), heartbeatOf("i", 1))).Message)
	tickUntil(two, 0, 13_000)
	assert.Equal(t, stateOf(t, two, "i"), StateGone)
	one.Heartbeat(at(13_000), heartbeatOf("i", 2))
	changed, _ := two.Merge(at(13_000), one.Tick(at(13_000)).Broadcast)
	assert.Equal(t, len(changed), 1)
	assert.Equal(t, stateOf(t, two, "i"), StateReady)
	checkBuckets(t, two)
	assert.Equal(t, one.hash(), two.hash())
}

func TestRepeatedMessageChangesNothing(t *testing.T) {
	one, two := pair(at(0))
	message := one.Replicate(at(0), one.Heartbeat(at(0), heartbeatOf("i", 1).draining())).Message
	changed, _ := two.Merge(at(0), message)
	assert.Equal(t, len(changed), 1)
	changed, reply := two.Merge(at(0), message)
	assert.Equal(t, len(changed), 0)
	assert.Equal(t, reply.GetAcknowledgement().GetDelta(), message.GetDelta(), "it is acknowledged again all the same")
}

func TestDigestShowsAMissingInstance(t *testing.T) {
	one, two := pair(at(0))
	one.Heartbeat(at(0), heartbeatOf("i", 1)) // the message that told of it was lost
	changed := pass(at(500), one, two, one.Tick(at(500)).Broadcast)
	assert.Equal(t, len(changed), 1)
	assert.Equal(t, stateOf(t, two, "i"), StateReady)
}

func TestDifferentTablesFindEachOther(t *testing.T) {
	one, two := pair(at(0))
	pass(at(0), one, two, one.Replicate(at(0), one.Heartbeat(at(0), heartbeatOf("i", 1))).Message)
	tickBoth(100, 3000, one, two)
	one.Heartbeat(at(3000), heartbeatOf("i", 2).draining()) // the message that told of it was lost
	tickBoth(3000, 5000, one, two)
	assert.Equal(t, stateOf(t, two, "i"), StateDraining)
	assert.Equal(t, one.hash(), two.hash())
}

func TestRestartedProcessLearnsAll(t *testing.T) {
	one, _ := pair(at(0))
	for index := range 300 {
		one.Heartbeat(at(0), heartbeatOf(fmt.Sprint("i", index), 1).on(fmt.Sprint("a:", index)))
	}
	restarted := newTestTable("c2", "hall-b", at(1000))
	assert.Assert(t, !restarted.Complete(at(1100)))
	tickBoth(1000, 1700, one, restarted)
	assert.Equal(t, len(restarted.Instances()), 300)
	assert.Equal(t, restarted.hash(), one.hash())
}

func TestLostMessengerGivesInstancesExtraTime(t *testing.T) {
	one, two := pair(at(0))
	for ms := 0; ms <= 6000; ms += 1200 {
		change := one.Heartbeat(at(ms), heartbeatOf("i", uint64(ms/1200+1)))
		if change.Changed {
			pass(at(ms), one, two, one.Replicate(at(ms), change).Message)
		}
		tickBoth(ms, ms+1100, one, two)
	}
	// The newest heartbeat came at 6,000; the last digest at about 7,000: c1 is lost then.
	assert.Equal(t, len(tickUntil(two, 7200, 10_500)), 0)
	assert.Equal(t, len(tickUntil(two, 10_600, 11_600)), 1)
}

func TestForgottenInstanceIsNotBroughtBack(t *testing.T) {
	one, two := pair(at(0))
	one.Heartbeat(at(0), heartbeatOf("i", 1))
	one.SetInTouch(at(0), false) // it doesn't let the instance expire
	tickUntil(one, 0, 15_000)
	tickUntil(two, 0, 15_000)
	message := one.newMessage()
	message.Instances = append(message.Instances, one.toWire(at(15_000), one.records["i"]))
	changed, _ := two.Merge(at(15_000), message)
	assert.Equal(t, len(changed), 0)
	assert.Equal(t, len(two.Instances()), 0)
}

func TestAddressReuseReachesTheOthers(t *testing.T) {
	one, two := pair(at(0))
	pass(at(0), one, two, one.Replicate(at(0), one.Heartbeat(at(0), heartbeatOf("old", 1))).Message)
	changed, _ := two.Merge(at(2500), one.Replicate(at(2500), one.Heartbeat(at(2500), heartbeatOf("new", 1))).Message)
	assert.Equal(t, len(changed), 2)
	assert.Equal(t, stateOf(t, two, "old"), StateGone)
	assert.Equal(t, stateOf(t, two, "new"), StateReady)
	late := two.newMessage()
	late.Source = "c3"
	late.Instances = append(late.Instances, &feedpb.Instance{
		Id: "old", Backend: "quiz", Address: "10.0.0.1:80", Zone: "hall-a", Seq: 2, ChangedSeq: 2, KnownForMs: 2600, HeardAgoMs: 100,
	})
	two.Merge(at(2600), late)
	assert.Equal(t, stateOf(t, two, "old"), StateGone)
	assert.Equal(t, stateOf(t, two, "new"), StateReady)
}

func TestMessageOfOwnOrOfNobodyIsIgnored(t *testing.T) {
	one, _ := pair(at(0))
	for _, source := range []string{"", "c1"} {
		changed, reply := one.Merge(at(0), &feedpb.RegistryMessage{Source: source, Delta: 1})
		assert.Equal(t, len(changed), 0)
		assert.Assert(t, reply == nil)
	}
}

// TestDigestSize holds the size that Table.digest names: 12,000 instances that call 28 processes.
func TestDigestSize(t *testing.T) {
	const instances = 12_000 / 28
	table := newTestTable("10.128.0.9:7720", "hall-a", at(0))
	for index := range instances {
		heartbeat := heartbeatOf(fmt.Sprintf("i-%08x", index*7919), 3000).on(fmt.Sprint("a:", index))
		table.Heartbeat(at(index*1200/instances), heartbeat)
	}
	size := proto.Size(table.Tick(at(500)).Broadcast) + proto.Size(table.Tick(at(1000)).Broadcast)
	assert.Assert(t, size < 2*4000, "first digests hold all that called so far: %d bytes", size)
	for index := range instances * 500 / 1200 {
		heartbeat := heartbeatOf(fmt.Sprintf("i-%08x", index*7919), 3001).on(fmt.Sprint("a:", index))
		table.Heartbeat(at(1000+index), heartbeat)
	}
	steady := proto.Size(table.Tick(at(1500)).Broadcast)
	assert.Assert(t, steady < 1500, "%d bytes", steady)
	t.Logf("a digest of %d heartbeats takes %d bytes", instances*500/1200, steady)
}

// fiveTables are control processes in three zones, all of them in touch.
func fiveTables() map[string]*Table {
	zones := map[string]string{"c1": "hall-a", "c2": "hall-b", "c3": "hall-a", "c4": "hall-b", "c5": "hall-c"}
	electorate := []string{"c1", "c2", "c3", "c4", "c5"}
	tables := make(map[string]*Table)
	for name, zone := range zones {
		tables[name] = newTestTable(name, zone, at(0))
		var peers []Peer
		for other, otherZone := range zones {
			peers = append(peers, Peer{Name: other, Zone: otherZone})
		}
		tables[name].SetPeers(peers, electorate)
	}
	return tables
}

// Two of five processes are cut off together, and have not noticed yet. What they take in reaches nobody else before the cut ends, so
// that neither may acknowledge that an endpoint leaves.
func TestMinorityAcknowledgesNoDeparture(t *testing.T) {
	tables := fiveTables()
	one := tables["c1"]
	drain := one.Replicate(at(0), one.Heartbeat(at(0), heartbeatOf("i", 1).draining()))
	pass(at(10), one, tables["c2"], drain.Message)
	assert.Assert(t, !one.Acked(drain.ID))
	assert.Assert(t, one.Heartbeat(at(100), heartbeatOf("i", 2).draining()).NeedsReplica)
	assert.Assert(t, tables["c2"].Heartbeat(at(100), heartbeatOf("i", 3).draining()).NeedsReplica)
	leave := one.Replicate(at(200), one.Leave(at(200), "i"))
	pass(at(210), one, tables["c2"], leave.Message)
	assert.Assert(t, !one.Acked(leave.ID))

	pass(at(5000), one, tables["c5"], leave.Message) // the cut is over
	assert.Assert(t, one.Acked(leave.ID))
	assert.Assert(t, !one.Leave(at(5100), "i").NeedsReplica)
}

// What a process held is gone when it starts again: it counts anew once it has heard of it.
func TestProcessThatStartedAgainHoldsNothing(t *testing.T) {
	one, two := pair(at(0))
	drain := one.Replicate(at(0), one.Heartbeat(at(0), heartbeatOf("i", 1).draining()))
	pass(at(10), one, two, drain.Message)
	assert.Assert(t, !one.Heartbeat(at(100), heartbeatOf("i", 2).draining()).NeedsReplica)
	again := newTestTable("c2", "hall-b", at(200))
	again.SetPeers([]Peer{{Name: "c1", Zone: "hall-a"}}, []string{"c1", "c2"})
	pass(at(700), again, one, again.Tick(at(700)).Broadcast)
	assert.Assert(t, one.Heartbeat(at(800), heartbeatOf("i", 3).draining()).NeedsReplica)
}

// A process that is told of an instance which nobody has heard of for a while holds it silent, not ready and not gone.
func TestInstanceToldOfAfterASilenceIsSilent(t *testing.T) {
	one, two := pair(at(0))
	change := one.Heartbeat(at(0), heartbeatOf("i", 1))
	later := at(0).Add(2*one.options.SilentAfter - time.Millisecond)
	one.SetInTouch(later, true)
	pass(later, one, two, one.Replicate(later, change).Message)
	assert.Equal(t, stateOf(t, two, "i"), StateSilent)
}

// A departure that a majority holds is still sent to those that have not acknowledged it.
func TestSafeChangeIsSentToThoseThatLackIt(t *testing.T) {
	tables := fiveTables()
	one := tables["c1"]
	drain := one.Replicate(at(0), one.Heartbeat(at(0), heartbeatOf("i", 1).draining()))
	for _, name := range []string{"c2", "c5"} {
		pass(at(10), one, tables[name], drain.Message)
	}
	assert.Assert(t, one.Acked(drain.ID))
	lacking := make(map[string]bool)
	for _, send := range one.Tick(at(300)).Sends {
		lacking[send.To] = true
	}
	assert.DeepEqual(t, lacking, map[string]bool{"c3": true, "c4": true})
}

// A digest that tells fewer numbers or ages than instances is taken as far as it goes.
func TestDigestOfUnequalListsIsTakenAsFarAsItGoes(t *testing.T) {
	for _, shorten := range []func(*feedpb.RegistryDigest){
		func(digest *feedpb.RegistryDigest) { digest.Seqs = digest.Seqs[:1] },
		func(digest *feedpb.RegistryDigest) { digest.AgesMs = digest.AgesMs[:1] },
	} {
		one, two := pair(at(0))
		for _, id := range []string{"i", "j"} {
			pass(at(0), one, two, one.Replicate(at(0), one.Heartbeat(at(0), heartbeatOf(id, 1))).Message)
		}
		tickUntil(two, 0, 4000)
		one.Heartbeat(at(4000), heartbeatOf("i", 2))
		one.Heartbeat(at(4000), heartbeatOf("j", 2))
		message := one.Tick(at(4000)).Broadcast
		assert.Equal(t, len(message.GetDigest().GetFingerprints()), 2)
		shorten(message.GetDigest())
		changed, _ := two.Merge(at(4000), message)
		assert.Equal(t, len(changed), 1)
	}
}

// What a process is known to have of an instance that leaves is the furthest that it told in one life. What it told in another life is
// lost with that.
func TestHolderIsKnownByTheFurthestOfItsLife(t *testing.T) {
	one, _ := pair(at(0))
	one.Heartbeat(at(0), heartbeatOf("i", 1).draining())
	known, holder := one.records["i"], one.peers["c2"]
	holder.life = 7
	one.noteReplica(known, holder, StateGone)
	one.noteReplica(known, holder, StateDraining)
	assert.Equal(t, known.heldBy["c2"], holding{life: 7, reported: StateGone})
	holder.life = 8
	one.noteReplica(known, holder, StateDraining)
	assert.Equal(t, known.heldBy["c2"], holding{life: 8, reported: StateDraining})
	one.noteReplica(known, holder, StateReady)
	assert.Equal(t, known.heldBy["c2"], holding{life: 8, reported: StateDraining}, "who has it ready knows nothing of its leaving")
}

// While a table fills, a difference is looked into at once and often; afterwards only one that lasts, once in a while.
func TestDifferenceIsLookedIntoSoonerWhileATableFills(t *testing.T) {
	differs := &feedpb.RegistryDigest{TableHash: 12345}
	asked := func(table *Table, ms int) bool {
		var answer feedpb.RegistryMessage
		table.compareTables(at(ms), table.peers["c2"], differs, &answer)
		return len(answer.Buckets) > 0
	}
	filling, _ := pair(at(0))
	filling.SetInTouch(at(0), true)
	const settled = 60_000
	assert.Assert(t, !filling.Complete(at(1000)) && filling.Complete(at(settled)))
	assert.Assert(t, asked(filling, 1000), "the first difference")
	assert.Assert(t, !asked(filling, 1299), "not too often")
	assert.Assert(t, asked(filling, 1301))
	filling.peers["c2"].mismatches = 0
	assert.Assert(t, !asked(filling, settled), "one digest proves nothing")
	assert.Assert(t, asked(filling, settled+1))
	assert.Assert(t, !asked(filling, settled+900), "not too often")
	assert.Assert(t, asked(filling, settled+1100))
}
