package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"
)

// A simulated fleet of senders calls one route that fails or refuses calls in an outage and returns cold. The test
// counts the calls since the return from senders that know of a failure or a refusal in the outage, and compares each
// window with the recovery budget. The senders share nothing but the route.

// fleetCase is one scenario.
type fleetCase struct {
	senders       int
	limit         float64 // calls a second
	demand        float64 // messages, as a multiple of the limit
	failureRatio  float64 // fraction of the calls that fail in the outage
	listed        bool    // the limit is listed, so that senders know it
	limitReported bool    // the limit is reported with responses
	restartRatio  float64 // fraction of the senders that restart in the warm-up, two seconds after the return
	recovery      recoverySettings
}

// recoverySettings are what the settings say of returning destinations.
type recoverySettings struct {
	coldShare, overloadFactor  float64
	overloadWindow, warmWithin time.Duration
}

// The first two are the settings of two customers; the third allows a call or two.
var (
	recoveryA = recoverySettings{0.25, 1.5, 3 * time.Second, 14 * time.Second}
	recoveryB = recoverySettings{0.18, 2, 3 * time.Second, 12 * time.Second}
	recoveryC = recoverySettings{0.12, 1.1, time.Second, 10 * time.Second}
)

func (c fleetCase) String() string {
	return fmt.Sprintf("%d senders, limit %v, demand %v, failing %v, listed %v, reported %v, restarting %v, recovery %v",
		c.senders, c.limit, c.demand, c.failureRatio, c.listed, c.limitReported, c.restartRatio, c.recovery)
}

const (
	fleetTick        = 10 * time.Millisecond
	fleetOutageEnd   = time.Minute + 35*time.Second
	fleetOutageStart = time.Minute + 20*time.Second
	fleetEnd         = fleetOutageEnd + 8*time.Second
)

func fleetSettings(c fleetCase) Settings {
	return Settings{
		Classes: []Class{{Effect: Safe, Aim: 4 * time.Second, GiveUp: 28 * time.Second, Value: 1}},
		Kinds:   []Kind{{Separate: true, PerCall: 1}}, Senders: c.senders, Slots: 8, NoWeights: !c.listed,
		ColdShare: c.recovery.coldShare, WarmWithin: c.recovery.warmWithin,
		OverloadFactor: c.recovery.overloadFactor, OverloadWindow: c.recovery.overloadWindow,
	}
}

// fleetSimulation is the route, the senders' messages and the records of the check.
type fleetSimulation struct {
	c             fleetCase
	rng           *rand.Rand
	now           time.Duration
	fleet         []*Sender
	inbox         [][]Event
	pending       map[time.Duration][]fleetEvent
	tokens        float64        // calls that the limit still allows
	knowsFailure  []bool         // by sender: it received a failure or refusal in the outage
	recoveryCalls []fleetCall    // calls since the return
	attempts      map[uint32]int // attempts of each message
	delivered     int            // deliveries in the whole run
}

type fleetEvent struct {
	sender int
	event  Event
}

type fleetCall struct {
	at    time.Duration
	aware bool
}

func (sim *fleetSimulation) start(i int, seed uint64) error {
	s, err := New(fleetSettings(sim.c), seed)
	if err != nil {
		return err
	}
	sim.fleet[i] = s
	sim.inbox[i] = []Event{{Kind: ListWhole, List: []Listing{{Route: "a", Weight: sim.c.limit, InService: true}}}}
	return nil
}

// restart replaces a sender by a new process that knows what its journal holds.
func (sim *fleetSimulation) restart(i int) error {
	suspicions := sim.fleet[i].Suspicions()
	err := sim.start(i, sim.rng.Uint64())
	sim.inbox[i] = append([]Event{{Kind: SuspicionsRestored, Suspicions: suspicions}}, sim.inbox[i]...) // before any list
	return err
}

