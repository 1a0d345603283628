package selector

import (
	"time"
)

const (
	// unranked is the rank of a candidate outside the ranking of the request's prompt prefix.
	unranked = -1
	// maxRanked is how many endpoints the ranking of a prompt prefix holds.
	maxRanked = len(rankCredit)
	// randomCandidates is how many endpoints of a large tier are considered at random.
	randomCandidates = 4
	// recheckInterval is how long until an endpoint with a trial in flight, or without a free connection, is
	// considered again.
	recheckInterval = 50 * time.Millisecond
	// minAffinityTokens is the minimum size of a prompt's first part for which requests that share it are sent to the
	// same endpoints.
	minAffinityTokens = 512
	// maxUnavailableChecked is how many skipped endpoints, and cold ones of other owners, are checked for the next
	// time at which one becomes available.
	maxUnavailableChecked = 16
	// connectionFraction is the fraction of an endpoint's connections that the relays of a zone use.
	connectionFraction = 0.8
)

// candidate is an endpoint that is considered for a request.
type candidate struct {
	endpoint *endpoint
	rank     int // in the ranking of the prompt prefix, from 0; or unranked
}

// choice is the chosen endpoint with the estimate for the attempt; endpoint is nil if there is none.
type choice struct {
	endpoint *endpoint
	estimate estimate
	costMs   float64 // with jitter
	ranked   bool
}

// earliestChange is the earliest time at which an endpoint may become available; the zero time if none will.
type earliestChange struct{ at time.Time }

// note lowers the time to at, if that is earlier.
func (c *earliestChange) note(at time.Time) {
	if c.at.IsZero() || at.Before(c.at) {
		c.at = at
	}
}

// searchOptions says how the endpoints of a tier are searched.
type searchOptions struct {
	forced     bool // pacing rates are ignored
	prefixHome bool // the tier is the home of the request's prompt prefix
}

// bestInTier returns the endpoint of a tier with the lowest cost for a request, and records in nextChange when others
// may admit it.
func (s *Selector) bestInTier(now time.Time, request *Request, tier *tier, options searchOptions, nextChange *earliestChange) choice {
	var best choice
	s.candidateBuffer = s.candidates(now, s.candidateBuffer[:0], request, tier)
	if !options.prefixHome || s.mayPrefillAnywhere(request) {
		clearRanks(s.candidateBuffer)
	}
	for _, candidate := range s.candidateBuffer {
		if earliest := s.admitAt(now, request, candidate.endpoint, options.forced); earliest.After(now) {
			nextChange.note(earliest)
			continue
		}
		estimate := s.estimate(now, request, candidate.endpoint, candidate.rank)
		costMs := s.addJitter(estimate.costMs)
		if best.endpoint == nil || costMs < best.costMs {
			best = choice{endpoint: candidate.endpoint, estimate: estimate, costMs: costMs, ranked: candidate.rank != unranked}
		}
	}
	for _, kind := range [...]listKind{listSkipped, listColdForeign} {
		list := tier.lists[kind]
		for _, endpoint := range list[:min(len(list), maxUnavailableChecked)] {
			nextChange.note(endpoint.recheckAt)
		}
	}
	return best
}

// candidates appends the endpoints of a tier to consider for a request: all of a small tier; of a large one the first
// in the ranking of the prompt prefix, a few at random, and a few with an open connection.
func (s *Selector) candidates(now time.Time, dst []candidate, request *Request, tier *tier) []candidate {
	warm := tier.warm()
	prefixHash, hasAffinity := request.affinityHash()
	if tier.groups == nil {
		for _, endpoint := range warm {
			dst = append(dst, candidate{endpoint: endpoint, rank: unranked})
		}
	} else {
		if hasAffinity {
			for _, endpoint := range tier.groups[preferredGroup(prefixHash, len(tier.groups))] {
				dst = append(dst, candidate{endpoint: endpoint, rank: unranked})
			}
		}
	}
	if hasAffinity {
		rankCandidates(prefixHash, dst)
	}
	if tier.groups != nil {
		dst = filterRanked(dst)
		dst = s.addRandom(dst, warm, randomCandidates)
		dst = s.addConnected(dst, tier)
	}
	if hasAffinity && s.enabled(SharedPrefixes) {
		dst = s.addPrefixHolders(now, dst, request, tier)
	}
	return s.addRandom(dst, tier.lists[listColdOwned], randomCandidates)
}

// addPrefixHolders appends the endpoints that cache the request's prefix. If there are any, the ranking is cleared:
// it only decides which endpoint is to prefill a prefix that none caches.
func (s *Selector) addPrefixHolders(now time.Time, dst []candidate, request *Request, tier *tier) []candidate {
	before := len(dst)
	dst = s.appendPrefixHolders(now, dst, request, tier)
	if len(dst) > before {
		clearRanks(dst)
	}
	return dst
}

