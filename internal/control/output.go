package control

import (
	"time"

	"wallflow/internal/chain"
	"wallflow/internal/distribution"
	"wallflow/internal/swim"
	"wallflow/internal/transport"
)

// applyChainOutput logs, writes, sends and answers what the chain state machine has produced.
func (p *Process) applyChainOutput(output chain.Output) {
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
		if waiting := p.pendingAnswers[answer.Request]; waiting != nil {
			delete(p.pendingAnswers, answer.Request)
			waiting <- answer
		}
	}
}

// sendMembership sends the messages of the membership state machine and logs changed members.
func (p *Process) sendMembership(output swim.Output) {
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

// sendFeed sends the messages of the configuration and endpoint feed.
func (p *Process) sendFeed(output distribution.Output) {
	batch := p.network.Batch(transport.KindFeed)
	for _, send := range output.Sends {
		batch.Send(send.To, send.Message)
	}
}

// publishConfig passes the committed configuration to the feed when it has changed.
func (p *Process) publishConfig(now time.Time) {
	state, revision := p.chain.Committed()
	if revision == p.published.revision {
		return
	}
	current, ok := state.(replicatedConfig)
	if !ok || revision < p.published.revision {
		return
	}
	update := p.restorationTimes.feedUpdate(now, current.state, revision)
	update.Steps = p.published.stepsTo(current.state, revision)
	p.published = published{state: current.state, revision: revision}
	p.knownChanges.learn(current.state.Changes())
	p.sendFeed(p.feed.SetConfig(now, update))
}
