package selector

import (
	"time"
)

const (
	// deadlineMargin is how long before its deadline a request gets its final answer.
	deadlineMargin = 12 * time.Millisecond
	// offerTargetDivisor divides the target latency to give the time within which a request is offered to an
	// endpoint, or refused.
	offerTargetDivisor = 4
	// withinTargetFraction is the fraction of the time left to the target within which an estimate counts as within
	// target.
	withinTargetFraction = 0.75
	// maxTiersCompared is how many tiers with an endpoint that admits the request are compared if none is within
	// target.
	maxTiersCompared = 4
	// extraAttempts is how many attempts a request may make beyond the retries of its route. It allows for attempts
	// that are known not to have run.
	extraAttempts = 3
	// maxWaitFraction is the fraction of the time between arrival and deadline within which a request may wait for a
	// skip to end.
	maxWaitFraction = 0.5
	// prefixCacheFraction is the fraction of an engine's KV-cache memory that is assumed to cache prompts; the rest
	// holds generated tokens.
	prefixCacheFraction = 0.9
)

// Choose decides what happens next to a request: when it arrives, and after each attempt that ended without an answer
// for the client.
func (s *Selector) Choose(now time.Time, request *Request) Decision {
	s.runTimers(now)
	s.detectStall(now)
	s.initRequest(now, request)
	if decision, isFinal := s.checkFinal(now, request); isFinal {
		return decision
	}
	forced := !request.offered && !now.Before(request.offerDeadline())
	var nextChange earliestChange
	found := s.searchTiers(now, request, forced, &nextChange)
	if found.endpoint == nil {
		found, forced = s.lastResort(now, request), true
	}
	if found.endpoint == nil {
		return s.waitOrRefuse(now, request, nextChange)
	}
	if wait, overloaded := s.checkOverload(now, request, &found); overloaded {
		if until, mayWait := s.holdUntil(now, request, &found); mayWait {
			s.startWaiting(request)
			return Decision{Kind: Wait, Until: until, Reason: ReasonOverload}
		}
		return s.finalDecision(now, request, ReasonOverload, wait)
	}
	if request.arrivals > 0 && !s.takeRetryBudget(now, found.endpoint.service) {
		return s.finalDecision(now, request, ReasonBudget, 0)
	}
	return s.startAttempt(now, request, found, forced)
}

// initRequest draws the request's service and counts the request, at the first call for it.
func (s *Selector) initRequest(now time.Time, request *Request) {
	s.stopWaiting(request)
	if request.initialized {
		return
	}
	request.initialized = true
	request.noAffinity = !s.enabled(PrefixAffinity)
	request.plan = s.planOf(request.Route)
	if len(request.plan.services) == 0 {
		return
	}
	request.serviceIndex = request.plan.pick(s.splitDraw(request))
	request.service().recentCounts.countFor(now, request.Route.Priority).arrived++
	if s.options.Budget != nil {
		s.options.Budget.CountRequest(now, request.service().name)
	}
}

// splitDraw returns the number by which a request's service is drawn from its route's split: a hash of the request's
// id, or a random number if it has none.
func (s *Selector) splitDraw(request *Request) uint64 {
	if request.ID == "" {
		return s.random.Uint64()
	}
	return hashText(request.ID)
}

// service is the one that was drawn from the route's split.
func (r *Request) service() *service { return r.plan.services[r.serviceIndex].service }

// checkFinal returns the final decision for a request that can't be tried any more, and whether it is such a request.
func (s *Selector) checkFinal(now time.Time, request *Request) (Decision, bool) {
	switch {
	case len(request.plan.services) == 0:
		return s.finalDecision(now, request, ReasonNoService, 0), true
	case request.timeLeft(now) <= 0:
		return s.finalDecision(now, request, ReasonDeadline, 0), true
	case !request.mayRunAgain():
		return s.finalDecision(now, request, ReasonMayHaveRun, 0), true
	case request.arrivals >= request.Route.Retries+extraAttempts:
		return s.finalDecision(now, request, ReasonAttempts, 0), true
	}
	return Decision{}, false
}

// searchTiers goes through the request's tiers in order. It stops at the first tier whose best endpoint is within
// target, or after maxTiersCompared tiers with an endpoint that admits the request. Of the endpoints found, it
// returns the one with the lowest cost.
func (s *Selector) searchTiers(now time.Time, request *Request, forced bool, nextChange *earliestChange) choice {
	var best choice
	compared := 0
	targetMs := withinTargetFraction * inMs(request.targetLeft(now))
	for index, tier := range s.tiersFor(request) {
		if !tier.usable() && len(tier.lists[listSkipped])+len(tier.lists[listColdForeign]) == 0 {
			continue
		}
		found := s.bestInTier(now, request, tier, searchOptions{forced: forced, prefixHome: index == 0}, nextChange)
		if found.endpoint == nil {
			continue
		}
		if best.endpoint == nil || found.costMs < best.costMs {
			best = found
		}
		compared++
		if found.estimate.cachedFirstByteMs() <= targetMs || compared >= maxTiersCompared {
			break
		}
	}
	return best
}

