package control

import (
	"time"

	"wallflow/internal/chain"
	"wallflow/internal/distribution"
	"wallflow/internal/swim"
	"wallflow/internal/transport"
)

// carryOut sends, writes and answers what the chain wants.
func (p *Process) carryOut(output chain.Output) {
	for _, line := range output.Logs {
		p.log.Info("chain", "event", line)
	}
	for _, write := range output.Writes {
		p.disk.add(write)
	}
	for _, send := range output.Sends {
		p.network.Send(send.To, transport.KindChain, send.Message)
	}
	for _, answer := range output.Answers {
		if waiting := p.answers[answer.Request]; waiting != nil {
			delete(p.answers, answer.Request)
			waiting <- answer
		}
	}
}

// spread sends what membership wants.
func (p *Process) spread(output swim.Output) {
	for _, datagram := range output.Datagrams {
		p.network.SendDatagram(datagram.To, transport.KindSwim, datagram.Message)
	}
	for _, message := range output.Messages {
		p.network.Send(message.To, transport.KindSwim, message.Message)
	}
	for _, member := range output.Changed {
		p.log.Info("member", "name", member.Name, "status", member.Status, "serving", member.Meta.Serving)
	}
}

// deliver sends what the feed wants.
func (p *Process) deliver(output distribution.Output) {
	batch := p.network.Batch(transport.KindFeed)
	for _, send := range output.Sends {
		batch.Send(send.To, send.Message)
	}
}

// publish hands the committed configuration to the feed when it has changed.
func (p *Process) publish(now time.Time) {
	state, revision := p.chain.Committed()
	if revision == p.published.revision {
		return
	}
	current, ok := state.(replicated)
	if !ok || revision < p.published.revision {
		return
	}
	update := p.restored.update(now, current.state, revision)
	update.Steps = p.published.step(current.state, revision)
	p.published = published{state: current.state, revision: revision}
	p.deliver(p.feed.SetConfig(now, update))
}
