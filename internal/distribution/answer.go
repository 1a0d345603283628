package distribution

import (
	"time"

	"wallflow/internal/distribution/feedpb"
)

// maxInstancesPerPart is the maximum number of instances in one message, which then has about 100 KB.
const maxInstancesPerPart = 1000

// Receive processes a message from the process whose internal address is from. It ignores everything but subscriptions and
// unsubscriptions.
func (p *Publisher) Receive(now time.Time, from string, message *feedpb.FeedMessage) Output {
	if message.GetUnsubscribe() != nil {
		delete(p.subscribers, from)
		return Output{}
	}
	request := message.GetSubscribe()
	if request == nil {
		return Output{}
	}
	p.raiseToken(request)
	_, isRenewal := p.subscribers[from]
	p.subscribers[from] = now
	return p.answer(now, from, request, isRenewal)
}

// raiseToken raises the fencing token of a home above a token that the subscriber has seen from another home.
func (p *Publisher) raiseToken(request *feedpb.Subscribe) {
	if p.token == 0 || request.GetTokenSource() == p.life {
		return
	}
	if request.GetTokenSeen() >= p.token {
		p.token = request.GetTokenSeen() + 1
	}
}

// answer sends a subscriber what it lacks, including changes that are still batched for the next push; that push then changes nothing at
// the subscriber. A renewal by a subscriber that is up to date gets no answer. A subscriber whose position is old gets one even if there
// are no changes for it, since it has to learn the current position.
func (p *Publisher) answer(now time.Time, from string, request *feedpb.Subscribe, isRenewal bool) Output {
	configUpdate := p.config.updateSince(now, request.GetRevision())
	var updates []*feedpb.Update
	if p.canResume(request) {
		if isRenewal && request.GetSequence() == p.sequence && configUpdate == nil {
			return Output{}
		}
		updates = p.splitUpdate(now, p.changeOrder.changedSince(request.GetSequence()))
		for _, update := range updates {
			update.Base = request.GetSequence()
		}
	} else {
		updates = p.listingUpdates(now, request.GetBuckets())
	}
	updates[0].Config = configUpdate
	var output Output
	for _, update := range updates {
		answer := p.newMessage()
		answer.Update = update
		output.Sends = append(output.Sends, Send{To: from, Message: answer})
	}
	return output
}

// canResume reports whether all changes after the position of the subscriber are still known.
func (p *Publisher) canResume(request *feedpb.Subscribe) bool {
	return request.GetSource() == p.life && len(request.GetBuckets()) == 0 &&
		request.GetSequence() <= p.sequence && request.GetSequence() >= p.forgottenUpTo
}

// listingUpdates returns updates that list all instances of the buckets in which the subscriber differs from the publisher.
func (p *Publisher) listingUpdates(now time.Time, subscriberBuckets []uint64) []*feedpb.Update {
	var same [bucketCount]bool
	if len(subscriberBuckets) == bucketCount {
		for bucket := range bucketCount {
			same[bucket] = subscriberBuckets[bucket] == p.buckets[bucket]
		}
	}
	var differing []*publishedInstance
	for known := p.changeOrder.first; known != nil; known = known.next {
		if !same[bucketOf(known.ID)] {
			differing = append(differing, known)
		}
	}
	updates := p.splitUpdate(now, differing)
	for _, update := range updates {
		update.Listing = true
	}
	for bucket, isSame := range same {
		if isSame {
			updates[0].SameBuckets = append(updates[0].SameBuckets, uint32(bucket))
		}
	}
	return updates
}
