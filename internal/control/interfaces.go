package control

import (
	"google.golang.org/protobuf/proto"

	"wallflow/internal/chain"
	"wallflow/internal/transport"
)

// network sends messages to other processes by their internal addresses. Any message may be lost.
type network interface {
	Send(to string, kind transport.Kind, message proto.Message)
	SendDatagram(to string, kind transport.Kind, message proto.Message)
	Batch(kind transport.Kind) batch
}

// batch sends one message to several processes; an implementation may encode it only once.
type batch interface {
	Send(to string, message proto.Message)
}

// disk executes the writes to one file in order, and reports the completion of each to the process.
type disk interface {
	add(write chain.Write)
}

// meshNetwork implements network on real sockets.
type meshNetwork struct{ *transport.Mesh }

// Batch returns an empty batch.
func (m meshNetwork) Batch(kind transport.Kind) batch { return m.Mesh.Batch(kind) }
