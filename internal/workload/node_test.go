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

// network is relays that tell each other their loads, under a virtual clock.
type network struct {
	t       *testing.T
	now     time.Time
	members []Member
	nodes   []*Node
	own     []Report
	down    map[string]bool
	delay   time.Duration
	flying  []flight
	bytes   int // between zones
	updates int // between zones
	loss    float64
	link    float64 // bytes a second of each machine
	onSend  func(from string, send Send)
	random  *rand.Rand
}

type flight struct {
	at      time.Time
	from    string
	to      string
	encoded []byte
}

func newNetwork(t *testing.T, zones, perZone int) *network { return newNetworkOf(t, zones, perZone, 0) }

// newNetworkOf returns relays whose machines' links carry so many bytes a second; 0: as many as wanted.
func newNetworkOf(t *testing.T, zones, perZone int, link float64) *network {
	w := &network{t: t, link: link, now: start, down: map[string]bool{}, delay: 5 * time.Millisecond, random: rand.New(rand.NewPCG(1, 2))}
	for zone := range zones {
		for relay := range perZone {
			w.members = append(w.members, Member{Address: fmt.Sprintf("10.%d.0.%d:1", zone, relay), Zone: fmt.Sprintf("z%d", zone)})
		}
	}
	for index, member := range w.members {
		w.nodes = append(w.nodes, New(Options{Self: member, Life: uint64(index) + 1, LinkBytes: w.link}))
		w.own = append(w.own, Report{})
	}
	w.spreadMembers()
	return w
}

func (w *network) spreadMembers() {
	var alive []Member
	for _, member := range w.members {
		if !w.down[member.Address] {
			alive = append(alive, member)
		}
	}
	for _, node := range w.nodes {
		node.SetMembers(alive)
	}
}

func (w *network) zoneOf(address string) string {
	for _, member := range w.members {
		if member.Address == address {
			return member.Zone
		}
	}
	return ""
}

// run lets time pass in steps of ten milliseconds; all relays tick each LocalEvery.
func (w *network) run(span time.Duration) {
	for end := w.now.Add(span); w.now.Before(end); w.now = w.now.Add(10 * time.Millisecond) {
		var left []flight
		for _, each := range w.flying {
			if each.at.After(w.now) {
				left = append(left, each)
				continue
			}
			w.arrive(each)
		}
		w.flying = left
		if w.now.Sub(start)%LocalEvery == 0 {
			w.tick()
		}
	}
}

func (w *network) arrive(each flight) {
	for index, member := range w.members {
		if member.Address == each.to && !w.down[each.to] {
			message := new(workloadpb.Message)
			assert.NilError(w.t, proto.Unmarshal(each.encoded, message))
			w.nodes[index].Receive(w.now, each.from, message)
		}
	}
}

func (w *network) tick() {
	for index, node := range w.nodes {
		address := w.members[index].Address
		if w.down[address] {
			continue
		}
		sends := node.Tick(w.now, w.own[index])
		w.own[index].Readings = nil
		for _, send := range sends {
			if w.onSend != nil {
				w.onSend(address, send)
			}
			encoded, err := proto.Marshal(send.Message)
			assert.NilError(w.t, err)
			if w.zoneOf(send.To) != w.zoneOf(address) {
				w.bytes += len(encoded)
				w.updates++
			}
			if w.random.Float64() >= w.loss {
				w.flying = append(w.flying, flight{w.now.Add(w.delay), address, send.To, encoded})
			}
		}
	}
}

// expected is what all relays but one have together.
func (w *network) expected(but int) Loads {
	sum := Loads{}
	for index := range w.own {
		if index != but && !w.down[w.members[index].Address] {
			sum.add(w.own[index].Loads)
		}
	}
	return sum
}

