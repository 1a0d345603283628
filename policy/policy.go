// Package policy makes the decisions of a sender: which route a message tries, and when the message is
// retried, delayed, refused or failed. Its interface is declared in api.go; this file holds the decisions.
// The mechanism is a tiered provider selector: a message tries the routes of its destination in a fixed
// order, the first failure rule that matches an outcome decides, and later messages skip a failing route
// until its skip expires. The file is ordered as follows: constants, failure rules, scopes and routes,
// messages, the checks mayAttempt and mayRefuse, route choice, queue and dispatch, deadlines.
package policy

import (
	"cmp"
	"container/heap"
	"math"
	"math/bits"
	"slices"
	"time"
)

const (
	firstSkip  = 2 * time.Second  // most outages last longer, and a trial after the skip costs only one call
	maxSkip    = 10 * time.Second // default of Settings.MaxSkip, and the length that the specification names
	skipGrowth = 1.5              // factor from one skip to the next while trials fail
	skipJitter = 0.2              // relative variation of a skip, so that senders do not return in step

	maxRateLimitWait = 2500 * time.Millisecond // a longer retry-after means an outage, not a rate limit
	outageRefusals   = 4                       // refusals with no other response between: an outage
	sparseRefusals   = 2                       // the same at which handleOutageHint suspects the route
	hintChance       = 0.6                     // probability that handleOutageHint acts on a single hint
	sparseSpread     = 3.5                     // a refused sparse sender waits up to so many call intervals
	minRefusalSpan   = 2 * time.Second         // shortest run of refusals that means an outage, not a limit

	skipStreak    = 3 // consecutive failures that skip a route
	suspectStreak = 2 // consecutive failures that make a route suspected
	suspectRecent = 3 // errors or failed connections among the last 8 outcomes that make a route suspected
	skipRecent    = 5 // the same that skip a route

	restartRate       = 1.0                    // pacing rate after a skip, in calls a second
	minPacingRate     = 0.03                   // no pacing rate falls below this, in calls a second
	minEvenShareRatio = 0.5                    // nor below this fraction of an even share of the limit
	rateGrowth        = 0.25                   // growth of the pacing rate with each success
	slowRateGrowth    = 0.03                   // the same near the rate that was refused last
	maxGrowthSeconds  = 8                      // longest time that one success counts for, in seconds
	nearRefusedRatio  = 0.85                   // a rate above this fraction of the refused rate is near it
	maxRateToUsed     = 3.0                    // above this multiple of the rate in use, no pacing rate grows
	burstDuration     = 300 * time.Millisecond // time whose calls may leave at once after an idle period

	awareSenderRatio  = 2.0 / 3 // an overload with fewer calls of senders aware of failures breaks no rule
	spareDeviations   = 1       // standard deviations of the sum of all calls that recoveryRate keeps free
	creditExpiryRatio = 0.1     // recovery credit for a whole call expires after this fraction of the window

	ownRatio        = 0.2              // weight of own deliveries in the fair share; the rest is even
	maxWeightError  = 1.5              // a rough weight exceeds the true limit by this factor at most
	deliveryRateTau = 10 * time.Second // time constant of the mean rate of own deliveries

	timeoutDevs     = 6                      // mean deviations over the mean time that a timeout allows
	overdueDevs     = 4                      // the same after which a response is overdue
	minExpectedTime = 800 * time.Millisecond // no response is overdue before this
	deadlineMargin  = 12 * time.Millisecond  // final answers and timeouts come this long before the deadline

	maxQueueRatio       = 1.5     // longest queue, as a multiple of the capacity that is left
	overShareQueueRatio = 1.0 / 3 // fraction of that for messages beyond their customer's share
	scopeSlotRatio      = 0.4     // fraction of the call slots that one scope may fill
	overShareDelayRatio = 0.5     // a message beyond its customer's share queues this part of its time later
	lateDelayRatio      = 0.5     // a message past its target queues this part of its remaining time later
	maxQueueScan        = 24      // messages of a destination that are examined for one that may be sent

	aliveTime     = 3 * time.Second        // a route that responded within this is alive
	minRetryAfter = 500 * time.Millisecond // shortest advice with a refusal
	minLimit      = 1.0                    // calls a second that any destination accepts
)

// sample is one outcome at a route, as the failure rules see it.
type sample struct {
	outcome    Outcome
	retryAfter time.Duration
	sentAt     time.Duration
	cutShort   bool // cut off before a response could be expected
	tableFull  bool // no connection, as if the destination's connection table were full
}

// failureRule is what the rule matches, whether it skips the route, and what else it does.
type failureRule struct {
	name   string
	match  func(s *Sender, r *route, o sample) bool
	skip   bool
	effect func(s *Sender, r *route, o sample)
}

