package dataplane

import (
	"wallflow/internal/distribution"
	"wallflow/internal/swim"
	"wallflow/internal/transport"
)

// spread sends what membership wants.
func (p *Process) spread(output swim.Output) {
	for _, datagram := range output.Datagrams {
		p.mesh.SendDatagram(datagram.To, transport.KindSwim, datagram.Message)
	}
	for _, message := range output.Messages {
		p.mesh.Send(message.To, transport.KindSwim, message.Message)
	}
}

// deliver sends messages of the feed.
func (p *Process) deliver(sends []distribution.Send) {
	batch := p.mesh.Batch(transport.KindFeed)
	for _, send := range sends {
		batch.Send(send.To, send.Message)
	}
}
