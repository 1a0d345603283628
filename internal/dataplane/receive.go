package dataplane

import (
	"time"

	"wallflow/internal/distribution/feedpb"
	"wallflow/internal/swim/swimpb"
	"wallflow/internal/transport"
	"wallflow/internal/workload/workloadpb"
)

// receive handles a message from another process.
func (p *Process) receive(from string, kind transport.Kind, payload []byte) {
	now := time.Now()
	inbox := transport.Inbox{Lock: &p.mu, Log: p.log}
	switch kind {
	case transport.KindSwim:
		message := new(swimpb.Message)
		inbox.Handle(from, payload, message, func() { p.sendMembership(p.members.Receive(now, from, message)) })
	case transport.KindFeed:
		message := new(feedpb.FeedMessage)
		inbox.Handle(from, payload, message, func() { p.receiveFeed(now, from, message) })
	case transport.KindWorkload:
		message := new(workloadpb.Message)
		inbox.Handle(from, payload, message, func() { p.loads.Receive(now, from, message) })
	}
}

// receiveFeed passes a message to the side of the feed it is meant for: subscriptions to the publisher, updates to the subscriber.
func (p *Process) receiveFeed(now time.Time, from string, message *feedpb.FeedMessage) {
	if message.GetSubscribe() != nil || message.GetUnsubscribe() != nil {
		p.sendFeed(p.homePublisher.Receive(now, from, message).Sends)
		return
	}
	p.applyFeedOutput(now, p.subscriber.Receive(now, from, message))
}
