package selector

import (
	"math/rand/v2"
	"time"
)

const (
	firstSkip           = 2 * time.Second  // most outages last longer, and a trial costs only one call
	maxSkip             = 10 * time.Second // no skip is longer
	skipGrowth          = 1.5              // factor from one skip to the next while trials fail
	skipJitter          = 0.2              // fraction by which a skip varies, so that relays do not return together
	maxSkipBeforeJitter = maxSkip * 5 / 6  // so that the longest skips vary too, and none exceeds maxSkip
)

// skip is the state of an endpoint that is, or was, skipped.
type skip struct {
	since      time.Time
	until      time.Time
	length     time.Duration // of the last skip, before jitter; 0: not skipped since the last success
	needsTrial bool          // skipped and without a success since: gets one trial at a time
}

// extend starts a skip, longer than the last one if nothing has succeeded since that.
func (s *skip) extend(now time.Time, random *rand.Rand) {
	length := firstSkip
	if s.needsTrial && s.length > 0 {
		length = min(maxSkipBeforeJitter, time.Duration(float64(s.length)*skipGrowth))
	}
	jittered := time.Duration(float64(length) * (1 + skipJitter*(2*random.Float64()-1)))
	s.since, s.until, s.length, s.needsTrial = now, now.Add(jittered), length, true
}

// extendTo skips the endpoint for a known wait, such as one that it asked for, unless it is already skipped for
// longer.
func (s *skip) extendTo(now time.Time, wait time.Duration) {
	if until := now.Add(min(wait, maxSkip)); until.After(s.until) {
		s.since, s.until = now, until
	}
}

// clear resets the skip of an endpoint that needed a trial, and reports whether it did. An endpoint that is only
// skipped for a wait that it asked for remains skipped.
func (s *skip) clear() bool {
	if !s.needsTrial {
		return false
	}
	*s = skip{}
	return true
}
