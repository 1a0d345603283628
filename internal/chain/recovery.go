package chain

import (
	"google.golang.org/protobuf/proto"

	"wallflow/internal/chain/chainpb"
)

// recover restores a node from its stored records.
func (n *Node) recover(records []Record) error {
	for index, record := range records {
		if err := n.recoverRecord(record); err != nil {
			return &RecoveryError{Index: index, Reason: "unusable", Cause: err}
		}
		n.journal.fileBytes += len(record.Payload) + recordOverhead
	}
	if n.self.Identity == "" {
		return &RecoveryError{Reason: "no identity"}
	}
	if n.acceptor.instance <= n.view.Epoch {
		n.acceptor = acceptor{instance: n.view.Epoch + 1}
	}
	n.syncedPosition = n.log.lastPosition()
	n.durableInstalledEpoch = n.installedEpoch
	n.successorReady = true
	n.forwardedPosition = n.syncedPosition
	return nil
}

func (n *Node) recoverRecord(record Record) error {
	switch record.Type {
	case RecordIdentity:
		return n.recoverIdentity(record.Payload)
	case RecordPromise:
		return n.recoverPromise(record.Payload)
	case RecordAccepted:
		return n.recoverAccepted(record.Payload)
	case RecordDecided:
		return n.recoverDecided(record.Payload)
	case RecordEntry:
		return n.recoverEntry(record.Payload)
	case RecordSnapshot:
		return n.recoverSnapshot(record.Payload)
	case RecordInstalled:
		return n.recoverInstalled(record.Payload)
	default:
		return &unknownRecordError{kind: record.Type}
	}
}

func (n *Node) recoverIdentity(payload []byte) error {
	var stored chainpb.StoredIdentity
	if err := proto.Unmarshal(payload, &stored); err != nil {
		return err
	}
	n.self.Identity = Identity(stored.Identity)
	n.founder = stored.Founder
	return nil
}

func (n *Node) recoverPromise(payload []byte) error {
	var stored chainpb.StoredPromise
	if err := proto.Unmarshal(payload, &stored); err != nil {
		return err
	}
	if stored.Instance != n.acceptor.instance {
		n.acceptor = acceptor{instance: stored.Instance}
	}
	n.acceptor.promisedBallot = ballotFromWire(stored.Ballot)
	return nil
}

func (n *Node) recoverAccepted(payload []byte) error {
	var stored chainpb.StoredAccepted
	if err := proto.Unmarshal(payload, &stored); err != nil {
		return err
	}
	if stored.Instance != n.acceptor.instance {
		n.acceptor = acceptor{instance: stored.Instance}
	}
	acceptedBallot := ballotFromWire(stored.Ballot)
	n.acceptor.acceptedBallot = acceptedBallot
	n.acceptor.acceptedView = viewFromWire(stored.View)
	if n.acceptor.promisedBallot.less(acceptedBallot) {
		n.acceptor.promisedBallot = acceptedBallot
	}
	return nil
}

func (n *Node) recoverDecided(payload []byte) error {
	var stored chainpb.View
	if err := proto.Unmarshal(payload, &stored); err != nil {
		return err
	}
	if stored.Epoch > n.view.Epoch {
		n.view = viewFromWire(&stored)
	}
	return nil
}

func (n *Node) recoverEntry(payload []byte) error {
	entry := new(chainpb.Entry)
	if err := proto.Unmarshal(payload, entry); err != nil {
		return err
	}
	return n.recoverLogEntry(entry)
}

// recoverLogEntry appends a stored entry, which replaces uncommitted entries from its position on.
func (n *Node) recoverLogEntry(entry *chainpb.Entry) error {
	if entry.Position == 0 || entry.Position > n.log.lastPosition()+1 || !n.log.truncate(entry.Position-1) {
		return &entryOrderError{position: entry.Position, last: n.log.lastPosition(), committed: n.log.committed}
	}
	n.log.append(entry)
	n.log.commit(min(entry.Committed, n.log.lastPosition()))
	return nil
}

func (n *Node) recoverSnapshot(payload []byte) error {
	var stored chainpb.Snapshot
	if err := proto.Unmarshal(payload, &stored); err != nil {
		return err
	}
	return n.resetLog(&stored)
}

func (n *Node) recoverInstalled(payload []byte) error {
	var stored chainpb.StoredInstalled
	if err := proto.Unmarshal(payload, &stored); err != nil {
		return err
	}
	if stored.Snapshot != nil {
		if err := n.resetLog(stored.Snapshot); err != nil {
			return err
		}
	} else if !n.log.truncate(stored.Keep) {
		return &entryOrderError{position: stored.Keep, last: n.log.lastPosition(), committed: n.log.committed}
	}
	for _, entry := range stored.Entries {
		if err := n.recoverLogEntry(entry); err != nil {
			return err
		}
	}
	n.installedEpoch = stored.Epoch
	return nil
}

// resetLog replaces the log with a snapshot. It fails if that would move the committed position back.
func (n *Node) resetLog(snapshot *chainpb.Snapshot) error {
	if snapshot.Position < n.log.committed {
		n.counters.BrokenCommitOrder++
		return &entryOrderError{position: snapshot.Position, last: n.log.lastPosition(), committed: n.log.committed}
	}
	state, err := n.options.Decode(snapshot.State)
	if err != nil {
		return err
	}
	n.log.reset(snapshot.Position, snapshot.Epoch, state)
	n.journal.stateBytes = len(snapshot.State)
	n.generation++
	return nil
}
