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
	Cell      int // number of the destination
	Kind      *load.Kind
	Share     float64 // of all messages
	Limit     float64 // calls per second, over all its limiters
	Endpoints []*Endpoint
}

// Environment holds the partners that relays deliver to and the messages that clients want delivered.
type Environment struct {
	Load     *load.Load
	Partners []*Partner
	Arrivals []Arrival

	calls atomic.Int64
	byID  map[string]*Endpoint
}

// NewEnvironment draws partners and arrivals from a seed and starts the endpoints. loadDuration is the length of the
// load. SetRecorder must be called before any endpoint is called.
func NewEnvironment(l *load.Load, seed uint64, loadDuration time.Duration, onCollapse func(*Partner)) *Environment {
	env := &Environment{Load: l, byID: map[string]*Endpoint{}}
	rng := rand.New(rand.NewPCG(seed, 0x776f726c64))
	weights := zipf(l.Partners.Count, l.Partners.Skew)
	for cell := range l.Partners.Count {
		p := &Partner{Cell: cell, Kind: kindOf(l, cell)}
		env.Partners = append(env.Partners, p)
	}
	for _, p := range env.Partners {
		for i := range l.Classes {
			if c := &l.Classes[i]; kindServesClass(c, p.Kind) {
				totalWeight := 0.0
				for _, q := range env.Partners {
					if kindServesClass(c, q.Kind) {
						totalWeight += weights[q.Cell]
					}
				}
				p.Share += c.Share.Of1 * weights[p.Cell] / totalWeight
			}
		}
	}
	for _, p := range env.Partners {
		env.startEndpoints(p, rng, onCollapse)
	}
	env.drawArrivals(rng, loadDuration)
	return env
}

// kindOf returns the kind of a partner. The first partners have the most traffic and get the first kind.
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

func kindServesClass(c *load.Class, k *load.Kind) bool {
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

func drawRange(rng *rand.Rand, r load.Range) float64 { return r.Low + rng.Float64()*(r.High-r.Low) }

// startEndpoints creates and starts a partner's endpoints.
func (env *Environment) startEndpoints(p *Partner, rng *rand.Rand, onCollapse func(*Partner)) {
	k := p.Kind
	n := int(math.Round(drawRange(rng, env.Load.Partners.Endpoints)))
	calls := env.Load.Traffic.Rate.PerSecond * p.Share / k.Together
	p.Limit = math.Max(k.Least.PerSecond, calls*drawRange(rng, k.Headroom))
	spare, work := drawRange(rng, k.Spare), drawSpan(rng, k.Work)
	var shared *limiter
	first := rng.IntN(len(env.Load.Zones))
	for i := range n {
		e := &Endpoint{
			ID: fmt.Sprintf("s-%02d%c", p.Cell, 'a'+i), Zone: env.Load.Zones[(first+i)%len(env.Load.Zones)], Cell: p.Cell, Kind: k,
			work: work, nextCallNumber: func() int { return int(env.calls.Add(1)) }, onCollapse: func() { onCollapse(p) },
		}
		switch {
		case k.Separate:
			each := math.Max(k.Least.PerSecond, p.Limit/float64(n))
			e.limiter, e.weight = newLimiter(k, each, spare, work, rng.Uint64()), each
		case shared == nil:
			shared = newLimiter(k, p.Limit, spare, work, rng.Uint64())
			e.limiter, e.weight = shared, p.Limit
		default:
			e.limiter, e.weight = shared, p.Limit
		}
		p.Endpoints = append(p.Endpoints, newEndpoint(e, rng.Uint64()))
		env.byID[e.ID] = e
	}
}

// SetRecorder sets where the endpoints record what they see.
func (env *Environment) SetRecorder(recorder *history.Recorder) {
	for _, e := range env.byID {
		e.recorder = recorder
	}
}

// Endpoint returns the endpoint with an id; nil if there is none.
func (env *Environment) Endpoint(id string) *Endpoint { return env.byID[id] }

// drawArrivals draws all messages that clients want delivered.
func (env *Environment) drawArrivals(rng *rand.Rand, loadDuration time.Duration) {
	l, t := env.Load, env.Load.Traffic
	relays := zipf(l.Relays, t.Skew)
	from := time.Duration(t.PeakAfter.Of1 * float64(loadDuration))
	to := from + time.Duration(t.PeakFor.Of1*float64(loadDuration))
	var at time.Duration
	for {
		rate := t.Rate.PerSecond
		if at >= from && at < to {
			rate *= t.Peak
		}
		n := 1
		dest := -1
		class := pickClass(rng, l)
		if rng.Float64() < t.Clumps.Of1/env.meanClumpSize() {
			p := env.pickPartner(rng, class)
			n, dest = max(2, int(p.Limit*t.Clump.Seconds())), p.Cell
		}
		at += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
		if at >= loadDuration {
			break
		}
		relay := pickIndex(rng, relays)
		when := at
		for range n {
			d := dest
			if d < 0 {
				d = env.pickPartner(rng, class).Cell
			}
			env.Arrivals = append(env.Arrivals, Arrival{At: when, Relay: relay, Class: class, Customer: pickCustomer(rng, l), Dest: d,
				Body: int(drawRange(rng, t.Body))})
			when += time.Duration(rng.Float64() * float64(10*time.Millisecond))
		}
	}
	slices.SortStableFunc(env.Arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	for i := range env.Arrivals {
		env.Arrivals[i].Number = i + 1
	}
}

// meanClumpSize returns the mean number of messages in a clump.
func (env *Environment) meanClumpSize() float64 {
	n := 0.0
	for _, p := range env.Partners {
		n += p.Share * math.Max(2, p.Limit*env.Load.Traffic.Clump.Seconds())
	}
	return n
}

func (env *Environment) pickPartner(rng *rand.Rand, c *load.Class) *Partner {
	weights := zipf(len(env.Partners), env.Load.Partners.Skew)
	for i, p := range env.Partners {
		if !kindServesClass(c, p.Kind) {
			weights[i] = 0
		}
	}
	return env.Partners[pickIndex(rng, weights)]
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

// Close stops all endpoints.
func (env *Environment) Close() {
	for _, p := range env.Partners {
		for _, e := range p.Endpoints {
			e.Close()
		}
	}
}
