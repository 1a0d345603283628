package workload

import (
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"wallflow/internal/workload/workloadpb"
)

// receiverState records what was sent to another relay.
type receiverState struct {
	hasSnapshot     bool // a snapshot was sent, and no other was requested since
	snapshotSentAt  time.Time
	lastSequence    uint64 // of the last message
	sumsSentAt      time.Time
	prefillPosition uint64 // in the prefill queue: of the next report to send
}

// sentReport is a report that this relay has sent to its hub. It is kept to subtract the own part from the sums that the hub sends.
type sentReport struct {
	sequence uint64
	loads    Loads
}

// maxSentReports is the number of sent reports that are kept. The sums of the hub include none that is older.
const maxSentReports = 64

// groupUpdate describes what a hub sends to a group of receivers: the relays of its zone, or the other hubs.
type groupUpdate struct {
	broadcast           *deltaBroadcast
	receivers           []string
	minInterval         time.Duration // between two updates
	loads               Loads
	maxEntries          int
	ownZonePrefillsOnly bool                       // include only prefill reports of the own zone
	sumsFor             func(receiver string) Sums // sums to send to a receiver
	// setLoads adds loads to a message, with the fields that depend on the kind of group.
	setLoads func(message *workloadpb.Message, receiver string, loads *workloadpb.Loads)
}

// sendToGroup appends the messages to a group, if the minimum interval is over. A receiver gets a message if there is anything new for
// it, or if the last update is repeatInterval old.
func (n *Node) sendToGroup(sends []Send, now time.Time, update groupUpdate) []Send {
	if len(update.receivers) == 0 || now.Before(update.broadcast.nextUpdateAt) {
		return sends
	}
	entryLimit := min(update.maxEntries, n.maxEntriesPerReceiver(len(update.receivers)))
	changed := update.broadcast.changes(now, update.loads, entryLimit)
	loads := update.broadcast.markSent(now, update.loads, changed).encode()
	isDue := len(changed) > 0 || now.Sub(update.broadcast.lastUpdateAt) >= repeatInterval
	snapshots := n.newSnapshotBudget(update)
	sentBytes := 0
	for _, address := range update.receivers {
		message, receiver := n.newMessage(now, address, update), n.receiverState(address)
		if !isDue && receiver.hasSnapshot && message.Readings == nil && len(message.Sums) == 0 {
			continue
		}
		update.setLoads(message, address, loads)
		if !receiver.hasSnapshot && snapshots.take() {
			update.setLoads(message, address, snapshots.loads())
			message.Snapshot, receiver.hasSnapshot, receiver.snapshotSentAt = true, true, now
		}
		receiver.lastSequence = message.Sequence
		sentBytes += proto.Size(message) + messageOverheadBytes
		sends = append(sends, Send{To: address, Message: message})
	}
	if sentBytes > 0 {
		update.broadcast.lastUpdateAt = now
		update.broadcast.nextUpdateAt = now.Add(max(update.minInterval, n.pauseAfter(sentBytes)))
	}
	return sends
}

// snapshotBudget limits the snapshots sent with one update to what the link can carry, but at least one. A receiver that needs a snapshot
// and gets none receives the plain update, and its snapshot with a later one.
type snapshotBudget struct {
	broadcast  *deltaBroadcast
	entryLimit int               // maximum number of endpoints in a snapshot
	remaining  int               // snapshots that may still be sent
	encoded    *workloadpb.Loads // of the snapshot; nil before the first use
}

func (n *Node) newSnapshotBudget(update groupUpdate) *snapshotBudget {
	entryLimit := min(update.maxEntries, n.maxEntriesPerReceiver(1))
	size := messageOverheadBytes + bytesPerEntry*min(entryLimit, len(update.broadcast.lastSent))
	return &snapshotBudget{broadcast: update.broadcast, entryLimit: entryLimit, remaining: max(1, n.byteBudget(updateWindow)/size)}
}

// take reports whether one more snapshot may be sent, and counts it.
func (s *snapshotBudget) take() bool {
	s.remaining--
	return s.remaining >= 0
}

// loads returns the encoded snapshot, which is the same for all receivers.
func (s *snapshotBudget) loads() *workloadpb.Loads {
	if s.encoded == nil {
		s.encoded = s.broadcast.snapshot(s.entryLimit).encode()
	}
	return s.encoded
}

