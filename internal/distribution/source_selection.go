package distribution

import (
	"cmp"
	"slices"
	"time"

	"wallflow/internal/registry"
)

const (
	// initialBackoff and maxBackoff bound the time for which a failed source is not tried again.
	initialBackoff = time.Second
	maxBackoff     = 30 * time.Second
	// urgentRetryDelay is the time before a failed source is tried again if the current source is unusable. It is shorter than the backoff,
	// since the cause of the failure, such as a change of view at the control processes, may end long before the backoff does.
	urgentRetryDelay = 500 * time.Millisecond
	// maxTrialsWhileIncomplete is the number of best sources that are tried while the current one does not know all instances yet: the
	// process accepts no traffic until its source does.
	maxTrialsWhileIncomplete = 3
)

// failure records when a source failed, and for how long it is not tried again.
type failure struct {
	failedAt time.Time
	backoff  time.Duration
}

func (f failure) retryAt() time.Time { return f.failedAt.Add(f.backoff) }

// selectSource tries another source if the current one is unusable or is not the best one. It tries one candidate at a time.
func (s *Subscriber) selectSource(now time.Time, output *Output) {
	if s.candidate != nil {
		if s.isConfigured(s.candidate) && !s.candidateTimedOut(now) {
			return
		}
		s.recordFailure(now, s.candidate.address)
		s.unsubscribe(s.candidate.address, output)
		s.candidate = nil
	}
	if next := s.nextCandidate(now); next != "" {
		s.trySource(now, next, output)
	}
}

// candidateTimedOut reports whether the candidate has not answered in time. The time during which this process was paused does not count.
func (s *Subscriber) candidateTimedOut(now time.Time) bool {
	return now.Sub(later(s.candidate.startedAt, s.resumedAt)) >= s.options.SubscribeTimeout
}

// nextCandidate returns the source to try now, or "" if there is none.
func (s *Subscriber) nextCandidate(now time.Time) string {
	if s.needsReplacement(now, s.current) {
		return cmp.Or(s.bestAvailable(now, len(s.sources)), s.leastRecentlyFailed(now))
	}
	if !s.current.complete {
		return s.bestAvailable(now, min(maxTrialsWhileIncomplete, len(s.sources)))
	}
	if now.Sub(s.current.startedAt) < s.failbackDelay() {
		return ""
	}
	return s.bestAvailable(now, s.rankOf(s.current))
}

// bestAvailable returns the best source before rankLimit that is neither the active current one nor in backoff, or "" if there is none.
func (s *Subscriber) bestAvailable(now time.Time, rankLimit int) string {
	for _, address := range s.sources[:rankLimit] {
		if !s.isActiveCurrent(now, address) && !now.Before(s.failures[address].retryAt()) {
			return address
		}
	}
	return ""
}

// isActiveCurrent reports whether a source is the current one and not silent, so that it need not be tried.
func (s *Subscriber) isActiveCurrent(now time.Time, address string) bool {
	return s.current != nil && s.current.address == address && !s.isSilent(now, s.current)
}

// leastRecentlyFailed returns the source whose last failure is the longest ago, or "" if all failed within urgentRetryDelay.
func (s *Subscriber) leastRecentlyFailed(now time.Time) string {
	oldest, oldestAt := "", now.Add(-urgentRetryDelay)
	for _, address := range s.sources {
		if failedAt := s.failures[address].failedAt; !s.isActiveCurrent(now, address) && failedAt.Before(oldestAt) {
			oldest, oldestAt = address, failedAt
		}
	}
	return oldest
}

// failbackDelay returns the time for which the current source is kept before a better one is tried. It depends on the own address, so that
// not all subscribers return at the same time.
func (s *Subscriber) failbackDelay() time.Duration {
	spread := registry.IDHash(s.options.Self) % uint64(s.options.FailbackDelay)
	return s.options.FailbackDelay + time.Duration(spread)
}

// rankOf returns the index of a source in the order of preference. Sources that are not configured come after all others.
func (s *Subscriber) rankOf(src *source) int {
	rank := slices.Index(s.sources, src.address)
	if rank < 0 {
		return len(s.sources)
	}
	return rank
}

// isConfigured reports whether a source is one of those set by SetSources.
func (s *Subscriber) isConfigured(src *source) bool { return slices.Contains(s.sources, src.address) }

// needsReplacement reports whether a source is unusable and should be replaced by any other.
func (s *Subscriber) needsReplacement(now time.Time, src *source) bool {
	return src == nil || !src.fresh || s.isSilent(now, src) || !s.isConfigured(src)
}

// isSilent reports whether nothing was received from a source for SilenceTimeout. The time during which this process was paused does not
// count.
func (s *Subscriber) isSilent(now time.Time, src *source) bool {
	return now.Sub(later(src.lastReceivedAt, s.resumedAt)) >= s.options.SilenceTimeout
}

// trySource subscribes to a source as a candidate, without leaving the current one.
func (s *Subscriber) trySource(now time.Time, address string, output *Output) {
	if s.current != nil && s.current.address == address {
		s.recordFailure(now, address) // it has been silent: subscribe once more, and try the others next
		s.subscribe(now, s.current, output)
		return
	}
	s.candidate = &source{address: address, startedAt: now}
	s.subscribe(now, s.candidate, output)
}

// evaluateCandidate decides whether the candidate, which has answered, becomes the current source.
func (s *Subscriber) evaluateCandidate(now time.Time, output *Output) {
	answered := s.candidate
	s.candidate = nil
	if s.isBetter(now, answered) {
		s.promote(now, answered, output)
		return
	}
	s.recordFailure(now, answered.address)
	s.unsubscribe(answered.address, output)
}

// isBetter reports whether a candidate that has answered is better than the current source.
func (s *Subscriber) isBetter(now time.Time, candidate *source) bool {
	if s.current == nil || s.isSilent(now, s.current) {
		return true
	}
	if !candidate.fresh {
		return false
	}
	if s.needsReplacement(now, s.current) {
		return true
	}
	if !s.current.complete {
		return candidate.complete
	}
	return candidate.complete && s.rankOf(candidate) < s.rankOf(s.current)
}

// promote makes a source the current one.
func (s *Subscriber) promote(now time.Time, candidate *source, output *Output) {
	if previous := s.current; previous != nil {
		if s.needsReplacement(now, previous) && s.isConfigured(previous) {
			s.recordFailure(now, previous.address)
		}
		s.unsubscribe(previous.address, output)
	}
	delete(s.failures, candidate.address)
	candidate.startedAt = now
	s.current = candidate
	s.listingNumber++
}

// recordFailure starts the backoff of a source that has failed. The backoff doubles with each failure, unless the previous one ended longer
// ago than its own length: that failure is taken to have had another cause.
func (s *Subscriber) recordFailure(now time.Time, address string) {
	backoff := initialBackoff
	if last, failed := s.failures[address]; failed && now.Sub(last.retryAt()) < last.backoff {
		backoff = min(maxBackoff, 2*last.backoff)
	}
	s.failures[address] = failure{failedAt: now, backoff: backoff}
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
