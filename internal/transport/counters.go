package transport

import "sync/atomic"

// Counters is what a Mesh has done since its start.
type Counters struct {
	// FramesSent and BytesSent count frames handed to the kernel, with their headers.
	FramesSent, BytesSent uint64
	// FramesReceived and BytesReceived count whole frames, with their headers.
	FramesReceived, BytesReceived uint64
	// DatagramsSent and DatagramsReceived count datagrams.
	DatagramsSent, DatagramsReceived uint64
	// DroppedFull counts messages that found the queue of their destination full.
	DroppedFull uint64
	// DroppedStale counts messages that waited too long for a destination that could not be reached.
	DroppedStale uint64
	// DroppedBroken counts messages under way when their connection broke.
	DroppedBroken uint64
	// DroppedLarge counts messages beyond the limit of a frame or datagram, and those that could not be encoded.
	DroppedLarge uint64
	// DroppedDatagrams counts datagrams that the kernel did not take.
	DroppedDatagrams uint64
	// Malformed counts connections and datagrams given up because of what the peer sent.
	Malformed uint64
	// Dials counts connections made, DialFailures the attempts that failed.
	Dials, DialFailures uint64
	// PeerClosed counts outgoing connections that ended without this process closing them.
	PeerClosed uint64
	// Accepted counts incoming connections, Refused those beyond the bound.
	Accepted, Refused uint64
	// Sent tells what was sent of each kind, datagrams included, by the number of the kind.
	Sent [kinds]KindCounter
}

// KindCounter counts the messages of one kind, with their headers.
type KindCounter struct{ Messages, Bytes uint64 }

// kindMeter is the live counter behind a KindCounter.
type kindMeter struct{ messages, bytes atomic.Uint64 }

// sent notes that a message was handed over for sending.
func (m *meters) sent(kind Kind, bytes int) {
	if int(kind) >= kinds {
		return
	}
	m.byKind[kind].messages.Add(1)
	m.byKind[kind].bytes.Add(uint64(bytes))
}

// meters are the live counters behind Counters.
type meters struct {
	framesSent, bytesSent            atomic.Uint64
	framesReceived, bytesReceived    atomic.Uint64
	datagramsSent, datagramsReceived atomic.Uint64
	droppedFull, droppedStale        atomic.Uint64
	droppedBroken, droppedLarge      atomic.Uint64
	droppedDatagrams, malformed      atomic.Uint64
	dials, dialFailures              atomic.Uint64
	accepted, refused                atomic.Uint64
	peerClosed                       atomic.Uint64
	byKind                           [kinds]kindMeter
}

// snapshot copies the live counters.
func (m *meters) snapshot() Counters {
	counters := Counters{
		FramesSent: m.framesSent.Load(), BytesSent: m.bytesSent.Load(),
		FramesReceived: m.framesReceived.Load(), BytesReceived: m.bytesReceived.Load(),
		DatagramsSent: m.datagramsSent.Load(), DatagramsReceived: m.datagramsReceived.Load(),
		DroppedFull: m.droppedFull.Load(), DroppedStale: m.droppedStale.Load(),
		DroppedBroken: m.droppedBroken.Load(), DroppedLarge: m.droppedLarge.Load(),
		DroppedDatagrams: m.droppedDatagrams.Load(), Malformed: m.malformed.Load(),
		Dials: m.dials.Load(), DialFailures: m.dialFailures.Load(),
		Accepted: m.accepted.Load(), Refused: m.refused.Load(),
		PeerClosed: m.peerClosed.Load(),
	}
	for kind := range m.byKind {
		counters.Sent[kind] = KindCounter{Messages: m.byKind[kind].messages.Load(), Bytes: m.byKind[kind].bytes.Load()}
	}
	return counters
}