// Each relay learns what all others have, itself left out, within a few words.
func TestEachRelayKnowsWhatTheOthersHave(t *testing.T) {
	for _, loss := range []float64{0, 0.3} {
		w := newNetwork(t, 3, 4)
		w.loss = loss
		for index := range w.own {
			w.own[index].Loads = Loads{Key(index % 5): {Requests: 2 + index, Unread: 2000 * index, Held: 100 * index}}
		}
		w.run(map[bool]time.Duration{true: 400 * time.Millisecond, false: 6 * time.Second}[loss == 0])
		exact := 0
		for index, node := range w.nodes {
			others, _, known := node.Others(w.now)
			assert.Assert(t, known)
			if fmt.Sprint(others) == fmt.Sprint(w.expected(index)) {
				exact++
			}
		}
		if loss == 0 {
			assert.Equal(t, exact, len(w.nodes))
		} else {
			assert.Assert(t, exact > len(w.nodes)/2, "%d", exact)
		}
	}
}

// News of a change reach another zone's relays within three words and the way.
func TestChangesAreKnownSoon(t *testing.T) {
	w := newNetwork(t, 3, 4)
	w.run(time.Second)
	w.own[0].Loads = Loads{7: {Requests: 1, Unread: 30_000}}
	began := w.now
	last := len(w.nodes) - 1
	for {
		others, _, _ := w.nodes[last].Others(w.now)
		if others[7].Unread == 30_000 {
			break
		}
		w.run(10 * time.Millisecond)
		assert.Assert(t, w.now.Sub(began) < time.Second)
	}
	assert.Assert(t, w.now.Sub(began) <= 2*LocalEvery+ZoneEvery+5*w.delay, "%v", w.now.Sub(began))
}

// A relay that is gone counts for nothing after a while; one whose hub is gone knows that it knows nothing, until there is another.
func TestLostRelaysAreForgotten(t *testing.T) {
	w := newNetwork(t, 2, 3)
	for index := range w.own {
		w.own[index].Loads = Loads{1: {Requests: 10}}
	}
	w.run(time.Second)
	hub := w.nodes[0].hub
	w.down[hub] = true
	w.run(forgetAfter + 100*time.Millisecond)
	for index, node := range w.nodes {
		_, _, known := node.Others(w.now)
		inZone := w.members[index].Zone == w.zoneOf(hub)
		if w.members[index].Address != hub {
			assert.Equal(t, known, !inZone, "relay %d", index)
		}
	}
	w.spreadMembers()
	w.run(time.Second)
	for index, node := range w.nodes {
		if w.down[w.members[index].Address] {
			continue
		}
		others, _, known := node.Others(w.now)
		assert.Assert(t, known)
		assert.Equal(t, others[1].Requests, w.expected(index)[1].Requests, "relay %d", index)
	}
}

// What goes between zones is bounded however often loads change, and names the endpoints with a load that matters, the most loaded first.
func TestUpdatesBetweenZonesAreBounded(t *testing.T) {
	w := newNetwork(t, 2, 2)
	random := rand.New(rand.NewPCG(3, 4))
	w.run(time.Second)
	w.bytes, w.updates = 0, 0
	for range 200 {
		loads := Loads{}
		for range 40 {
			loads[Key(random.Uint32()%2000)] = Load{Requests: random.IntN(20), Unread: random.IntN(60_000)}
		}
		w.own[0].Loads = loads
		w.run(10 * time.Millisecond)
	}
	assert.Assert(t, w.updates <= 2*int(2*time.Second/ZoneEvery)+2, "%d updates", w.updates)
	for _, tokens := range []int{1, 4} { // as many endpoints with a load that matters as may be named, and more
		many := Loads{}
		for key := range 3 * zoneEntries {
			many[Key(key)] = Load{Requests: 1, Unread: key * tokens}
		}
		hubs := newBroadcast(leastZoneChange, Load.matters)
		named := hubs.update(w.now, many, hubs.changes(w.now, many, zoneEntries))
		assert.Equal(t, len(named), zoneEntries)
		for key := 2 * zoneEntries; key < 3*zoneEntries; key++ {
			assert.Equal(t, named[Key(key)].Unread, key*tokens)
		}
	}
}

// A hub of many zones sends to each of them less often.
func TestManyZonesAreToldLessOften(t *testing.T) {
	few, many := newNetwork(t, 4, 1), newNetwork(t, 40, 1)
	assert.Equal(t, few.nodes[0].zoneEvery(), ZoneEvery)
	assert.Equal(t, many.nodes[0].zoneEvery(), 5*ZoneEvery)
}

