package distribution

import (
	"cmp"
	"slices"
	"time"

	"wallflow/internal/registry"
)

const (
	firstBackOff   = time.Second
	longestBackOff = 30 * time.Second
	// needyBackOff is how long a source that failed is left alone by a process whose current source is no good: what a source
	// failed for, like a core that is about to agree on a new view, may be over long before its back-off is.
	needyBackOff = 500 * time.Millisecond
	// fillingTrials is how many of the best sources are tried while the current one does not know all instances yet: the process
	// takes no traffic before its source does.
	fillingTrials = 3
)

// failure is why a source isn't tried for a while.
type failure struct {
	at      time.Time
	backOff time.Duration
}

func (f failure) until() time.Time { return f.at.Add(f.backOff) }

// seek looks for another source where the current one is no good or isn't the best one.
func (s *Subscriber) seek(now time.Time, output *Output) {
	if s.candidate != nil {
		if s.isListed(s.candidate) && !s.isOverdue(now) {
			return
		}
		s.fail(now, s.candidate.address)
		s.unsubscribe(s.candidate.address, output)
		s.candidate = nil
	}
	if next := s.nextSource(now); next != "" {
		s.try(now, next, output)
	}
}

// isOverdue says whether the candidate should have answered by now.
func (s *Subscriber) isOverdue(now time.Time) bool {
	return now.Sub(later(s.candidate.since, s.awakeSince)) >= s.options.AskTimeout
}

// nextSource returns the source to try now; "": none.
func (s *Subscriber) nextSource(now time.Time) string {
	if s.isBad(now, s.current) {
		return cmp.Or(s.bestUntried(now, len(s.ordered)), s.longestFailed(now))
	}
	if !s.current.complete {
		return s.bestUntried(now, min(fillingTrials, len(s.ordered)))
	}
	if now.Sub(s.current.since) < s.returnAfter() {
		return ""
	}
	return s.bestUntried(now, s.rankOf(s.current))
}

// bestUntried returns the best source of those before the given rank that isn't the current one and hasn't failed lately.
func (s *Subscriber) bestUntried(now time.Time, before int) string {
	for _, address := range s.ordered[:before] {
		if !s.speaks(now, address) && !now.Before(s.failures[address].until()) {
			return address
		}
	}
	return ""
}

// speaks says whether a source is the current one and not silent: it needs no trial.
func (s *Subscriber) speaks(now time.Time, address string) bool {
	return s.current != nil && s.current.address == address && !s.isSilent(now, s.current)
}

// longestFailed returns the source whose trial lies back the longest, if that is some time ago.
func (s *Subscriber) longestFailed(now time.Time) string {
	longest, earliest := "", now.Add(-needyBackOff)
	for _, address := range s.ordered {
		if at := s.failures[address].at; !s.speaks(now, address) && at.Before(earliest) {
			longest, earliest = address, at
		}
	}
	return longest
}

// returnAfter is the time before a better source is tried, spread so that not all subscribers return at once.
func (s *Subscriber) returnAfter() time.Duration {
	spread := registry.IDHash(s.options.Self) % uint64(s.options.ReturnAfter)
	return s.options.ReturnAfter + time.Duration(spread)
}

// rankOf returns the place of a source in the order; that of an unlisted one is after all others.
func (s *Subscriber) rankOf(ranked *source) int {
	rank := slices.Index(s.ordered, ranked.address)
	if rank < 0 {
		return len(s.ordered)
	}
	return rank
}

func (s *Subscriber) isListed(listed *source) bool { return slices.Contains(s.ordered, listed.address) }

// isBad says whether a source should be left for another.
func (s *Subscriber) isBad(now time.Time, judged *source) bool {
	return judged == nil || !judged.fresh || s.isSilent(now, judged) || !s.isListed(judged)
}

// isSilent says whether a source has said nothing for too long. The time that this process was away itself doesn't count.
func (s *Subscriber) isSilent(now time.Time, judged *source) bool {
	return now.Sub(later(judged.heardAt, s.awakeSince)) >= s.options.SilentAfter
}

// try begins to subscribe to a source, without leaving the current one.
func (s *Subscriber) try(now time.Time, address string, output *Output) {
	if s.current != nil && s.current.address == address {
		s.fail(now, address) // it has been silent: ask it once more, and the others next
		s.ask(now, s.current, output)
		return
	}
	s.candidate = &source{address: address, since: now}
	s.ask(now, s.candidate, output)
}

// judgeCandidate decides, when the candidate has answered, whether it becomes the source.
func (s *Subscriber) judgeCandidate(now time.Time, output *Output) {
	answered := s.candidate
	s.candidate = nil
	if s.isBetter(now, answered) {
		s.promote(now, answered, output)
		return
	}
	s.fail(now, answered.address)
	s.unsubscribe(answered.address, output)
}

// isBetter says whether a source that has answered is better than the current one.
func (s *Subscriber) isBetter(now time.Time, answered *source) bool {
	if s.current == nil || s.isSilent(now, s.current) {
		return true
	}
	if !answered.fresh {
		return false
	}
	if s.isBad(now, s.current) {
		return true
	}
	if !s.current.complete {
		return answered.complete
	}
	return answered.complete && s.rankOf(answered) < s.rankOf(s.current)
}

// promote makes a source the current one.
func (s *Subscriber) promote(now time.Time, promoted *source, output *Output) {
	if left := s.current; left != nil {
		if s.isBad(now, left) && s.isListed(left) {
			s.fail(now, left.address)
		}
		s.unsubscribe(left.address, output)
	}
	delete(s.failures, promoted.address)
	promoted.since = now
	s.current = promoted
	s.listing++
}

// fail keeps a source from being tried for a while, longer each time. A failure that lies back as long again as it kept the source
// from being tried is of another trouble.
func (s *Subscriber) fail(now time.Time, address string) {
	backOff := firstBackOff
	if last, failed := s.failures[address]; failed && now.Sub(last.until()) < last.backOff {
		backOff = min(longestBackOff, 2*last.backOff)
	}
	s.failures[address] = failure{at: now, backOff: backOff}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
