package transport

import "google.golang.org/protobuf/proto"

// Batch sends messages of one kind. A message that is sent to several processes in a row is encoded and compressed only once,
// so it must not change between these sends. A Batch is not safe for concurrent use.
type Batch struct {
	mesh        *Mesh
	kind        Kind
	lastMessage proto.Message
	lastFrame   []byte // encoded frame of lastMessage; nil if it cannot be encoded
}

// Batch returns an empty batch.
func (m *Mesh) Batch(kind Kind) *Batch { return &Batch{mesh: m, kind: kind} }

// Send sends a message to the process at the internal address to. Like Sender.Send it never blocks.
func (b *Batch) Send(to string, message proto.Message) {
	if to == b.mesh.address {
		b.sendLocal(message)
		return
	}
	if message != b.lastMessage {
		b.lastMessage = message
		b.lastFrame = b.encode(message)
		if b.lastFrame != nil {
			b.lastFrame = compressFrame(b.lastFrame)
		}
	}
	if b.lastFrame == nil {
		b.mesh.counters.droppedLarge.Add(1)
		return
	}
	b.mesh.sendFrame(to, b.kind, b.lastFrame)
}

// sendLocal sends a message to this process. It encodes the message anew, because the handler owns the payload it is given.
func (b *Batch) sendLocal(message proto.Message) {
	encoded := b.encode(message)
	if encoded == nil {
		b.mesh.counters.droppedLarge.Add(1)
		return
	}
	b.mesh.sendFrame(b.mesh.address, b.kind, encoded)
}

// encode returns the frame of a message, or nil if it is too large or cannot be encoded.
func (b *Batch) encode(message proto.Message) []byte {
	encoded, err := encodeFrame(b.kind, message)
	if err != nil {
		return nil
	}
	return encoded
}