// failureRules are evaluated in order; the first match decides.
var failureRules = []failureRule{
	// A long retry-after or a run of refusals means an outage: the destination returns cold.
	{"shut", func(s *Sender, r *route, o sample) bool {
		run := r.refusals >= outageRefusals && s.now-r.firstRefusedAt >= minRefusalSpan
		return o.outcome == Full && (o.retryAfter > maxRateLimitWait || run)
	}, true, nil},
	{"full", func(_ *Sender, _ *route, o sample) bool { return o.outcome == Full }, false, (*Sender).backOff},
	{"trial failed", func(_ *Sender, r *route, _ sample) bool { return r.skipped }, true, nil},
	// A full connection table fails at once: pause briefly, close idle connections, and retry.
	{"crowded", func(_ *Sender, _ *route, o sample) bool { return o.tableFull }, false, (*Sender).pauseRoute},
	{"in a row", func(_ *Sender, r *route, _ sample) bool { return r.failures >= skipStreak }, true, nil},
	// Some outages fail only most calls: deliveries between the failures do not end them.
	{"mostly failing", func(_ *Sender, r *route, _ sample) bool {
		return bits.OnesCount8(r.outcomeBits) >= skipRecent
	}, true, nil},
	{"failed", func(*Sender, *route, sample) bool { return true }, false, nil},
}

// Step handles the events observed at now and returns the actions to perform, in order.
func (s *Sender) Step(now time.Duration, events []Event) []Action {
	s.now, s.actions = now, s.actions[:0]
	// A wake may come a little early if the caller's clock is coarser: within 1 ms it counts as delivered.
	if s.scheduledWake <= now+time.Millisecond {
		s.scheduledWake = 0
	}
	for i := range events {
		s.handleEvent(&events[i])
	}
	s.removeIdleKeys()
	s.handleTimers()
	if s.updateListener(); s.lifecycle.state.Send {
		s.dispatch()
	}
	if n := len(s.timers); n > 0 {
		s.requestWake(s.timers[0].at)
	}
	if s.nextWake > 0 && (s.scheduledWake == 0 || s.nextWake < s.scheduledWake) {
		s.scheduledWake = max(s.nextWake, now+time.Millisecond)
		s.emit(Action{Kind: Wake, Delay: s.scheduledWake - now})
	}
	s.nextWake = 0
	return s.actions
}

func (s *Sender) handleEvent(e *Event) {
	switch e.Kind {
	case Accepted:
		s.accept(e)
	case Finished:
		s.handleOutcome(e)
	case Probed:
		if r := s.routes[e.Route]; r != nil {
			s.recordReport(r, e.Report)
			r.scope.waitUntil = max(r.scope.waitUntil, s.now+e.RetryAfter)
			s.observe(r, sample{outcome: e.Outcome, retryAfter: e.RetryAfter, sentAt: s.now - e.Took}, e.Took)
			s.recheck(r.scope.dest)
		}
	case Withdrawn:
		if m := s.msgs[e.ID]; m != nil {
			s.endMessage(m)
		}
	case ListWhole, ListChanges:
		s.updateRoutes(e.List, e.Kind == ListWhole)
	case ListFailed:
		if s.cfg.AskList {
			s.emit(Action{Kind: Watch})
		}
	case Configured:
		s.configure(*e.Settings)
	case SuspicionsRestored:
		s.restoreSuspicions(e.Suspicions)
	case Standby:
		s.startStages(drainStages)
	case Active:
		s.startStages(nil)
	case Ending:
		s.startStages(endStages)
	case HandedOver:
		s.startStages(handedOverStages)
	}
}

// Routes and scopes.

// sortRoutes sorts routes by configured order, listed weight, lower fee and a random tie-break. The tie-break
// prevents hundreds of senders from all loading the first of several equal routes.
func (s *Sender) sortRoutes(d *dest) {
	less := func(a, b *route) int {
		switch {
		case s.configuredRank(a) != s.configuredRank(b):
			return cmp.Compare(s.configuredRank(a), s.configuredRank(b))
		case a.Weight != b.Weight && !s.cfg.NoWeights:
			return cmp.Compare(b.Weight, a.Weight)
		case s.fee(a) != s.fee(b):
			return cmp.Compare(s.fee(a), s.fee(b))
		case a.tieBreak != b.tieBreak && s.cfg.Senders > smallFleet:
			return cmp.Compare(a.tieBreak, b.tieBreak)
		}
		return cmp.Compare(a.Route, b.Route)
	}
	for _, sc := range d.scopes {
		slices.SortFunc(sc.routes, less)
	}
	if len(d.scopes) > 1 {
		slices.SortFunc(d.scopes, func(a, b *scope) int { return less(a.routes[0], b.routes[0]) })
	}
}

