package transport

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/types/known/wrapperspb"
	"gotest.tools/v3/assert"
)

// waitTimeout bounds every wait for a loopback socket.
const waitTimeout = 10 * time.Second

// delivery is a call of a handler.
type delivery struct {
	from    string
	kind    Kind
	payload []byte
}

// recorder is a handler that records its calls.
type recorder struct{ deliveries chan delivery }

func newRecorder() recorder { return recorder{deliveries: make(chan delivery, 1<<14)} }

func (r recorder) handle(from string, kind Kind, payload []byte) {
	r.deliveries <- delivery{from: from, kind: kind, payload: payload}
}

// next returns the next received message.
func (r recorder) next(t *testing.T) delivery {
	t.Helper()
	select {
	case got := <-r.deliveries:
		return got
	case <-time.After(waitTimeout):
		t.Fatal("no message arrived in time")
		return delivery{}
	}
}

// listen starts a mesh on loopback and returns it with the recorder of its messages.
func listen(t *testing.T, options Options) (*Mesh, recorder) {
	t.Helper()
	received := newRecorder()
	options.Handler = received.handle
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	mesh, err := Listen(options)
	assert.NilError(t, err)
	t.Cleanup(mesh.Close)
	return mesh, received
}

func text(value string) *wrapperspb.StringValue { return wrapperspb.String(value) }

// incompressible returns a message of random bytes.
func incompressible(size int) *wrapperspb.BytesValue {
	random := make([]byte, size)
	for index := range random {
		random[index] = byte(rand.Uint32())
	}
	return wrapperspb.Bytes(random)
}

// textOf decodes the payload of a StringValue.
func textOf(t *testing.T, payload []byte) string {
	t.Helper()
	assert.Assert(t, len(payload) == 0 || payload[0] == 0x0a)
	reader := bytes.NewReader(payload[min(1, len(payload)):])
	length, err := binary.ReadUvarint(reader)
	if err == io.EOF {
		return ""
	}
	assert.NilError(t, err)
	assert.Equal(t, int(length), reader.Len())
	rest, _ := io.ReadAll(reader)
	return string(rest)
}

// waitUntil polls until a condition is true.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	ticker := time.NewTicker(2 * time.Millisecond)
	defer ticker.Stop()
	limit := time.After(waitTimeout)
	for !condition() {
		select {
		case <-ticker.C:
		case <-limit:
			t.Fatal("the condition did not become true in time")
		}
	}
}

func TestSendInOrderOverOneConnection(t *testing.T) {
	sender, _ := listen(t, Options{})
	receiver, received := listen(t, Options{})
	const count = 2000
	for index := range count {
		sender.Send(receiver.Address(), KindChain, text(fmt.Sprint(index)))
	}
	for index := range count {
		got := received.next(t)
		assert.Equal(t, got.from, sender.Address())
		assert.Equal(t, got.kind, KindChain)
		assert.Equal(t, textOf(t, got.payload), fmt.Sprint(index))
	}
	assert.Equal(t, sender.Counters().Dials, uint64(1))
	assert.Equal(t, receiver.Counters().Accepted, uint64(1))
}

func TestLargeAndEmptyFrames(t *testing.T) {
	sender, _ := listen(t, Options{})
	receiver, received := listen(t, Options{})
	large := strings.Repeat("x", MaxFrame-64)
	sender.Send(receiver.Address(), KindFeed, text(large))
	assert.Equal(t, len(textOf(t, received.next(t).payload)), len(large))
	sender.Send(receiver.Address(), KindFeed, text(""))
	assert.Equal(t, len(received.next(t).payload), 0)
	sender.Send(receiver.Address(), KindFeed, text(strings.Repeat("x", MaxFrame)))
	assert.Equal(t, sender.Counters().DroppedLarge, uint64(1))
}

func TestDatagrams(t *testing.T) {
	sender, _ := listen(t, Options{})
	receiver, received := listen(t, Options{})
	sender.SendDatagram(receiver.Address(), KindSwim, text("ping"))
	got := received.next(t)
	assert.Equal(t, got.from, sender.Address())
	assert.Equal(t, got.kind, KindSwim)
	assert.Equal(t, textOf(t, got.payload), "ping")
	sender.SendDatagram(receiver.Address(), KindSwim, text(strings.Repeat("x", MaxDatagram)))
	assert.Equal(t, sender.Counters().DroppedLarge, uint64(1))
	sender.SendDatagram("nowhere", KindSwim, text("ping"))
	assert.Equal(t, sender.Counters().DroppedDatagrams, uint64(1))
}

