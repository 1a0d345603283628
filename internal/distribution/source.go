package distribution

import (
	"time"

	"wallflow/internal/distribution/feedpb"
)

// source is a publisher that this subscriber is subscribed to, or tries to be.
type source struct {
	address  string
	life     string // of the publisher; empty until it answers
	sequence uint64 // all its changes up to this one are held
	placed   bool   // sequence is known
	gap      bool   // something is missing and must be asked for

	part parts // of a long update that is under way

	fresh         bool
	complete      bool
	since         time.Time // it has been the current source since then, or has been tried since then
	completeSince time.Time
	heardAt       time.Time
	askedAt       time.Time
	differsSince  time.Time // its instances have differed from the own ones since then
}

// parts counts the parts of a long update.
type parts struct {
	sequence uint64
	next     uint32
}

// take counts a part. It returns whether the update is whole now, and whether the part came in its order.
func (p *parts) take(update *feedpb.Update) (whole, inOrder bool) {
	if update.GetPart() == 0 {
		*p = parts{sequence: update.GetSequence()}
	}
	if update.GetPart() != p.next || update.GetSequence() != p.sequence {
		return false, false
	}
	p.next++
	return !update.GetMore(), true
}

// advance moves the position on by an update. It returns false where the update shows a gap.
func (s *source) advance(update *feedpb.Update) bool {
	whole, inOrder := s.part.take(update)
	if !inOrder {
		return s.placed && update.GetSequence() <= s.sequence
	}
	if !whole {
		return true
	}
	if update.GetListing() {
		if !s.placed || update.GetSequence() > s.sequence {
			s.sequence = update.GetSequence()
		}
		s.placed = true
		s.gap = false
		return true
	}
	if !s.placed || update.GetBase() > s.sequence {
		return false
	}
	s.sequence = max(s.sequence, update.GetSequence())
	s.gap = false
	return true
}

// mayJudge says whether the update is no older than what the source said before, so that its opinion on silence counts.
func (s *source) mayJudge(update *feedpb.Update) bool {
	if !s.placed {
		return update.GetListing()
	}
	return update.GetSequence() >= s.sequence
}

// sourceAt returns the source at an address; nil: the address is none.
func (s *Subscriber) sourceAt(address string) *source {
	if s.current != nil && s.current.address == address {
		return s.current
	}
	if s.candidate != nil && s.candidate.address == address {
		return s.candidate
	}
	return nil
}

// hear notes that a source spoke, and notices when its process has been started again.
func (s *Subscriber) hear(now time.Time, sender *source, life string, fresh, complete bool) {
	if sender.life != life {
		if sender.life != "" {
			sender.placed = false
			sender.gap = true
			sender.complete = false
			if sender == s.current {
				s.listing++
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
	sender.heardAt = now
	sender.fresh = fresh
	sender.complete = complete
}

// mendGap asks the source for what is missing, not too often.
func (s *Subscriber) mendGap(now time.Time, current *source, output *Output) {
	if !current.gap && !s.wantWhole {
		return
	}
	if now.Sub(current.askedAt) < s.options.AskInterval {
		return
	}
	s.ask(now, current, output)
}

// renew keeps the subscription alive.
func (s *Subscriber) renew(now time.Time, current *source, output *Output) {
	if now.Sub(current.askedAt) >= s.options.RenewInterval {
		s.ask(now, current, output)
	}
}

// ask sends a subscription that tells what is held.
func (s *Subscriber) ask(now time.Time, asked *source, output *Output) {
	asked.askedAt = now
	request := &feedpb.Subscribe{
		Revision:    s.config.Revision,
		TokenSeen:   s.tokenSeen,
		TokenSource: s.tokenSource,
	}
	if s.wantWhole {
		request.Revision = 0
	}
	if asked.placed {
		request.Source = asked.life
		request.Sequence = asked.sequence
	} else {
		held := s.buckets
		request.Buckets = held[:]
	}
	message := &feedpb.FeedMessage{Source: s.options.Self, Subscribe: request}
	output.Sends = append(output.Sends, Send{To: asked.address, Message: message})
}

// unsubscribe tells a publisher that this process is no longer its subscriber.
func (s *Subscriber) unsubscribe(address string, output *Output) {
	message := &feedpb.FeedMessage{Source: s.options.Self, Unsubscribe: &feedpb.Unsubscribe{}}
	output.Sends = append(output.Sends, Send{To: address, Message: message})
}