// lastResort returns an endpoint whose heartbeats have stopped, where no other endpoint is left. If it is gone, the
// connection fails and nothing has run. An endpoint that has said that it drains is not among them.
func (s *Selector) lastResort(now time.Time, request *Request) choice {
	for _, tier := range request.plan.tierOrders[request.serviceIndex] {
		silent := tier.lists[listSilent]
		if len(silent) == 0 {
			continue
		}
		endpoint := silent[s.random.IntN(len(silent))]
		if s.admitAt(now, request, endpoint, true).After(now) {
			continue
		}
		return choice{endpoint: endpoint, estimate: s.estimate(now, request, endpoint, unranked)}
	}
	return choice{}
}

// takeRetryBudget takes one more send to a service from the retry budget, and reports whether the budget allowed it.
func (s *Selector) takeRetryBudget(now time.Time, service *service) bool {
	return s.options.Budget != nil && s.options.Budget.Take(now, service.name)
}

// startAttempt records a new attempt at the chosen endpoint and returns the decision to send it.
func (s *Selector) startAttempt(now time.Time, request *Request, found choice, forced bool) Decision {
	endpoint := found.endpoint
	if endpoint.list == listColdOwned {
		s.coldLimiter.Take(now, endpoint.instance.ID, s.maxColdRate(endpoint))
	}
	attempt := &Attempt{
		request:          request,
		endpoint:         endpoint,
		sentAt:           now,
		estimate:         found.estimate,
		endpointRequests: s.requests(now, endpoint),
		ranked:           found.ranked,
		forced:           forced,
	}
	attempt.queued = attempt.endpointRequests >= float64(endpoint.slots())
	request.offered = true
	if endpoint.skip.needsTrial {
		endpoint.trialAttempt = attempt
	}
	endpoint.lastSentAt = now
	endpoint.pacer.recordSend(now)
	endpoint.load.addAttempt(now, attempt, s.prefillRate(endpoint))
	s.updateBusy(endpoint)
	endpoint.watch.addUnanswered(attempt)
	s.recordPrefix(now, endpoint, request)
	s.queuePrefillReport(endpoint, request)
	return Decision{
		Kind:     Send,
		Instance: endpoint.instance,
		Attempt:  attempt,
		Forecast: attempt.forecast(),
		GiveUpAt: s.giveUpAt(now, request),
		Forced:   forced,
	}
}

// recordPrefix records that the endpoint will have the request's prompt in its cache.
func (s *Selector) recordPrefix(now time.Time, endpoint *endpoint, request *Request) {
	if endpoint.service.engine() == nil {
		return
	}
	endpoint.cache.add(now, request.Parts, endpoint.cacheCapacity())
	if _, hasAffinity := request.affinityHash(); hasAffinity {
		s.holders.record(now, request.Parts[0].ID, endpoint)
	}
}

// cacheCapacity is how many prompt tokens an engine is assumed to cache.
func (e *endpoint) cacheCapacity() int {
	return int(prefixCacheFraction * float64(e.service.engine().KVCapacity))
}

// giveUpAt returns when an attempt times out. An idempotent request that may run once more leaves half of its
// remaining time for that.
func (s *Selector) giveUpAt(now time.Time, request *Request) time.Time {
	if request.Route.Idempotent() && request.runs+1 < request.Route.Retries {
		return now.Add(request.timeLeft(now) / 2)
	}
	return request.Deadline.Add(-deadlineMargin)
}

// waitOrRefuse decides for a request that no endpoint admits now.
func (s *Selector) waitOrRefuse(now time.Time, request *Request, nextChange earliestChange) Decision {
	if nextChange.at.IsZero() {
		return s.finalDecision(now, request, ReasonNoEndpoint, 0)
	}
	if !s.enabled(Waiting) {
		return s.finalDecision(now, request, ReasonSkipped, nextChange.at.Sub(now))
	}
	until := nextChange.at
	if offerBy := request.offerDeadline(); !request.offered && now.Before(offerBy) && offerBy.Before(until) && request.hasUsableTier() {
		until = offerBy
	}
	latestUntil := request.Arrived.Add(time.Duration(maxWaitFraction * float64(request.Deadline.Sub(request.Arrived))))
	if until.After(latestUntil) {
		return s.finalDecision(now, request, ReasonSkipped, until.Sub(now))
	}
	s.startWaiting(request)
	return Decision{Kind: Wait, Until: until, Reason: ReasonSkipped}
}

// hasUsableTier reports whether a tier of the request has endpoints that would admit it but for their rate and
// connection limits.
func (r *Request) hasUsableTier() bool {
	for _, tier := range r.plan.tierOrders[r.serviceIndex] {
		if tier.usable() {
			return true
		}
	}
	return false
}

// finalDecision gives a request its final answer: a refusal only if it cannot have run.
func (s *Selector) finalDecision(now time.Time, request *Request, reason Reason, wait time.Duration) Decision {
	if request.runs > 0 {
		return Decision{Kind: Fail, Reason: reason}
	}
	return Decision{Kind: Refuse, Reason: reason, RetryAfter: s.retryAfter(now, request, wait)}
}