// fee is the cost of a message by its route's zone.
func (s *Sender) fee(r *route) float64 {
	if r.scope.separate && r.Zone >= 0 && r.Zone < len(s.cfg.ZoneFees) {
		return s.cfg.ZoneFees[r.Zone]
	}
	return 0
}

// limit is a low estimate of the calls a second that a scope accepts from all senders; 0 if unknown. A scope
// that has not reported its limit yet is assumed to have the lowest limit reported for its kind.
func (s *Sender) limit(sc *scope) float64 {
	if l := cmp.Or(sc.reportedLimit, s.minLimits[sc.kind]); l > 0 || s.cfg.NoWeights || len(sc.routes) == 0 {
		return l
	}
	if s.cfg.RoughWeights {
		return sc.routes[0].Weight / maxWeightError
	}
	return sc.routes[0].Weight
}

// fairShare is this sender's share of the calls a second that a scope accepts: a fixed mix of an even share
// and own deliveries, since traffic is uneven. Over all senders the mix adds up to the limit.
func (s *Sender) fairShare(sc *scope) float64 {
	return (1-ownRatio)*math.Max(minLimit, s.limit(sc))/float64(s.cfg.Senders) + ownRatio*s.deliveryRate(sc)
}

// recoveryRate is how many calls a second this sender may make to a suspected route that accepts limit calls
// a second when warm. The destination fails at OverloadFactor*share*limit*OverloadWindow calls in a window,
// with the share at the window's end. Senders that know of a failure break no rule below 2/3 of that: bound.
// They call independently: a sum of n calls deviates by sqrt(n), in a small fleet by half a call per sender.
// n + spareDeviations*deviation = bound gives n, divided by fair shares that add up to the limit. Unused
// credit expires, so that a window holds little more than its own calls after any outage. The share grows
// with the time since the first delivery, but only as far as deliveries in a row support it: an outage fails
// most calls, and k deliveries in a row have a probability of 2^-k in one.
func (s *Sender) recoveryRate(r *route) float64 {
	share, warming := s.cfg.ColdShare, 1-s.cfg.ColdShare
	window, warm := s.cfg.OverloadWindow.Seconds(), s.cfg.WarmWithin.Seconds()
	if r.recoveredAt > 0 {
		share += warming * min((s.now-r.recoveredAt).Seconds()/warm, 1-math.Pow(0.5, float64(r.successes)))
	}
	limit := max(minLimit, s.limit(r.scope), s.deliveryRate(r.scope))
	bound := awareSenderRatio * s.cfg.OverloadFactor * min(1, share+warming*window/warm) * limit * window
	root := (math.Sqrt(spareDeviations*spareDeviations+4*bound) - spareDeviations) / 2
	n := max(root*root, bound-spareDeviations*math.Sqrt(float64(s.cfg.Senders))/2)
	return n / (window * (1 + creditExpiryRatio)) * s.fairShare(r.scope) / limit
}

// recoveryAt is when a route that may be suspected accepts its next call. Prevents overloading a returning
// destination: all sends to suspected routes of a scope draw on one budget, also in an outage, whose end is
// not announced. The first call's time is random, so that the sum over all senders is right.
func (s *Sender) recoveryAt(r *route) time.Duration {
	sc := r.scope
	r.suspected = r.suspected && (r.recoveredAt == 0 || s.now < r.recoveredAt+s.cfg.WarmWithin)
	if r.deliveredAt == 0 && (sc.failures >= suspectStreak || sc.hasSuspected() ||
		s.now < sc.suspectLeftAt+s.cfg.WarmWithin) {
		s.suspect(r) // has not responded yet: treated like its siblings, or the routes that it replaced
	}
	if !r.suspected {
		return 0
	}
	rate := s.recoveryRate(r)
	// A retry-after accrues no credit: all senders that received it would call at its end.
	sc.creditAt = max(sc.creditAt, sc.waitUntil)
	if s.now > sc.creditAt {
		sc.credit += rate * (s.now - sc.creditAt).Seconds()
		sc.credit -= math.Max(0, math.Floor(sc.credit-rate*creditExpiryRatio*s.cfg.OverloadWindow.Seconds()))
		sc.creditAt = s.now
	}
	if sc.credit >= 1 {
		return 0
	}
	return sc.creditAt + max(time.Millisecond, interval(rate/(1-sc.credit)))
}

