package selector

import "time"

// evidence is one outcome at an endpoint, as input to the failure rules.
type evidence struct {
	now     time.Time
	attempt *Attempt
	outcome Outcome
}

// RuleName is the name of a failure rule.
type RuleName string

// rule is one failure rule: the outcomes that it matches, and what is done then; a nil action does nothing.
type rule struct {
	name   RuleName
	match  func(e *endpoint, v *evidence) bool
	action func(s *Selector, e *endpoint, v *evidence)
}

// failureRules are evaluated in order; only the first that matches is applied. After each of them the request may be
// sent to the next endpoint or tier, if it may be tried again at all.
var failureRules = []rule{
	// Another instance has the address, so this one is gone.
	{"misdirected", func(_ *endpoint, v *evidence) bool { return v.outcome.Kind == Misdirected }, (*Selector).skipMisdirected},
	// An endpoint answers that it is full to a request larger than its memory, which says nothing about its load.
	{"oversize", func(e *endpoint, v *evidence) bool { return v.outcome.Kind == Full && e.tooSmall(v.attempt.request) }, nil},
	{"told wait", func(_ *endpoint, v *evidence) bool { return v.outcome.Kind == Full && v.outcome.RetryAfter > 0 },
		(*Selector).skipForAdvisedWait},
	{"full", func(_ *endpoint, v *evidence) bool { return v.outcome.Kind == Full }, (*Selector).halvePace},
	{"declined", func(_ *endpoint, v *evidence) bool { return v.outcome.Kind == NotExecuted }, nil},
	{"trial failed", func(e *endpoint, _ *evidence) bool { return e.skip.needsTrial }, (*Selector).extendSkipAfterTrial},
	{"in a row", func(e *endpoint, _ *evidence) bool { return e.health.failureStreak >= maxFailureStreak }, (*Selector).skipNow},
	// Some outages make most calls fail, but not all: successes in between do not end them.
	{"mostly failing", func(e *endpoint, _ *evidence) bool { return e.health.mostlyFailing() }, (*Selector).skipNow},
	{"failed", func(*endpoint, *evidence) bool { return true }, nil},
}

// applyFailureRules applies the first rule that matches an outcome, and counts the match.
func (s *Selector) applyFailureRules(endpoint *endpoint, evidence *evidence) {
	for index := range failureRules {
		rule := &failureRules[index]
		if !rule.match(endpoint, evidence) {
			continue
		}
		if rule.action != nil {
			rule.action(s, endpoint, evidence)
		}
		s.ruleMatches[rule.name]++
		return
	}
}

// skipMisdirected skips an endpoint that is gone, for the longest time that an endpoint is skipped.
func (s *Selector) skipMisdirected(endpoint *endpoint, evidence *evidence) {
	endpoint.skip.extendTo(evidence.now, maxSkip)
	s.refreshList(evidence.now, endpoint)
}

// skipForAdvisedWait skips an endpoint for the wait that it asked for.
func (s *Selector) skipForAdvisedWait(endpoint *endpoint, evidence *evidence) {
	s.halvePace(endpoint, evidence)
	endpoint.skip.extendTo(evidence.now, evidence.outcome.RetryAfter)
	s.refreshList(evidence.now, endpoint)
}

// halvePace halves the send rate to an endpoint that is full.
func (s *Selector) halvePace(endpoint *endpoint, evidence *evidence) {
	if !s.enabled(Pacing) {
		return
	}
	endpoint.pacer.halve(evidence.now, evidence.attempt.sentAt)
}

// extendSkipAfterTrial skips an endpoint again, for longer. The failure of an attempt that was sent before the skip
// began does not count.
func (s *Selector) extendSkipAfterTrial(endpoint *endpoint, evidence *evidence) {
	if evidence.attempt.sentAt.Before(endpoint.skip.since) {
		return
	}
	s.skipEndpoint(evidence.now, endpoint)
}

// skipNow skips a failing endpoint.
func (s *Selector) skipNow(endpoint *endpoint, evidence *evidence) {
	s.skipEndpoint(evidence.now, endpoint)
}

// skipEndpoint skips an endpoint, longer than the last time if nothing has succeeded since.
func (s *Selector) skipEndpoint(now time.Time, endpoint *endpoint) {
	if !s.enabled(Skips) {
		return
	}
	endpoint.skip.extend(now, s.random)
	endpoint.health.failureStreak = 0
	endpoint.health.recentOutcomes = 0
	endpoint.load.clearUnanswered()
	endpoint.trialAttempt = nil
	s.refreshList(now, endpoint)
}

// tooSmall reports whether a request needs more memory than the endpoint has.
func (e *endpoint) tooSmall(request *Request) bool {
	engine := e.service.engine()
	return engine != nil && int64(request.totalTokens()) > engine.KVCapacity
}
