package openings

import (
	"flag"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// seedsOf is how many seeds of each size of fleet are played.
var (
	seeds30  = flag.Int("openings.seeds30", 16, "seeds of the fleet of 30 relays")
	seeds100 = flag.Int("openings.seeds100", 8, "seeds of the fleet of 100 relays")
	seeds870 = flag.Int("openings.seeds870", 0, "seeds of a fleet of 870 relays in 58 regions, for the slope")
	seeds300 = flag.Int("openings.seeds300", 1, "seeds of the fleet of 300 relays")
)

// What must hold on the mean of the seeds. The recall that counting itself allows bounds the calm one.
const (
	calmRecall  = 0.90
	faultRecall = 0.80
	calmError   = 0.15
	followMost  = 10 * time.Second
	bytesMost   = 2600 // a relay a second
)

// trouble is something that befalls a fleet for a while.
type trouble struct {
	name  string
	begin func(w *world)
	end   func(w *world)
	// before sets the demand at the start, followed tells whether a home's picture has followed it; nil: nothing to follow.
	before   func(w *world)
	followed func(w *world, snapshot Snapshot) bool
}

func troubles() []trouble {
	nothing := func(*world) {}
	return []trouble{
		{
			name:  "loss",
			begin: func(w *world) { w.loss, w.repeat = 0.2, 0.2 },
			end:   func(w *world) { w.loss, w.repeat = 0.02, 0.02 },
		},
		{
			name:  "cut",
			begin: func(w *world) { w.cut[w.regions[0]] = true; w.noticeLater() },
			end:   func(w *world) { w.cut = map[string]bool{}; w.noticeLater() },
		},
		{
			name:  "restarts",
			begin: func(w *world) { w.some(5, w.stop); w.noticeLater() },
			end:   (*world).startAll,
		},
		{name: "joins", begin: (*world).join, end: nothing},
		{
			name:  "homes",
			begin: func(w *world) { w.homes(w.stop); w.noticeLater() },
			end:   (*world).startAll,
		},
		{
			name:  "region",
			begin: func(w *world) { w.lose(w.regions[1]) },
			end:   (*world).startAll,
		},
		{
			name:     "swing",
			before:   func(w *world) { w.swing(w.regions[1], w.regions[0]) },
			begin:    func(w *world) { w.swing(w.regions[0], w.regions[1]) },
			end:      nothing,
			followed: (*world).swungOver,
		},
		{
			name:     "fashion",
			begin:    (*world).fashion,
			end:      nothing,
			followed: (*world).inFashion,
		},
	}
}

// some does something to each nth relay.
func (w *world) some(nth int, do func(*hollow)) {
	for index, relay := range w.relays {
		if index%nth == 0 && relay.up {
			do(relay)
		}
	}
}

// homes does something to the homes of regions.
func (w *world) homes(do func(*hollow)) {
	for _, relay := range w.relays {
		if relay.up && relay.node.topology.isRegionHome() {
			do(relay)
		}
	}
}

func (w *world) lose(region string) {
	for _, relay := range w.inRegion(region) {
		w.stop(relay)
	}
	w.noticeLater()
}

func (w *world) startAll() {
	for _, relay := range w.relays {
		if !relay.up {
			w.start(relay)
		}
	}
	w.noticeLater()
}

// join adds a tenth more relays.
func (w *world) join() {
	const one, ten = 1, 10
	for _, relay := range slices.Clone(w.relays) {
		if w.random.IntN(ten) < one {
			w.add(relay.self.Region, relay.self.Zone, 1000+len(w.relays))
		}
	}
	w.noticeLater()
}

const (
	moved     = 10 // openings that swing
	movedMost = 8  // of these are enough to say that the swing was followed
)

// swing moves all demand for the first few openings from one region to another.
func (w *world) swing(from, to string) {
	losing, winning := slices.Clone(w.demand[from]), slices.Clone(w.demand[to])
	for opening := range moved {
		losing[opening], winning[opening] = 0, losing[opening]+winning[opening]
	}
	w.setDemand(from, losing)
	w.setDemand(to, winning)
}

// swungOver tells whether a picture shows the swing.
func (w *world) swungOver(snapshot Snapshot) bool {
	seen := 0
	for index := range snapshot.Entries {
		entry := &snapshot.Entries[index]
		if entry.Key.Part <= moved && entry.rate(w.regions[1]) > entry.rate(w.regions[0]) {
			seen++
		}
	}
	return seen >= movedMost
}

// fashion has the first few openings change places with some that nobody wanted much.
func (w *world) fashion() {
	for _, region := range w.regions {
		rates := slices.Clone(w.demand[region])
		for opening := range moved {
			other := worldOpenings - 1 - opening
			rates[opening], rates[other] = rates[other], rates[opening]
		}
		w.setDemand(region, rates)
	}
}

// inFashion tells whether the new openings are among the top.
func (w *world) inFashion(snapshot Snapshot) bool {
	seen := 0
	for _, entry := range snapshot.Entries[:min(topSize, len(snapshot.Entries))] {
		if entry.Key.Part > worldOpenings-moved {
			seen++
		}
	}
	return seen >= movedMost
}

// allHomes tells whether something holds for the pictures of all homes of regions.
func (w *world) allHomes(holds func(*world, Snapshot) bool) bool {
	for _, relay := range w.relays {
		if !relay.up || !relay.node.topology.isRegionHome() {
			continue
		}
		if !holds(w, relay.node.Picture().Snapshot(w.now)) {
			return false
		}
	}
	return true
}

// result is what the seeds of one size gave.
type result struct {
	calm, possible, after quality
	turning               quality // in the seconds after the fashion changed
	during                map[string]*quality
	recovered             map[string]*quality
	follow                time.Duration
	bytes, crossing       float64
	most                  float64 // bytes a second of the relay that sends the most
	runs                  int
}

func TestFleetsKeepATruePictureThroughTroubles(t *testing.T) {
	sizes := []struct{ regions, zones, each, seeds int }{
		{3, 2, 5, *seeds30}, {5, 4, 5, *seeds100}, {10, 3, 10, *seeds300}, {58, 3, 5, *seeds870},
	}
	sizes = slices.DeleteFunc(sizes, func(size struct{ regions, zones, each, seeds int }) bool { return size.seeds == 0 })
	for _, size := range sizes {
		t.Run(fmt.Sprint(size.regions*size.zones*size.each), func(t *testing.T) {
			t.Parallel()
			all := &result{during: map[string]*quality{}, recovered: map[string]*quality{}}
			for seed := range size.seeds {
				w := newWorld(t, size.regions, size.zones, size.each, uint64(seed), noMistake)
				w.play(all, troubles()[seed%len(troubles())])
				assert.Equal(t, w.allFaults(), Faults{}, "seed %d", seed)
			}
			all.tell(t)
			assert.Assert(t, all.calm.recall() >= calmRecall)
			assert.Assert(t, all.calm.meanError() <= calmError)
			assert.Assert(t, all.after.recall() >= calmRecall-0.02)
			assert.Assert(t, all.follow <= followMost)
			assert.Assert(t, all.bytes/float64(all.runs) <= bytesMost)
			for name, q := range all.during {
				assert.Assert(t, q.recall() >= faultRecall, "%s: %v", name, q.recall())
			}
		})
	}
}

// play warms up, has the trouble for a while, and some time after.
func (w *world) play(all *result, trouble trouble) {
	const samples = 6
	if trouble.before != nil {
		trouble.before(w)
	}
	w.run(15*time.Second, nil)
	for range 5 {
		w.run(time.Second, nil)
		all.calm.add(w.measure(samples))
		all.possible.add(w.possible())
	}
	all.bytes += w.bytesPerRelay()
	all.crossing += float64(w.crossing) / float64(len(w.relays)) / w.now.Sub(worldStart).Seconds()
	all.runs++
	for _, relay := range w.relays {
		all.most = max(all.most, float64(relay.sent)/w.now.Sub(worldStart).Seconds())
	}
	begun, follow := w.now, time.Duration(0)
	trouble.begin(w)
	during := of(all.during, trouble.name)
	for range 15 {
		w.run(time.Second, func() {
			if follow == 0 && trouble.followed != nil && w.allHomes(trouble.followed) {
				follow = w.now.Sub(begun)
			}
		})
		q := w.measure(samples)
		if trouble.name == "fashion" && w.now.Sub(begun) < followMost {
			all.turning.add(q) // there the time to follow is what counts
			continue
		}
		during.add(q)
	}
	if trouble.followed != nil && follow == 0 {
		follow = time.Hour
	}
	all.follow = max(all.follow, follow)
	trouble.end(w)
	w.run(10*time.Second, nil)
	for range 5 {
		w.run(time.Second, nil)
		q := w.measure(samples)
		all.after.add(q)
		of(all.recovered, trouble.name).add(q)
	}
}

func of(by map[string]*quality, name string) *quality {
	if by[name] == nil {
		by[name] = &quality{}
	}
	return by[name]
}

func (r *result) tell(t *testing.T) {
	t.Logf("calm: recall %.3f (one counter of all: %.3f), error %.3f; after: recall %.3f, error %.3f",
		r.calm.recall(), r.possible.recall(), r.calm.meanError(), r.after.recall(), r.after.meanError())
	t.Logf("a relay sends %.0f B/s, of which %.0f to other regions, the busiest %.0f B/s; a swing is followed after %v at most",
		r.bytes/float64(r.runs), r.crossing/float64(r.runs), r.most, r.follow)
	t.Logf("in the first seconds of a new fashion: recall %.3f, error %.3f", r.turning.recall(), r.turning.meanError())
	for _, name := range sortedKeys(r.during) {
		t.Logf("%s: during: recall %.3f, error %.3f; after: recall %.3f, error %.3f", name, r.during[name].recall(),
			r.during[name].meanError(), r.recovered[name].recall(), r.recovered[name].meanError())
	}
}