// availableAt is when a route accepts a call, at deadline whatever its rate; never if it needs an outcome.
func (s *Sender) availableAt(r *route, deadline time.Duration) time.Duration {
	sc := r.scope
	if !r.InService || r.Gone {
		return never
	}
	if r.skipped && len(r.calls) > 0 || s.slotsExhausted(r) {
		return never
	}
	at := max(sc.waitUntil, r.skipUntil, s.recoveryAt(r))
	if sc.pacingRate > 0 {
		s.refillTokens(sc, burstDuration)
		if sc.tokens < 1 {
			at = max(at, min(deadline, sc.tokensAt+interval(sc.pacingRate/(1-sc.tokens))))
		}
	}
	return at
}

// slotsExhausted reports whether a route or its scope holds too many slots. Prevents silent or slow routes
// from filling the slots before any timeout: with overdue calls, only a few may be in flight.
func (s *Sender) slotsExhausted(r *route) bool {
	scopeFull := r.scope.inFlight >= max(2, int(scopeSlotRatio*float64(s.cfg.Slots)))
	return s.cfg.Slots > 0 && (scopeFull || s.overdue(r, min(skipStreak, max(1, s.cfg.Slots/4))))
}

// overdue reports whether n calls of a route are overdue and no call sent later has had a response.
func (s *Sender) overdue(r *route, n int) bool {
	return len(r.calls) >= n && s.now > r.calls[n-1].overdueAt && r.answeredSentAt < r.calls[n-1].sentAt
}

// backOff sets the pacing rate to half the last second's rate, once for all calls in flight together.
func (s *Sender) backOff(r *route, o sample) {
	sc := r.scope
	if o.sentAt < sc.halvedAt {
		return
	}
	rate := s.lastSecondRate(sc)
	if sc.pacingRate > 0 {
		rate = math.Min(rate, sc.pacingRate)
	}
	// Counts of a few calls a second are inaccurate: halving must not starve a scope whose limit is known.
	lowest := math.Max(minPacingRate, minEvenShareRatio*s.limit(sc)/float64(s.cfg.Senders))
	sc.refusedRate, sc.pacingRate = math.Max(rate, lowest), math.Max(rate/2, lowest)
	sc.tokens, sc.tokensAt, sc.halvedAt = 0, s.now, s.now
	// A refused burst is retried over several times its own length.
	if s.sparse(sc) {
		sc.tokens = 0.5 - s.refusalSpread()*s.rng.Float64()
	}
}

// growRate raises the pacing rate with a success, slowly near the rate that was refused last.
func (s *Sender) growRate(sc *scope) {
	if sc.pacingRate == 0 {
		return
	}
	s.refillTokens(sc, burstDuration)
	if sc.pacingRate > maxRateToUsed*math.Max(1, s.lastSecondRate(sc)) || s.limitNearlyUsed(sc) {
		return
	}
	growth := 1 + rateGrowth
	if sc.refusedRate > 0 && sc.pacingRate > nearRefusedRatio*sc.refusedRate || s.aboveFairShare(sc) {
		growth = 1 + slowRateGrowth
	}
	// Where successes are seconds apart, each counts for the time since the one before.
	steps := min(max(1, (s.now-max(sc.grownAt, sc.halvedAt)).Seconds()), maxGrowthSeconds)
	sc.pacingRate, sc.grownAt = s.capGrowth(sc, sc.pacingRate*math.Pow(growth, steps)), s.now
}

// observe updates a route with an outcome observed there and applies the failure rules.
func (s *Sender) observe(r *route, o sample, took time.Duration) {
	if s.closesIdle(r) {
		s.emit(Action{Kind: CloseIdle, Route: r.Route})
	}
	switch o.outcome {
	case OK:
		s.recordDelivery(r, o.sentAt, took)
		return
	case Moot, Cancelled:
		return
	case Full:
		if r.refusals == 0 {
			r.firstRefusedAt = s.now
		}
		r.refusals++
		s.handleOutageHint(r)
	default:
		if o.outcome == Timeout || o.outcome == Reset {
			// Calls may be lost with the connection that carries them: the next call opens a new one.
			s.emit(Action{Kind: CloseIdle, Route: r.Route})
			// A later call had a response, or the route is alive: this call is no evidence about its state.
			if r.answeredSentAt >= o.sentAt || o.outcome == Reset && s.alive(r) {
				return
			}
		}
		if o.outcome == Timeout {
			s.recordResponseTime(r, took+took/2)
		}
		o.tableFull = s.looksTableFull(r, o)
		if o.outcome == ConnectFailed && s.now-o.sentAt < minExpectedTime {
			s.scarceUntil[r.Kind] = s.now + scarceDuration
		}
		if o.tableFull {
			r.scope.tableFullRun++
			s.handleOutageHint(r)
			break
		}
		r.failures, r.refusals = r.failures+1, 0
		// An outage responds to no call or fails most at once: timeouts between responses are lost calls.
		if o.outcome == Error || o.outcome == ConnectFailed {
			r.outcomeBits = r.outcomeBits<<1 | 1
		}
		if r.failures >= suspectStreak || bits.OnesCount8(r.outcomeBits) >= suspectRecent {
			s.suspect(r)
		} else {
			s.suspectWeakly(r)
		}
		// Consecutive failures over all routes of a scope indicate an outage of all of them.
		if r.scope.failures++; r.scope.failures >= skipStreak {
			for _, x := range r.scope.routes {
				s.suspect(x)
			}
		}
	}
	// A call cut short by its deadline may make its route suspected but does not skip it.
	if o.cutShort {
		return
	}
	for _, f := range failureRules {
		if f.match(s, r, o) {
			if f.effect != nil {
				f.effect(s, r, o)
			}
			if f.skip {
				s.skipRoute(r, o.sentAt)
			}
			return
		}
	}
}

