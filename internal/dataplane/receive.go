package dataplane

import (
	"time"

	"wallflow/internal/distribution/feedpb"
	"wallflow/internal/swim/swimpb"
	"wallflow/internal/transport"
)

// receive takes a message of another process.
func (p *Process) receive(from string, kind transport.Kind, payload []byte) {
	now := time.Now()
	switch kind {
	case transport.KindSwim:
		message := new(swimpb.Message)
		if transport.Decode(p.log, from, payload, message) {
			p.mu.Lock()
			p.spread(p.members.Receive(now, from, message))
			p.mu.Unlock()
		}
	case transport.KindFeed:
		message := new(feedpb.FeedMessage)
		if transport.Decode(p.log, from, payload, message) {
			p.mu.Lock()
			p.receiveFeed(now, from, message)
			p.mu.Unlock()
		}
	case transport.KindWorkload:
		p.receiveLoads(now, from, payload)
	}
}

// receiveFeed gives a message to the side that it is for: questions to the publisher, answers to the subscriber.
func (p *Process) receiveFeed(now time.Time, from string, message *feedpb.FeedMessage) {
	if message.GetSubscribe() != nil || message.GetUnsubscribe() != nil {
		p.deliver(p.home.Receive(now, from, message).Sends)
		return
	}
	p.takeFeed(now, p.subscriber.Receive(now, from, message))
}
