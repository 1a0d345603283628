package openings

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// defaultHalfLife is how long it takes until a request counts half.
	defaultHalfLife = 10 * time.Second
	// recentShare is the part of the half-life with which the recent counts halve.
	recentShare = 0.2
	// recentVariance is the variance of a recent rate, for a rate of one a second: of counts that decay.
	recentVariance = math.Ln2 / 2 / (recentShare * 10)
	// defaultCounters is how many openings a sketch counts.
	defaultCounters = 128
	// rescaleAfter is the number of half-lives after which the counts are scaled down, long before they overflow.
	rescaleAfter = 64
)

// Sketch counts openings in bounded memory (the space-saving algorithm), with counts that halve at a fixed pace. An opening that
// finds no free counter takes over the smallest one with its count, and that count becomes its error; so no error is more than
// the sum of all counts divided by the number of counters. It is not safe for use by several goroutines.
type Sketch struct {
	halfLife time.Duration
	started  time.Time
	landmark time.Time // counts are multiplied by the decay since then
	counters []counter
	index    map[Key]int
}

// counter is one opening's count. Both figures are as of the landmark.
type counter struct {
	key    Key
	tokens int
	count  float64
	recent float64
	error  float64
}

// NewSketch returns a sketch. Zero counters or half-life: the defaults.
func NewSketch(now time.Time, counters int, halfLife time.Duration) *Sketch {
	if counters <= 0 {
		counters = defaultCounters
	}
	if halfLife <= 0 {
		halfLife = defaultHalfLife
	}
	return &Sketch{
		halfLife: halfLife,
		started:  now,
		landmark: now,
		counters: make([]counter, 0, counters),
		index:    make(map[Key]int, counters),
	}
}

// Count counts one request for an opening.
func (s *Sketch) Count(now time.Time, key Key, tokens int) {
	s.rescale(now)
	halvings := s.halvings(now)
	at, known := s.index[key]
	if !known {
		at = s.counterFor(key)
	}
	s.counters[at].count += math.Exp2(halvings)
	s.counters[at].recent += math.Exp2(halvings / recentShare)
	s.counters[at].tokens = tokens
}

// counterFor gives an opening a free counter, or the smallest.
func (s *Sketch) counterFor(key Key) int {
	if len(s.counters) < cap(s.counters) {
		s.counters = append(s.counters, counter{key: key})
		s.index[key] = len(s.counters) - 1
		return len(s.counters) - 1
	}
	smallest := 0
	for at := range s.counters {
		if s.counters[at].count < s.counters[smallest].count {
			smallest = at
		}
	}
	delete(s.index, s.counters[smallest].key)
	count := s.counters[smallest].count
	s.counters[smallest] = counter{key: key, count: count, error: count}
	s.index[key] = smallest
	return smallest
}

// halvings is how many half-lives have passed since the landmark.
func (s *Sketch) halvings(now time.Time) float64 {
	return max(0, float64(now.Sub(s.landmark))/float64(s.halfLife))
}

// rescale moves the landmark before the weights get too large.
func (s *Sketch) rescale(now time.Time) {
	halvings := s.halvings(now)
	if halvings < rescaleAfter {
		return
	}
	factor := math.Exp2(-halvings)
	for at := range s.counters {
		s.counters[at].count *= factor
		s.counters[at].error *= factor
		s.counters[at].recent *= math.Exp2(-halvings / recentShare)
	}
	s.landmark = now
}

// Demand lists the openings with the highest rates, most at the most.
func (s *Sketch) Demand(now time.Time, most int) Demand {
	halvings := s.halvings(now)
	toRate := math.Exp2(-halvings) * s.perCount(now, 1)
	toRecent := math.Exp2(-halvings/recentShare) * s.perCount(now, recentShare)
	entries := make([]Entry, 0, len(s.counters))
	for _, counter := range s.counters {
		entry := Entry{
			Key:    counter.key,
			Tokens: counter.tokens,
			Rate:   (counter.count - counter.error/2) * toRate,
			Recent: counter.recent * toRecent,
			Error:  counter.error / 2 * toRate,
		}
		entries = append(entries, entry)
	}
	var demand Demand
	if len(s.counters) == cap(s.counters) {
		demand.Floor = s.smallest() * toRate
	}
	demand.Entries = entries
	demand.cut(most)
	return demand
}

// perCount turns a decayed count into a rate. A young sketch has not yet seen what an old one would hold.
func (s *Sketch) perCount(now time.Time, share float64) float64 {
	halfLife := share * s.halfLife.Seconds()
	age := now.Sub(s.started).Seconds() / halfLife
	seen := 1 - math.Exp2(-max(age, youngest))
	return math.Ln2 / halfLife / seen
}

// youngest is the age of a sketch in half-lives below which its counts are not scaled up further.
const youngest = 0.25

func (s *Sketch) smallest() float64 {
	smallest := math.Inf(1)
	for _, counter := range s.counters {
		smallest = min(smallest, counter.count)
	}
	return smallest
}

// cut keeps the largest entries and raises the floor to what the others may have.
func (d *Demand) cut(most int) {
	slices.SortFunc(d.Entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Estimate(), a.Estimate()), compareKeys(a.Key, b.Key))
	})
	if len(d.Entries) <= most {
		return
	}
	for _, entry := range d.Entries[most:] {
		d.Floor = max(d.Floor, entry.Estimate()+entry.Error)
	}
	d.Entries = slices.Clip(d.Entries[:most])
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Part, b.Part), cmp.Compare(a.Homes, b.Homes))
}