// sparse reports whether this sender's fair share of a scope is less than one call per overload window.
func (s *Sender) sparse(sc *scope) bool { return s.fairShare(sc)*s.cfg.OverloadWindow.Seconds() < 1 }

// suspectWeakly makes a route suspected until its next delivery, if this sender is sparse there. Prevents
// hundreds of senders, each with one failure, from overloading it together.
func (s *Sender) suspectWeakly(r *route) {
	if !r.suspected && s.sparse(r.scope) {
		s.suspect(r)
		r.weak = true
	}
}

// handleOutageHint takes two refusals some time apart for a sign of an outage. Where the fair share is under
// a call per warm-up, so is one refusal or one connection failed as at a full table, by chance. Prevents many
// senders, refused once each, from calling again together. Most refusals come from limits, so some must go
// on: they make under 2/3 of all calls while refused senders call less than five times as often as others.
func (s *Sender) handleOutageHint(r *route) {
	repeated := r.refusals >= sparseRefusals && s.now-r.firstRefusedAt >= minRefusalSpan
	infrequent := !s.alive(r) && s.fairShare(r.scope)*s.cfg.WarmWithin.Seconds() < 1
	if repeated && s.cfg.Senders > smallFleet && !s.sparse(r.scope) {
		s.suspect(r)
	} else if repeated || infrequent && s.rng.Float64() < hintChance {
		s.suspectWeakly(r)
	}
}

// alive reports whether a route responded recently.
func (s *Sender) alive(r *route) bool { return r.deliveredAt > 0 && s.now-r.deliveredAt < aliveTime }

// suspect puts a route under the recovery budget of its scope.
func (s *Sender) suspect(r *route) {
	if sc := r.scope; !sc.hasSuspected() {
		sc.credit, sc.creditAt = s.rng.Float64(), s.now
		sc.avgDeliveryRate, sc.avgDeliveryAt = s.deliveryRate(sc), s.now
	}
	r.suspected, r.weak, r.recoveredAt, r.successes = true, false, 0, 0
}

// skipRoute starts or extends a route's skip. Failures of calls sent before the skip began add nothing.
func (s *Sender) skipRoute(r *route, sentAt time.Duration) {
	s.suspect(r)
	if r.skipped && sentAt < r.skipUntil-r.skipLen {
		return
	}
	next := s.cfg.FirstSkip
	if r.skipped && r.skipLen > 0 {
		next = min(s.cfg.MaxSkip, time.Duration(float64(r.skipLen)*skipGrowth))
	}
	r.skipLen = time.Duration(float64(next) * (1 + skipJitter*(2*s.rng.Float64()-1)))
	r.skipped, r.skipUntil = true, s.now+r.skipLen
}

func (s *Sender) recordDelivery(r *route, sentAt, took time.Duration) {
	sc := r.scope
	r.deliveredAt, r.answeredSentAt, r.failures, r.refusals = s.now, max(r.answeredSentAt, sentAt), 0, 0
	r.outcomeBits, sc.failures, sc.tableFullRun = r.outcomeBits<<1, 0, 0
	s.recordResponseTime(r, took)
	r.responseMean += (took - r.responseMean) / time.Duration(min(8, r.successes+1))
	if r.skipped {
		r.skipped, r.skipUntil, r.skipLen = false, 0, 0
		sc.pacingRate, sc.tokens, sc.tokensAt = restartRate, 0, s.now
	}
	s.countDelivery(sc)
	if r.successes++; r.suspected && r.recoveredAt == 0 {
		r.recoveredAt, r.suspected = s.now, !r.weak
	}
	s.growRate(sc)
}

// Messages.

