package control

import (
	"time"

	"wallflow/internal/chain/chainpb"
	"wallflow/internal/distribution/feedpb"
	"wallflow/internal/swim/swimpb"
	"wallflow/internal/transport"
)

// receive takes a message of another process.
func (p *Process) receive(from string, kind transport.Kind, payload []byte) {
	now := p.clock()
	inbox := transport.Inbox{Lock: &p.mu, Log: p.log}
	switch kind {
	case transport.KindChain:
		message := new(chainpb.Message)
		inbox.Take(from, payload, message, func() { p.receiveChain(now, from, message) })
	case transport.KindSwim:
		message := new(swimpb.Message)
		inbox.Take(from, payload, message, func() { p.spread(p.members.Receive(now, from, message)) })
	case transport.KindRegistry:
		message := new(feedpb.RegistryMessage)
		inbox.Take(from, payload, message, func() { p.receiveRegistry(now, from, message) })
	case transport.KindFeed:
		message := new(feedpb.FeedMessage)
		inbox.Take(from, payload, message, func() { p.deliver(p.feed.Receive(now, from, message)) })
	}
}

func (p *Process) receiveChain(now time.Time, from string, message *chainpb.Message) {
	p.carryOut(p.chain.Receive(now, from, message))
	p.publish(now)
}

// written takes the end of a write to the store.
func (p *Process) written(token uint64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.log.Error("store failed", "error", err)
	}
	now := p.clock()
	p.carryOut(p.chain.Written(now, token, err))
	p.publish(now)
}
