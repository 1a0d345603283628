package selector

import (
	"math/rand/v2"
	"time"
)

const (
	skipFirst  = 2 * time.Second  // most outages last longer, and a trial costs one call
	skipMost   = 10 * time.Second // no skip is longer
	skipGrowth = 1.5              // from one skip to the next while trials fail
	skipJitter = 0.2              // share by which a skip varies: relays do not return together
	skipBase   = skipMost * 5 / 6 // so that the longest vary too, and none is longer than skipMost
)

// skip is an endpoint's entry in the skip table.
type skip struct {
	since  time.Time
	until  time.Time
	length time.Duration // of the last skip, before the jitter; 0: in good standing
	down   bool          // skipped, and nothing delivered since: one trial at a time
}

// extend enters the endpoint in the table, for longer than the last time.
func (k *skip) extend(now time.Time, random *rand.Rand) {
	length := skipFirst
	if k.down && k.length > 0 {
		length = min(skipBase, time.Duration(float64(k.length)*skipGrowth))
	}
	varied := time.Duration(float64(length) * (1 + skipJitter*(2*random.Float64()-1)))
	k.since, k.until, k.length, k.down = now, now.Add(varied), length, true
}

// rest enters the endpoint for a wait that it was told, or that is known.
func (k *skip) rest(now time.Time, wait time.Duration) {
	if until := now.Add(min(wait, skipMost)); until.After(k.until) {
		k.since, k.until = now, until
	}
}

// clear takes an endpoint that was down out of the table, and tells whether it was. A wait that was told stays.
func (k *skip) clear() bool {
	if !k.down {
		return false
	}
	*k = skip{}
	return true
}
