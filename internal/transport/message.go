// Package transport carries messages between the processes of the system: protobuf payloads in frames over TCP, and datagrams
// over UDP for probes. Messages are one-way and may be lost when a connection breaks. A reply is a message in the other
// direction.
package transport

import "google.golang.org/protobuf/proto"

// Kind identifies the component that a message is for.
type Kind uint8

// The message kinds.
const (
	KindChain    Kind = 1 // replication of the configuration between control processes
	KindSwim     Kind = 2 // SWIM membership protocol
	KindRegistry Kind = 3 // endpoint instances between control processes
	KindFeed     Kind = 4 // distribution from control processes and home relays to subscribers
	KindLease    Kind = 5 // leases on shared budgets
	KindCall     Kind = 6 // API calls that one control process forwards to another
	_                     // 7 was used by an earlier version
	KindWorkload Kind = 8 // load of relays at endpoints, between relays

	kindCount = 9 // size of an array indexed by Kind
)

// String returns the name of the kind, as used in metrics and logs.
func (k Kind) String() string {
	switch k {
	case KindChain:
		return "chain"
	case KindSwim:
		return "membership"
	case KindRegistry:
		return "registry"
	case KindFeed:
		return "feed"
	case KindLease:
		return "lease"
	case KindCall:
		return "call"
	case KindWorkload:
		return "workload"
	}
	return "unknown"
}

// Handler handles a message from the process with the internal address from. It is called concurrently.
type Handler func(from string, kind Kind, payload []byte)

// Sender sends messages. It never blocks: a message whose queue is full is dropped and counted.
type Sender interface {
	// Send sends a message over TCP to the process at the internal address to.
	Send(to string, kind Kind, message proto.Message)
	// SendDatagram sends a message over UDP. It is for small messages that may be lost.
	SendDatagram(to string, kind Kind, message proto.Message)
}
