package chain

import (
	"time"

	"wallflow/internal/chain/chainpb"
)

// accept makes an entry of a command that the head applied, and appends it.
func (n *Node) accept(origin *chainpb.Origin, command []byte, state State, reply Reply) {
	entry := &chainpb.Entry{
		Epoch:    n.view.Epoch,
		Position: n.log.lastPosition() + 1,
		Command:  command,
		Origin:   origin,
	}
	n.log.appendApplied(entry, state, reply)
	if n.entryWaits.IsZero() {
		n.entryWaits = n.now
	}
	n.persistEntries([]*chainpb.Entry{entry})
}

// persistEntries queues entries that were appended to the log.
func (n *Node) persistEntries(entries []*chainpb.Entry) {
	n.persist(effect{
		position:   entries[len(entries)-1].Position,
		generation: n.generation,
	}, n.entryRecords(entries)...)
}

func (n *Node) receiveAppend(message *chainpb.Append) {
	if !n.serving() {
		return
	}
	if epoch, held := n.log.epochAt(message.PreviousPosition); held && epoch != message.PreviousEpoch {
		n.brokenCommit("entry %d is of epoch %d here, of %d before", message.PreviousPosition, epoch, message.PreviousEpoch)
		return
	}
	n.appendEntries(message.PreviousPosition, message.Entries)
}

// appendEntries takes entries of the predecessor that follow a position. Within an epoch the predecessor's log only grows, so
// what is here already is the same.
func (n *Node) appendEntries(previous uint64, entries []*chainpb.Entry) {
	if previous > n.log.lastPosition() {
		n.requestSyncAgain()
		return
	}
	first := n.log.lastPosition() - previous
	if first >= uint64(len(entries)) {
		return
	}
	fresh := entries[first:]
	for _, entry := range fresh {
		n.log.append(entry)
	}
	n.persistEntries(fresh)
}

// advance does what the newest end of a write allows: pass entries on, or commit them at the tail.
func (n *Node) advance() {
	if !n.serving() || n.durableInstalled != n.view.Epoch {
		return
	}
	if n.isTail() {
		n.commitAtTail()
		return
	}
	n.passEntries()
	n.passBarriers()
}

func (n *Node) passEntries() {
	if !n.successorSynced || n.passed >= n.synced {
		return
	}
	epoch, held := n.log.epochAt(n.passed)
	if !held {
		n.successorSynced = false // it has to ask for a snapshot
		return
	}
	n.send(n.successor(), &chainpb.Message{Body: &chainpb.Message_Append{Append: &chainpb.Append{
		PreviousEpoch:    epoch,
		PreviousPosition: n.passed,
		Entries:          n.log.between(n.passed, n.synced),
	}}})
	n.passed = n.synced
}

// commitAtTail commits what is on disk here, and so at every member, and answers it.
func (n *Node) commitAtTail() {
	first := n.log.committed + 1
	if first <= n.synced {
		n.answerEntries(first, n.synced)
		n.commit(n.synced)
		n.feedFollowers()
	}
	n.acknowledge(0)
	n.passBarriers()
}

// answerEntries answers the processes that submitted entries, which are committed with this.
func (n *Node) answerEntries(first, last uint64) {
	for position := first; position <= last; position++ {
		entry := n.log.at(position)
		if entry.wire.Origin != nil {
			n.answerOrigin(entry.wire.Origin, entry.reply, false, position)
		}
	}
}

// acknowledge tells the predecessor what is committed, and which heartbeat came to the tail.
func (n *Node) acknowledge(heartbeat uint64) {
	if n.isHead() {
		n.headAcknowledged(heartbeat)
		return
	}
	n.send(n.predecessor(), &chainpb.Message{Body: &chainpb.Message_Ack{Ack: &chainpb.Ack{
		Committed: n.log.committed,
		Heartbeat: heartbeat,
	}}})
}

func (n *Node) receiveAck(ack *chainpb.Ack) {
	if !n.serving() {
		return
	}
	if ack.Committed > n.synced {
		n.brokenCommit("entry %d was acknowledged, with only %d of them on disk here", ack.Committed, n.synced)
		return
	}
	n.commit(ack.Committed)
	n.acknowledge(ack.Heartbeat)
}

// commit marks entries as committed. A position below the newest is an old message and changes nothing.
func (n *Node) commit(position uint64) {
	if position <= n.log.committed {
		return
	}
	n.log.commit(position)
	n.out.Committed = true
	n.entryWaits = n.now
	n.answerReads()
}

// headAcknowledged notes at the head that the whole chain is installed, and how far it is.
func (n *Node) headAcknowledged(heartbeat uint64) {
	first := n.activeSince.IsZero()
	if first {
		n.activeSince = n.now
	}
	if n.log.committed == n.log.lastPosition() {
		n.entryWaits = time.Time{}
	}
	n.heartbeatReturned(heartbeat)
	if first && n.confirmedEpoch != n.view.Epoch {
		n.sendHeartbeat() // those before met members that had not installed the epoch yet
	}
}
