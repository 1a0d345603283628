package selector

import (
	"time"

	"wallflow/internal/workload"
)

// otherLoadsTTL is how long reported loads of other relays are used.
const otherLoadsTTL = 2 * time.Second

// othersLoad is the load of the other relays at an endpoint, as they report it.
type othersLoad struct {
	requests          int
	unansweredPrefill int // prompt tokens of their requests without a first byte that must be prefilled
	heldTokens        int // tokens of memory that their requests hold
	overdue           int // overdue requests to an endpoint from which nothing was received since they were sent
}

// key identifies the endpoint in messages between relays.
func (e *endpoint) key() workload.Key { return workload.Key(e.hash) }

// TakeReport returns what this relay reports to the others: its load at model engines, its samples of their prefill
// speed, and the prompt prefixes that it sent to them since the last call.
func (s *Selector) TakeReport(now time.Time) workload.Report {
	report := workload.Report{Loads: s.ownLoads(now), Sums: s.ownSums(now), Prefills: s.unsentPrefills}
	s.unsentPrefills = nil
	return report
}

// ownLoads returns this relay's load at model engines.
func (s *Selector) ownLoads(now time.Time) workload.Loads {
	loads := make(workload.Loads, len(s.ownBusy))
	for _, endpoint := range s.ownBusy {
		load := &endpoint.load
		loads[endpoint.key()] = workload.Load{Requests: load.inFlight, PrefillTokens: load.unansweredPrefill,
			CacheTokens: load.heldTokens, Overdue: s.overdueToReport(now, endpoint)}
	}
	return loads
}

// SetOtherLoads sets the load of all other relays at model engines. If it is not known, this relay goes on with the last
// known loads until they expire, and then estimates them from its own requests.
func (s *Selector) SetOtherLoads(now time.Time, loads workload.Loads, known bool) {
	if !known || !s.enabled(SharedLoads) {
		return // the last known loads expire
	}
	s.otherLoadsAt = now
	for _, endpoint := range s.othersBusy {
		if _, still := loads[endpoint.key()]; !still {
			endpoint.load.setOthers(now, othersLoad{}, s.prefillRate(endpoint))
		}
	}
	clear(s.othersBusy)
	s.othersBusy = s.othersBusy[:0]
	for _, watch := range s.zoneWatches {
		watch.othersOverdue = 0
	}
	for key, reported := range loads {
		endpoint := s.byKey[key]
		if endpoint == nil {
			continue
		}
		endpoint.load.setOthers(now, othersLoad{requests: reported.Requests, unansweredPrefill: reported.PrefillTokens,
			heldTokens: reported.CacheTokens, overdue: reported.Overdue}, s.prefillRate(endpoint))
		s.othersBusy = append(s.othersBusy, endpoint)
		endpoint.watch.othersOverdue += reported.Overdue
	}
}

// maxOverdueReported bounds the overdue requests at one endpoint that are reported to other relays.
const maxOverdueReported = 8

// overdueToReport returns the number of this relay's overdue requests at an endpoint. It is zero while this process
// itself may have been stalled.
func (s *Selector) overdueToReport(now time.Time, endpoint *endpoint) int {
	if !s.enabled(SharedSuspicion) || now.Sub(s.activeSince) < stallRecovery {
		return 0
	}
	return endpoint.countOverdue(now, maxOverdueReported)
}

// suspectedByOthers reports whether requests of other relays are overdue at an endpoint from which this relay has not
// received anything recently either.
func (s *Selector) suspectedByOthers(now time.Time, endpoint *endpoint) bool {
	return s.enabled(SharedSuspicion) && s.hasOtherLoads(now) && endpoint.load.others.overdue > 0 &&
		now.Sub(endpoint.health.lastReceivedAt) > minOverdueDelay
}

// hasOtherLoads reports whether the loads of other relays are known and recent.
func (s *Selector) hasOtherLoads(now time.Time) bool {
	return s.enabled(SharedLoads) && !s.otherLoadsAt.IsZero() && now.Sub(s.otherLoadsAt) < otherLoadsTTL
}

