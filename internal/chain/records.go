package chain

import (
	"google.golang.org/protobuf/proto"

	"wallflow/internal/chain/chainpb"
	"wallflow/internal/logfile"
)

// The types of stored records.
const (
	RecordIdentity  logfile.RecordType = 1
	RecordPromise   logfile.RecordType = 2
	RecordAccepted  logfile.RecordType = 3
	RecordDecided   logfile.RecordType = 4
	RecordEntry     logfile.RecordType = 5
	RecordSnapshot  logfile.RecordType = 6
	RecordInstalled logfile.RecordType = 7
)

// encodeRecord makes a record of a message of this package, which always can be encoded.
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
		Ballot:   ballotToWire(n.acceptor.promised),
	})
}

func (n *Node) acceptedRecord() Record {
	return encodeRecord(RecordAccepted, &chainpb.StoredAccepted{
		Instance: n.acceptor.instance,
		Ballot:   ballotToWire(n.acceptor.accepted),
		View:     viewToWire(n.acceptor.view),
	})
}

func (n *Node) entryRecords(entries []*chainpb.Entry) []Record {
	records := make([]Record, 0, len(entries))
	for _, entry := range entries {
		records = append(records, encodeRecord(RecordEntry, n.storedEntry(entry)))
	}
	return records
}

// storedEntry adds what is known to be committed, of which a later start makes use.
func (n *Node) storedEntry(entry *chainpb.Entry) *chainpb.Entry {
	return &chainpb.Entry{
		Epoch:     entry.Epoch,
		Position:  entry.Position,
		Command:   entry.Command,
		Origin:    entry.Origin,
		Committed: n.log.committed,
	}
}

// snapshot encodes the committed state.
func (n *Node) snapshot() *chainpb.Snapshot {
	encoded := n.log.state.Encode()
	n.journal.snapshot = len(encoded)
	return &chainpb.Snapshot{Position: n.log.committed, Epoch: n.log.committedEpoch(), State: encoded}
}

// wholeState is everything that a node has to have on disk.
func (n *Node) wholeState() []Record {
	records := []Record{n.identityRecord()}
	if n.view.Epoch > 0 {
		records = append(records, encodeRecord(RecordDecided, viewToWire(n.view)))
	}
	if !n.acceptor.promised.zero() {
		records = append(records, n.promiseRecord())
	}
	if !n.acceptor.accepted.zero() {
		records = append(records, n.acceptedRecord())
	}
	return append(records, encodeRecord(RecordInstalled, &chainpb.StoredInstalled{
		Epoch:    n.installed,
		Snapshot: n.snapshot(),
		Entries:  n.log.between(n.log.committed, n.log.lastPosition()),
	}))
}
