package chain

import (
	"google.golang.org/protobuf/proto"

	"wallflow/internal/chain/chainpb"
	"wallflow/internal/logfile"
)

// Types of stored records.
const (
	RecordIdentity  logfile.RecordType = 1
	RecordPromise   logfile.RecordType = 2
	RecordAccepted  logfile.RecordType = 3
	RecordDecided   logfile.RecordType = 4
	RecordEntry     logfile.RecordType = 5
	RecordSnapshot  logfile.RecordType = 6
	RecordInstalled logfile.RecordType = 7
)

// encodeRecord encodes a message of this package as a record. Encoding such a message cannot fail.
func encodeRecord(kind logfile.RecordType, payload proto.Message) Record {
	encoded, err := proto.Marshal(payload)
	if err != nil {
		panic(err)
	}
	return Record{Type: kind, Payload: encoded}
}

func (n *Node) identityRecord() Record {
	return encodeRecord(RecordIdentity, &chainpb.StoredIdentity{Identity: string(n.self.Identity), Founder: n.founder})
}

func (n *Node) promiseRecord() Record {
	return encodeRecord(RecordPromise, &chainpb.StoredPromise{
		Instance: n.acceptor.instance,
		Ballot:   ballotToWire(n.acceptor.promisedBallot),
	})
}

func (n *Node) acceptedRecord() Record {
	return encodeRecord(RecordAccepted, &chainpb.StoredAccepted{
		Instance: n.acceptor.instance,
		Ballot:   ballotToWire(n.acceptor.acceptedBallot),
		View:     viewToWire(n.acceptor.acceptedView),
	})
}

func (n *Node) entryRecords(entries []*chainpb.Entry) []Record {
	records := make([]Record, 0, len(entries))
	for _, entry := range entries {
		records = append(records, encodeRecord(RecordEntry, n.storedEntry(entry)))
	}
	return records
}

// storedEntry returns an entry with the currently committed position, which a later start restores.
func (n *Node) storedEntry(entry *chainpb.Entry) *chainpb.Entry {
	return &chainpb.Entry{
		Epoch:     entry.Epoch,
		Position:  entry.Position,
		Command:   entry.Command,
		Origin:    entry.Origin,
		Committed: n.log.committed,
	}
}

// snapshot returns a snapshot of the committed state.
func (n *Node) snapshot() *chainpb.Snapshot {
	encoded := n.log.state.Encode()
	n.journal.stateBytes = len(encoded)
	return &chainpb.Snapshot{Position: n.log.committed, Epoch: n.log.committedEpoch(), State: encoded}
}

// fullState returns the records that represent the full state of the node.
func (n *Node) fullState() []Record {
	records := []Record{n.identityRecord()}
	if n.view.Epoch > 0 {
		records = append(records, encodeRecord(RecordDecided, viewToWire(n.view)))
	}
	if !n.acceptor.promisedBallot.isZero() {
		records = append(records, n.promiseRecord())
	}
	if !n.acceptor.acceptedBallot.isZero() {
		records = append(records, n.acceptedRecord())
	}
	return append(records, encodeRecord(RecordInstalled, &chainpb.StoredInstalled{
		Epoch:    n.installedEpoch,
		Snapshot: n.snapshot(),
		Entries:  n.log.entriesBetween(n.log.committed, n.log.lastPosition()),
	}))
}