// call simulates one call to the route: its outcome follows two ticks later.
func (sim *fleetSimulation) call(i int, a Action) {
	failing := sim.now >= fleetOutageStart && sim.now < fleetOutageEnd
	if sim.now >= fleetOutageEnd {
		sim.recoveryCalls = append(sim.recoveryCalls, fleetCall{sim.now, sim.knowsFailure[i]})
	}
	e := Event{Kind: Finished, ID: a.ID, Attempt: sim.attempts[a.ID], Route: "a", Took: 2 * fleetTick}
	sim.attempts[a.ID]++
	switch {
	case sim.tokens < 1:
		e.Outcome = Full
	default:
		sim.tokens--
		if failing && sim.rng.Float64() < sim.c.failureRatio {
			e.Outcome = Error
		}
	}
	if sim.c.limitReported {
		e.Report = Report{Told: true, Limit: sim.c.limit}
	}
	if e.Ended = e.Outcome == OK; e.Ended {
		sim.delivered++
	} else if failing {
		sim.knowsFailure[i] = true
	}
	sim.schedule(i, 2*fleetTick, e)
}

func (sim *fleetSimulation) schedule(i int, after time.Duration, e Event) {
	at := (sim.now + after + fleetTick - 1) / fleetTick * fleetTick
	sim.pending[at] = append(sim.pending[at], fleetEvent{i, e})
}

// simulateFleet runs a scenario. Half of the senders carry most of the traffic, and a third restart in the outage.
func simulateFleet(t *testing.T, c fleetCase, seed uint64) *fleetSimulation {
	t.Helper()
	sim := &fleetSimulation{c: c, rng: rand.New(rand.NewPCG(seed, 3)), now: time.Minute, fleet: make([]*Sender, c.senders),
		inbox: make([][]Event, c.senders), pending: map[time.Duration][]fleetEvent{}, knowsFailure: make([]bool, c.senders),
		attempts: map[uint32]int{}}
	restarts := fleetOutageStart + 7*time.Second
	for i := range sim.fleet {
		if err := sim.start(i, sim.rng.Uint64()); err != nil {
			t.Fatal(err)
		}
	}
	id := uint32(0)
	for ; sim.now < fleetEnd; sim.now += fleetTick {
		sim.tokens = math.Min(1+0.5*c.limit, sim.tokens+c.limit*fleetTick.Seconds())
		if sim.now == restarts {
			for i := 0; i < c.senders; i += 3 {
				if err := sim.restart(i); err != nil {
					t.Fatal(err)
				}
			}
		}
		if sim.now == fleetOutageEnd+2*time.Second {
			for i := range sim.fleet {
				if sim.rng.Float64() < c.restartRatio {
					if err := sim.restart(i); err != nil {
						t.Fatal(err)
					}
				}
			}
		}
		for n := c.limit * c.demand * fleetTick.Seconds(); n > sim.rng.Float64(); n-- {
			i := sim.rng.IntN(c.senders)
			if sim.rng.IntN(2) == 0 {
				i = sim.rng.IntN((c.senders + 1) / 2)
			}
			id++
			sim.schedule(i, 0, Event{Kind: Accepted, ID: id, TimeLeft: 28 * time.Second})
		}
		for _, e := range sim.pending[sim.now] {
			sim.inbox[e.sender] = append(sim.inbox[e.sender], e.event)
		}
		delete(sim.pending, sim.now)
		for i, evs := range sim.inbox {
			if len(evs) == 0 {
				continue
			}
			sim.inbox[i] = nil
			for _, a := range sim.fleet[i].Step(sim.now, evs) {
				switch a.Kind {
				case Send:
					sim.call(i, a)
				case Wake:
					sim.schedule(i, max(a.Delay, fleetTick), Event{Kind: Woken})
				}
			}
		}
	}
	return sim
}

