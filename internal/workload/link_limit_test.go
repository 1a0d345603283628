package workload

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"wallflow/internal/workload/workloadpb"
)

// busyZone is a zone of many relays on slow links whose loads change continuously.
type busyZone struct {
	*network
	random    *rand.Rand
	endpoints int
	sentBytes map[string]int // by sender, including the message overhead
}

func newBusyZone(t *testing.T, relays, endpoints int, linkBytesPerSecond float64) *busyZone {
	zone := &busyZone{network: newNetworkWithLink(t, 1, relays, linkBytesPerSecond), random: rand.New(rand.NewPCG(5, 6)),
		endpoints: endpoints, sentBytes: map[string]int{}}
	zone.onSend = func(from string, send Send) { zone.sentBytes[from] += proto.Size(send.Message) + messageOverheadBytes }
	return zone
}

// churnLoads runs the network for a time, and gives each relay one small request at each of up to four random endpoints, anew in every
// LocalInterval.
func (zone *busyZone) churnLoads(duration time.Duration) {
	for range int(duration / LocalInterval) {
		for index := range zone.reports {
			loads := make(Loads, 4)
			for range 4 {
				loads[Key(zone.random.IntN(zone.endpoints))] = Load{Requests: 1, PrefillTokens: 300, CacheTokens: 400}
			}
			zone.reports[index].Loads = loads
		}
		zone.run(LocalInterval)
	}
}

// The updates of a hub use no more than linkFraction of its link, however many relays and endpoints there are. A hub that used more would
// delay all its other messages, and so would be taken to be gone.
func TestUpdatesStayWithinLinkLimit(t *testing.T) {
	const linkBytesPerSecond = 1.25e6 // 10 Mbit/s
	for _, size := range []struct{ relays, endpoints int }{{50, 160}, {100, 400}, {30, 3000}} {
		zone := newBusyZone(t, size.relays, size.endpoints, linkBytesPerSecond)
		zone.churnLoads(2 * time.Second)
		clear(zone.sentBytes)
		zone.churnLoads(4 * time.Second)
		assert.Assert(t, len(zone.sentBytes) == size.relays, "%d relays sent", len(zone.sentBytes))
		for sender, bytes := range zone.sentBytes {
			assert.Assert(t, float64(bytes) <= 1.1*linkFraction*linkBytesPerSecond*4,
				"%d relays: %s sent %d bytes in 4 s", size.relays, sender, bytes)
		}
	}
}

// All relays of a busy zone soon learn of a large prompt at an endpoint, although updates are bounded: the largest changes are sent first.
func TestLargeChangesGoFirst(t *testing.T) {
	zone := newBusyZone(t, 50, 160, 1.25e6)
	zone.churnLoads(2 * time.Second)
	const endpoint = Key(1_000_000)
	zone.reports[0].Loads = Loads{endpoint: {Requests: 1, PrefillTokens: 30_000, CacheTokens: 31_000}}
	zone.run(400 * time.Millisecond)
	for index, node := range zone.nodes[1:] {
		others, _, _ := node.Others(zone.now)
		assert.Equal(t, others[endpoint].PrefillTokens, 30_000, "relay %d", index+1)
	}
}

// Loads that have ended are removed at all relays.
func TestEndedLoadsAreForgotten(t *testing.T) {
	zone := newBusyZone(t, 20, 160, 1.25e6)
	zone.churnLoads(2 * time.Second)
	for index := range zone.reports {
		zone.reports[index].Loads = nil
	}
	zone.run(4 * time.Second)
	for index, node := range zone.nodes {
		others, _, known := node.Others(zone.now)
		assert.Assert(t, known)
		assert.Equal(t, len(others), 0, "relay %d: %v", index, others)
	}
}

// An endpoint whose load has dropped to zero is sent twice, and then no longer takes up entries of an update.
func TestEndedLoadsAreSentTwice(t *testing.T) {
	b := newBroadcast(minChange, Load.isNonzero)
	now := start
	sentEntries := func(loads Loads) int {
		changes := b.changes(now, loads, maxEntries)
		entries := b.markSent(now, loads, changes)
		now = now.Add(entryRepeatInterval)
		return len(entries)
	}
	assert.Equal(t, sentEntries(Loads{1: {Requests: 2}, 2: {Requests: 1}}), 2)
	assert.Equal(t, sentEntries(Loads{2: {Requests: 1}}), 2) // zero for the first, and the second again
	assert.Equal(t, sentEntries(Loads{2: {Requests: 1}}), 2) // the same again
	assert.Equal(t, sentEntries(Loads{2: {Requests: 1}}), 1)
	assert.Equal(t, len(b.lastSent), 1)
}

// A load that has become too small for other zones is sent as zero, not with its value.
func TestIrrelevantLoadsAreSentAsZero(t *testing.T) {
	b := newBroadcast(minZoneChange, Load.isRelevantToOtherZones)
	relevant, irrelevant := Loads{1: {Requests: 5, CacheTokens: 900}}, Loads{1: {Requests: 1, CacheTokens: 100}}
	b.markSent(start, relevant, b.changes(start, relevant, maxEntries))
	entries := b.markSent(start, irrelevant, b.changes(start, irrelevant, maxEntries))
	assert.Equal(t, entries[1], Load{})
	assert.Equal(t, len(entries), 1)
}

// A snapshot contains no more endpoints than its limit.
func TestSnapshotsAreBounded(t *testing.T) {
	b := newBroadcast(minChange, Load.isNonzero)
	loads := Loads{1: {Requests: 1}, 2: {Requests: 1}, 3: {Requests: 1}}
	b.markSent(start, loads, b.changes(start, loads, maxEntries))
	assert.Equal(t, len(b.snapshot(2)), 2)
	assert.Equal(t, len(b.snapshot(3)), 3)
}

