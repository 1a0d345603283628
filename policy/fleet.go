package policy

import (
	"cmp"
	"math"
	"time"
)

// What is harmless from one sender and harmful from many at once: bursts at a start, idle connections, pacing rates
// that outgrow the shared limit. One sender of a large fleet calls a route too rarely to learn its state from outcomes.

const (
	smallFleet        = 6                      // largest fleet that fits any connection table and whose senders learn enough alone
	lowRemaining      = 0.4                    // fraction of a limit left below which no pacing rate grows
	startRateRatio    = 0.9                    // initial pacing rate in a large fleet, as a fraction of the even share of the limit
	maxLimitStep      = 4.0                    // largest factor by which one reported limit changes a pacing rate, up or down
	singlesStartRatio = 2.0                    // initial pacing rate of calls that carry one message, as a multiple of the fair share
	loweredRatio      = 0.7                    // a limit reported below this fraction of the listed one is lowered, noise aside
	limitChangeWindow = 3 * time.Second        // two limit changes within this indicate the same change elsewhere
	maxTableFullRun   = 2                      // consecutive failed connections that a full connection table explains
	tableFullPause    = 300 * time.Millisecond // pause of a route with a full connection table: about one response time
	batchWaitRatio    = 0.25                   // fraction of its target time that a message waits for others to share its call
	scarceDuration    = 30 * time.Second       // time that connections of a kind count as scarce after a full table
)

// batches reports whether a call to a route may carry several messages.
func (s *Sender) batches(r *route) bool {
	return r.Kind >= 0 && r.Kind < len(s.cfg.Kinds) && s.cfg.Kinds[r.Kind].PerCall > 1
}

// initPacing limits the pacing rate of a scope from the start if its limit is listed. Prevents many senders from calling without limit
// until each has met refusals. Messages that wait for their share can travel together in one call; calls that carry one message start
// above the fair share, since their messages wait for nothing else and most senders need less.
func (s *Sender) initPacing(r *route) {
	sc := r.scope
	if sc.pacingRate > 0 || s.cfg.Senders <= smallFleet || s.limit(sc) == 0 {
		return
	}
	s.startAtFairShare(sc)
	if !s.batches(r) {
		sc.pacingRate, sc.tokens = singlesStartRatio*sc.pacingRate, 1
	}
}

// startAtFairShare starts the pacing of a scope at this sender's share. In a large fleet the time of the first call is
// random: a full token at every sender would cause one burst of them all.
func (s *Sender) startAtFairShare(sc *scope) {
	sc.pacingRate, sc.tokens, sc.tokensAt = s.fairShare(sc), 1, s.now
	if s.cfg.Senders > smallFleet {
		sc.grownAt = s.now
		sc.pacingRate, sc.tokens = startRateRatio*math.Max(minLimit, s.limit(sc))/float64(s.cfg.Senders), s.rng.Float64()
	}
}

// limitNearlyUsed reports whether little of a scope's limit was left at the last report. Prevents many senders from
// growing their pacing rates past it by turns, each with a success or two.
func (s *Sender) limitNearlyUsed(sc *scope) bool {
	return s.cfg.Senders > smallFleet && sc.reportedLimit > 0 && sc.remaining < lowRemaining
}

// followLimit scales a pacing rate with the reported limit. Prevents many senders from going on as before after a limit is lowered, until
// each has been refused, and from returning as slowly after it is raised. The report is compared with the previous one, so the first
// report of a scope changes nothing. An invalid report has little effect, and the next one reverts it.
func (s *Sender) followLimit(sc *scope, reported float64) {
	if s.cfg.Senders > smallFleet && sc.pacingRate > 0 && sc.reportedLimit > 0 {
		factor := math.Min(maxLimitStep, math.Max(1/maxLimitStep, reported/sc.reportedLimit))
		sc.pacingRate, sc.refusedRate = sc.pacingRate*factor, sc.refusedRate*factor
	}
}

