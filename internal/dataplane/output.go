package dataplane

import (
	"wallflow/internal/distribution"
	"wallflow/internal/swim"
	"wallflow/internal/transport"
)

// sendMembership sends the messages that the membership state machine has produced.
func (p *Process) sendMembership(output swim.Output) {
	for _, datagram := range output.Datagrams {
		p.mesh.SendDatagram(datagram.To, transport.KindSwim, datagram.Message)
	}
	for _, message := range output.Messages {
		p.mesh.Send(message.To, transport.KindSwim, message.Message)
	}
}

// sendFeed sends messages of the configuration and endpoint feed.
func (p *Process) sendFeed(sends []distribution.Send) {
	batch := p.mesh.Batch(transport.KindFeed)
	for _, send := range sends {
		batch.Send(send.To, send.Message)
	}
}
