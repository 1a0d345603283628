package openings

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wallflow/internal/openings/openingspb"
)

const (
	worldTick     = 100 * time.Millisecond
	detectAfter   = 4 * time.Second // until membership notices
	worldOpenings = 300
	perRelay      = 20.0 // requests a second
	topSize       = 20
	frameBytes    = 9 // of the transport
	openingTokens = 13_300
	newAfter      = 5 * time.Second // a relay that has just started is not judged
)

var worldStart = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// letter is a message under way.
type letter struct {
	at       time.Time
	order    int
	from, to *hollow
	message  *openingspb.Message
}

type mail []letter

func (m mail) Len() int { return len(m) }
func (m mail) Less(i, j int) bool {
	if m[i].at.Equal(m[j].at) {
		return m[i].order < m[j].order
	}
	return m[i].at.Before(m[j].at)
}
func (m mail) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *mail) Push(x any)   { *m = append(*m, x.(letter)) }
func (m *mail) Pop() any {
	old := *m
	last := old[len(old)-1]
	*m = old[:len(old)-1]
	return last
}

// hollow is a relay without clients or endpoints.
type hollow struct {
	self   Member
	life   uint64
	up     bool
	since  time.Time // of this life
	sketch *Sketch
	node   *Node
	sent   int // bytes
	faults Faults
}

// world is a fleet on a virtual clock, with the truth about its demand.
type world struct {
	t        testing.TB
	random   *rand.Rand
	now      time.Time
	relays   []*hollow
	byName   map[string]*hollow
	regions  []string
	zones    int
	demand   map[string][]float64 // requests a second by region and opening
	lots     map[string][]float64 // the same, added up
	loss     float64
	repeat   float64
	cut      map[string]bool // regions that can't be reached from the others
	queue    mail
	order    int
	views    time.Time // when membership is next told to all
	mistake  mistake
	bound    map[int]Homes
	crossing int                  // bytes between regions
	exact    map[string][]float64 // decayed counts of all requests, by region and opening
}

func newWorld(t testing.TB, regions, zones, each int, seed uint64, planted mistake) *world {
	w := &world{
		t: t, random: rand.New(rand.NewPCG(seed, 36)), now: worldStart, zones: zones,
		byName: map[string]*hollow{}, demand: map[string][]float64{}, lots: map[string][]float64{},
		cut: map[string]bool{}, mistake: planted, bound: map[int]Homes{}, exact: map[string][]float64{}, loss: 0.02, repeat: 0.02,
	}
	for region := range regions {
		name := fmt.Sprintf("r%d", region)
		w.regions = append(w.regions, name)
		for zone := range zones {
			for index := range each {
				w.add(name, fmt.Sprintf("%s-z%d", name, zone), index)
			}
		}
	}
	for _, region := range w.regions {
		w.exact[region] = make([]float64, worldOpenings)
		w.setDemand(region, w.draw(region))
	}
	w.tellMembers()
	return w
}

func (w *world) add(region, zone string, index int) *hollow {
	name := fmt.Sprintf("%s-%d", zone, index)
	relay := &hollow{self: Member{Name: name, Address: "at-" + name, Zone: zone, Region: region}}
	w.relays = append(w.relays, relay)
	w.byName[relay.self.Address] = relay
	w.start(relay)
	return relay
}

func (w *world) start(relay *hollow) {
	relay.life++
	relay.up = true
	relay.since = w.now
	relay.sketch = NewSketch(w.now, 0, 0)
	relay.node = New(Options{Self: relay.self, Life: relay.life, mistake: w.mistake}, w.now)
	relay.node.due = w.now.Add(time.Duration(w.random.Int64N(int64(2 * time.Second))))
	relay.node.SetCapacity(w.capacity())
	w.tellOne(relay)
}

func (w *world) stop(relay *hollow) {
	w.collect(relay)
	relay.up = false
}

func (w *world) collect(relay *hollow) {
	found := relay.node.Faults()
	relay.faults.VersionsFell += found.VersionsFell
	relay.faults.CountedTwice += found.CountedTwice
	relay.faults.BrokenHomes += found.BrokenHomes
	relay.faults.UnfencedMoves += found.UnfencedMoves
}

func (w *world) capacity() []RegionCapacity {
	var all []RegionCapacity
	for _, region := range w.regions {
		all = append(all, RegionCapacity{Region: region, Endpoints: 50, Memory: 50 * 316_082})
	}
	return all
}

