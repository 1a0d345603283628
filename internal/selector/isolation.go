package selector

import (
	"math"
	"time"

	"wallflow/internal/budget"
)

// A relay that is cut off does not hear that a zone was evacuated and restored, after which its endpoints are cold. While it is isolated, it
// therefore sends to each endpoint that may be cold no more than its share of what a cold one can take; the other relays that are cut off
// with it do the same.

// isolatedFraction is the fraction of the limit of a cold endpoint that all isolated relays use together. The rest allows for relays that
// notice their isolation at different times, and for requests that arrive closer together than they were sent.
const isolatedFraction = 0.75

// SetIsolated sets whether this relay is isolated: relays is the number of relays that may be cut off together, including this one, and 0
// while this relay is not isolated.
func (s *Selector) SetIsolated(relays int) {
	s.isolatedRelays = relays
	s.wakeAll()
}

// isolatedRate is how many calls a second an isolated relay may make to an endpoint of the service; 0: no limit.
func (s *Selector) isolatedRate(service *service) float64 {
	if s.isolatedRelays == 0 || service.warmup() <= 0 || service.backend.WarmupPerS <= 0 || !s.enabled(ColdBound) {
		return 0
	}
	return isolatedFraction * s.coldBound(service).Total() / float64(s.isolatedRelays)
}

// coldBound is the limit of calls to a cold endpoint of a service by all relays together.
func (s *Selector) coldBound(service *service) budget.ColdBound {
	return budget.ColdBound{
		PerSecond: service.backend.WarmupPerS,
		Overshoot: s.options.WarmupOvershoot,
		Slack:     s.options.WarmupSlack,
	}
}

// isolatedAdmitAt returns when this relay may send to an endpoint as far as its isolation is concerned: now or later.
func (s *Selector) isolatedAdmitAt(now time.Time, endpoint *endpoint) time.Time {
	rate := s.isolatedRate(endpoint.service)
	switch {
	case rate == 0:
		return now
	case rate < 1:
		earliest := endpoint.lastSentAt.Add(time.Duration(float64(time.Second) / rate))
		if earliest.After(now) {
			return earliest
		}
	case endpoint.pacer.recent.rate(now) >= math.Floor(rate):
		return now.Add(tenthOfSecond)
	}
	return now
}
