package workload

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"wallflow/internal/workload/workloadpb"
)

var start = time.Unix(1_000, 0)

// network simulates relays that exchange their loads, with a virtual clock.
type network struct {
	t                  *testing.T
	now                time.Time
	members            []Member
	nodes              []*Node
	reports            []Report        // of each node, at its next tick
	down               map[string]bool // by address
	delay              time.Duration
	inFlight           []delivery
	interZoneBytes     int // sent so far
	interZoneUpdates   int // sent so far
	lossRate           float64
	linkBytesPerSecond float64 // of each machine; 0: unlimited
	onSend             func(from string, send Send)
	random             *rand.Rand
}

type delivery struct {
	at      time.Time
	from    string
	to      string
	encoded []byte
}

func newNetwork(t *testing.T, zones, perZone int) *network {
	return newNetworkWithLink(t, zones, perZone, 0)
}

// newNetworkWithLink returns a network whose machines have links of the given bandwidth; 0 means unlimited.
func newNetworkWithLink(t *testing.T, zones, perZone int, linkBytesPerSecond float64) *network {
	net := &network{t: t, linkBytesPerSecond: linkBytesPerSecond, now: start, down: map[string]bool{}, delay: 5 * time.Millisecond,
		random: rand.New(rand.NewPCG(1, 2))}
	for zone := range zones {
		for relay := range perZone {
			net.members = append(net.members, Member{Address: fmt.Sprintf("10.%d.0.%d:1", zone, relay), Zone: fmt.Sprintf("z%d", zone)})
		}
	}
	for index, member := range net.members {
		net.nodes = append(net.nodes, New(Options{Self: member, Life: uint64(index) + 1, LinkBytesPerSecond: net.linkBytesPerSecond}))
		net.reports = append(net.reports, Report{})
	}
	net.updateMembers()
	return net
}

// updateMembers gives all nodes the relays that are not down.
func (net *network) updateMembers() {
	var alive []Member
	for _, member := range net.members {
		if !net.down[member.Address] {
			alive = append(alive, member)
		}
	}
	for _, node := range net.nodes {
		node.SetMembers(alive)
	}
}

func (net *network) zoneOf(address string) string {
	for _, member := range net.members {
		if member.Address == address {
			return member.Zone
		}
	}
	return ""
}

// run advances the clock in steps of 10 ms and delivers messages; all relays tick every LocalInterval.
func (net *network) run(duration time.Duration) {
	for end := net.now.Add(duration); net.now.Before(end); net.now = net.now.Add(10 * time.Millisecond) {
		var pending []delivery
		for _, next := range net.inFlight {
			if next.at.After(net.now) {
				pending = append(pending, next)
				continue
			}
			net.deliver(next)
		}
		net.inFlight = pending
		if net.now.Sub(start)%LocalInterval == 0 {
			net.tick()
		}
	}
}

func (net *network) deliver(due delivery) {
	for index, member := range net.members {
		if member.Address == due.to && !net.down[due.to] {
			message := new(workloadpb.Message)
			assert.NilError(net.t, proto.Unmarshal(due.encoded, message))
			net.nodes[index].Receive(net.now, due.from, message)
		}
	}
}

func (net *network) tick() {
	for index, node := range net.nodes {
		address := net.members[index].Address
		if net.down[address] {
			continue
		}
		sends := node.Tick(net.now, net.reports[index])
		net.reports[index].Prefills = nil
		for _, send := range sends {
			if net.onSend != nil {
				net.onSend(address, send)
			}
			encoded, err := proto.Marshal(send.Message)
			assert.NilError(net.t, err)
			if net.zoneOf(send.To) != net.zoneOf(address) {
				net.interZoneBytes += len(encoded)
				net.interZoneUpdates++
			}
			if net.random.Float64() >= net.lossRate {
				net.inFlight = append(net.inFlight, delivery{net.now.Add(net.delay), address, send.To, encoded})
			}
		}
	}
}

// expected returns the summed loads of all relays except one, without those that are down.
func (net *network) expected(except int) Loads {
	sum := Loads{}
	for index := range net.reports {
		if index != except && !net.down[net.members[index].Address] {
			sum.add(net.reports[index].Loads)
		}
	}
	return sum
}