// draw makes the demand of a region: most of it is the same everywhere, some its own.
func (w *world) draw(region string) []float64 {
	const ownShare = 0.3
	rates := make([]float64, worldOpenings)
	total := 0.0
	for rank := range worldOpenings {
		total += zipf(rank)
	}
	all := perRelay * float64(len(w.inRegion(region)))
	own := w.random.Perm(worldOpenings)
	for rank := range worldOpenings {
		rates[rank] += (1 - ownShare) * all * zipf(rank) / total
		rates[own[rank]] += ownShare * all * zipf(rank) / total
	}
	return rates
}

func zipf(rank int) float64 { return 1 / float64(rank+1) }

func (w *world) setDemand(region string, rates []float64) {
	w.demand[region] = rates
	lots := make([]float64, len(rates))
	total := 0.0
	for index, rate := range rates {
		total += rate
		lots[index] = total
	}
	w.lots[region] = lots
}

func (w *world) inRegion(region string) []*hollow {
	var found []*hollow
	for _, relay := range w.relays {
		if relay.up && relay.self.Region == region {
			found = append(found, relay)
		}
	}
	return found
}

// reach tells whether two relays can talk.
func (w *world) reach(a, b *hollow) bool {
	return a.self.Region == b.self.Region || !w.cut[a.self.Region] && !w.cut[b.self.Region]
}

// tellMembers tells every relay who is up and can be reached.
func (w *world) tellMembers() {
	for _, relay := range w.relays {
		w.tellOne(relay)
	}
}

func (w *world) tellOne(relay *hollow) {
	var members []Member
	for _, other := range w.relays {
		if other.up && w.reach(relay, other) {
			members = append(members, other.self)
		}
	}
	relay.node.SetMembers(members)
}

// key is the opening of a number. Bound ones have the hash of their number alone, too.
func (w *world) key(opening int) Key {
	return Key{Part: uint64(opening) + 1, Homes: w.bound[opening]}
}

// run lets time pass.
func (w *world) run(length time.Duration, each func()) {
	for until := w.now.Add(length); w.now.Before(until); {
		w.now = w.now.Add(worldTick)
		w.deliver()
		w.arrivals()
		for _, relay := range w.relays {
			if relay.up && relay.node.Due(w.now) {
				w.post(relay, relay.node.Tick(w.now, relay.sketch.Demand(w.now, relay.node.ReportSize())))
			}
		}
		if !w.views.IsZero() && w.now.After(w.views) {
			w.views = time.Time{}
			w.tellMembers()
		}
		if each != nil {
			each()
		}
	}
}

func (w *world) noticeLater() { w.views = w.now.Add(detectAfter) }

// arrivals counts the requests of a tick.
func (w *world) arrivals() {
	w.decay()
	for _, region := range w.regions {
		relays := w.inRegion(region)
		lots := w.lots[region]
		if len(relays) == 0 {
			continue
		}
		for range w.poisson(lots[len(lots)-1] * worldTick.Seconds()) {
			opening, _ := slices.BinarySearch(lots, w.random.Float64()*lots[len(lots)-1])
			key := w.key(opening)
			if !key.Homes.Allows(region) {
				continue
			}
			relays[w.random.IntN(len(relays))].sketch.Count(w.now, key, openingTokens)
			w.exact[region][opening]++
		}
	}
}

// decay is what the exact counts lose in a tick.
func (w *world) decay() {
	factor := math.Exp2(-float64(worldTick) / float64(defaultHalfLife))
	for _, counts := range w.exact {
		for opening := range counts {
			counts[opening] *= factor
		}
	}
}

// possible is the recall that one counter of all requests, with the same decay and no delay, would have.
func (w *world) possible() quality {
	var q quality
	counted := make([]Entry, worldOpenings)
	for opening := range counted {
		counted[opening].Key = w.key(opening)
		for _, region := range w.regions {
			counted[opening].Rate += w.exact[region][opening]
			counted[opening].Recent = counted[opening].Rate
		}
	}
	demand := Demand{Entries: counted}
	demand.cut(topSize)
	top := keysOf(demand.Entries)
	for _, entry := range w.truth(w.relays[0])[:topSize] {
		q.asked++
		if top[entry.Key] {
			q.recalled++
		}
	}
	return q
}

func keysOf(entries []Entry) map[Key]bool {
	keys := make(map[Key]bool, len(entries))
	for _, entry := range entries {
		keys[entry.Key] = true
	}
	return keys
}

