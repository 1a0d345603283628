package selector

import "time"

const (
	// reconnectAfter is how long a request avoids an endpoint that it found no connection to.
	reconnectAfter = 100 * time.Millisecond
	// fullAfter is how long a request avoids an endpoint that was full.
	fullAfter = 150 * time.Millisecond
	// forever is how long a request avoids an endpoint that may have run it, or is not the one it was.
	forever = time.Hour
)

// FirstByte takes that the first event, or the head of an answer that has no events, has come.
func (s *Selector) FirstByte(now time.Time, attempt *Attempt) {
	if attempt.done || !attempt.firstAt.IsZero() {
		return
	}
	endpoint := attempt.endpoint
	endpoint.heard(now)
	endpoint.load.answered(attempt)
	took := now.Sub(attempt.sentAt)
	s.learnSpeed(now, attempt, inMs(took))
	endpoint.load.learn(now, inMs(took-attempt.expected())+attempt.estimate.late)
	attempt.firstAt = now
}

// Done takes the outcome of an attempt. It must be called once for each decision to Send; further calls do nothing.
func (s *Selector) Done(now time.Time, attempt *Attempt, outcome Outcome) {
	if attempt.done {
		return
	}
	attempt.done = true
	endpoint, request := attempt.endpoint, attempt.request
	endpoint.load.end(attempt)
	s.noteBusy(endpoint)
	if endpoint.trial == attempt {
		endpoint.trial = nil
	}
	s.account(now, attempt, outcome)
	if !outcome.ran() {
		endpoint.cache.forget(request.unread(attempt.estimate.kept))
	}
	switch outcome.Kind {
	case Success:
		s.succeeded(now, attempt)
	case ClientGone:
	default:
		s.failed(now, attempt, outcome)
	}
	s.wakeFor(endpoint.service)
}

// ran tells whether the endpoint may have begun work.
func (o Outcome) ran() bool {
	switch o.Kind {
	case Success, EndpointError:
		return true
	case Full, NotExecuted, Misdirected, ConnectFailed:
		return false
	}
	return o.MayHaveRun
}

// arrived tells whether the request came to an endpoint.
func (o Outcome) arrived() bool { return o.Kind != ConnectFailed }

// account notes for the request what the attempt did.
func (s *Selector) account(now time.Time, attempt *Attempt, outcome Outcome) {
	request, endpoint := attempt.request, attempt.endpoint
	if outcome.arrived() {
		request.arrivals++
	}
	if outcome.ran() {
		request.runs++
	}
	switch outcome.Kind {
	case ConnectFailed:
		request.avoid(endpoint, now.Add(reconnectAfter))
	case Full:
		request.avoid(endpoint, now.Add(max(fullAfter, outcome.ToldWait)))
	default:
		request.avoid(endpoint, now.Add(forever))
	}
}

// unread are the parts of the prompt that were not kept when an attempt was sent.
func (r *Request) unread(kept int) []PromptPart {
	return r.Parts[min(kept, len(r.Parts)):]
}

// succeeded takes a whole answer.
func (s *Selector) succeeded(now time.Time, attempt *Attempt) {
	endpoint := attempt.endpoint
	endpoint.tier.noteRecent(endpoint)
	s.learnDuration(now, attempt)
	endpoint.service.served.of(now, attempt.request.Route.Priority).served++
	endpoint.heard(now)
	endpoint.health.succeeded()
	if endpoint.skip.clear() {
		endpoint.pace.restart(now)
		endpoint.health.backAt = now
		s.settle(now, endpoint)
		s.wakeTier(endpoint.service)
		return
	}
	growth, most := paceQuick, 0.0
	if warmup := endpoint.service.warmup(); warmup > 0 {
		growth = paceCreep
		if now.Before(endpoint.health.backAt.Add(warmup)) {
			most = s.returningMost(endpoint.service)
		}
	}
	endpoint.pace.creep(now, growth, most)
}

// learnDuration learns how long an answer takes once it has begun, or as a whole where answers have no events.
func (s *Selector) learnDuration(now time.Time, attempt *Attempt) {
	service := attempt.endpoint.service
	if service.engine() != nil && !attempt.firstAt.IsZero() {
		service.usual.learn(inMs(now.Sub(attempt.firstAt))) // without its waiting: the load that there is slows it as well
		return
	}
	if !attempt.queued {
		service.usual.learn(inMs(now.Sub(attempt.sentAt)))
	}
}

// failed takes an outcome that is no answer.
func (s *Selector) failed(now time.Time, attempt *Attempt, outcome Outcome) {
	health := &attempt.endpoint.health
	if attempt.sentAt.Before(health.backAt) && outcome.Kind != Full {
		return // it was sent before the endpoint came back from a skip
	}
	switch outcome.Kind {
	case Full, NotExecuted, Misdirected:
		attempt.endpoint.heard(now)
	case EndpointError:
		attempt.endpoint.heard(now)
		health.failed(now)
	case TimedOut:
		if health.heardAt.After(attempt.sentAt) {
			return // it answered others meanwhile: slow, not gone
		}
		health.streak++
	default:
		health.streak++
		health.failed(now)
	}
	s.judge(attempt.endpoint, &evidence{now: now, attempt: attempt, outcome: outcome})
}

// learnSpeed takes what an answer tells of how fast engines read. One that had to wait for others, or came from a cold engine, tells
// nothing.
func (s *Selector) learnSpeed(now time.Time, attempt *Attempt, tookMs float64) {
	endpoint, estimate := attempt.endpoint, &attempt.estimate
	if !s.on(LearnedSpeed) || endpoint.service.engine() == nil || endpoint.isCold(now) || attempt.queued {
		return
	}
	queued := estimate.wait - estimate.late
	if queued > fitWaitShare*estimate.own || now.Sub(s.awakeSince) < settleAfter {
		return
	}
	endpoint.service.speed.learn(now, attempt.request.TokensIn, estimate.unread, tookMs-estimate.travel-queued)
}
