package workload

import (
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"wallflow/internal/workload/workloadpb"
)

// busyZone is a zone of many relays on slow links, whose loads change all the time.
type busyZone struct {
	*network
	random    *rand.Rand
	endpoints int
	sent      map[string]int // bytes by sender, with what a message takes beside itself
}

func newBusyZone(t *testing.T, relays, endpoints int, link float64) *busyZone {
	z := &busyZone{network: newNetworkOf(t, 1, relays, link), random: rand.New(rand.NewPCG(5, 6)), endpoints: endpoints, sent: map[string]int{}}
	z.onSend = func(from string, send Send) { z.sent[from] += proto.Size(send.Message) + messageOverhead }
	return z
}

// churn changes the loads of all relays for a while: each has some six requests a second, most of them small.
func (z *busyZone) churn(span time.Duration) {
	for range int(span / LocalEvery) {
		for index := range z.own {
			loads := make(Loads, 4)
			for range 4 {
				loads[Key(z.random.IntN(z.endpoints))] = Load{Requests: 1, Unread: 300, Held: 400}
			}
			z.own[index].Loads = loads
		}
		z.run(LocalEvery)
	}
}

// The words of a hub take no more than their share of its link, however many relays and endpoints there are. One that took more would
// be late with everything else, and so count as gone.
func TestUpdatesStayWithinTheLink(t *testing.T) {
	const link = 1.25e6 // 10 Mbit/s
	for _, size := range []struct{ relays, endpoints int }{{50, 160}, {100, 400}, {30, 3000}} {
		z := newBusyZone(t, size.relays, size.endpoints, link)
		z.churn(2 * time.Second)
		clear(z.sent)
		z.churn(4 * time.Second)
		assert.Assert(t, len(z.sent) == size.relays, "%d relays sent", len(z.sent))
		for sender, bytes := range z.sent {
			assert.Assert(t, float64(bytes) <= 1.1*linkShare*link*4, "%d relays: %s sent %d bytes in 4 s", size.relays, sender, bytes)
		}
	}
}

// A large prompt at an endpoint is known to all relays of a busy zone soon, though the words are bounded: what changed most goes first.
func TestLargeChangesGoFirst(t *testing.T) {
	z := newBusyZone(t, 50, 160, 1.25e6)
	z.churn(2 * time.Second)
	const endpoint = Key(1_000_000)
	z.own[0].Loads = Loads{endpoint: {Requests: 1, Unread: 30_000, Held: 31_000}}
	z.run(400 * time.Millisecond)
	for index, node := range z.nodes[1:] {
		others, _, _ := node.Others(z.now)
		assert.Equal(t, others[endpoint].Unread, 30_000, "relay %d", index+1)
	}
}

// What has ended is forgotten everywhere.
func TestEndedLoadsAreForgotten(t *testing.T) {
	z := newBusyZone(t, 20, 160, 1.25e6)
	z.churn(2 * time.Second)
	for index := range z.own {
		z.own[index].Loads = nil
	}
	z.run(4 * time.Second)
	for index, node := range z.nodes {
		others, _, known := node.Others(z.now)
		assert.Assert(t, known)
		assert.Equal(t, len(others), 0, "relay %d: %v", index, others)
	}
}

// An endpoint that lost its load is named as such twice at the most, and then takes no room any more.
func TestEndedLoadsAreNamedTwice(t *testing.T) {
	told := newBroadcast(leastChange, Load.isAny)
	now := start
	named := func(loads Loads) int {
		changes := told.changes(now, loads, entriesMost)
		word := told.update(now, loads, changes)
		now = now.Add(entryRepeat)
		return len(word)
	}
	assert.Equal(t, named(Loads{1: {Requests: 2}, 2: {Requests: 1}}), 2)
	assert.Equal(t, named(Loads{2: {Requests: 1}}), 2) // the end of one, and the other again
	assert.Equal(t, named(Loads{2: {Requests: 1}}), 2) // the same once more
	assert.Equal(t, named(Loads{2: {Requests: 1}}), 1)
	assert.Equal(t, len(told.sent), 1)
}

// A load that other zones need not know of is told as none, not as what it is.
func TestLoadsThatDoNotMatterAreToldAsNone(t *testing.T) {
	told := newBroadcast(leastZoneChange, Load.matters)
	many, few := Loads{1: {Requests: 5, Held: 900}}, Loads{1: {Requests: 1, Held: 100}}
	told.update(start, many, told.changes(start, many, entriesMost))
	word := told.update(start, few, told.changes(start, few, entriesMost))
	assert.Equal(t, word[1], Load{})
	assert.Equal(t, len(word), 1)
}

// A whole word names no more endpoints than it may.
func TestSnapshotsAreBounded(t *testing.T) {
	told := newBroadcast(leastChange, Load.isAny)
	loads := Loads{1: {Requests: 1}, 2: {Requests: 1}, 3: {Requests: 1}}
	told.update(start, loads, told.changes(start, loads, entriesMost))
	assert.Equal(t, len(told.snapshot(2)), 2)
	assert.Equal(t, len(told.snapshot(3)), 3)
}