func TestOwnAddressIsDeliveredLocally(t *testing.T) {
	mesh, received := listen(t, Options{})
	mesh.Send(mesh.Address(), KindLease, text("frame"))
	mesh.SendDatagram(mesh.Address(), KindSwim, text("datagram"))
	assert.Equal(t, textOf(t, received.next(t).payload), "frame")
	got := received.next(t)
	assert.Equal(t, textOf(t, got.payload), "datagram")
	assert.Equal(t, got.from, mesh.Address())
	assert.Equal(t, mesh.Counters().Dials, uint64(0))
}

func TestReconnectsToRestartedPeer(t *testing.T) {
	sender, _ := listen(t, Options{})
	receiver, received := listen(t, Options{})
	address := receiver.Address()
	sender.Send(address, KindChain, text("before the restart"))
	assert.Equal(t, textOf(t, received.next(t).payload), "before the restart")
	receiver.Close()
	waitUntil(t, func() bool { return sender.Counters().PeerClosed == 1 })
	second, secondReceived := listen(t, Options{Address: address})
	sender.Send(address, KindChain, text("after the restart"))
	assert.Equal(t, textOf(t, secondReceived.next(t).payload), "after the restart")
	assert.Equal(t, second.Counters().Malformed, uint64(0))
}

func TestReconnectsWithinASecond(t *testing.T) {
	sender, _ := listen(t, Options{})
	address := freeAddress(t)
	sender.Send(address, KindChain, text("lost"))
	waitUntil(t, func() bool { return sender.Counters().DialFailures >= 4 })
	waitUntil(t, func() bool { return sender.Counters().DroppedStale == 1 })
	_, received := listen(t, Options{Address: address})
	start := time.Now()
	sender.Send(address, KindChain, text("delivered"))
	assert.Equal(t, textOf(t, received.next(t).payload), "delivered")
	assert.Assert(t, time.Since(start) < time.Second)
}

// freeAddress returns a loopback address that nothing listens on.
func freeAddress(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().String()
}

func TestFullQueueDropsWithoutBlocking(t *testing.T) {
	sender, _ := listen(t, Options{QueueMessages: 10, QueueAge: time.Hour})
	address := freeAddress(t)
	for range 50 {
		sender.Send(address, KindChain, text("x"))
	}
	assert.Equal(t, sender.Counters().DroppedFull, uint64(40))
	other := freeAddress(t)
	bounded, _ := listen(t, Options{QueueBytes: 1000, QueueAge: time.Hour})
	for range 10 {
		bounded.Send(other, KindChain, text(strings.Repeat("x", 600)))
	}
	assert.Equal(t, bounded.Counters().DroppedFull, uint64(9))
}

func TestConnectionToPeerThatDoesNotReadIsDropped(t *testing.T) {
	silent, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = silent.Close() }()
	sender, _ := listen(t, Options{UserTimeout: 100 * time.Millisecond, WriteTimeout: 200 * time.Millisecond})
	for range 4 {
		sender.Send(silent.Addr().String(), KindFeed, incompressible(MaxFrame-64))
	}
	waitUntil(t, func() bool { return sender.Counters().DroppedBroken > 0 })
}

func TestIdleConnectionIsClosed(t *testing.T) {
	sender, _ := listen(t, Options{IdleTimeout: 50 * time.Millisecond})
	receiver, received := listen(t, Options{})
	sender.Send(receiver.Address(), KindChain, text("one"))
	received.next(t)
	waitUntil(t, func() bool { return sender.destinationCount() == 0 && receiver.acceptedCount() == 0 })
	sender.Send(receiver.Address(), KindChain, text("two"))
	assert.Equal(t, textOf(t, received.next(t).payload), "two")
	assert.Equal(t, sender.Counters().Dials, uint64(2))
}

func (m *Mesh) destinationCount() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.destinations)
}

func (m *Mesh) acceptedCount() int {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return len(m.accepted)
}

