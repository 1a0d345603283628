package distribution

import (
	"time"

	"wallflow/internal/distribution/feedpb"
)

// source is a publisher that this subscriber is subscribed to, or is trying to subscribe to.
type source struct {
	address       string
	life          string // random name of the run of the publisher process; empty until it answers
	sequence      uint64 // all changes of the source up to this one have been received
	positionKnown bool   // sequence is valid
	hasGap        bool   // something is missing and must be requested

	parts partTracker // of the update that is being received

	fresh           bool      // the source is in contact with the majority of the control processes
	complete        bool      // the source had time to learn of every instance
	startedAt       time.Time // since when it has been the current source, or the candidate
	completeSince   time.Time // since when complete is true
	lastReceivedAt  time.Time
	subscribeSentAt time.Time // when a subscription was last sent
	differsSince    time.Time // since when its instances differ from the own ones; zero if they do not
}

// partTracker tracks the parts of an update.
type partTracker struct {
	sequence uint64 // of the update
	next     uint32 // number of the expected part
}

// accept tracks a received part. It reports whether the update is now complete, and whether the part came in order.
func (p *partTracker) accept(update *feedpb.Update) (complete, inOrder bool) {
	if update.GetPart() == 0 {
		*p = partTracker{sequence: update.GetSequence()}
	}
	if update.GetPart() != p.next || update.GetSequence() != p.sequence {
		return false, false
	}
	p.next++
	return !update.GetMore(), true
}

// advance advances the position by an update. It returns false if the update shows a gap.
func (s *source) advance(update *feedpb.Update) bool {
	complete, inOrder := s.parts.accept(update)
	if !inOrder {
		return s.positionKnown && update.GetSequence() <= s.sequence
	}
	if !complete {
		return true
	}
	if update.GetListing() {
		if !s.positionKnown || update.GetSequence() > s.sequence {
			s.sequence = update.GetSequence()
		}
		s.positionKnown = true
		s.hasGap = false
		return true
	}
	if !s.positionKnown || update.GetBase() > s.sequence {
		return false
	}
	s.sequence = max(s.sequence, update.GetSequence())
	s.hasGap = false
	return true
}

// isAuthoritative reports whether an update is no older than what the source sent before, so that it decides which instances are silent.
func (s *source) isAuthoritative(update *feedpb.Update) bool {
	if !s.positionKnown {
		return update.GetListing()
	}
	return update.GetSequence() >= s.sequence
}

// sourceAt returns the current source or the candidate if it has the address, or nil.
func (s *Subscriber) sourceAt(address string) *source {
	if s.current != nil && s.current.address == address {
		return s.current
	}
	if s.candidate != nil && s.candidate.address == address {
		return s.candidate
	}
	return nil
}

// recordContact records that a message was received from a source, and detects a restart of its process.
func (s *Subscriber) recordContact(now time.Time, sender *source, life string, fresh, complete bool) {
	if sender.life != life {
		if sender.life != "" {
			sender.positionKnown = false
			sender.hasGap = true
			sender.complete = false
			if sender == s.current {
				s.listingNumber++
			}
		}
		sender.life = life
	}
	if complete && !sender.complete {
		sender.completeSince = now
	}
	if sender == s.current {
		delete(s.failures, sender.address)
	}
	sender.lastReceivedAt = now
	sender.fresh = fresh
	sender.complete = complete
}

// requestMissing requests from the source what is missing, at most once per ResubscribeInterval.
func (s *Subscriber) requestMissing(now time.Time, current *source, output *Output) {
	if !current.hasGap && !s.wantsFullDocument {
		return
	}
	if now.Sub(current.subscribeSentAt) < s.options.ResubscribeInterval {
		return
	}
	s.subscribe(now, current, output)
}

// renewSubscription renews the subscription when that is due.
func (s *Subscriber) renewSubscription(now time.Time, current *source, output *Output) {
	if now.Sub(current.subscribeSentAt) >= s.options.RenewInterval {
		s.subscribe(now, current, output)
	}
}

// subscribe sends a subscription, which contains what this process already has, to a source.
func (s *Subscriber) subscribe(now time.Time, src *source, output *Output) {
	src.subscribeSentAt = now
	request := &feedpb.Subscribe{
		Revision:    s.config.Revision,
		TokenSeen:   s.tokenSeen,
		TokenSource: s.tokenSource,
	}
	if s.wantsFullDocument {
		request.Revision = 0
	}
	if src.positionKnown {
		request.Source = src.life
		request.Sequence = src.sequence
	} else {
		digests := s.buckets
		request.Buckets = digests[:]
	}
	message := &feedpb.FeedMessage{Source: s.options.Self, Subscribe: request}
	output.Sends = append(output.Sends, Send{To: src.address, Message: message})
}

// unsubscribe ends the subscription at a publisher.
func (s *Subscriber) unsubscribe(address string, output *Output) {
	message := &feedpb.FeedMessage{Source: s.options.Self, Unsubscribe: &feedpb.Unsubscribe{}}
	output.Sends = append(output.Sends, Send{To: address, Message: message})
}
