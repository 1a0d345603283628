package chain

import (
	"time"

	"wallflow/internal/chain/chainpb"
)

// appendCommand makes an entry of a command that the head has applied, appends it and queues it for writing.
func (n *Node) appendCommand(origin *chainpb.Origin, command []byte, state State, reply Reply) {
	entry := &chainpb.Entry{
		Epoch:    n.view.Epoch,
		Position: n.log.lastPosition() + 1,
		Command:  command,
		Origin:   origin,
	}
	n.log.appendApplied(entry, state, reply)
	if n.uncommittedSince.IsZero() {
		n.uncommittedSince = n.now
	}
	n.persistEntries([]*chainpb.Entry{entry})
}

// persistEntries queues appended entries for writing.
func (n *Node) persistEntries(entries []*chainpb.Entry) {
	n.persist(effect{
		position:   entries[len(entries)-1].Position,
		generation: n.generation,
	}, n.entryRecords(entries)...)
}

func (n *Node) receiveAppend(message *chainpb.Append) {
	if !n.canServe() {
		return
	}
	if epoch, retained := n.log.epochAt(message.PreviousPosition); retained && epoch != message.PreviousEpoch {
		n.reportBrokenCommit("entry %d has epoch %d here and %d at the predecessor", message.PreviousPosition, epoch, message.PreviousEpoch)
		return
	}
	n.appendEntries(message.PreviousPosition, message.Entries)
}

// appendEntries appends entries of the predecessor that follow a position. Within an epoch the log of the predecessor
// only grows, so entries that are already present are equal.
func (n *Node) appendEntries(previous uint64, entries []*chainpb.Entry) {
	if previous > n.log.lastPosition() {
		n.retrySync()
		return
	}
	known := n.log.lastPosition() - previous
	if known >= uint64(len(entries)) {
		return
	}
	missing := entries[known:]
	for _, entry := range missing {
		n.log.append(entry)
	}
	n.persistEntries(missing)
}

// advanceReplication forwards entries that are now on disk or, at the tail, commits them. It does nothing before the
// installation of the epoch is on disk.
func (n *Node) advanceReplication() {
	if !n.canServe() || n.durableInstalledEpoch != n.view.Epoch {
		return
	}
	if n.isTail() {
		n.commitAtTail()
		return
	}
	n.forwardEntries()
	n.forwardBarriers()
}

// forwardEntries sends the successor the entries that are on disk and were not sent yet.
func (n *Node) forwardEntries() {
	if !n.successorReady || n.forwardedPosition >= n.syncedPosition {
		return
	}
	epoch, retained := n.log.epochAt(n.forwardedPosition)
	if !retained {
		n.successorReady = false // the successor has to request a snapshot
		return
	}
	n.send(n.successor(), &chainpb.Message{Body: &chainpb.Message_Append{Append: &chainpb.Append{
		PreviousEpoch:    epoch,
		PreviousPosition: n.forwardedPosition,
		Entries:          n.log.entriesBetween(n.forwardedPosition, n.syncedPosition),
	}}})
	n.forwardedPosition = n.syncedPosition
}

// commitAtTail commits and answers the entries that are on disk at the tail and therefore at every member.
func (n *Node) commitAtTail() {
	first := n.log.committed + 1
	if first <= n.syncedPosition {
		n.answerEntries(first, n.syncedPosition)
		n.commit(n.syncedPosition)
		n.feedNewEntries()
	}
	n.acknowledge(0)
	n.forwardBarriers()
}

// answerEntries sends the replies of entries to the processes that submitted them.
func (n *Node) answerEntries(first, last uint64) {
	for position := first; position <= last; position++ {
		entry := n.log.entryAt(position)
		if entry.wire.Origin != nil {
			n.answerOrigin(entry.wire.Origin, entry.reply, false, position)
		}
	}
}

// acknowledge reports to the predecessor which position is committed and which heartbeat reached the tail, 0 for none.
func (n *Node) acknowledge(heartbeat uint64) {
	if n.isHead() {
		n.handleAckAtHead(heartbeat)
		return
	}
	n.send(n.predecessor(), &chainpb.Message{Body: &chainpb.Message_Ack{Ack: &chainpb.Ack{
		Committed: n.log.committed,
		Heartbeat: heartbeat,
	}}})
}

func (n *Node) receiveAck(ack *chainpb.Ack) {
	if !n.canServe() {
		return
	}
	if ack.Committed > n.syncedPosition {
		n.reportBrokenCommit("entry %d was acknowledged, but only entries up to %d are on disk here", ack.Committed, n.syncedPosition)
		return
	}
	n.commit(ack.Committed)
	n.acknowledge(ack.Heartbeat)
}

// commit marks the entries up to a position as committed. A position that is already committed comes from an old
// message and is ignored.
func (n *Node) commit(position uint64) {
	if position <= n.log.committed {
		return
	}
	n.log.commit(position)
	n.output.CommittedChanged = true
	n.uncommittedSince = n.now
	n.answerReads()
}

// handleAckAtHead records at the head that the whole chain has installed the epoch and that commits progress.
func (n *Node) handleAckAtHead(heartbeat uint64) {
	firstAck := n.activeSince.IsZero()
	if firstAck {
		n.activeSince = n.now
	}
	if n.log.committed == n.log.lastPosition() {
		n.uncommittedSince = time.Time{}
	}
	n.handleReturnedHeartbeat(heartbeat)
	if firstAck && n.confirmedEpoch != n.view.Epoch {
		n.sendHeartbeat() // earlier heartbeats reached members that had not installed the epoch
	}
}
