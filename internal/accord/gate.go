package accord

import (
	"slices"
	"time"

	"wallflow/internal/invariant"
)

// Gate decides whether a relay accepts messages at a given time, and under which policy. All times are readings of the relay's
// own monotonic clock; clocks of two machines are never compared. Its methods are not safe for concurrent use.
type Gate struct {
	current    int64 // policy under which messages are accepted
	hasCurrent bool
	next       int64 // sealed policy that begins at beginAt
	hasNext    bool
	beginAt    time.Time
	promises   []promise // for changes whose outcome is unknown here, or whose policy has not begun
}

// promise is the relay's commitment to stop accepting messages under older policies.
type promise struct {
	number int64
	stop   time.Time // from this time on nothing is accepted under an older policy
}

// Follow makes the gate accept messages under a sealed policy from beginAt on. Until then it continues as before, within the limits
// of its promises. If it is called again for the same policy, the earlier time counts: each of them is late enough. An older
// policy than the current one is ignored.
func (g *Gate) Follow(number int64, beginAt time.Time) {
	switch {
	case g.hasCurrent && number <= g.current || g.hasNext && number < g.next:
	case g.hasNext && number == g.next:
		if beginAt.Before(g.beginAt) {
			g.beginAt = beginAt
		}
	default:
		g.next, g.hasNext, g.beginAt = number, true, beginAt
	}
}

// Promise makes the gate stop accepting messages at asked+hold, unless the outcome of the change is known by then. asked must be
// before anyone else can know of the promise. A repeated promise of the same change keeps the first deadline, and a promise of
// another change does not extend the deadline of an open one, because the policy between them may not have begun here. Promises
// also count before the first policy has begun here: a process that was admitted a moment ago is bound by them as well.
func (g *Gate) Promise(number int64, asked time.Time, hold time.Duration) {
	if g.hasCurrent && number <= g.current || slices.Contains(g.OpenPromises(), number) {
		return
	}
	g.promises = append(g.promises, promise{number, asked.Add(hold)})
}

// Dropped removes the promise of a change that was dropped.
func (g *Gate) Dropped(number int64) {
	g.promises = slices.DeleteFunc(g.promises, func(p promise) bool { return p.number == number })
}

// CurrentPolicy returns the current policy, even while nothing is accepted; false if none is known yet.
func (g *Gate) CurrentPolicy(now time.Time) (number int64, hasCurrent bool) {
	g.AcceptsUnder(now)
	return g.current, g.hasCurrent
}

// AcceptsUnder returns the policy under which a message is accepted now; false if none is accepted.
func (g *Gate) AcceptsUnder(now time.Time) (number int64, ok bool) {
	if g.hasNext && !now.Before(g.beginAt) {
		invariant.Holds(invariant.GateRises, !g.hasCurrent || g.next > g.current, g.current, g.next)
		g.current, g.hasCurrent, g.hasNext = g.next, true, false
		g.promises = slices.DeleteFunc(g.promises, func(p promise) bool { return p.number <= g.current })
	}
	for _, p := range g.promises {
		if !now.Before(p.stop) { // the outcome is unknown, or the new policy has not begun
			return g.current, false
		}
	}
	return g.current, g.hasCurrent
}

// BeginsAt returns when the next policy begins; zero if there is none.
func (g *Gate) BeginsAt() time.Time {
	if g.hasNext {
		return g.beginAt
	}
	return time.Time{}
}

// OpenPromises returns the changes that have an open promise.
func (g *Gate) OpenPromises() (all []int64) {
	for _, p := range g.promises {
		all = append(all, p.number)
	}
	return all
}
