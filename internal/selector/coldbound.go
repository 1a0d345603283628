package selector

import "time"

// maxColdRate is how many requests a second the owner of a cold endpoint may send to it.
func (s *Selector) maxColdRate(endpoint *endpoint) int {
	if endpoint.service.backend == nil {
		return 0
	}
	return s.coldBound(endpoint.service).PerOwner()
}

// coldAdmitAt returns when the owner of a cold endpoint may send to it: now or later. Requests sent while the
// endpoint was warm count too.
func (s *Selector) coldAdmitAt(now time.Time, endpoint *endpoint) time.Time {
	maxRate := s.maxColdRate(endpoint)
	if !s.enabled(ColdBound) {
		return now
	}
	if maxRate < 1 {
		return endpoint.warmAt()
	}
	if endpoint.pacer.recent.rate(now) >= float64(maxRate) {
		return now.Add(tenthOfSecond)
	}
	return s.coldLimiter.NextAt(now, endpoint.instance.ID, maxRate)
}

// maxRateAfterSkip is how many calls a second this relay may make to an endpoint that came back after a skip. Such an
// endpoint may be cold without having announced it yet, so this is an equal share of what a cold endpoint can take. 0
// means no bound.
func (s *Selector) maxRateAfterSkip(service *service) float64 {
	if service.warmup() <= 0 {
		return 0
	}
	return service.backend.WarmupPerS / float64(s.estimatedRelays())
}

// estimatedRelays estimates the number of relays in all zones, as if each zone had as many as this one.
func (s *Selector) estimatedRelays() int { return s.zoneRelays * max(1, len(s.options.Zones)) }