// addRandom appends count endpoints drawn at random, or all if there are no more than that. An endpoint may be drawn
// twice, which does no harm.
func (s *Selector) addRandom(dst []candidate, from []*endpoint, count int) []candidate {
	if len(from) <= count {
		for _, endpoint := range from {
			dst = append(dst, candidate{endpoint: endpoint, rank: unranked})
		}
		return dst
	}
	for range count {
		dst = append(dst, candidate{endpoint: from[s.random.IntN(len(from))], rank: unranked})
	}
	return dst
}

// affinityHash returns the hash of the prompt's first part, by which endpoints are ranked, if the part is large
// enough to matter.
func (r *Request) affinityHash() (prefixHash uint64, hasAffinity bool) {
	if r.noAffinity || len(r.Parts) == 0 || r.Parts[0].Tokens < minAffinityTokens {
		return 0, false
	}
	return mixBits(r.Parts[0].ID), true
}

// preferredGroup returns the group of a large tier that a prompt prefix maps to, by rendezvous hashing over the
// groups.
func preferredGroup(prefixHash uint64, groups int) int {
	best, highest := 0, uint64(0)
	for group := range groups {
		if score := rendezvousWeight(prefixHash, mixBits(uint64(group)+1)); score >= highest {
			best, highest = group, score
		}
	}
	return best
}

// rankCandidates sets the rank of the maxRanked first endpoints for a prompt prefix, by rendezvous hashing.
func rankCandidates(prefixHash uint64, candidates []candidate) {
	var top [maxRanked]int
	var weights [maxRanked]uint64
	ranked := 0
	for index := range candidates {
		weight := rendezvousWeight(prefixHash, candidates[index].endpoint.hash)
		at := min(ranked, maxRanked)
		for at > 0 && weight > weights[at-1] {
			at--
		}
		if at == maxRanked {
			continue
		}
		copy(weights[at+1:], weights[at:])
		copy(top[at+1:], top[at:])
		weights[at], top[at] = weight, index
		ranked = min(ranked+1, maxRanked)
	}
	for rank := range ranked {
		candidates[top[rank]].rank = rank
	}
}

// clearRanks removes the ranking. It is used in a region that is not the home of a prefix, as other relays do not
// send the prefix to the ranked endpoints there, and where the ranking is not needed.
func clearRanks(candidates []candidate) {
	for index := range candidates {
		candidates[index].rank = unranked
	}
}

// filterRanked drops the candidates that are not ranked.
func filterRanked(candidates []candidate) []candidate {
	ranked := candidates[:0]
	for _, candidate := range candidates {
		if candidate.rank != unranked {
			ranked = append(ranked, candidate)
		}
	}
	return ranked
}

// admitAt returns when an endpoint may be sent a request: now or later. A forced request ignores the pacing rate.
func (s *Selector) admitAt(now time.Time, request *Request, endpoint *endpoint, forced bool) time.Time {
	if until := request.avoidedUntil(endpoint); until.After(now) {
		return until
	}
	if endpoint.skip.until.After(now) {
		return endpoint.skip.until // it was skipped during this same search
	}
	if endpoint.skip.needsTrial && endpoint.trialAttempt != nil {
		return s.trialRecheckAt(now, endpoint)
	}
	if endpoint.load.inFlight >= s.maxConnections(endpoint) {
		return now.Add(recheckInterval)
	}
	if earliest := s.zoneAdmitAt(now, endpoint); earliest.After(now) {
		return earliest
	}
	if endpoint.isHanging(now) {
		s.skipEndpoint(now, endpoint)
		return endpoint.skip.until
	}
	earliest := now
	if endpoint.list == listColdOwned {
		earliest = s.coldAdmitAt(now, endpoint)
	}
	if isolatedAt := s.isolatedAdmitAt(now, endpoint); isolatedAt.After(earliest) {
		earliest = isolatedAt
	}
	if forced {
		return earliest
	}
	if pacedAt := endpoint.pacer.nextAt(now); pacedAt.After(earliest) {
		return pacedAt
	}
	return earliest
}

// trialRecheckAt returns when an endpoint whose one trial after a skip is in flight is considered again. A trial that
// is overdue counts as failed, and the endpoint is skipped again.
func (s *Selector) trialRecheckAt(now time.Time, endpoint *endpoint) time.Time {
	trial := endpoint.trialAttempt
	if !now.After(trial.overdueAt()) || !endpoint.health.lastReceivedAt.Before(trial.sentAt) {
		return now.Add(recheckInterval)
	}
	s.skipEndpoint(now, endpoint)
	return endpoint.skip.until
}

// maxConnections is how many connections to an endpoint this relay may use: an equal share of those that the endpoint
// accepts from all relays of the zone.
func (s *Selector) maxConnections(endpoint *endpoint) int {
	backend := endpoint.service.backend
	if backend == nil || backend.MaxConns <= 0 {
		return endpoint.slots()
	}
	return max(1, int(connectionFraction*float64(backend.MaxConns))/s.zoneRelays)
}