func (s *Sender) accept(e *Event) {
	overShare := s.chargeShare(e.Customer)
	if e.Resumed == nil && (s.unlisted(e.Destination) || s.queueFull(s.dests[e.Destination], overShare)) {
		s.emit(Action{Kind: Refuse, ID: e.ID, Delay: min(minRetryAfter, s.cfg.MaxRetryAfter)})
		return
	}
	c := e.Terms
	if c == nil && e.Class >= 0 && e.Class < len(s.cfg.Classes) {
		c = &s.cfg.Classes[e.Class]
	} else if c == nil { // unknown class: the strictest terms
		c = &Class{Effect: Unsafe, Ordered: true, Aim: e.TimeLeft / 2, GiveUp: e.TimeLeft, Value: 1}
		c.Attempts = s.cfg.MaxAttempts
	}
	m := &message{id: e.ID, class: c, dest: s.destination(e.Destination), unpacedAt: never}
	m.deadline = s.now + e.TimeLeft - deadlineMargin
	m.targetAt = s.now + c.Aim - max(0, c.GiveUp-e.TimeLeft)
	m.rank = s.now + time.Duration(float64(m.targetAt-s.now)/math.Max(c.Value, 0.01))
	if overShare {
		m.rank += time.Duration(overShareDelayRatio * float64(e.TimeLeft))
	}
	s.msgs[m.id] = m
	s.held++
	m.dest.held++
	if c.Ordered && e.Key != "" {
		s.joinKeyQueue(m, e.Key)
	}
	s.restoreMessageState(m, e.Resumed)
	heap.Push(&s.timers, timer{m.deadline, m})
	heap.Push(&s.timers, timer{m.targetAt, m})
	s.enqueue(m)
}

// unlisted reports whether no list names a destination: its messages would be held to their deadlines for
// nothing. If the list is merely late, the client may retry.
func (s *Sender) unlisted(id int) bool { return len(s.routes) > 0 && s.dests[id] == nil }

// chargeShare counts a message against its customer's share and reports whether it exceeds the share.
func (s *Sender) chargeShare(customer int) bool {
	if customer < 0 || customer >= len(s.shares) || s.cfg.Customers[customer].Quota <= 0 {
		return false
	}
	b, rate := &s.shares[customer], s.cfg.Customers[customer].Quota/float64(s.cfg.Senders)
	b.level, b.at = math.Max(0, b.level-rate*(s.now-b.at).Seconds())+1, s.now
	if b.level > 1+2*rate {
		b.level--
		return true
	}
	return false
}

// queueFull reports whether a new message would join a queue longer than 1.5 times the capacity that is left,
// or a third of that beyond its customer's share. So one queue holds 3/5 of the capacity at most. Accepted
// messages are never evicted, since their clients no longer try other relays.
func (s *Sender) queueFull(d *dest, overShare bool) bool {
	available := float64(s.cfg.MaxHeld - s.held)
	if overShare {
		available *= overShareQueueRatio
	}
	return d != nil && s.cfg.MaxHeld > 0 && float64(len(d.queue)) >= math.Max(1, maxQueueRatio*available)
}

func (s *Sender) handleOutcome(e *Event) {
	m := s.msgs[e.ID]
	r, c := s.routes[e.Route], s.removeAttempt(m, e.Attempt)
	if c != nil {
		r = c.route
	}
	// A retry-after blocks every message for the scope until it ends, whichever message received it.
	if r != nil && e.RetryAfter > 0 {
		r.scope.waitUntil = max(r.scope.waitUntil, s.now+e.RetryAfter)
	}
	if c == nil {
		return
	}
	s.recordReport(r, e.Report)
	c.pending--
	c.delivered = c.delivered || e.Outcome == OK
	if c.pending == 0 {
		s.removeInFlight(c)
		o := e.Outcome
		if c.delivered {
			o = OK
		}
		short := (o == Timeout || o == ConnectFailed) && c.timeoutAt < c.sentAt+minExpectedTime
		s.observe(r, sample{outcome: o, retryAfter: e.RetryAfter, sentAt: c.sentAt, cutShort: short}, e.Took)
		s.adjustCallCapacity(r, o)
	}
	s.recheck(m.dest)
	s.recordAttempt(m, e, c)
	switch {
	case e.Ended:
		s.endMessage(m)
	case m.ended:
		s.removeEnded(m)
	case s.exhausted(m):
		s.giveUp(m)
	default:
		s.enqueue(m)
	}
}

