package control

import (
	"google.golang.org/protobuf/proto"

	"wallflow/internal/chain"
	"wallflow/internal/transport"
)

// network carries messages to other processes, by their internal addresses. Any of them may be lost.
type network interface {
	Send(to string, kind transport.Kind, message proto.Message)
	SendDatagram(to string, kind transport.Kind, message proto.Message)
	Batch(kind transport.Kind) batch
}

// batch sends one message to several processes.
type batch interface {
	Send(to string, message proto.Message)
}

// disk carries out the writes of the chain in order, and tells the process of the end of each.
type disk interface {
	add(write chain.Write)
}

// meshNetwork is the network of a process in service.
type meshNetwork struct{ *transport.Mesh }

// Batch returns an empty batch.
func (m meshNetwork) Batch(kind transport.Kind) batch { return m.Mesh.Batch(kind) }
