package stand

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"wallflow/internal/trial/load"
)

// What a partner does, in figures that the protocol's shortened times go by.
const (
	burstShare = 0.25 // seconds of a plain rate's limit that may come at once
	depthShare = 0.6  // seconds of its capacity that wait in its queue
	FallWindow = time.Second
	FallFactor = 2.0 // sent more than this multiple of what it can do for FallWindow, a cold partner falls over
)

// gate is one limit: a partner's, or an endpoint's where they are separate.
type gate struct {
	mu       sync.Mutex
	kind     *load.Kind
	full     float64 // calls a second when nothing is lowered
	limit    float64 // now
	rng      *rand.Rand
	tokens   float64 // plain rate
	filled   time.Time
	spanEnd  time.Time // count in each span
	counted  float64
	told     time.Time // when what answers tell was looked at last
	next     time.Duration
	left     float64
	servers  int // calls served at once when warm
	busy     int
	queue    int
	back     time.Time // when it came back from an outage; zero: warm
	recent   []time.Time
	fellOver bool
}

func newGate(k *load.Kind, limit, spare float64, work time.Duration, seed uint64) *gate {
	g := &gate{kind: k, full: limit, limit: limit, rng: rand.New(rand.NewPCG(seed, 0x67617465)), left: 1}
	g.servers = max(1, int(math.Ceil(limit*spare*work.Seconds())))
	return g
}

// burst is how many calls a plain rate lets through at once.
func (g *gate) burst() float64 { return math.Max(2, g.limit*burstShare) }

// admit books a call. Where it is refused, wait is what it is told to wait; 0: it is told nothing.
func (g *gate) admit(now time.Time) (ok bool, wait time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	share := 0.0
	if span := g.kind.Window.Duration; span > 0 {
		if now.After(g.spanEnd) {
			g.spanEnd, g.counted = now.Add(span), 0
		}
		most := math.Max(1, g.limit*span.Seconds())
		ok = g.counted+1 <= most
		if ok || g.kind.Counted {
			g.counted++
		}
		share = 1 - g.counted/most
		wait = g.spanEnd.Sub(now)
	} else {
		if g.filled.IsZero() {
			g.tokens = g.burst()
		} else {
			g.tokens = math.Min(g.burst(), g.tokens+now.Sub(g.filled).Seconds()*g.limit)
		}
		g.filled = now
		ok = g.tokens >= 1
		if ok || g.kind.Counted {
			g.tokens = math.Max(-g.burst(), g.tokens-1)
		}
		share = g.tokens / g.burst()
		wait = time.Duration((1-g.tokens)/g.limit*float64(time.Second)) + time.Millisecond // at its end there is room
	}
	if now.Sub(g.told) >= g.next {
		g.told, g.next, g.left = now, within(g.rng, g.kind.Report), math.Max(0, math.Min(1, share))
	}
	if ok || g.rng.Float64() >= g.kind.Tells.Of1 {
		return ok, 0
	}
	return false, max(wait, within(g.rng, g.kind.Wait))
}

// report is what an answer tells: the share of the limit that was left when it was looked at last, and the limit.
func (g *gate) report() (left, limit float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.left, g.limit
}

// warmth is the share of its capacity that it has now.
func (g *gate) warmth(now time.Time) float64 {
	if g.back.IsZero() {
		return 1
	}
	done := now.Sub(g.back).Seconds() / g.kind.ColdFor.Seconds()
	if g.kind.ColdFor.Duration == 0 || done >= 1 {
		g.back = time.Time{}
		return 1
	}
	return g.kind.ColdFrom.Of1 + (1-g.kind.ColdFrom.Of1)*done
}

// enter takes a place among the calls that are served, or waits in the queue until one is free or gone is closed; false
// if the queue is full. fell tells that the partner fell over just now.
func (g *gate) enter(now time.Time) (ok, wait, fell bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.fellOver {
		return false, false, false
	}
	warm := g.warmth(now)
	if warm < 1 {
		g.recent = append(g.recent, now)
		for len(g.recent) > 0 && now.Sub(g.recent[0]) > FallWindow {
			g.recent = g.recent[1:]
		}
		// A limit's own calls, all of them, are what it can do when warm.
		if most := FallFactor * warm * g.limit * FallWindow.Seconds(); now.Sub(g.back) > FallWindow && float64(len(g.recent)) > most+2 {
			g.fellOver = true
			return false, false, true
		}
	}
	servers := max(1, int(float64(g.servers)*warm))
	if g.busy < servers {
		g.busy++
		return true, false, false
	}
	if float64(g.queue) >= math.Max(2, depthShare*float64(g.servers)/0.075) { // 75 ms is a usual call's work
		return false, false, false
	}
	g.queue++
	return true, true, false
}

// promote moves a call from the queue to those that are served, if there is room.
func (g *gate) promote(now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.busy >= max(1, int(float64(g.servers)*g.warmth(now))) {
		return false
	}
	g.queue--
	g.busy++
	return true
}

// abandon takes a call out of the queue.
func (g *gate) abandon() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.queue--
}

func (g *gate) leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.busy--
}

// lower sets the limit to a share of the full one.
func (g *gate) lower(share float64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limit = g.full * share
}

// cold has it come back from an outage.
func (g *gate) cold(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.back, g.recent = now, nil
}

// within draws from a span.
func within(rng *rand.Rand, s load.Span) time.Duration {
	return s.Low.Duration + time.Duration(rng.Float64()*float64(s.High.Duration-s.Low.Duration))
}
