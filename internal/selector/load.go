package selector

import (
	"math"
	"time"
)

const (
	// reportTTL is how long an endpoint's report is used to estimate the load of other relays.
	reportTTL = 3 * time.Second
	// otherRelayLoadRatio is the load that each other relay of the zone is assumed to add, relative to this relay's
	// own load, where nothing is reported.
	otherRelayLoadRatio = 0.7
	// answerMemoryFraction is the fraction of an answer's maximum tokens that is assumed to be in memory.
	answerMemoryFraction = 0.5
	// latenessHalfLife is the half-life of an endpoint's learned lateness.
	latenessHalfLife = 3 * time.Second
	// latenessEMAWeight is the weight of a new sample in the moving average of the lateness.
	latenessEMAWeight = 0.3
	// maxLatenessMs bounds the learned lateness, in milliseconds.
	maxLatenessMs = 3000.0
)

// load is the work at an endpoint, as far as this relay knows.
type load struct {
	inFlight                        int      // this relay's attempts without an outcome
	heldTokens                      int      // tokens of memory that these hold (estimate)
	unansweredPrefill               int      // prompt tokens to prefill for the attempts without a first byte
	firstUnanswered, lastUnanswered *Attempt // list of the attempts without a first byte, oldest first

	prefillBacklog float64   // prompt tokens waiting for prefill, as of backlogAt
	backlogAt      time.Time // the backlog shrinks from then on at the engine's prefill rate

	others othersLoad // load of other relays, if it is known

	reported       EngineReport
	reportedAt     time.Time
	othersRequests int   // requests of other relays, as of the report
	othersMemory   int64 // tokens of memory that these hold

	latenessMs float64 // by how much answers were later than estimated, as of latenessAt
	latenessAt time.Time
}

// setReport stores an endpoint's report, and subtracts this relay's own requests to find those of other relays.
func (l *load) setReport(now time.Time, report EngineReport) {
	l.reported, l.reportedAt = report, now
	l.othersRequests = max(0, report.Running+report.Queued-l.inFlight)
	l.othersMemory = max(0, report.KVUsed-int64(l.heldTokens))
}

// hasFreshReport reports whether there is a report recent enough to be used.
func (l *load) hasFreshReport(now time.Time) bool {
	return !l.reportedAt.IsZero() && now.Sub(l.reportedAt) < reportTTL
}

// requests estimates the requests of all relays at the endpoint.
func (s *Selector) requests(now time.Time, endpoint *endpoint) float64 {
	l := &endpoint.load
	if s.hasOtherLoads(now) && endpoint.service.engine() != nil {
		return float64(l.inFlight + l.others.requests)
	}
	return l.estimateRequests(now, s.zoneRelays)
}

// estimateRequests estimates the requests of all relays from this relay's own requests and the endpoint's report, if
// there is a fresh one.
func (l *load) estimateRequests(now time.Time, zoneRelays int) float64 {
	if l.hasFreshReport(now) {
		return float64(l.inFlight + l.othersRequests)
	}
	return float64(l.inFlight) * (1 + otherRelayLoadRatio*float64(zoneRelays-1))
}

// memoryTokens estimates the tokens of memory that the requests of all relays at the endpoint hold.
func (s *Selector) memoryTokens(now time.Time, endpoint *endpoint) float64 {
	l := &endpoint.load
	if s.hasOtherLoads(now) {
		return float64(l.heldTokens + l.others.heldTokens)
	}
	return l.estimateMemory(now, s.zoneRelays)
}

// estimateMemory estimates the tokens of memory that the requests of all relays hold, in the same way as
// estimateRequests.
func (l *load) estimateMemory(now time.Time, zoneRelays int) float64 {
	if l.hasFreshReport(now) {
		return float64(l.heldTokens) + float64(l.othersMemory)
	}
	return float64(l.heldTokens) * (1 + otherRelayLoadRatio*float64(zoneRelays-1))
}

// prefillAhead estimates the prompt tokens that the engine will prefill before those of a new request.
func (l *load) prefillAhead(now time.Time, tokensPerMs float64) float64 {
	drained := now.Sub(l.backlogAt).Seconds() * 1000 * tokensPerMs
	return math.Min(math.Max(0, l.prefillBacklog-drained), float64(l.unansweredPrefill+l.others.unansweredPrefill))
}

// decayedLatenessMs is by how much answers are expected to be later than estimated now, in milliseconds.
func (l *load) decayedLatenessMs(now time.Time) float64 {
	if l.latenessMs == 0 {
		return 0
	}
	return l.latenessMs * math.Exp2(-now.Sub(l.latenessAt).Seconds()/latenessHalfLife.Seconds())
}

// learnLateness adds a sample: by how many milliseconds an answer came later than the known load explains.
func (l *load) learnLateness(now time.Time, errorMs float64) {
	updatedMs := l.decayedLatenessMs(now)
	updatedMs += latenessEMAWeight * (errorMs - updatedMs)
	l.latenessMs, l.latenessAt = math.Min(maxLatenessMs, math.Max(0, updatedMs)), now
}

// addAttempt adds an attempt that is being sent.
func (l *load) addAttempt(now time.Time, attempt *Attempt, tokensPerMs float64) {
	l.inFlight++
	l.heldTokens += attempt.memoryTokens()
	l.prefillBacklog = l.prefillAhead(now, tokensPerMs) + float64(attempt.estimate.prefillTokens)
	l.backlogAt = now
	l.unansweredPrefill += attempt.estimate.prefillTokens
	l.link(attempt)
}

// markAnswered records that the first byte of an attempt was received.
func (l *load) markAnswered(attempt *Attempt) {
	if !attempt.listed {
		return
	}
	l.unansweredPrefill -= attempt.estimate.prefillTokens
	l.unlink(attempt)
}

// removeAttempt removes an attempt that has ended.
func (l *load) removeAttempt(attempt *Attempt) {
	l.markAnswered(attempt)
	l.inFlight--
	l.heldTokens -= attempt.memoryTokens()
}

func (l *load) link(attempt *Attempt) {
	attempt.previous = l.lastUnanswered
	if l.lastUnanswered == nil {
		l.firstUnanswered = attempt
	} else {
		l.lastUnanswered.next = attempt
	}
	l.lastUnanswered = attempt
	attempt.listed = true
}

func (l *load) unlink(attempt *Attempt) {
	if attempt.previous == nil {
		l.firstUnanswered = attempt.next
	} else {
		attempt.previous.next = attempt.next
	}
	if attempt.next == nil {
		l.lastUnanswered = attempt.previous
	} else {
		attempt.next.previous = attempt.previous
	}
	attempt.previous, attempt.next, attempt.listed = nil, nil, false
}

// clearUnanswered removes all attempts from the list of unanswered ones, so that an endpoint that has just been
// skipped is not skipped a second time because of them.
func (l *load) clearUnanswered() {
	for l.firstUnanswered != nil {
		l.markAnswered(l.firstUnanswered)
	}
}

// memoryTokens is how many tokens of memory an attempt is assumed to hold. Prompt parts that were already cached are
// shared with other requests and not counted.
func (a *Attempt) memoryTokens() int { return a.estimate.prefillTokens + a.request.answerTokens() }

// answerTokens is how many tokens of memory the answer is assumed to hold.
func (r *Request) answerTokens() int { return int(answerMemoryFraction * float64(r.TokensOut)) }