// recordAttempt records for a message what its finished attempt may have done.
func (s *Sender) recordAttempt(m *message, e *Event, c *call) {
	switch e.Outcome {
	case ConnectFailed:
		m.avoid = c.route
		return
	case Full, Moot:
		return
	case Timeout, Reset, Cancelled:
		m.timeouts++
		if m.keyQueue != nil {
			m.keyQueue.pausedUntil = max(m.keyQueue.pausedUntil, s.now+s.cfg.OrderPause)
		}
	}
	m.avoid = c.route
	if !m.mayHaveRun || c.sentAt < m.runSentAt {
		s.markMayHaveRun(m, c.sentAt, c.route.Zone)
	}
}

// mayRefuse reports whether a refusal keeps the rule of effects: the client may send the message again.
func (s *Sender) mayRefuse(m *message) bool {
	repeatable := m.class.Effect == Safe || m.class.Effect == Keyed && m.class.GroupAll
	return !m.ended && (repeatable || !m.mayHaveRun && len(m.inFlight) == 0)
}

// mayAttempt checks all sends: it returns when sending m to r keeps the rules; never if it cannot for now.
func (s *Sender) mayAttempt(m *message, r *route) time.Duration {
	// Rule 1: no send after the message has ended, past its deadline or beyond its attempts.
	if m.ended || s.now >= m.deadline || m.class.Attempts > 0 && m.sends >= m.class.Attempts {
		return never
	}
	// Rule 2: one attempt at a time; repeats only where the destination drops duplicates.
	if len(m.inFlight) > 0 {
		return never
	}
	if m.mayHaveRun {
		switch m.class.Effect {
		case Unsafe:
			return never
		case Keyed:
			if !m.class.GroupAll && r.Zone != m.runZone || s.now >= m.dedupEnd() {
				return never
			}
		}
	}
	// Rule 3: routes in service only.
	if !r.InService || r.Gone || r.Destination != m.dest.id {
		return never
	}
	// Rule 6: the order and the pause of the message's key.
	at := time.Duration(0)
	if q := m.keyQueue; q != nil {
		if q.messages[0] != m {
			return never
		}
		if m.sends == 0 {
			at = q.pausedUntil
		}
	}
	// Rule 4: the recovery budget. Rule 5: retry-after.
	return max(at, r.scope.waitUntil, s.recoveryAt(r))
}

// Route choice.

// chooseRoute returns the first route in order that accepts the message now; else nil and when one may.
func (s *Sender) chooseRoute(m *message) (*route, time.Duration) {
	fallback, soonest := (*route)(nil), time.Duration(never)
	for _, sc := range m.dest.scopes {
		var best *route
		for _, r := range sc.routes {
			at := s.mayAttempt(m, r)
			if m.deadline-s.now < r.mean {
				continue // no time left for a response
			}
			// An unsafe message is lost with its attempt: other classes try a skipped route first.
			if r.skipped && m.class.Effect == Unsafe {
				at = max(at, m.deadline-(m.deadline-m.targetAt)/2)
			}
			if at < never {
				at = max(at, s.availableAt(r, m.unpacedAt), s.batchWaitUntil(m, r))
			}
			if at > s.now {
				soonest = min(soonest, at)
				continue
			}
			if r == m.avoid || s.overdue(r, 1) {
				fallback = r
				continue
			}
			// Routes of one scope are one tier: choose the first that has the fewest calls in flight.
			if best == nil || len(r.calls) < len(best.calls) {
				best = r
			}
		}
		if best != nil {
			return best, s.now
		}
	}
	return fallback, soonest
}

// nextMessage finds the destination's next message that may be sent, or the time when one may.
func (s *Sender) nextMessage(d *dest) {
	d.candidate, d.candidateRoute, d.blockedUntil = nil, nil, never
	unpaced := slices.ContainsFunc(d.queue, func(m *message) bool { return m.unpacedAt < never })
	for _, sc := range d.scopes {
		for _, r := range sc.routes {
			d.blockedUntil = min(d.blockedUntil, s.availableAt(r, never))
		}
	}
	if !unpaced && d.blockedUntil > s.now {
		return
	}
	d.blockedUntil = never
	for i := 0; i < len(d.queue) && (i < maxQueueScan || unpaced); i++ {
		r, at := s.chooseRoute(d.queue[i])
		if r != nil {
			d.candidate, d.candidateRoute, d.blockedUntil = d.queue[i], r, 0
			return
		}
		d.blockedUntil = min(d.blockedUntil, at)
	}
}

// Queue and dispatch.

// before reports whether message a is sent before b.
func before(a, b *message) bool {
	return a.rank < b.rank || a.rank == b.rank && a.id < b.id
}

