package distribution

import (
	"time"

	"wallflow/internal/distribution/feedpb"
)

// mostPerPart bounds the instances in one message: about 100 KB.
const mostPerPart = 1000

// Receive takes in a message of the process whose internal address is from.
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
	_, renewed := p.subscribers[from]
	p.subscribers[from] = now
	return p.answer(now, from, request, renewed)
}

// raiseToken puts a home's token above one that the subscriber saw from another home.
func (p *Publisher) raiseToken(request *feedpb.Subscribe) {
	if p.token == 0 || request.GetTokenSource() == p.source {
		return
	}
	if request.GetTokenSeen() >= p.token {
		p.token = request.GetTokenSeen() + 1
	}
}

// answer sends a subscriber what it lacks, with what is gathered for the next push, which then changes nothing there. One that renews and is where the publisher stands gets no answer. One that lags and lacks
// nothing does: it has to learn that it lags no more.
func (p *Publisher) answer(now time.Time, from string, request *feedpb.Subscribe, renewed bool) Output {
	config := p.config.since(now, request.GetRevision())
	var updates []*feedpb.Update
	if p.canResume(request) {
		if renewed && request.GetSequence() == p.sequence && config == nil {
			return Output{}
		}
		updates = p.split(now, p.order.since(request.GetSequence()))
		for _, update := range updates {
			update.Base = request.GetSequence()
		}
	} else {
		updates = p.listing(now, request.GetBuckets())
	}
	updates[0].Config = config
	var output Output
	for _, update := range updates {
		answer := p.newMessage()
		answer.Update = update
		output.Sends = append(output.Sends, Send{To: from, Message: answer})
	}
	return output
}

// canResume says whether the changes after the subscriber's position are known.
func (p *Publisher) canResume(request *feedpb.Subscribe) bool {
	return request.GetSource() == p.source && len(request.GetBuckets()) == 0 &&
		request.GetSequence() <= p.sequence && request.GetSequence() >= p.forgottenUpTo
}

// listing lists the instances of the buckets in which the subscriber holds something else.
func (p *Publisher) listing(now time.Time, theirs []uint64) []*feedpb.Update {
	var same [bucketCount]bool
	if len(theirs) == bucketCount {
		for bucket := range bucketCount {
			same[bucket] = theirs[bucket] == p.buckets[bucket]
		}
	}
	var listed []*published
	for known := p.order.first; known != nil; known = known.next {
		if !same[bucketOf(known.ID)] {
			listed = append(listed, known)
		}
	}
	updates := p.split(now, listed)
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
