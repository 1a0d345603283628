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

// countedMessage counts how often it is measured, which encoding does once.
type countedMessage struct {
	proto.Message
	encodings *int
}

func (m *countedMessage) ProtoReflect() protoreflect.Message {
	*m.encodings++
	return m.Message.ProtoReflect()
}

func TestBatchEncodesAMessageOnceForAllReceivers(t *testing.T) {
	sender, own := listen(t, Options{})
	one, boxOne := listen(t, Options{})
	two, boxTwo := listen(t, Options{})
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
	assert.Equal(t, textOf(t, boxOne.next(t).payload), "news")
	assert.Equal(t, textOf(t, boxTwo.next(t).payload), "news")
	assert.Equal(t, textOf(t, own.next(t).payload), "to itself")
	assert.Equal(t, textOf(t, boxOne.next(t).payload), "other news")
	assert.Equal(t, sender.Counters().Sent[KindFeed].Messages, uint64(4))
}

func TestAProcessOwnsTheBytesThatItSendsItself(t *testing.T) {
	sender, own := listen(t, Options{})
	other, box := listen(t, Options{})
	message := text("news")
	batch := sender.Batch(KindFeed)
	batch.Send(sender.Address(), message)
	batch.Send(other.Address(), message)
	batch.Send(sender.Address(), message)
	first := own.next(t).payload
	for index := range first {
		first[index] = 0
	}
	assert.Equal(t, textOf(t, own.next(t).payload), "news")
	assert.Equal(t, textOf(t, box.next(t).payload), "news")
}

// listing is text as a list of members has it: the same names over and over.
func listing(items int) string {
	var list strings.Builder
	for item := range items {
		fmt.Fprintf(&list, "i-%08x 10.%d.%d.%d:8305 slot-advisor tema-hall-a v1 dual;", rand.Uint32(), item%3, item%256, item%199)
	}
	return list.String()
}

func TestALongListingIsSentCompressed(t *testing.T) {
	sender, _ := listen(t, Options{})
	receiver, box := listen(t, Options{})
	list := listing(3000)
	sender.Send(receiver.Address(), KindFeed, text(list))
	got := box.next(t)
	assert.Equal(t, got.kind, KindFeed)
	assert.Equal(t, textOf(t, got.payload), list)
	sent := int(sender.Counters().Sent[KindFeed].Bytes)
	assert.Assert(t, sent < len(list)/3, "%d bytes for %d", sent, len(list))
	assert.Equal(t, receiver.Counters().Malformed, uint64(0))
}

func TestWhatIsShortOrRandomIsSentAsItIs(t *testing.T) {
	random := make([]byte, 2*compressFrom)
	for index := range random {
		random[index] = byte(rand.Uint32())
	}
	for _, payload := range [][]byte{[]byte(strings.Repeat("a", compressFrom-1)), random} {
		encoded := append(make([]byte, frameHeader), payload...)
		putHeader(encoded, KindFeed)
		assert.DeepEqual(t, compressFrame(encoded), encoded)
	}
}

func TestDecompressRefusesWhatIsBrokenOrTooLong(t *testing.T) {
	_, err := decompress(frame{kind: KindFeed | compressed, payload: []byte("no deflate stream")})
	assert.ErrorType(t, err, &FrameError{})
	bomb := make([]byte, frameHeader+MaxFrame+1)
	putHeader(bomb, KindFeed)
	small := compressFrame(bomb)
	assert.Assert(t, len(small) < len(bomb)/100)
	_, err = decompress(frame{kind: Kind(small[frameHeader-1]), payload: small[frameHeader:]})
	assert.ErrorContains(t, err, "too long")
	whole := append(make([]byte, frameHeader), []byte(listing(1000))...)
	putHeader(whole, KindFeed)
	cut := compressFrame(whole)
	_, err = decompress(frame{kind: KindFeed | compressed, payload: cut[frameHeader : len(cut)/2]})
	assert.ErrorType(t, err, &FrameError{})
}

func BenchmarkCompressListing(b *testing.B) {
	whole := append(make([]byte, frameHeader), []byte(listing(1000))...)
	putHeader(whole, KindFeed)
	b.SetBytes(int64(len(whole)))
	b.ReportAllocs()
	for b.Loop() {
		compressFrame(whole)
	}
}

func BenchmarkDecompressListing(b *testing.B) {
	whole := append(make([]byte, frameHeader), []byte(listing(1000))...)
	putHeader(whole, KindFeed)
	small := compressFrame(whole)
	b.SetBytes(int64(len(whole)))
	b.ReportAllocs()
	for b.Loop() {
		if _, err := decompress(frame{kind: KindFeed | compressed, payload: small[frameHeader:]}); err != nil {
			b.Fatal(err)
		}
	}
}
