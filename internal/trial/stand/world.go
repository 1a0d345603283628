package stand

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"wallflow/internal/trial/history"
	"wallflow/internal/trial/load"
)

// Partner is one destination.
type Partner struct {
	Cell      int
	Kind      *load.Kind
	Share     float64 // of all messages
	Limit     float64 // calls a second, over all its gates
	Endpoints []*Endpoint
}

// World is what relays deliver to, and what is to be delivered.
type World struct {
	Load     *load.Load
	Partners []*Partner
	Arrivals []Arrival

	calls atomic.Int64
	byID  map[string]*Endpoint
}

// NewWorld draws a world from a seed and starts its endpoints. lasting is how long the load goes on.
// Record has to be called before any of them is.
func NewWorld(l *load.Load, seed uint64, lasting time.Duration, fell func(*Partner)) *World {
	w := &World{Load: l, byID: map[string]*Endpoint{}}
	rng := rand.New(rand.NewPCG(seed, 0x776f726c64))
	weights := zipf(l.Partners.Count, l.Partners.Skew)
	for cell := range l.Partners.Count {
		p := &Partner{Cell: cell, Kind: kindOf(l, cell)}
		w.Partners = append(w.Partners, p)
	}
	for _, p := range w.Partners {
		for i := range l.Classes {
			if c := &l.Classes[i]; goesTo(c, p.Kind) {
				whole := 0.0
				for _, q := range w.Partners {
					if goesTo(c, q.Kind) {
						whole += weights[q.Cell]
					}
				}
				p.Share += c.Share.Of1 * weights[p.Cell] / whole
			}
		}
	}
	for _, p := range w.Partners {
		w.start(p, rng, fell)
	}
	w.arrivals(rng, lasting)
	return w
}

// kindOf gives the first partners, which have the most traffic, to the first kind.
func kindOf(l *load.Load, cell int) *load.Kind {
	upTo := 0.0
	for i := range l.Kinds {
		upTo += l.Kinds[i].Share.Of1
		if float64(cell)+0.5 < upTo*float64(l.Partners.Count) {
			return &l.Kinds[i]
		}
	}
	return &l.Kinds[len(l.Kinds)-1]
}

func goesTo(c *load.Class, k *load.Kind) bool {
	return len(c.Kinds) == 0 || slices.Contains(c.Kinds, k.Name)
}

func zipf(n int, skew float64) []float64 {
	all, sum := make([]float64, n), 0.0
	for i := range all {
		all[i] = math.Pow(float64(i+1), -skew)
		sum += all[i]
	}
	for i := range all {
		all[i] /= sum
	}
	return all
}

func between(rng *rand.Rand, r load.Range) float64 { return r.Low + rng.Float64()*(r.High-r.Low) }

// start builds a partner's endpoints.
func (w *World) start(p *Partner, rng *rand.Rand, fell func(*Partner)) {
	k := p.Kind
	n := int(math.Round(between(rng, w.Load.Partners.Endpoints)))
	calls := w.Load.Traffic.Rate.PerSecond * p.Share / k.Together
	p.Limit = math.Max(k.Least.PerSecond, calls*between(rng, k.Headroom))
	spare, work := between(rng, k.Spare), within(rng, k.Work)
	var shared *gate
	first := rng.IntN(len(w.Load.Zones))
	for i := range n {
		e := &Endpoint{
			ID: fmt.Sprintf("s-%02d%c", p.Cell, 'a'+i), Zone: w.Load.Zones[(first+i)%len(w.Load.Zones)], Cell: p.Cell, Kind: k,
			work: work, number: func() int { return int(w.calls.Add(1)) }, fell: func() { fell(p) },
		}
		switch {
		case k.Separate:
			each := math.Max(k.Least.PerSecond, p.Limit/float64(n))
			e.gate, e.weight = newGate(k, each, spare, work, rng.Uint64()), each
		case shared == nil:
			shared = newGate(k, p.Limit, spare, work, rng.Uint64())
			e.gate, e.weight = shared, p.Limit
		default:
			e.gate, e.weight = shared, p.Limit
		}
		p.Endpoints = append(p.Endpoints, newEndpoint(e, rng.Uint64()))
		w.byID[e.ID] = e
	}
}

// Record has the endpoints put down what they see.
func (w *World) Record(rec *history.Recorder) {
	for _, e := range w.byID {
		e.rec = rec
	}
}

// Endpoint finds one by its id; nil if there is none.
func (w *World) Endpoint(id string) *Endpoint { return w.byID[id] }

// arrivals draws all that clients want delivered.
func (w *World) arrivals(rng *rand.Rand, lasting time.Duration) {
	l, t := w.Load, w.Load.Traffic
	relays := zipf(l.Relays, t.Skew)
	from := time.Duration(t.PeakAfter.Of1 * float64(lasting))
	to := from + time.Duration(t.PeakFor.Of1*float64(lasting))
	var at time.Duration
	for {
		rate := t.Rate.PerSecond
		if at >= from && at < to {
			rate *= t.Peak
		}
		n := 1
		dest := -1
		class := pickClass(rng, l)
		if rng.Float64() < t.Clumps.Of1/w.clumpSize() {
			p := w.pick(rng, class)
			n, dest = max(2, int(p.Limit*t.Clump.Seconds())), p.Cell
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= lasting {
			break
		}
		relay := pickIndex(rng, relays)
		when := at
		for range n {
			d := dest
			if d < 0 {
				d = w.pick(rng, class).Cell
			}
			w.Arrivals = append(w.Arrivals, Arrival{At: when, Relay: relay, Class: class, Customer: pickCustomer(rng, l), Dest: d, Body: int(between(rng, t.Body))})
			when += time.Duration(rng.Float64() * float64(10*time.Millisecond))
		}
	}
	slices.SortStableFunc(w.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	for i := range w.Arrivals {
		w.Arrivals[i].Number = i + 1
	}
}

// clumpSize is the usual one.
func (w *World) clumpSize() float64 {
	n := 0.0
	for _, p := range w.Partners {
		n += p.Share * math.Max(2, p.Limit*w.Load.Traffic.Clump.Seconds())
	}
	return n
}

func (w *World) pick(rng *rand.Rand, c *load.Class) *Partner {
	weights := zipf(len(w.Partners), w.Load.Partners.Skew)
	for i, p := range w.Partners {
		if !goesTo(c, p.Kind) {
			weights[i] = 0
		}
	}
	return w.Partners[pickIndex(rng, weights)]
}

func pickIndex(rng *rand.Rand, weights []float64) int {
	sum := 0.0
	for _, x := range weights {
		sum += x
	}
	x := rng.Float64() * sum
	last := 0
	for i, y := range weights {
		if y <= 0 {
			continue
		}
		if last = i; x < y {
			return i
		}
		x -= y
	}
	return last
}

func pickClass(rng *rand.Rand, l *load.Load) *load.Class {
	weights := make([]float64, len(l.Classes))
	for i, c := range l.Classes {
		weights[i] = c.Share.Of1
	}
	return &l.Classes[pickIndex(rng, weights)]
}

func pickCustomer(rng *rand.Rand, l *load.Load) string {
	weights := make([]float64, len(l.Customers))
	for i, c := range l.Customers {
		weights[i] = c.Share.Of1
	}
	return l.Customers[pickIndex(rng, weights)].Name
}

// Close ends all endpoints.
func (w *World) Close() {
	for _, p := range w.Partners {
		for _, e := range p.Endpoints {
			e.Close()
		}
	}
}