// overloaded reports whether a window since the return breaks the recovery rule: more calls than the budget N of its
// length plus 2*sqrt(N) + 2 for chance, and over two thirds of them from senders aware of a failure. It also returns
// the window with the highest ratio of calls from aware senders to the bound.
func (sim *fleetSimulation) overloaded() (exceeded bool, worst fleetWindow) {
	cfg := fleetSettings(sim.c)
	for i, last := range sim.recoveryCalls {
		share := min(1, cfg.ColdShare+(1-cfg.ColdShare)*float64(last.at-fleetOutageEnd)/float64(cfg.WarmWithin))
		budget := cfg.OverloadFactor * share * sim.c.limit * cfg.OverloadWindow.Seconds()
		all, aware := 0.0, 0.0
		for _, p := range sim.recoveryCalls[:i+1] {
			if p.at > last.at-cfg.OverloadWindow {
				all++
				if p.aware {
					aware++
				}
			}
		}
		bound := budget + 2*math.Sqrt(budget) + 2
		exceeded = exceeded || all > bound && aware > all*2/3
		if sim.c.restartRatio == 0 && sim.c.recovery == recoveryA { // here also the stricter bound without the 2 calls holds
			exceeded = exceeded || all > bound-2 && aware >= all*2/3
		}
		if aware/bound > worst.aware/math.Max(1, worst.bound) {
			worst = fleetWindow{last.at - fleetOutageEnd, all, aware, bound}
		}
	}
	return exceeded, worst
}

type fleetWindow struct {
	at                time.Duration
	all, aware, bound float64
}

func TestFleetKeepsRecoveryBudget(t *testing.T) {
	for _, senders := range []int{2, 3, 20, 30, 80, 300, 400, 700} {
		t.Run(fmt.Sprintf("%d senders", senders), func(t *testing.T) {
			t.Parallel()
			checkFleetOfSize(t, senders)
		})
	}
}

// checkFleetOfSize runs all scenarios with one number of senders.
func checkFleetOfSize(t *testing.T, senders int) {
	var highest fleetWindow // of all runs, relative to its bound
	for _, c := range []fleetCase{
		{senders, 30, 0.9, 1, true, false, 0, recoveryA},
		{senders, 30, 0.9, 1, false, true, 0, recoveryA},
		{senders, 30, 0.9, 1, false, false, 0, recoveryA},
		{senders, 30, 2, 1, true, false, 0, recoveryA},
		{senders, 30, 2, 1, false, true, 0, recoveryA},
		{senders, 30, 0.9, 0.8, false, true, 0, recoveryA},
		{senders, 30, 2, 0.8, false, true, 0, recoveryA},
		{senders, 3, 0.9, 1, false, true, 0, recoveryA},
		{senders, 3, 2, 0.8, true, false, 0, recoveryA},
		{senders, 3, 2, 1, false, false, 0, recoveryA},
		{senders, 30, 2, 1, true, false, 0.4, recoveryA},
		{senders, 30, 2, 1, false, true, 1, recoveryA},
		{senders, 30, 0.9, 1, true, false, 1, recoveryB},
		{senders, 30, 2, 1, true, true, 0.7, recoveryB},
		{senders, 3, 2, 1, true, false, 1, recoveryB},
		{senders, 30, 0.9, 1, true, false, 0, recoveryC},
		{senders, 30, 2, 1, true, true, 1, recoveryC},
		{senders, 3, 2, 1, true, false, 0.7, recoveryC},
		{senders, 3, 2, 1, false, false, 0, recoveryC},
	} {
		for seed := range uint64(3) {
			sim := simulateFleet(t, c, seed)
			broken, worst := sim.overloaded()
			if broken {
				t.Errorf("%v, seed %d: overloaded: %.0f calls, %.0f from aware senders, bound %.1f, %v after the return",
					c, seed, worst.all, worst.aware, worst.bound, worst.at)
			}
			if worst.aware > worst.bound {
				t.Errorf("%v, seed %d: aware senders alone exceed the bound: %.0f, bound %.1f, %v after the return",
					c, seed, worst.aware, worst.bound, worst.at)
			}
			if sim.delivered == 0 {
				t.Errorf("%v, seed %d: nothing delivered", c, seed)
			}
			if worst.aware/math.Max(1, worst.bound) > highest.aware/math.Max(1, highest.bound) {
				highest = worst
			}
		}
	}
	t.Logf("%d senders: at most %.0f calls from aware senders in a window, bound %.1f, %v after the return",
		senders, highest.aware, highest.bound, highest.at)
}