// inferLimitChange takes two scopes that report a lowered or a restored limit within a short time for a sign that all
// scopes without a newer report changed likewise, until these report themselves. Prevents many senders, which call a
// scope once in some seconds each, from exceeding its lowered limit before any of them has received a report of it.
func (s *Sender) inferLimitChange(r *route) {
	sc, previous, ratio := r.scope, s.lastLimitChange, r.scope.reportedLimit/r.Weight
	usable := r.Weight > 0 && !s.cfg.NoWeights && !s.cfg.RoughWeights && s.cfg.Senders > smallFleet
	if !usable || sc.lowered == (ratio < loweredRatio) {
		return
	}
	sc.lowered = !sc.lowered
	s.lastLimitChange = limitChange{sc, sc.lowered, s.now}
	if previous.scope == nil || previous.scope == sc || previous.lowered != sc.lowered || s.now > previous.at+limitChangeWindow {
		return
	}
	for _, x := range s.scopes() {
		listed := x.routes[0].Weight
		limit := cmp.Or(x.reportedLimit, listed)
		if x.reportedAt < previous.at && listed > 0 && sc.lowered == (limit >= loweredRatio*listed) {
			x.reportedLimit = limit
			s.followLimit(x, listed*min(1, ratio))
			x.reportedLimit = listed * min(1, ratio)
		}
	}
}

// refusalSpread is over how many call intervals refused sparse senders spread. A large fleet is paced from the start:
// its bursts are short, and what it leaves unused of a limit is many times what one sender does.
func (s *Sender) refusalSpread() float64 {
	if s.cfg.Senders > smallFleet {
		return 1
	}
	return sparseSpread
}

// aboveFairShare reports whether a pacing rate is above this sender's share: it then grows slowly, at the expense of others.
func (s *Sender) aboveFairShare(sc *scope) bool {
	return s.cfg.Senders > smallFleet && sc.pacingRate > s.fairShare(sc)
}

// capGrowth bounds the growth of a pacing rate from below this sender's share to that share. A sender that calls a
// route once in some seconds would exceed it with one success, and 80 such senders would together.
func (s *Sender) capGrowth(sc *scope, rate float64) float64 {
	if share := s.fairShare(sc); s.cfg.Senders > smallFleet && sc.pacingRate < share {
		return math.Min(rate, share)
	}
	return rate
}

// batchWaitUntil is until when a message waits for others to share its call: no longer than the interval between two
// calls of this sender there, and a fraction of its target time, so that it costs little. Prevents senders from making
// a call for every message or two, and so exceeding a limit that has room for all their messages.
func (s *Sender) batchWaitUntil(m *message, r *route) time.Duration {
	if m.sends > 0 || !s.batches(r) || len(m.dest.queue) >= s.callCapacity(r) {
		return 0
	}
	return m.targetAt - m.class.Aim + min(time.Duration(batchWaitRatio*float64(m.class.Aim)),
		interval(max(r.scope.pacingRate, s.fairShare(r.scope))))
}

// closesIdle reports whether idle connections to a route are closed. Those of a large fleet would take the entries of
// the destination's connection table that active calls need. Where messages share calls, calls are few and regular:
// their connections stay open until connections of the kind prove scarce.
func (s *Sender) closesIdle(r *route) bool {
	return s.cfg.Senders > smallFleet && (s.now < s.scarceUntil[r.Kind] || !s.batches(r))
}

// looksTableFull reports whether a failed connection indicates a full connection table: it failed at once, at a route that responded
// recently or, in a large fleet, of a kind with recent failures of this sort. Several in a row are an outage.
func (s *Sender) looksTableFull(r *route, o sample) bool {
	scarce := s.cfg.Senders > smallFleet && s.now < s.scarceUntil[r.Kind]
	failed := o.outcome == ConnectFailed && s.now-o.sentAt < minExpectedTime
	return failed && r.scope.tableFullRun < maxTableFullRun && (s.alive(r) || scarce)
}

// pauseRoute pauses a route whose connection table is full.
func (s *Sender) pauseRoute(r *route, _ sample) {
	r.skipUntil = s.now + time.Duration((0.5+s.rng.Float64())*float64(tableFullPause))
	s.emit(Action{Kind: CloseIdle, Route: r.Route})
}