// Relays share the link of their hub for their reports: each pauses after a long report.
func TestReportsToTheHubAreBounded(t *testing.T) {
	zone := newBusyZone(t, 2, 400, 20_000)
	relay := zone.nodes[0]
	if relay.isHub() {
		relay = zone.nodes[1]
	}
	sentBytes := 0
	for step := range 200 {
		loads := make(Loads, 20)
		for range 20 {
			loads[Key(zone.random.IntN(zone.endpoints))] = Load{Requests: 1, PrefillTokens: 3000}
		}
		for _, send := range relay.Tick(start.Add(time.Duration(step)*LocalInterval), Report{Loads: loads}) {
			sentBytes += proto.Size(send.Message) + messageOverheadBytes
		}
	}
	assert.Assert(t, float64(sentBytes) <= 1.1*linkFraction*20_000*(200*LocalInterval).Seconds(), "%d", sentBytes)
}

// A message without sums leaves the previous sums in place. Prefill reports whose parallel lists differ in length,
// or that are too long, are ignored.
func TestInvalidPartsOfAMessageAreIgnored(t *testing.T) {
	hub := New(Options{Self: Member{Address: "hub", Zone: "z"}, Life: 1})
	members := []Member{{Address: "hub", Zone: "z"}, {Address: "relay", Zone: "z"}}
	hub.SetMembers(members)
	if !hub.isHub() { // rendezvous hashing may choose the other one
		hub = New(Options{Self: Member{Address: "relay", Zone: "z"}, Life: 1})
		hub.SetMembers(members)
	}
	from := hub.zonePeers[0]
	receive := func(sequence uint64, message *workloadpb.Message) {
		message.Life, message.Sequence, message.Relay = 2, sequence, &workloadpb.Loads{}
		hub.Receive(start, from, message)
	}
	receive(1, &workloadpb.Message{Sums: Sums{9: {1}}.encode()})
	receive(2, &workloadpb.Message{Readings: &workloadpb.Readings{Parts: []uint64{1, 2}, Endpoints: []uint32{1, 2}, Tokens: []uint32{1}}})
	receive(3, &workloadpb.Message{Readings: &workloadpb.Readings{Parts: []uint64{1, 2}, Endpoints: []uint32{1}, Tokens: []uint32{1, 2}}})
	_, sums, _ := hub.Others(start)
	assert.Equal(t, sums[9][0], 1.0)
	assert.Equal(t, len(hub.TakePrefills()), 0)

	receive(4, &workloadpb.Message{Readings: encodePrefills(make([]Prefill, maxPrefillsPerMessage))})
	assert.Equal(t, len(hub.TakePrefills()), maxPrefillsPerMessage)
	receive(5, &workloadpb.Message{Readings: encodePrefills(make([]Prefill, maxPrefillsPerMessage+1))})
	assert.Equal(t, len(hub.TakePrefills()), 0)

	hub.SetMembers(members[:0])
	assert.Equal(t, len(hub.relayStates), 0)
	assert.Equal(t, len(hub.receiverStates), 0)
}

// The loads of another zone are kept while its hub is a member, and removed with it.
func TestAbsentHubsAreForgotten(t *testing.T) {
	net := newNetwork(t, 2, 2)
	for index := range net.reports {
		net.reports[index].Loads = Loads{1: {Requests: 10}}
	}
	net.run(time.Second)
	for index, node := range net.nodes {
		if !node.isHub() {
			continue
		}
		assert.Equal(t, len(node.hubStates), 1)
		node.SetMembers(net.members)
		assert.Equal(t, len(node.hubStates), 1)
		node.SetMembers(net.members[index/2*2 : index/2*2+2])
		assert.Equal(t, len(node.hubStates), 0)
		assert.Equal(t, len(node.receiverStates), 1)
	}
}

// checkLinkLimit runs the zone under load and checks, for every 200 ms, how much of its link each relay uses.
func (zone *busyZone) checkLinkLimit(duration time.Duration) {
	const step = 200 * time.Millisecond
	for range int(duration / step) {
		clear(zone.sentBytes)
		zone.churnLoads(step)
		for sender, bytes := range zone.sentBytes {
			assert.Assert(zone.t, float64(bytes) <= 2.2*linkFraction*zone.linkBytesPerSecond*step.Seconds(),
				"%d endpoints: %s sent %d bytes in %v", zone.endpoints, sender, bytes, step)
		}
	}
}

// A relay that becomes the hub must send all endpoints to all relays of its zone, and so must a hub whose receivers have all missed a
// message. These snapshots stay within the link limit at any time too: otherwise the other messages of the hub are late when they are
// needed most.
func TestSnapshotsForAllStayWithinLinkLimit(t *testing.T) {
	for _, endpoints := range []int{160, 3000} {
		zone := newBusyZone(t, 50, endpoints, 1.25e6)
		zone.churnLoads(2 * time.Second)
		zone.down[zone.nodes[0].hub] = true
		zone.updateMembers()
		zone.checkLinkLimit(4 * time.Second)
		zone.lossRate = 1
		zone.churnLoads(300 * time.Millisecond)
		zone.lossRate = 0
		zone.checkLinkLimit(entryExpiry + time.Second)
		for index, node := range zone.nodes {
			if zone.down[zone.members[index].Address] {
				continue
			}
			_, _, known := node.Others(zone.now)
			assert.Assert(t, known, "%d endpoints: relay %d", endpoints, index)
			assert.Assert(t, node.isHub() || !node.othersState.hasGap(zone.now), "%d endpoints: relay %d still has a gap", endpoints, index)
		}
	}
}
