package selector

import "time"

const (
	// avoidAfterConnectFailure is how long a request avoids an endpoint after a failed connection to it.
	avoidAfterConnectFailure = 100 * time.Millisecond
	// avoidAfterFull is the minimum time for which a request avoids an endpoint that answered that it is full.
	avoidAfterFull = 150 * time.Millisecond
	// avoidForever is how long a request avoids an endpoint after other outcomes: the endpoint may have run it, or
	// another instance has its address. It is longer than any request lives.
	avoidForever = time.Hour
)

// FirstByte records that the first event of an answer was received, or the header of an answer without events.
func (s *Selector) FirstByte(now time.Time, attempt *Attempt) {
	if attempt.done || !attempt.firstByteAt.IsZero() {
		return
	}
	endpoint := attempt.endpoint
	endpoint.recordReceived(now)
	endpoint.load.markAnswered(attempt)
	took := now.Sub(attempt.sentAt)
	s.learnSpeed(now, attempt, inMs(took))
	endpoint.load.learnLateness(now, inMs(took-attempt.expectedFirstByte())+attempt.estimate.latenessMs)
	attempt.firstByteAt = now
}

// Done records the outcome of an attempt. It must be called once for each decision to send; further calls have no
// effect.
func (s *Selector) Done(now time.Time, attempt *Attempt, outcome Outcome) {
	if attempt.done {
		return
	}
	attempt.done = true
	endpoint, request := attempt.endpoint, attempt.request
	endpoint.load.removeAttempt(attempt)
	s.updateBusy(endpoint)
	if endpoint.trialAttempt == attempt {
		endpoint.trialAttempt = nil
	}
	s.recordOutcome(now, attempt, outcome)
	if !outcome.countsAsRun() {
		endpoint.cache.remove(request.uncachedParts(attempt.estimate.cachedParts))
	}
	switch outcome.Kind {
	case Success:
		s.handleSuccess(now, attempt)
	case ClientGone:
	default:
		s.handleFailure(now, attempt, outcome)
	}
	s.wakeFirst(endpoint.service)
}

// countsAsRun reports whether the endpoint may have started to work on the request.
func (o Outcome) countsAsRun() bool {
	switch o.Kind {
	case Success, EndpointError:
		return true
	case Full, NotExecuted, Misdirected, ConnectFailed:
		return false
	}
	return o.MayHaveRun
}

// reachedEndpoint reports whether the request reached an endpoint.
func (o Outcome) reachedEndpoint() bool { return o.Kind != ConnectFailed }

// recordOutcome counts the attempt for its request, and has the request avoid the endpoint.
func (s *Selector) recordOutcome(now time.Time, attempt *Attempt, outcome Outcome) {
	request, endpoint := attempt.request, attempt.endpoint
	if outcome.reachedEndpoint() {
		request.arrivals++
	}
	if outcome.countsAsRun() {
		request.runs++
	}
	switch outcome.Kind {
	case ConnectFailed:
		request.avoid(endpoint, now.Add(avoidAfterConnectFailure))
	case Full:
		request.avoid(endpoint, now.Add(max(avoidAfterFull, outcome.RetryAfter)))
	default:
		request.avoid(endpoint, now.Add(avoidForever))
	}
}

// uncachedParts returns the parts of the prompt after the first ones that were cached when an attempt was sent;
// cached is the number of those.
func (r *Request) uncachedParts(cached int) []PromptPart {
	return r.Parts[min(cached, len(r.Parts)):]
}

// handleSuccess updates the endpoint after a complete answer.
func (s *Selector) handleSuccess(now time.Time, attempt *Attempt) {
	endpoint := attempt.endpoint
	endpoint.tier.recordRecent(endpoint)
	s.learnDuration(now, attempt)
	endpoint.service.recentCounts.countFor(now, attempt.request.Route.Priority).served++
	endpoint.recordReceived(now)
	endpoint.health.recordSuccess()
	if endpoint.skip.clear() {
		endpoint.pacer.restart(now)
		endpoint.health.restoredAt = now
		s.refreshList(now, endpoint)
		s.wakeService(endpoint.service)
		return
	}
	growth, maxRate := fastGrowth, 0.0
	if warmup := endpoint.service.warmup(); warmup > 0 {
		growth = slowGrowth
		if now.Before(endpoint.health.restoredAt.Add(warmup)) {
			maxRate = s.maxRateAfterSkip(endpoint.service)
		}
	}
	endpoint.pacer.grow(now, growth, maxRate)
}

// learnDuration adds a sample of how long an answer takes after its first byte, or as a whole where answers have no
// events.
func (s *Selector) learnDuration(now time.Time, attempt *Attempt) {
	service := attempt.endpoint.service
	if service.engine() != nil && !attempt.firstByteAt.IsZero() {
		// This excludes the time in the queue, but includes the slowdown of the batch by its current load.
		service.typicalDuration.learn(inMs(now.Sub(attempt.firstByteAt)))
		return
	}
	if !attempt.queued {
		service.typicalDuration.learn(inMs(now.Sub(attempt.sentAt)))
	}
}

// handleFailure updates the endpoint after any other outcome and applies the failure rules.
func (s *Selector) handleFailure(now time.Time, attempt *Attempt, outcome Outcome) {
	health := &attempt.endpoint.health
	if attempt.sentAt.Before(health.restoredAt) && outcome.Kind != Full {
		return // sent before the endpoint came back from its last skip
	}
	switch outcome.Kind {
	case Full, NotExecuted, Misdirected:
		attempt.endpoint.recordReceived(now)
	case EndpointError:
		attempt.endpoint.recordReceived(now)
		health.recordFailure(now)
	case TimedOut:
		if health.lastReceivedAt.After(attempt.sentAt) {
			return // it has answered other requests since: slow, not gone
		}
		health.failureStreak++
	default:
		health.failureStreak++
		health.recordFailure(now)
	}
	s.applyFailureRules(attempt.endpoint, &evidence{now: now, attempt: attempt, outcome: outcome})
}

// learnSpeed adds a sample of how fast an engine prefills. It leaves out the answers of cold engines, answers that
// had to wait for other requests, and those received just after a stall of this process.
func (s *Selector) learnSpeed(now time.Time, attempt *Attempt, tookMs float64) {
	endpoint, estimate := attempt.endpoint, &attempt.estimate
	if !s.enabled(LearnedSpeed) || endpoint.service.engine() == nil || endpoint.isCold(now) || attempt.queued {
		return
	}
	queued := estimate.waitMs - estimate.latenessMs
	if queued > maxLearnWaitFraction*estimate.processingMs || now.Sub(s.activeSince) < stallRecovery {
		return
	}
	endpoint.service.speed.learn(now, attempt.request.TokensIn, estimate.prefillTokens, tookMs-estimate.networkMs-queued)
}
