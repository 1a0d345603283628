package transport

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"
)

// countedMessage counts the calls of ProtoReflect, which show whether it is encoded again.
type countedMessage struct {
	proto.Message
	encodings *int
}

func (m *countedMessage) ProtoReflect() protoreflect.Message {
	*m.encodings++
	return m.Message.ProtoReflect()
}

func TestBatchEncodesMessageOnceForAllReceivers(t *testing.T) {
	sender, ownReceived := listen(t, Options{})
	one, oneReceived := listen(t, Options{})
	two, twoReceived := listen(t, Options{})
	encodings := 0
	message := &countedMessage{Message: text("news"), encodings: &encodings}
	batch := sender.Batch(KindFeed)
	batch.Send(one.Address(), message)
	afterOne := encodings
	assert.Assert(t, afterOne > 0)
	batch.Send(two.Address(), message)
	assert.Equal(t, encodings, afterOne)
	batch.Send(sender.Address(), text("to itself"))
	batch.Send(one.Address(), text("other news"))
	assert.Equal(t, textOf(t, oneReceived.next(t).payload), "news")
	assert.Equal(t, textOf(t, twoReceived.next(t).payload), "news")
	assert.Equal(t, textOf(t, ownReceived.next(t).payload), "to itself")
	assert.Equal(t, textOf(t, oneReceived.next(t).payload), "other news")
	assert.Equal(t, sender.Counters().Sent[KindFeed].Messages, uint64(4))
}

func TestLocalHandlerOwnsItsPayload(t *testing.T) {
	sender, ownReceived := listen(t, Options{})
	other, otherReceived := listen(t, Options{})
	message := text("news")
	batch := sender.Batch(KindFeed)
	batch.Send(sender.Address(), message)
	batch.Send(other.Address(), message)
	batch.Send(sender.Address(), message)
	first := ownReceived.next(t).payload
	for index := range first {
		first[index] = 0
	}
	assert.Equal(t, textOf(t, ownReceived.next(t).payload), "news")
	assert.Equal(t, textOf(t, otherReceived.next(t).payload), "news")
}

// memberList returns text like that of a member list, which repeats the same names.
func memberList(items int) string {
	var list strings.Builder
	for item := range items {
		fmt.Fprintf(&list, "i-%08x 10.%d.%d.%d:8305 slot-advisor tema-hall-a v1 dual;", rand.Uint32(), item%3, item%256, item%199)
	}
	return list.String()
}

func TestLongListIsSentCompressed(t *testing.T) {
	sender, _ := listen(t, Options{})
	receiver, received := listen(t, Options{})
	list := memberList(3000)
	sender.Send(receiver.Address(), KindFeed, text(list))
	got := received.next(t)
	assert.Equal(t, got.kind, KindFeed)
	assert.Equal(t, textOf(t, got.payload), list)
	sent := int(sender.Counters().Sent[KindFeed].Bytes)
	assert.Assert(t, sent < len(list)/3, "%d bytes for %d", sent, len(list))
	assert.Equal(t, receiver.Counters().Malformed, uint64(0))
}

func TestShortOrIncompressiblePayloadIsNotCompressed(t *testing.T) {
	random := make([]byte, 2*minCompressSize)
	for index := range random {
		random[index] = byte(rand.Uint32())
	}
	for _, payload := range [][]byte{[]byte(strings.Repeat("a", minCompressSize-1)), random} {
		encoded := append(make([]byte, frameHeaderSize), payload...)
		putHeader(encoded, KindFeed)
		assert.DeepEqual(t, compressFrame(encoded), encoded)
	}
}

func TestDecompressRejectsInvalidAndOversizedPayloads(t *testing.T) {
	_, err := decompress(frame{kind: KindFeed | compressedFlag, payload: []byte("no deflate stream")})
	assert.ErrorType(t, err, &FrameError{})
	bomb := make([]byte, frameHeaderSize+MaxFrame+1)
	putHeader(bomb, KindFeed)
	small := compressFrame(bomb)
	assert.Assert(t, len(small) < len(bomb)/100)
	_, err = decompress(frame{kind: Kind(small[frameHeaderSize-1]), payload: small[frameHeaderSize:]})
	assert.ErrorContains(t, err, "too long")
	encoded := append(make([]byte, frameHeaderSize), []byte(memberList(1000))...)
	putHeader(encoded, KindFeed)
	cut := compressFrame(encoded)
	_, err = decompress(frame{kind: KindFeed | compressedFlag, payload: cut[frameHeaderSize : len(cut)/2]})
	assert.ErrorType(t, err, &FrameError{})
}

func BenchmarkCompressMemberList(b *testing.B) {
	encoded := append(make([]byte, frameHeaderSize), []byte(memberList(1000))...)
	putHeader(encoded, KindFeed)
	b.SetBytes(int64(len(encoded)))
	b.ReportAllocs()
	for b.Loop() {
		compressFrame(encoded)
	}
}

func BenchmarkDecompressMemberList(b *testing.B) {
	encoded := append(make([]byte, frameHeaderSize), []byte(memberList(1000))...)
	putHeader(encoded, KindFeed)
	compressed := compressFrame(encoded)
	b.SetBytes(int64(len(encoded)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := decompress(frame{kind: KindFeed | compressedFlag, payload: compressed[frameHeaderSize:]}); err != nil {
			b.Fatal(err)
		}
	}
}
