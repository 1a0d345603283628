package config

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"wallflow/internal/config/configpb"
)

// OrderKind is the kind of an order.
type OrderKind uint8

// The kinds of order.
const (
	Put      OrderKind = 1 // replaces the whole configuration
	Patch    OrderKind = 2 // changes items of the configuration by name
	Evacuate OrderKind = 3 // stops sending requests to the endpoints of a zone
	Restore  OrderKind = 4 // ends the evacuation of a zone
)

// String returns the name of the kind for logs.
func (k OrderKind) String() string {
	switch k {
	case Put:
		return "put"
	case Patch:
		return "patch"
	case Evacuate:
		return "evacuate"
	case Restore:
		return "restore"
	}
	return fmt.Sprintf("order kind %d", uint8(k))
}

func (k OrderKind) valid() bool { return k >= Put && k <= Restore }

// Order is a change requested by an operator.
type Order struct {
	Kind     OrderKind
	Match    uint64 // version that the change is based on, from If-Match
	HasMatch bool   // whether the request had an If-Match header
	Body     []byte // document for Put, patch for Patch
	Zone     string // zone for Evacuate and Restore

	// Known is State.Changes of the newest state known to the process that received an order about a zone. It reveals an order that was
	// delayed until after a newer order about the same zone. It is valid only if HasKnownChanges is set.
	HasKnownChanges bool
	KnownChanges    uint64
}

// Encode returns the order in its replicated encoding.
func (o Order) Encode() []byte {
	return marshal(&configpb.Order{
		Kind:     uint32(o.Kind),
		HasMatch: o.HasMatch,
		Match:    o.Match,
		Body:     o.Body,
		Zone:     []byte(o.Zone),
		HasKnown: o.HasKnownChanges,
		Known:    o.KnownChanges,
	})
}

// DecodeOrder decodes the replicated encoding of an order.
func DecodeOrder(text []byte) (Order, error) {
	var message configpb.Order
	if err := proto.Unmarshal(text, &message); err != nil {
		return Order{}, trace.Wrap(err, "order")
	}
	if message.Kind > uint32(Restore) || !OrderKind(message.Kind).valid() {
		return Order{}, trace.BadParameter("order of unknown kind %d", message.Kind)
	}
	return Order{
		Kind:            OrderKind(message.Kind),
		HasMatch:        message.HasMatch,
		Match:           message.Match,
		Body:            message.Body,
		Zone:            string(message.Zone),
		HasKnownChanges: message.HasKnown,
		KnownChanges:    message.Known,
	}, nil
}

// marshal panics if a message can't be encoded, which happens only for strings that are not UTF-8. ApplyOrder keeps these out of
// the state.
func marshal(message proto.Message) []byte {
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("config: %v", err))
	}
	return text
}

// digestSize is the number of bytes kept of a SHA-256 hash.
const digestSize = 16

// digest is a truncated SHA-256 hash. It identifies a configuration change, or the text of an item.
type digest [digestSize]byte

// digest returns the digest of a configuration change. Orders with equal digests are the same order.
func (o Order) digest() digest {
	hash := sha256.New()
	var header [10]byte
	header[0] = byte(o.Kind)
	if o.HasMatch {
		header[1] = 1
	}
	binary.BigEndian.PutUint64(header[2:], o.Match)
	hash.Write(header[:])
	hash.Write(o.Body)
	var sum digest
	copy(sum[:], hash.Sum(nil))
	return sum
}
