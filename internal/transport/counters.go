package transport

import "sync/atomic"

// Counters holds the statistics of a Mesh since its start.
type Counters struct {
	// FramesSent and BytesSent count frames written to the kernel, headers included.
	FramesSent, BytesSent uint64
	// FramesReceived and BytesReceived count complete frames, headers included.
	FramesReceived, BytesReceived uint64
	// DatagramsSent and DatagramsReceived count datagrams.
	DatagramsSent, DatagramsReceived uint64
	// DroppedFull counts messages dropped because the queue of their destination was full.
	DroppedFull uint64
	// DroppedStale counts messages dropped because they waited longer than Options.QueueAge for an unreachable destination.
	DroppedStale uint64
	// DroppedBroken counts messages that were being written when their connection broke.
	DroppedBroken uint64
	// DroppedLarge counts messages above the size limit of a frame or datagram, and those that could not be encoded.
	DroppedLarge uint64
	// DroppedDatagrams counts datagrams that the kernel did not accept or whose address was invalid.
	DroppedDatagrams uint64
	// Malformed counts connections and datagrams rejected because the peer violated the protocol.
	Malformed uint64
	// Dials counts established outgoing connections, DialFailures the failed attempts.
	Dials, DialFailures uint64
	// PeerClosed counts outgoing connections that ended without this process closing them.
	PeerClosed uint64
	// Accepted counts accepted incoming connections, Refused those rejected above Options.MaxAccepted.
	Accepted, Refused uint64
	// Sent holds the sent messages by kind, datagrams included. Its index is the Kind.
	Sent [kindCount]KindCounter
}

// KindCounter counts the sent messages of one kind and their bytes, headers included.
type KindCounter struct{ Messages, Bytes uint64 }

// liveKindCounter is the concurrently updated form of KindCounter.
type liveKindCounter struct{ messages, bytes atomic.Uint64 }

// countSent counts a message that was queued or sent.
func (c *liveCounters) countSent(kind Kind, bytes int) {
	if int(kind) >= kindCount {
		return
	}
	c.byKind[kind].messages.Add(1)
	c.byKind[kind].bytes.Add(uint64(bytes))
}

// liveCounters is the concurrently updated form of Counters.
type liveCounters struct {
	framesSent, bytesSent            atomic.Uint64
	framesReceived, bytesReceived    atomic.Uint64
	datagramsSent, datagramsReceived atomic.Uint64
	droppedFull, droppedStale        atomic.Uint64
	droppedBroken, droppedLarge      atomic.Uint64
	droppedDatagrams, malformed      atomic.Uint64
	dials, dialFailures              atomic.Uint64
	accepted, refused                atomic.Uint64
	peerClosed                       atomic.Uint64
	byKind                           [kindCount]liveKindCounter
}

// snapshot returns the current values.
func (c *liveCounters) snapshot() Counters {
	counters := Counters{
		FramesSent: c.framesSent.Load(), BytesSent: c.bytesSent.Load(),
		FramesReceived: c.framesReceived.Load(), BytesReceived: c.bytesReceived.Load(),
		DatagramsSent: c.datagramsSent.Load(), DatagramsReceived: c.datagramsReceived.Load(),
		DroppedFull: c.droppedFull.Load(), DroppedStale: c.droppedStale.Load(),
		DroppedBroken: c.droppedBroken.Load(), DroppedLarge: c.droppedLarge.Load(),
		DroppedDatagrams: c.droppedDatagrams.Load(), Malformed: c.malformed.Load(),
		Dials: c.dials.Load(), DialFailures: c.dialFailures.Load(),
		Accepted: c.accepted.Load(), Refused: c.refused.Load(),
		PeerClosed: c.peerClosed.Load(),
	}
	for kind := range c.byKind {
		counters.Sent[kind] = KindCounter{Messages: c.byKind[kind].messages.Load(), Bytes: c.byKind[kind].bytes.Load()}
	}
	return counters
}