// dispatch sends the messages that may be sent, in order, while slots last. It passes over destinations that
// were found blocked and are not marked for a recheck.
func (s *Sender) dispatch() {
	ready := s.ready[:0]
	for _, d := range s.active {
		if d.blockedUntil <= s.now {
			ready = append(ready, d)
			d.candidate, d.blockedUntil = nil, 0
		}
	}
	s.ready = ready
	for s.cfg.Slots <= 0 || s.usedSlots < s.cfg.Slots {
		var best *dest
		for _, d := range ready {
			if d.candidate == nil && d.blockedUntil <= s.now && len(d.queue) > 0 {
				s.nextMessage(d)
			}
			if d.candidate != nil && (best == nil || before(d.candidate, best.candidate)) {
				best = d
			}
		}
		if best == nil {
			break
		}
		s.startCall(best)
		best.candidate = nil
	}
	for _, d := range ready {
		s.refuseUnsendable(d)
	}
	for _, d := range s.active {
		if d.blockedUntil > s.now {
			s.requestWake(d.blockedUntil)
		}
	}
}

// refuseUnsendable refuses the messages of a destination that is blocked beyond their deadlines. The client
// may retry elsewhere, at a sender that knows of fewer failures.
func (s *Sender) refuseUnsendable(d *dest) {
	for i := len(d.queue) - 1; i >= 0; i-- {
		if m := d.queue[i]; m.unpacedAt == never && d.blockedUntil < never && d.blockedUntil >= m.deadline &&
			s.mayRefuse(m) {
			s.refuse(m)
		}
	}
}

// startCall starts a call with the destination's next message and, if its kind allows, others for the route:
// it counts once against a limit. They share one outcome, so after a failure a call carries one message.
func (s *Sender) startCall(d *dest) {
	r := d.candidateRoute
	c := &call{route: r, sentAt: s.now, overdueAt: s.now + s.expectedTime(r, overdueDevs)}
	capacity := 1
	if r.Kind >= 0 && r.Kind < len(s.cfg.Kinds) && r.failures == 0 && !r.skipped {
		capacity = s.callCapacity(r)
	}
	s.addToCall(d.candidate, c)
	if c.pending == 0 {
		return
	}
	for i := 0; c.pending < capacity && i < len(d.queue) && i < maxQueueScan; {
		if m := d.queue[i]; m.avoid == r || !s.addToCall(m, c) {
			i++
		}
	}
	s.addInFlight(c)
}

// addToCall adds an attempt of m to a call if mayAttempt allows it.
func (s *Sender) addToCall(m *message, c *call) bool {
	if s.mayAttempt(m, c.route) > s.now {
		return false
	}
	s.unqueue(m)
	m.inFlight = append(m.inFlight, attempt{m.sends, c})
	m.sends, m.unpacedAt = m.sends+1, never
	c.pending++
	timeoutAt := s.attemptTimeout(m, c.route)
	if c.timeoutAt == 0 || timeoutAt < c.timeoutAt {
		c.timeoutAt = timeoutAt
	}
	s.emit(Action{Kind: Send, ID: m.id, Route: c.route.Route, TimeoutAt: timeoutAt, LeaveBy: m.leaveBy()})
	return true
}

// Deadlines.

// handleTimers handles messages past their target and gives each one past its deadline a final answer.
func (s *Sender) handleTimers() {
	for len(s.timers) > 0 && (s.timers[0].at <= s.now || s.timers[0].m.ended) {
		m := heap.Pop(&s.timers).(timer).m
		switch {
		case m.ended:
		case s.exhausted(m) || s.now >= m.deadline:
			s.giveUp(m)
		case s.now >= m.targetAt:
			s.demoteLate(m)
		}
	}
}

// demoteLate moves a message that missed its target back: those within target have more value to lose.
func (s *Sender) demoteLate(m *message) {
	queued := m.queued
	s.unqueue(m)
	delay := lateDelayRatio * float64(m.deadline-s.now) / math.Max(m.class.Value, 0.01)
	m.rank = max(m.rank, s.now+time.Duration(delay))
	if queued {
		s.enqueue(m)
	}
}

// refuse ends a message and advises its client to retry once a route may accept it.
func (s *Sender) refuse(m *message) {
	if !s.mayRefuse(m) {
		return
	}
	retryAfter := time.Duration(0)
	if s.cfg.MaxRetryAfter > 0 {
		retryAfter = cmp.Or(m.class.Advice, minRetryAfter)
		for _, sc := range m.dest.scopes {
			retryAfter = max(retryAfter, sc.waitUntil-s.now)
		}
		retryAfter = min(retryAfter, s.cfg.MaxRetryAfter)
	}
	s.emit(Action{Kind: Refuse, ID: m.id, Delay: retryAfter})
	s.endMessage(m)
}

// fail ends a message with no promise about its effect.
func (s *Sender) fail(m *message) {
	s.emit(Action{Kind: Fail, ID: m.id})
	s.endMessage(m)
}
