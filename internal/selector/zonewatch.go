package selector

import (
	"math/rand/v2"
	"slices"
	"time"
)

// When a zone fails, all its endpoints become unreachable at once. To detect each of them separately takes a few
// hanging requests per endpoint from every relay. So the zone is also observed as a whole: it counts as unreachable
// when several requests to it are overdue, nothing at all was received from it since they were sent, and something
// was received from another zone.

const (
	// minOverdue is the number of overdue requests from which a zone counts as unreachable, and minOverdueSuspected
	// the same where the relays' membership protocol has no contact with any process of the zone.
	minOverdue          = 4
	minOverdueSuspected = 2
	// maxUnansweredChecked bounds the unanswered requests that are examined.
	maxUnansweredChecked = 24
	// otherZoneWindow is how recently something must have been received from another zone: otherwise the fault may be
	// at this relay.
	otherZoneWindow = time.Second
	// stallThreshold is the time without a decision after which this process may have been stalled, with received
	// answers still unread.
	stallThreshold = 400 * time.Millisecond
	// stallRecovery is how long after a stall overdue requests are not held against a zone or reported.
	stallRecovery = 400 * time.Millisecond
	// firstTrialDelay, maxTrialDelay and trialDelayGrowth determine how long nothing is sent to an unreachable zone
	// before the next trial.
	firstTrialDelay  = time.Second
	maxTrialDelay    = 5 * time.Second
	trialDelayGrowth = 1.5
)

// zoneWatch is what this relay knows about a zone as a whole.
type zoneWatch struct {
	lastReceivedAt time.Time  // when something was last received from one of its endpoints
	unanswered     []*Attempt // in the order of sending; answered ones are removed lazily
	suspected      bool       // the membership protocol has no contact with any of its processes
	unreachable    bool
	trialAfter     time.Time     // while it is unreachable: no trial before
	trialDelay     time.Duration // last delay before a trial, without jitter
	trialAttempt   *Attempt      // the one attempt in flight while the zone is unreachable
	checkedAt      time.Time     // when it was last checked for silence
	othersOverdue  int           // overdue requests of other relays at its endpoints
	roundTrip      time.Duration // network round trip to its endpoints; 0: not known
}

// isUnanswered reports whether nothing was received for an attempt so far.
func (a *Attempt) isUnanswered() bool { return !a.done && a.firstByteAt.IsZero() }

// recordReceived records that something was received from the zone.
func (z *zoneWatch) recordReceived(now time.Time) {
	z.lastReceivedAt = now
	z.unreachable, z.trialAttempt, z.trialDelay = false, nil, 0
}

// addUnanswered adds an attempt sent to the zone.
func (z *zoneWatch) addUnanswered(attempt *Attempt) {
	if z.unreachable {
		z.trialAttempt = attempt
	}
	z.prune()
	z.unanswered = append(z.unanswered, attempt)
}

// prune removes the oldest attempts if they were answered or have ended, and all such attempts once the list is long
// because the oldest one is still unanswered.
func (z *zoneWatch) prune() {
	answered := 0
	for answered < len(z.unanswered) && !z.unanswered[answered].isUnanswered() {
		answered++
	}
	z.unanswered = z.unanswered[answered:]
	if len(z.unanswered) > maxUnansweredChecked {
		z.unanswered = slices.DeleteFunc(z.unanswered, func(attempt *Attempt) bool { return !attempt.isUnanswered() })
	}
}

// isSilent reports whether enough requests are overdue and nothing was received since they were sent. Those that
// other relays report count too, but at least one must be this relay's own.
func (z *zoneWatch) isSilent(now time.Time) bool {
	required := minOverdue
	if z.suspected {
		required = minOverdueSuspected
	}
	z.prune()
	overdue := 0
	for _, attempt := range z.unanswered[:min(len(z.unanswered), maxUnansweredChecked)] {
		if attempt.isUnanswered() && attempt.sentAt.After(z.lastReceivedAt) && now.After(attempt.overdueAt()) {
			overdue++
		}
	}
	return overdue > 0 && overdue+min(z.othersOverdue, required-1) >= required
}

// markUnreachable marks the zone as unreachable until the next trial, with a longer delay each time.
func (z *zoneWatch) markUnreachable(now time.Time, random *rand.Rand) {
	z.trialDelay = min(maxTrialDelay, max(firstTrialDelay, time.Duration(float64(z.trialDelay)*trialDelayGrowth)))
	jittered := time.Duration(float64(z.trialDelay) * (1 + skipJitter*(2*random.Float64()-1)))
	z.unreachable, z.trialAfter, z.trialAttempt = true, now.Add(jittered), nil
}

// zoneWatchFor returns the record of a zone, and creates it if there is none.
func (s *Selector) zoneWatchFor(zone string) *zoneWatch {
	watch := s.zoneWatches[zone]
	if watch == nil {
		watch = &zoneWatch{}
		s.zoneWatches[zone] = watch
	}
	return watch
}

// SetSuspectedZones sets the zones in which the membership protocol has no contact with any process.
func (s *Selector) SetSuspectedZones(suspected map[string]bool) {
	for zone, watch := range s.zoneWatches {
		watch.suspected = suspected[zone]
	}
}

// UnreachableZones lists the unreachable zones, in order of their names.
func (s *Selector) UnreachableZones() []string {
	var unreachable []string
	for zone, watch := range s.zoneWatches {
		if watch.unreachable {
			unreachable = append(unreachable, zone)
		}
	}
	slices.Sort(unreachable)
	return unreachable
}

// zoneAdmitAt returns when an endpoint may be sent a request as far as its zone is concerned.
func (s *Selector) zoneAdmitAt(now time.Time, endpoint *endpoint) time.Time {
	watch := endpoint.watch
	switch {
	case !s.enabled(ZoneWatch):
		return now
	case !watch.unreachable:
		if watch.checkedAt.Equal(now) {
			return now // already checked for another endpoint of the zone in this decision
		}
		watch.checkedAt = now
		if !watch.isSilent(now) || !s.canBlameZone(now, watch) {
			return now
		}
		watch.markUnreachable(now, s.random)
	case now.Before(watch.trialAfter):
	case watch.trialAttempt == nil:
		return now
	case !watch.trialAttempt.isUnanswered() || now.After(watch.trialAttempt.overdueAt()):
		watch.markUnreachable(now, s.random) // the trial has ended without an answer, or is overdue
	default:
		return now.Add(recheckInterval)
	}
	return watch.trialAfter
}

// canBlameZone reports whether silence is due to the zone itself: this process was not stalled, and it receives
// answers from other zones.
func (s *Selector) canBlameZone(now time.Time, suspect *zoneWatch) bool {
	if now.Sub(s.activeSince) < stallRecovery {
		return false
	}
	for _, watch := range s.zoneWatches {
		if watch != suspect && now.Sub(watch.lastReceivedAt) < otherZoneWindow {
			return true
		}
	}
	return false
}

// detectStall records whether there was a long pause since the last decision.
func (s *Selector) detectStall(now time.Time) {
	if now.Sub(s.lastDecisionAt) >= stallThreshold {
		s.activeSince = now
	}
	s.lastDecisionAt = now
}
