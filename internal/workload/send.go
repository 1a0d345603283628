package workload

import (
	"maps"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"wallflow/internal/workload/workloadpb"
)

// receiver is what was sent to another relay.
type receiver struct {
	hasSnapshot bool
	snapshotAt  time.Time
	sequence    uint64 // of the last message
	sumsAt      time.Time
	readings    uint64 // place in the queue
}

// sentReport is a report of this relay, kept so that it can tell which part of its zone's sum is its own.
type sentReport struct {
	sequence uint64
	loads    Loads
}

// sentReportsMost bounds the reports that are kept: the hub's sum is no older than that.
const sentReportsMost = 64

// update is what a hub sends to a group of receivers.
type update struct {
	to          *broadcast
	receivers   []string
	interval    time.Duration // between updates at least
	loads       Loads
	entriesMost int
	ownZoneOnly bool // of the readings
	sums        func(receiver string) Sums
	fill        func(message *workloadpb.Message, receiver string, loads *workloadpb.Loads)
}

// sendUpdate adds a message to each receiver, if the interval is over and there is something new, or the last is old.
func (n *Node) sendUpdate(sends []Send, now time.Time, u update) []Send {
	if len(u.receivers) == 0 || now.Before(u.to.nextAt) {
		return sends
	}
	room := min(u.entriesMost, n.room(len(u.receivers)))
	changed := u.to.changes(now, u.loads, room)
	loads := u.to.update(now, u.loads, changed).encode()
	isDue := len(changed) > 0 || now.Sub(u.to.sentAt) >= repeatEvery
	snapshots := n.snapshotsOf(u)
	sent := 0
	for _, address := range u.receivers {
		message, receiver := n.messageTo(now, address, u), n.receiver(address)
		if !isDue && receiver.hasSnapshot && message.Readings == nil && len(message.Sums) == 0 {
			continue
		}
		u.fill(message, address, loads)
		if !receiver.hasSnapshot && snapshots.take() {
			u.fill(message, address, snapshots.loads())
			message.Snapshot, receiver.hasSnapshot, receiver.snapshotAt = true, true, now
		}
		receiver.sequence = message.Sequence
		sent += proto.Size(message) + messageOverhead
		sends = append(sends, Send{To: address, Message: message})
	}
	if sent > 0 {
		u.to.sentAt = now
		u.to.nextAt = now.Add(max(u.interval, n.pauseAfter(sent)))
	}
	return sends
}

// snapshots are the snapshots that one update may carry: as many as the share of the link has room for, and one at least. The receivers
// that get none have the update like all others, and theirs with a later one.
type snapshots struct {
	of      *broadcast
	entries int // in each, at the most
	left    int
	encoded *workloadpb.Loads
}

func (n *Node) snapshotsOf(u update) *snapshots {
	entries := min(u.entriesMost, n.room(1))
	size := messageOverhead + entryBytes*min(entries, len(u.to.sent))
	return &snapshots{of: u.to, entries: entries, left: max(1, n.shareOf(updateSpan)/size)}
}

// take reports whether one more may be sent.
func (s *snapshots) take() bool {
	s.left--
	return s.left >= 0
}

func (s *snapshots) loads() *workloadpb.Loads {
	if s.encoded == nil {
		s.encoded = s.of.snapshot(s.entries).encode()
	}
	return s.encoded
}

// messageTo is a message to a receiver with all but its loads.
func (n *Node) messageTo(now time.Time, address string, u update) *workloadpb.Message {
	receiver := n.receiver(address)
	readings, place := n.queue.after(receiver.readings, func(from string) bool {
		return from != address && (!u.ownZoneOnly || n.hubs[from] == "")
	})
	receiver.readings = place
	n.sequence++
	message := &workloadpb.Message{Life: n.life, Sequence: n.sequence, Previous: receiver.sequence, Readings: encodeReadings(readings)}
	if now.Sub(receiver.sumsAt) >= sumsEvery {
		receiver.sumsAt = now
		message.Sums = u.sums(address).encode()
	}
	return message
}

func (n *Node) receiver(address string) *receiver {
	known := n.receivers[address]
	if known == nil {
		known = &receiver{}
		n.receivers[address] = known
	}
	return known
}

// includedReport is the sequence of a relay's report that is part of the sum; 0: none is.
func (n *Node) includedReport(now time.Time, relay string) uint64 {
	if reporter := n.relays[relay]; reporter.fresh(now) {
		return reporter.sequence
	}
	return 0
}

// sendReport tells the hub of the zone what this relay has, in whole: it has requests at few endpoints.
func (n *Node) sendReport(now time.Time) []Send {
	if now.Before(n.nextReport) {
		return nil
	}
	var last Loads
	if len(n.sentReports) > 0 {
		last = n.sentReports[len(n.sentReports)-1].loads
	}
	message := n.messageTo(now, n.hub, update{sums: func(string) Sums { return n.own.Sums }})
	message.SnapshotWanted = n.others.hasGap(now)
	isNew := message.SnapshotWanted || message.Readings != nil || len(message.Sums) > 0 || !maps.Equal(last, n.own.Loads)
	if !isNew && now.Sub(n.lastReport) < repeatEvery {
		return nil
	}
	message.Relay = n.own.Loads.encode()
	n.receiver(n.hub).sequence = message.Sequence
	n.sentReports = append(n.sentReports, sentReport{message.Sequence, n.own.Loads})
	if over := len(n.sentReports) - sentReportsMost; over > 0 {
		n.sentReports = slices.Delete(n.sentReports, 0, over)
	}
	n.lastReport = now
	sharers := max(1, len(n.peers)) // of the hub's link
	n.nextReport = now.Add(max(LocalEvery, n.pauseAfter(sharers*(proto.Size(message)+messageOverhead))))
	return []Send{{To: n.hub, Message: message}}
}

// reportedIn is what this relay had when it sent the report with a sequence, as far as that is kept.
func (n *Node) reportedIn(sequence uint64) Loads {
	for _, report := range n.sentReports {
		if report.sequence == sequence {
			return report.loads
		}
	}
	return nil
}

// shareOf is how many bytes updates may take in a time.
func (n *Node) shareOf(span time.Duration) int {
	if n.link <= 0 {
		return math.MaxInt32
	}
	return int(linkShare * n.link * span.Seconds())
}

// room is how many endpoints an update to each of some receivers may name.
func (n *Node) room(receivers int) int {
	bytes := n.shareOf(updateSpan)/receivers - messageOverhead
	return min(entriesMost, max(entriesLeast, bytes/entryBytes))
}

// pauseAfter is how long nothing more is sent after so many bytes, so that what shares a link takes no more than linkShare of it.
func (n *Node) pauseAfter(bytes int) time.Duration {
	if n.link <= 0 {
		return 0
	}
	seconds := float64(bytes) / (linkShare * n.link)
	return min(time.Duration(seconds*float64(time.Second)), repeatEvery)
}