// setOthers sets the load of other relays at the endpoint. Prefill work that is new queues behind the backlog.
func (l *load) setOthers(now time.Time, reported othersLoad, tokensPerMs float64) {
	l.prefillBacklog = l.prefillAhead(now, tokensPerMs)
	l.backlogAt = now
	if added := reported.unansweredPrefill - l.others.unansweredPrefill; added > 0 {
		l.prefillBacklog += float64(added)
	}
	l.others = reported
}

// updateBusy adds an engine to the list of those at which this relay has requests in flight, or removes it.
func (s *Selector) updateBusy(endpoint *endpoint) {
	switch {
	case endpoint.service.engine() == nil:
	case endpoint.load.inFlight > 0 && !endpoint.busy:
		endpoint.busy, endpoint.busyIndex = true, len(s.ownBusy)
		s.ownBusy = append(s.ownBusy, endpoint)
	case endpoint.load.inFlight == 0 && endpoint.busy:
		last := len(s.ownBusy) - 1
		s.ownBusy[endpoint.busyIndex] = s.ownBusy[last]
		s.ownBusy[endpoint.busyIndex].busyIndex = endpoint.busyIndex
		s.ownBusy[last] = nil
		s.ownBusy = s.ownBusy[:last]
		endpoint.busy = false
	}
}

// maxUnsentPrefills bounds the prompt prefixes that wait to be reported to other relays.
const maxUnsentPrefills = 64

// queuePrefillReport queues a report to the other relays that an endpoint prefills or reuses the prefix of a prompt.
// The prefix of a request that is bound to home regions is not reported, since reports go to all regions.
func (s *Selector) queuePrefillReport(endpoint *endpoint, request *Request) {
	if _, hasAffinity := request.affinityHash(); !hasAffinity || len(request.Parts) < 2 || request.isBound() ||
		len(s.unsentPrefills) >= maxUnsentPrefills {
		return
	}
	prefix := request.Parts[0]
	s.unsentPrefills = append(s.unsentPrefills, workload.Prefill{PrefixID: prefix.ID, Tokens: prefix.Tokens, Endpoint: endpoint.key()})
}

// RecordPrefills records which prompt prefixes other relays sent to which endpoints, where they are cached from now on.
func (s *Selector) RecordPrefills(now time.Time, prefills []workload.Prefill) {
	if !s.enabled(SharedPrefixes) {
		return
	}
	for _, prefill := range prefills {
		endpoint := s.byKey[prefill.Endpoint]
		if endpoint == nil || endpoint.service.engine() == nil {
			continue
		}
		prefix := PromptPart{ID: prefill.PrefixID, Tokens: prefill.Tokens}
		endpoint.cache.add(now, []PromptPart{prefix}, endpoint.cacheCapacity())
		s.holders.record(now, prefill.PrefixID, endpoint)
	}
}

// serviceKey identifies a service in messages between relays.
func serviceKey(name string) workload.Key { return workload.Key(hashText(name)) }

// ownSums returns this relay's samples of the prefill speed of each service's engines, as sums of the normal
// equations (see speed.go).
func (s *Selector) ownSums(now time.Time) workload.Sums {
	sums := make(workload.Sums)
	for name, service := range s.services {
		if service.engine() != nil {
			service.speed.decay(now)
			sums[serviceKey(name)] = service.speed.own.encode()
		}
	}
	return sums
}

// SetOtherSpeedSums sets the other relays' samples of the prefill speed of each service's engines, in the form that
// ownSums returns.
func (s *Selector) SetOtherSpeedSums(sums workload.Sums) {
	if !s.enabled(LearnedSpeed) {
		return
	}
	for name, service := range s.services {
		if reported, known := sums[serviceKey(name)]; known && service.engine() != nil {
			service.speed.setOthers(decodeSums(reported))
		}
	}
}