func (w *world) poisson(mean float64) int {
	return max(0, int(math.Round(mean+math.Sqrt(mean)*w.random.NormFloat64())))
}

func (w *world) post(from *hollow, output Output) {
	for _, send := range output.Sends {
		to := w.byName[send.To]
		size := proto.Size(send.Message) + frameBytes
		from.sent += size
		if to.self.Region != from.self.Region {
			w.crossing += size
		}
		copies := 1
		if w.random.Float64() < w.repeat {
			copies = 2
		}
		for range copies {
			if w.random.Float64() < w.loss {
				continue
			}
			delay := time.Millisecond
			if to.self.Region != from.self.Region {
				delay = 35 * time.Millisecond
			}
			if w.random.IntN(20) == 0 {
				delay += time.Duration(w.random.Int64N(int64(3 * time.Second)))
			}
			w.order++
			heap.Push(&w.queue, letter{at: w.now.Add(delay), order: w.order, from: from, to: to, message: send.Message})
		}
	}
}

func (w *world) deliver() {
	for len(w.queue) > 0 && !w.queue[0].at.After(w.now) {
		next := heap.Pop(&w.queue).(letter)
		if !next.to.up || !w.reach(next.from, next.to) {
			continue
		}
		w.post(next.to, next.to.node.Receive(w.now, next.from.self.Address, next.message))
	}
}

// truth is the demand that a relay could know: that of the regions it can reach, as far as their homes allow.
func (w *world) truth(relay *hollow) []Entry {
	rates := make([]Entry, worldOpenings)
	for opening := range rates {
		rates[opening].Key = w.key(opening)
	}
	for _, region := range w.regions {
		others := w.inRegion(region)
		if len(others) == 0 || !w.reach(relay, others[0]) {
			continue
		}
		for opening, rate := range w.demand[region] {
			homes := rates[opening].Key.Homes
			if homes.Allows(region) && homes.Allows(relay.self.Region) {
				rates[opening].Rate += rate
				rates[opening].Recent += rate
			}
		}
	}
	demand := Demand{Entries: rates}
	demand.cut(worldOpenings)
	return demand.Entries
}

// quality is how well pictures agree with the truth.
type quality struct {
	recalled, asked float64
	errors          float64 // relative, summed over the true top
}

func (q *quality) recall() float64    { return q.recalled / max(1, q.asked) }
func (q *quality) meanError() float64 { return q.errors / max(1, q.asked) }

func (q *quality) add(other quality) {
	q.recalled += other.recalled
	q.asked += other.asked
	q.errors += other.errors
}

// measure compares the pictures of a few relays with the truth.
func (w *world) measure(samples int) quality {
	var q quality
	for range samples {
		relay := w.relays[w.random.IntN(len(w.relays))]
		if relay.up && w.now.Sub(relay.since) > newAfter {
			q.add(w.judge(relay))
		}
	}
	return q
}

func (w *world) judge(relay *hollow) quality {
	var q quality
	snapshot := relay.node.Picture().Snapshot(w.now)
	listed := make(map[Key]float64)
	for _, entry := range snapshot.Entries {
		listed[entry.Key] = entry.Rate
	}
	top := map[Key]bool{}
	for _, entry := range snapshot.Entries[:min(topSize, len(snapshot.Entries))] {
		top[entry.Key] = true
	}
	for _, entry := range w.truth(relay)[:topSize] {
		q.asked++
		if top[entry.Key] {
			q.recalled++
		}
		q.errors += math.Abs(listed[entry.Key]-entry.Rate) / entry.Rate
	}
	return q
}

// allFaults adds up what was found wrong anywhere.
func (w *world) allFaults() Faults {
	var all Faults
	for _, relay := range w.relays {
		if relay.up {
			w.collect(relay)
		}
		all.VersionsFell += relay.faults.VersionsFell
		all.CountedTwice += relay.faults.CountedTwice
		all.BrokenHomes += relay.faults.BrokenHomes
		all.UnfencedMoves += relay.faults.UnfencedMoves
	}
	return all
}

// bytesPerRelay is what a relay sent, a second.
func (w *world) bytesPerRelay() float64 {
	total := 0
	for _, relay := range w.relays {
		total += relay.sent
	}
	return float64(total) / float64(len(w.relays)) / w.now.Sub(worldStart).Seconds()
}