// Each relay learns the loads of all others, without its own, within a few messages.
func TestRelaysLearnLoadsOfOthers(t *testing.T) {
	for _, lossRate := range []float64{0, 0.3} {
		net := newNetwork(t, 3, 4)
		net.lossRate = lossRate
		for index := range net.reports {
			net.reports[index].Loads = Loads{Key(index % 5): {Requests: 2 + index, PrefillTokens: 2000 * index, CacheTokens: 100 * index}}
		}
		net.run(map[bool]time.Duration{true: 400 * time.Millisecond, false: 6 * time.Second}[lossRate == 0])
		exact := 0
		for index, node := range net.nodes {
			others, _, known := node.Others(net.now)
			assert.Assert(t, known)
			if fmt.Sprint(others) == fmt.Sprint(net.expected(index)) {
				exact++
			}
		}
		if lossRate == 0 {
			assert.Equal(t, exact, len(net.nodes))
		} else {
			assert.Assert(t, exact > len(net.nodes)/2, "%d", exact)
		}
	}
}

// A change reaches the relays of another zone within the intervals of three messages and the latency.
func TestChangesPropagateQuickly(t *testing.T) {
	net := newNetwork(t, 3, 4)
	net.run(time.Second)
	net.reports[0].Loads = Loads{7: {Requests: 1, PrefillTokens: 30_000}}
	changedAt := net.now
	last := len(net.nodes) - 1
	for {
		others, _, _ := net.nodes[last].Others(net.now)
		if others[7].PrefillTokens == 30_000 {
			break
		}
		net.run(10 * time.Millisecond)
		assert.Assert(t, net.now.Sub(changedAt) < time.Second)
	}
	assert.Assert(t, net.now.Sub(changedAt) <= 2*LocalInterval+ZoneInterval+5*net.delay, "%v", net.now.Sub(changedAt))
}

// The loads of a relay that is gone expire. A relay whose hub is gone reports that the loads of others are unknown, until there is another
// hub.
func TestLostRelaysExpire(t *testing.T) {
	net := newNetwork(t, 2, 3)
	for index := range net.reports {
		net.reports[index].Loads = Loads{1: {Requests: 10}}
	}
	net.run(time.Second)
	hub := net.nodes[0].hub
	net.down[hub] = true
	net.run(senderExpiry + 100*time.Millisecond)
	for index, node := range net.nodes {
		_, _, known := node.Others(net.now)
		inZone := net.members[index].Zone == net.zoneOf(hub)
		if net.members[index].Address != hub {
			assert.Equal(t, known, !inZone, "relay %d", index)
		}
	}
	net.updateMembers()
	net.run(time.Second)
	for index, node := range net.nodes {
		if net.down[net.members[index].Address] {
			continue
		}
		others, _, known := node.Others(net.now)
		assert.Assert(t, known)
		assert.Equal(t, others[1].Requests, net.expected(index)[1].Requests, "relay %d", index)
	}
}

// Updates between zones are bounded however often loads change, and contain the endpoints with the largest loads.
func TestUpdatesBetweenZonesAreBounded(t *testing.T) {
	net := newNetwork(t, 2, 2)
	random := rand.New(rand.NewPCG(3, 4))
	net.run(time.Second)
	net.interZoneBytes, net.interZoneUpdates = 0, 0
	for range 200 {
		loads := Loads{}
		for range 40 {
			loads[Key(random.Uint32()%2000)] = Load{Requests: random.IntN(20), PrefillTokens: random.IntN(60_000)}
		}
		net.reports[0].Loads = loads
		net.run(10 * time.Millisecond)
	}
	assert.Assert(t, net.interZoneUpdates <= 2*int(2*time.Second/ZoneInterval)+2, "%d updates", net.interZoneUpdates)
	for _, tokens := range []int{1, 4} { // as many relevant endpoints as an update may contain, and more
		manyLoads := Loads{}
		for key := range 3 * maxZoneEntries {
			manyLoads[Key(key)] = Load{Requests: 1, PrefillTokens: key * tokens}
		}
		broadcast := newBroadcast(minZoneChange, Load.isRelevantToOtherZones)
		entries := broadcast.markSent(net.now, manyLoads, broadcast.changes(net.now, manyLoads, maxZoneEntries))
		assert.Equal(t, len(entries), maxZoneEntries)
		for key := 2 * maxZoneEntries; key < 3*maxZoneEntries; key++ {
			assert.Equal(t, entries[Key(key)].PrefillTokens, key*tokens)
		}
	}
}

// With many zones, a hub sends to each of them less often.
func TestUpdateIntervalGrowsWithZones(t *testing.T) {
	fewZones, manyZones := newNetwork(t, 4, 1), newNetwork(t, 40, 1)
	assert.Equal(t, fewZones.nodes[0].zoneInterval(), ZoneInterval)
	assert.Equal(t, manyZones.nodes[0].zoneInterval(), 5*ZoneInterval)
}

