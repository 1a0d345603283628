package transport

import "google.golang.org/protobuf/proto"

// Batch sends messages of one kind. A message that goes to several processes one after the other is encoded, and compressed,
// only once. It is for one goroutine, and for the time of one call: messages must not change between its sends.
type Batch struct {
	mesh    *Mesh
	kind    Kind
	last    proto.Message
	encoded []byte // the frame of the last message; nil: it can't be sent
}

// Batch returns an empty batch.
func (m *Mesh) Batch(kind Kind) *Batch { return &Batch{mesh: m, kind: kind} }

// Send sends a message as Sender does.
func (b *Batch) Send(to string, message proto.Message) {
	if to == b.mesh.address {
		b.sendLocal(message)
		return
	}
	if message != b.last {
		b.last = message
		b.encoded = b.encode(message)
		if b.encoded != nil {
			b.encoded = compressFrame(b.encoded)
		}
	}
	if b.encoded == nil {
		b.mesh.meters.droppedLarge.Add(1)
		return
	}
	b.mesh.sendFrame(to, b.kind, b.encoded)
}

// sendLocal sends to the process itself, whose handler owns the bytes that it gets.
func (b *Batch) sendLocal(message proto.Message) {
	encoded := b.encode(message)
	if encoded == nil {
		b.mesh.meters.droppedLarge.Add(1)
		return
	}
	b.mesh.sendFrame(b.mesh.address, b.kind, encoded)
}

// encode returns the frame of a message; nil: it can't be sent.
func (b *Batch) encode(message proto.Message) []byte {
	encoded, err := encodeFrame(b.kind, message)
	if err != nil {
		return nil
	}
	return encoded
}
