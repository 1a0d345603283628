package control

import (
	"time"

	"wallflow/internal/chain/chainpb"
	"wallflow/internal/distribution/feedpb"
	"wallflow/internal/swim/swimpb"
	"wallflow/internal/transport"
)

// receive handles a message from another process.
func (p *Process) receive(from string, kind transport.Kind, payload []byte) {
	now := p.clock()
	inbox := transport.Inbox{Lock: &p.mu, Log: p.log}
	switch kind {
	case transport.KindChain:
		message := new(chainpb.Message)
		inbox.Handle(from, payload, message, func() { p.receiveChain(now, from, message) })
	case transport.KindSwim:
		message := new(swimpb.Message)
		inbox.Handle(from, payload, message, func() { p.sendMembership(p.members.Receive(now, from, message)) })
	case transport.KindRegistry:
		message := new(feedpb.RegistryMessage)
		inbox.Handle(from, payload, message, func() { p.receiveRegistry(now, from, message) })
	case transport.KindFeed:
		message := new(feedpb.FeedMessage)
		inbox.Handle(from, payload, message, func() { p.sendFeed(p.feed.Receive(now, from, message)) })
	}
}

func (p *Process) receiveChain(now time.Time, from string, message *chainpb.Message) {
	p.applyChainOutput(p.chain.Receive(now, from, message))
	p.publishConfig(now)
}

// writeDone handles the completion of a write to the store.
func (p *Process) writeDone(token uint64, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.log.Error("write to the store failed", "error", err)
	}
	now := p.clock()
	p.applyChainOutput(p.chain.Written(now, token, err))
	p.publishConfig(now)
}