// Relays share the link of their hub for what they tell it: each pauses after a long word.
func TestReportsToTheHubAreBounded(t *testing.T) {
	z := newBusyZone(t, 2, 400, 20_000)
	relay := z.nodes[0]
	if relay.isHub() {
		relay = z.nodes[1]
	}
	sent := 0
	for step := range 200 {
		loads := make(Loads, 20)
		for range 20 {
			loads[Key(z.random.IntN(z.endpoints))] = Load{Requests: 1, Unread: 3000}
		}
		for _, send := range relay.Tick(start.Add(time.Duration(step)*LocalEvery), Report{Loads: loads}) {
			sent += proto.Size(send.Message) + messageOverhead
		}
	}
	assert.Assert(t, float64(sent) <= 1.1*linkShare*20_000*(200*LocalEvery).Seconds(), "%d", sent)
}

// A word without sums leaves those before, and readings whose lists do not fit each other are passed over.
func TestPartsOfAMessage(t *testing.T) {
	hub := New(Options{Self: Member{Address: "hub", Zone: "z"}, Life: 1})
	relays := []Member{{Address: "hub", Zone: "z"}, {Address: "relay", Zone: "z"}}
	hub.SetMembers(relays)
	if !hub.isHub() { // the ranking may choose the other
		hub = New(Options{Self: Member{Address: "relay", Zone: "z"}, Life: 1})
		hub.SetMembers(relays)
	}
	from := hub.peers[0]
	say := func(sequence uint64, message *workloadpb.Message) {
		message.Life, message.Sequence, message.Relay = 2, sequence, &workloadpb.Loads{}
		hub.Receive(start, from, message)
	}
	say(1, &workloadpb.Message{Sums: Sums{9: {1}}.encode()})
	say(2, &workloadpb.Message{Readings: &workloadpb.Readings{Parts: []uint64{1, 2}, Endpoints: []uint32{1, 2}, Tokens: []uint32{1}}})
	say(3, &workloadpb.Message{Readings: &workloadpb.Readings{Parts: []uint64{1, 2}, Endpoints: []uint32{1}, Tokens: []uint32{1, 2}}})
	_, sums, _ := hub.Others(start)
	assert.Equal(t, sums[9][0], 1.0)
	assert.Equal(t, len(hub.TakeReadings()), 0)

	say(4, &workloadpb.Message{Readings: encodeReadings(make([]Reading, readingsTold))})
	assert.Equal(t, len(hub.TakeReadings()), readingsTold)
	say(5, &workloadpb.Message{Readings: encodeReadings(make([]Reading, readingsTold+1))})
	assert.Equal(t, len(hub.TakeReadings()), 0)

	hub.SetMembers(relays[:0])
	assert.Equal(t, len(hub.relays), 0)
	assert.Equal(t, len(hub.receivers), 0)
}

// What another zone's hub told stays while it is there, and goes with it.
func TestAbsentHubsAreForgotten(t *testing.T) {
	w := newNetwork(t, 2, 2)
	for index := range w.own {
		w.own[index].Loads = Loads{1: {Requests: 10}}
	}
	w.run(time.Second)
	for index, node := range w.nodes {
		if !node.isHub() {
			continue
		}
		assert.Equal(t, len(node.zones), 1)
		node.SetMembers(w.members)
		assert.Equal(t, len(node.zones), 1)
		node.SetMembers(w.members[index/2*2 : index/2*2+2])
		assert.Equal(t, len(node.zones), 0)
		assert.Equal(t, len(node.receivers), 1)
	}
}

// checkLink lets time pass under load, and holds what each relay sends to its share of the link in each fifth of a second.
func (z *busyZone) checkLink(span time.Duration) {
	const step = 200 * time.Millisecond
	for range int(span / step) {
		clear(z.sent)
		z.churn(step)
		for sender, bytes := range z.sent {
			assert.Assert(z.t, float64(bytes) <= 2.2*linkShare*z.link*step.Seconds(), "%d endpoints: %s sent %d bytes in %v", z.endpoints, sender, bytes, step)
		}
	}
}

// A relay that becomes the hub has all relays of its zone to be told of all endpoints, and so has a hub of whose messages all receivers
// have missed some. That too stays within the share of its link, at any moment: else it is late with all else just when it matters.
func TestSnapshotsForAllStayWithinTheLink(t *testing.T) {
	for _, endpoints := range []int{160, 3000} {
		z := newBusyZone(t, 50, endpoints, 1.25e6)
		z.churn(2 * time.Second)
		z.down[z.nodes[0].hub] = true
		z.spreadMembers()
		z.checkLink(4 * time.Second)
		z.loss = 1
		z.churn(300 * time.Millisecond)
		z.loss = 0
		z.checkLink(entryExpiry + time.Second)
		for index, node := range z.nodes {
			if z.down[z.members[index].Address] {
				continue
			}
			_, _, known := node.Others(z.now)
			assert.Assert(t, known, "%d endpoints: relay %d", endpoints, index)
			assert.Assert(t, node.isHub() || !node.others.hasGap(z.now), "%d endpoints: relay %d still has a gap", endpoints, index)
		}
	}
}