// Readings reach every other relay once, and never the one that told them.
func TestReadingsReachAllOthersOnce(t *testing.T) {
	w := newNetwork(t, 3, 3)
	w.run(time.Second)
	for _, node := range w.nodes {
		node.TakeReadings()
	}
	for index := range w.own {
		w.own[index].Readings = []Reading{{Part: uint64(index) + 1, Tokens: 1000, Endpoint: Key(index)}}
	}
	w.run(time.Second)
	for index, node := range w.nodes {
		heard := map[uint64]int{}
		for _, reading := range node.TakeReadings() {
			heard[reading.Part]++
		}
		for other := range w.nodes {
			wanted := 1
			if other == index {
				wanted = 0
			}
			assert.Equal(t, heard[uint64(other)+1], wanted, "relay %d of %d", index, other)
		}
	}
}

// A flood of readings is cut to the newest, and told in parts.
func TestReadingsAreBounded(t *testing.T) {
	var queue readingQueue
	for part := range 3 * readingsKept {
		queue.add("a", []Reading{{Part: uint64(part)}})
	}
	assert.Equal(t, len(queue.readings), readingsKept)
	told, place := queue.after(0, func(string) bool { return true })
	assert.Equal(t, len(told), readingsTold)
	assert.Equal(t, told[0].Part, uint64(2*readingsKept))
	next, _ := queue.after(place, func(string) bool { return true })
	assert.Equal(t, next[0].Part, told[readingsTold-1].Part+1)
}

// Sums add up over all relays but the receiver.
func TestSumsAddUp(t *testing.T) {
	w := newNetwork(t, 2, 3)
	for index := range w.own {
		w.own[index].Sums = Sums{9: {float64(int(1) << index)}}
	}
	w.run(3 * time.Second)
	for index, node := range w.nodes {
		_, sums, _ := node.Others(w.now)
		assert.Equal(t, int(sums[9][0]), 1<<len(w.nodes)-1-1<<index, "relay %d", index)
	}
}

// A late message, one of another's zone and one whose lists do not fit are ignored.
func TestImproperMessagesAreIgnored(t *testing.T) {
	w := newNetwork(t, 2, 2)
	hub := 0
	for index := range w.nodes {
		if w.nodes[index].isHub() {
			hub = index
			break
		}
	}
	node, peer := w.nodes[hub], w.nodes[hub].peers[0]
	say := func(from string, sequence uint64, loads *workloadpb.Loads) {
		node.Receive(w.now, from, &workloadpb.Message{Life: 1, Sequence: sequence, Relay: loads})
	}
	requests := func() int {
		others, _, _ := node.Others(w.now)
		return others[1].Requests
	}
	proper := func(count uint32) *workloadpb.Loads {
		return &workloadpb.Loads{Endpoints: []uint32{1}, Requests: []uint32{count}, Unread: []uint32{0}, Held: []uint32{0}, Overdue: []uint32{0}}
	}
	say(peer, 5, proper(3))
	assert.Equal(t, requests(), 3)
	say(peer, 4, proper(9))
	say("10.9.9.9:1", 6, proper(9))
	say(peer, 7, &workloadpb.Loads{Endpoints: []uint32{1, 2}, Requests: []uint32{9}})
	assert.Equal(t, requests(), 3)
	say(peer, 8, proper(4))
	assert.Equal(t, requests(), 4)
	w.now = w.now.Add(forgetAfter)
	assert.Equal(t, requests(), 0)
}

// Sums that are no numbers, or too many, are left out.
func TestImproperSumsAreLeftOut(t *testing.T) {
	nan := make([]float32, SumTerms)
	nan[3] = float32(0) / func() float32 { return 0 }()
	sums := decodeSums([]*workloadpb.Sums{
		{Service: 1, Figures: make([]float32, SumTerms)}, {Service: 2, Figures: nan}, {Service: 3, Figures: make([]float32, SumTerms-1)},
	})
	_, proper := sums[1]
	assert.Assert(t, proper && len(sums) == 1)
}