// Prefill reports reach every other relay once, and never come back to their reporter.
func TestPrefillsReachEveryOtherRelayOnce(t *testing.T) {
	net := newNetwork(t, 3, 3)
	net.run(time.Second)
	for _, node := range net.nodes {
		node.TakePrefills()
	}
	for index := range net.reports {
		net.reports[index].Prefills = []Prefill{{PrefixID: uint64(index) + 1, Tokens: 1000, Endpoint: Key(index)}}
	}
	net.run(time.Second)
	for index, node := range net.nodes {
		received := map[uint64]int{}
		for _, prefill := range node.TakePrefills() {
			received[prefill.PrefixID]++
		}
		for other := range net.nodes {
			wanted := 1
			if other == index {
				wanted = 0
			}
			assert.Equal(t, received[uint64(other)+1], wanted, "relay %d of %d", index, other)
		}
	}
}

// A queue of too many prefill reports keeps the newest ones, and they are sent in several messages.
func TestPrefillQueueIsBounded(t *testing.T) {
	var queue prefillQueue
	for part := range 3 * maxQueuedPrefills {
		queue.add("a", []Prefill{{PrefixID: uint64(part)}})
	}
	assert.Equal(t, len(queue.entries), maxQueuedPrefills)
	first, position := queue.prefillsFrom(0, func(string) bool { return true })
	assert.Equal(t, len(first), maxPrefillsPerMessage)
	assert.Equal(t, first[0].PrefixID, uint64(2*maxQueuedPrefills))
	next, _ := queue.prefillsFrom(position, func(string) bool { return true })
	assert.Equal(t, next[0].PrefixID, first[maxPrefillsPerMessage-1].PrefixID+1)
}

// Each relay gets the sums over all relays without its own.
func TestSumsAddUp(t *testing.T) {
	net := newNetwork(t, 2, 3)
	for index := range net.reports {
		net.reports[index].Sums = Sums{9: {float64(int(1) << index)}}
	}
	net.run(3 * time.Second)
	for index, node := range net.nodes {
		_, sums, _ := node.Others(net.now)
		assert.Equal(t, int(sums[9][0]), 1<<len(net.nodes)-1-1<<index, "relay %d", index)
	}
}

// Messages that are late, from an unknown relay or with parallel lists of different lengths are ignored.
func TestInvalidMessagesAreIgnored(t *testing.T) {
	net := newNetwork(t, 2, 2)
	hub := 0
	for index := range net.nodes {
		if net.nodes[index].isHub() {
			hub = index
			break
		}
	}
	node, peer := net.nodes[hub], net.nodes[hub].zonePeers[0]
	receive := func(from string, sequence uint64, loads *workloadpb.Loads) {
		node.Receive(net.now, from, &workloadpb.Message{Life: 1, Sequence: sequence, Relay: loads})
	}
	requests := func() int {
		others, _, _ := node.Others(net.now)
		return others[1].Requests
	}
	validLoads := func(count uint32) *workloadpb.Loads {
		return &workloadpb.Loads{Endpoints: []uint32{1}, Requests: []uint32{count}, Unread: []uint32{0}, Held: []uint32{0},
			Overdue: []uint32{0}}
	}
	receive(peer, 5, validLoads(3))
	assert.Equal(t, requests(), 3)
	receive(peer, 4, validLoads(9))
	receive("10.9.9.9:1", 6, validLoads(9))
	receive(peer, 7, &workloadpb.Loads{Endpoints: []uint32{1, 2}, Requests: []uint32{9}})
	assert.Equal(t, requests(), 3)
	receive(peer, 8, validLoads(4))
	assert.Equal(t, requests(), 4)
	net.now = net.now.Add(senderExpiry)
	assert.Equal(t, requests(), 0)
}

// Sums that are not finite, or have a wrong number of terms, are ignored.
func TestInvalidSumsAreIgnored(t *testing.T) {
	nan := make([]float32, SumTerms)
	nan[3] = float32(0) / func() float32 { return 0 }()
	sums := decodeSums([]*workloadpb.Sums{
		{Service: 1, Figures: make([]float32, SumTerms)}, {Service: 2, Figures: nan}, {Service: 3, Figures: make([]float32, SumTerms-1)},
	})
	_, kept := sums[1]
	assert.Assert(t, kept && len(sums) == 1)
}
