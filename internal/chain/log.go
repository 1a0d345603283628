package chain

import "wallflow/internal/chain/chainpb"

// entryLog is a run of entries without gaps. Entries up to the committed one may be dropped from its start.
type entryLog struct {
	entries      []logEntry
	basePosition uint64 // of the entry before the first one held
	baseEpoch    uint64
	committed    uint64
	state        State // after the committed entries
	bytes        int   // of the commands held
	retention    Retention
}

// logEntry is an entry with what applying it gave, which is kept until it is committed.
type logEntry struct {
	wire  *chainpb.Entry
	state State
	reply Reply
}

// lastPosition is the position of the newest entry.
func (l *entryLog) lastPosition() uint64 { return l.basePosition + uint64(len(l.entries)) }

// lastEpoch is the epoch in which the newest entry was made.
func (l *entryLog) lastEpoch() uint64 {
	if len(l.entries) == 0 {
		return l.baseEpoch
	}
	return l.entries[len(l.entries)-1].wire.Epoch
}

// newestState is the state after the newest entry.
func (l *entryLog) newestState() State {
	if l.lastPosition() == l.committed {
		return l.state
	}
	return l.entries[len(l.entries)-1].state
}

// epochAt is the epoch of the entry at a position; false if it is not held.
func (l *entryLog) epochAt(position uint64) (uint64, bool) {
	if position == l.basePosition {
		return l.baseEpoch, true
	}
	if position < l.basePosition || position > l.lastPosition() {
		return 0, false
	}
	return l.at(position).wire.Epoch, true
}

// at returns the entry at a position that is held.
func (l *entryLog) at(position uint64) *logEntry {
	return &l.entries[position-l.basePosition-1]
}

// append applies an entry and adds it behind the newest.
func (l *entryLog) append(entry *chainpb.Entry) {
	state, reply := l.newestState().Apply(entry.Command)
	l.appendApplied(entry, state, reply)
}

// appendApplied adds an entry that was applied to the newest state.
func (l *entryLog) appendApplied(entry *chainpb.Entry, state State, reply Reply) {
	l.entries = append(l.entries, logEntry{wire: entry, state: state, reply: reply})
	l.bytes += len(entry.Command)
}

// truncate drops the entries behind a position. It refuses to drop committed ones.
func (l *entryLog) truncate(position uint64) bool {
	if position < l.committed {
		return false
	}
	for l.lastPosition() > position {
		last := len(l.entries) - 1
		l.bytes -= len(l.entries[last].wire.Command)
		l.entries[last] = logEntry{}
		l.entries = l.entries[:last]
	}
	return true
}

// commit marks the entries up to a position as committed.
func (l *entryLog) commit(position uint64) {
	for l.committed < position {
		l.committed++
		entry := l.at(l.committed)
		l.state = entry.state
		entry.state, entry.reply = nil, Reply{}
	}
	l.dropOld()
}

// dropOld lets go of committed entries that nobody should need any more. It works in steps, as it copies what stays.
func (l *entryLog) dropOld() {
	held := int(l.committed - l.basePosition)
	if held <= 2*l.retention.Entries && (l.bytes <= 2*l.retention.EntryBytes || held == 0) {
		return
	}
	drop := 0
	for drop < held && (held-drop > l.retention.Entries || l.bytes > l.retention.EntryBytes) {
		l.bytes -= len(l.entries[drop].wire.Command)
		drop++
	}
	l.baseEpoch = l.entries[drop-1].wire.Epoch
	l.basePosition += uint64(drop)
	l.entries = append([]logEntry(nil), l.entries[drop:]...)
}

// reset replaces all by a snapshot.
func (l *entryLog) reset(position, epoch uint64, state State) {
	*l = entryLog{basePosition: position, baseEpoch: epoch, committed: position, state: state, retention: l.retention}
}

// between returns the entries behind the first position up to the second. Both have to be held.
func (l *entryLog) between(after, last uint64) []*chainpb.Entry {
	var entries []*chainpb.Entry
	for position := after + 1; position <= last; position++ {
		entries = append(entries, l.at(position).wire)
	}
	return entries
}

// uncommittedBytes is the size of the commands that are not committed.
func (l *entryLog) uncommittedBytes() int {
	bytes := 0
	for position := l.committed + 1; position <= l.lastPosition(); position++ {
		bytes += len(l.at(position).wire.Command)
	}
	return bytes
}

// holds tells whether all entries behind a position are held.
func (l *entryLog) holds(position uint64) bool {
	return position >= l.basePosition && position <= l.lastPosition()
}

// committedEpoch is the epoch of the newest committed entry.
func (l *entryLog) committedEpoch() uint64 {
	epoch, _ := l.epochAt(l.committed)
	return epoch
}