func TestMalformedBytesEndTheConnection(t *testing.T) {
	var lines atomic.Int64
	logger := slog.New(slog.NewTextHandler(countingWriter{lines: &lines}, nil))
	receiver, received := listen(t, Options{Logger: logger})
	hello := encodeHello("10.0.0.1:7000")
	cases := map[string][]byte{
		"no frame":          []byte("GET / HTTP/1.1\r\n\r\n"),
		"no hello":          {0, 0, 0, 1, 1, 'x'},
		"empty hello":       {0, 0, 0, 0, 0},
		"other version":     {0, 0, 0, 2, 0, 9, 'x'},
		"no address":        {0, 0, 0, 4, 0, protocolVersion, 'a', 'b', 'c'},
		"second hello":      append(bytes.Clone(hello), hello...),
		"a frame too large": append(bytes.Clone(hello), 0xff, 0, 0, 0, 1),
	}
	expected := uint64(0)
	for name, sent := range cases {
		connection, err := net.Dial("tcp4", receiver.Address())
		assert.NilError(t, err)
		_, err = connection.Write(sent)
		assert.NilError(t, err)
		assert.NilError(t, connection.SetReadDeadline(time.Now().Add(waitTimeout)))
		_, err = connection.Read(make([]byte, 1))
		assert.Assert(t, err != nil && !isTimeout(err), "%s: the connection was not closed: %v", name, err)
		_ = connection.Close()
		expected++
		waitUntil(t, func() bool { return receiver.Counters().Malformed == expected })
	}
	assert.Equal(t, len(received.deliveries), 0)
	assert.Equal(t, lines.Load(), int64(1))
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// countingWriter counts the log lines written to it.
type countingWriter struct{ lines *atomic.Int64 }

func (w countingWriter) Write(line []byte) (int, error) {
	w.lines.Add(1)
	return len(line), nil
}

func TestNewConnectionOfASenderReplacesTheOld(t *testing.T) {
	receiver, received := listen(t, Options{})
	older, err := net.Dial("tcp4", receiver.Address())
	assert.NilError(t, err)
	defer func() { _ = older.Close() }()
	_, err = older.Write(append(encodeHello("10.0.0.1:7000"), 0, 0, 0, 0, byte(KindChain)))
	assert.NilError(t, err)
	assert.Equal(t, received.next(t).from, "10.0.0.1:7000")
	newer, err := net.Dial("tcp4", receiver.Address())
	assert.NilError(t, err)
	defer func() { _ = newer.Close() }()
	_, err = newer.Write(encodeHello("10.0.0.1:7000"))
	assert.NilError(t, err)
	assert.NilError(t, older.SetReadDeadline(time.Now().Add(waitTimeout)))
	_, err = older.Read(make([]byte, 1))
	assert.Assert(t, err != nil && !isTimeout(err))
}

func TestConnectionsAboveTheLimitAreRefused(t *testing.T) {
	receiver, received := listen(t, Options{MaxAccepted: 1})
	first, _ := listen(t, Options{})
	first.Send(receiver.Address(), KindChain, text("first"))
	received.next(t)
	second, _ := listen(t, Options{})
	second.Send(receiver.Address(), KindChain, text("second"))
	waitUntil(t, func() bool { return receiver.Counters().Refused > 0 })
}

func TestListenTwiceFails(t *testing.T) {
	first, _ := listen(t, Options{})
	_, err := Listen(Options{Address: first.Address(), Handler: newRecorder().handle})
	var listenErr *ListenError
	assert.Assert(t, errors.As(err, &listenErr))
	assert.Equal(t, listenErr.Address, first.Address())
}

func TestCloseStopsAndIsIdempotent(t *testing.T) {
	mesh, _ := listen(t, Options{})
	mesh.Send(freeAddress(t), KindChain, text("x"))
	mesh.Close()
	mesh.Close()
	mesh.Send(freeAddress(t), KindChain, text("x"))
	assert.Equal(t, mesh.Counters().DroppedFull, uint64(1))
}

func FuzzReadFrame(f *testing.F) {
	f.Add(encodeHello("10.0.0.1:7000"))
	f.Add([]byte{0, 0, 0, 2, 1, 'a', 'b', 0, 0, 0, 0, 2})
	f.Fuzz(func(t *testing.T, stream []byte) {
		reader := bufio.NewReader(bytes.NewReader(stream))
		for {
			got, err := readFrame(reader, MaxFrame)
			if err != nil {
				return
			}
			assert.Assert(t, len(got.payload) <= len(stream))
		}
	})
}
