package config

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"

	"github.com/gravitational/trace"
	"google.golang.org/protobuf/proto"

	"wallflow/internal/config/configpb"
)

// OrderKind says what an order asks for.
type OrderKind uint8

// The kinds of order.
const (
	Put      OrderKind = 1 // replace the whole configuration
	Patch    OrderKind = 2 // change items of the configuration by name
	Evacuate OrderKind = 3 // send nothing more to the endpoints of a zone
	Restore  OrderKind = 4 // take an evacuation back
)

// String names the kind for logs.
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

func (k OrderKind) known() bool { return k >= Put && k <= Restore }

// Order is one order of the operator.
type Order struct {
	Kind     OrderKind
	Match    uint64 // the version on which it builds, from If-Match
	HasMatch bool   // there was an If-Match
	Body     []byte // of Put and Patch
	Zone     string // of Evacuate and Restore

	// With HasKnown, Known is what Changes was of the newest state that was known where an order about a zone was taken in. An order that
	// comes late, after a newer one about its zone, is known by it.
	HasKnown bool
	Known    uint64
}

// Encode returns the order's replicated form.
func (o Order) Encode() []byte {
	return marshal(&configpb.Order{
		Kind:     uint32(o.Kind),
		HasMatch: o.HasMatch,
		Match:    o.Match,
		Body:     o.Body,
		Zone:     []byte(o.Zone),
		HasKnown: o.HasKnown,
		Known:    o.Known,
	})
}

// DecodeOrder reads an order's replicated form.
func DecodeOrder(text []byte) (Order, error) {
	var message configpb.Order
	if err := proto.Unmarshal(text, &message); err != nil {
		return Order{}, trace.Wrap(err, "order")
	}
	if message.Kind > uint32(Restore) || !OrderKind(message.Kind).known() {
		return Order{}, trace.BadParameter("order of unknown kind %d", message.Kind)
	}
	return Order{
		Kind:     OrderKind(message.Kind),
		HasMatch: message.HasMatch,
		Match:    message.Match,
		Body:     message.Body,
		Zone:     string(message.Zone),
		HasKnown: message.HasKnown,
		Known:    message.Known,
	}, nil
}

// marshal panics where a message has no protobuf form: where text is not UTF-8, which ApplyOrder keeps out of the state.
func marshal(message proto.Message) []byte {
	text, err := proto.MarshalOptions{Deterministic: true}.Marshal(message)
	if err != nil {
		panic(fmt.Sprintf("config: %v", err))
	}
	return text
}

// digestSize is how much of a SHA-256 sum is kept to know an order again.
const digestSize = 16

// digest tells one change of the configuration from another: two orders with the same digest are the same order.
type digest [digestSize]byte

func (o Order) digest() digest {
	hash := sha256.New()
	var head [10]byte
	head[0] = byte(o.Kind)
	if o.HasMatch {
		head[1] = 1
	}
	binary.BigEndian.PutUint64(head[2:], o.Match)
	hash.Write(head[:])
	hash.Write(o.Body)
	var sum digest
	copy(sum[:], hash.Sum(nil))
	return sum
}