// newMessage returns a message to a receiver that lacks only its loads. The prefill reports and sums in it are recorded as sent.
func (n *Node) newMessage(now time.Time, address string, update groupUpdate) *workloadpb.Message {
	receiver := n.receiverState(address)
	prefills, position := n.queuedPrefills.prefillsFrom(receiver.prefillPosition, func(reporter string) bool {
		return reporter != address && (!update.ownZonePrefillsOnly || n.zoneByHub[reporter] == "")
	})
	receiver.prefillPosition = position
	n.sequence++
	message := &workloadpb.Message{Life: n.life, Sequence: n.sequence, Previous: receiver.lastSequence, Readings: encodePrefills(prefills)}
	if now.Sub(receiver.sumsSentAt) >= sumsInterval {
		receiver.sumsSentAt = now
		message.Sums = update.sumsFor(address).encode()
	}
	return message
}

// receiverState returns the state of the receiver at an address, and adds it if there is none yet.
func (n *Node) receiverState(address string) *receiverState {
	state := n.receiverStates[address]
	if state == nil {
		state = &receiverState{}
		n.receiverStates[address] = state
	}
	return state
}

// includedReport returns the sequence of the report of a relay that the current sum includes, or 0 if it includes none.
func (n *Node) includedReport(now time.Time, relay string) uint64 {
	if reporter := n.relayStates[relay]; reporter.isFresh(now) {
		return reporter.sequence
	}
	return 0
}

// sendReport reports the load of this relay to the hub of its zone, if a report is due. A report is always complete: a single relay has
// requests at few endpoints.
func (n *Node) sendReport(now time.Time) []Send {
	if now.Before(n.nextReportAt) {
		return nil
	}
	var last Loads
	if len(n.sentReports) > 0 {
		last = n.sentReports[len(n.sentReports)-1].loads
	}
	message := n.newMessage(now, n.hub, groupUpdate{sumsFor: func(string) Sums { return n.ownReport.Sums }})
	message.SnapshotWanted = n.othersState.hasGap(now)
	isNew := message.SnapshotWanted || message.Readings != nil || len(message.Sums) > 0 || !maps.Equal(last, n.ownReport.Loads)
	if !isNew && now.Sub(n.lastReportAt) < repeatInterval {
		return nil
	}
	message.Relay = n.ownReport.Loads.encode()
	n.receiverState(n.hub).lastSequence = message.Sequence
	n.sentReports = append(n.sentReports, sentReport{message.Sequence, n.ownReport.Loads})
	if excess := len(n.sentReports) - maxSentReports; excess > 0 {
		n.sentReports = slices.Delete(n.sentReports, 0, excess)
	}
	n.lastReportAt = now
	linkSharers := max(1, len(n.zonePeers)) // relays that share the link of the hub for their reports
	n.nextReportAt = now.Add(max(LocalInterval, n.pauseAfter(linkSharers*(proto.Size(message)+messageOverheadBytes))))
	return []Send{{To: n.hub, Message: message}}
}

// reportedLoads returns the loads that this relay sent in the report with a given sequence, or nil if that report is no longer kept.
func (n *Node) reportedLoads(sequence uint64) Loads {
	for _, report := range n.sentReports {
		if report.sequence == sequence {
			return report.loads
		}
	}
	return nil
}

// byteBudget returns the number of bytes that updates may use of the link in a given time.
func (n *Node) byteBudget(duration time.Duration) int {
	if n.linkBytesPerSecond <= 0 {
		return math.MaxInt32
	}
	return int(linkFraction * n.linkBytesPerSecond * duration.Seconds())
}

// maxEntriesPerReceiver returns the maximum number of endpoints in an update that goes to a given number of receivers.
func (n *Node) maxEntriesPerReceiver(receivers int) int {
	bytes := n.byteBudget(updateWindow)/receivers - messageOverheadBytes
	return min(maxEntries, max(minEntries, bytes/bytesPerEntry))
}

// pauseAfter returns the time to wait after sending a number of bytes, so that no more than linkFraction of the link is used. It is at most
// repeatInterval.
func (n *Node) pauseAfter(bytes int) time.Duration {
	if n.linkBytesPerSecond <= 0 {
		return 0
	}
	seconds := float64(bytes) / (linkFraction * n.linkBytesPerSecond)
	return min(time.Duration(seconds*float64(time.Second)), repeatInterval)
}
