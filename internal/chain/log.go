package chain

import "wallflow/internal/chain/chainpb"

// entryLog is a contiguous sequence of entries and the state after the committed ones. Committed entries may be dropped
// from its start.
type entryLog struct {
	entries      []logEntry
	basePosition uint64 // position before the first retained entry
	baseEpoch    uint64 // epoch of the entry at basePosition
	committed    uint64 // position of the last committed entry
	state        State  // after the committed entries
	commandBytes int    // size of the commands of the retained entries
	retention    Retention
}

// logEntry is an entry with the result of applying it. The result is dropped once the entry is committed.
type logEntry struct {
	wire  *chainpb.Entry // as sent between processes
	state State
	reply Reply
}

// lastPosition returns the position of the last entry.
func (l *entryLog) lastPosition() uint64 { return l.basePosition + uint64(len(l.entries)) }

// lastEpoch returns the epoch of the last entry.
func (l *entryLog) lastEpoch() uint64 {
	if len(l.entries) == 0 {
		return l.baseEpoch
	}
	return l.entries[len(l.entries)-1].wire.Epoch
}

// newestState returns the state after the last entry.
func (l *entryLog) newestState() State {
	if l.lastPosition() == l.committed {
		return l.state
	}
	return l.entries[len(l.entries)-1].state
}

// epochAt returns the epoch of the entry at a position, or false if that entry is not retained.
func (l *entryLog) epochAt(position uint64) (uint64, bool) {
	if position == l.basePosition {
		return l.baseEpoch, true
	}
	if position < l.basePosition || position > l.lastPosition() {
		return 0, false
	}
	return l.entryAt(position).wire.Epoch, true
}

// entryAt returns the entry at a position, which has to be retained.
func (l *entryLog) entryAt(position uint64) *logEntry {
	return &l.entries[position-l.basePosition-1]
}

// append applies an entry to the newest state and appends it.
func (l *entryLog) append(entry *chainpb.Entry) {
	state, reply := l.newestState().Apply(entry.Command)
	l.appendApplied(entry, state, reply)
}

// appendApplied appends an entry with the result of applying it to the newest state.
func (l *entryLog) appendApplied(entry *chainpb.Entry, state State, reply Reply) {
	l.entries = append(l.entries, logEntry{wire: entry, state: state, reply: reply})
	l.commandBytes += len(entry.Command)
}

// truncate drops the entries after a position. It returns false and drops nothing if that would drop committed entries.
func (l *entryLog) truncate(position uint64) bool {
	if position < l.committed {
		return false
	}
	for l.lastPosition() > position {
		last := len(l.entries) - 1
		l.commandBytes -= len(l.entries[last].wire.Command)
		l.entries[last] = logEntry{}
		l.entries = l.entries[:last]
	}
	return true
}

// commit marks the entries up to a position as committed.
func (l *entryLog) commit(position uint64) {
	for l.committed < position {
		l.committed++
		entry := l.entryAt(l.committed)
		l.state = entry.state
		entry.state, entry.reply = nil, Reply{}
	}
	l.dropOldEntries()
}

// dropOldEntries drops the oldest committed entries once there are twice as many, or twice as many bytes, as the
// retention asks for. It drops them in batches because it copies the remaining ones.
func (l *entryLog) dropOldEntries() {
	droppable := int(l.committed - l.basePosition)
	if droppable <= 2*l.retention.Entries && (l.commandBytes <= 2*l.retention.EntryBytes || droppable == 0) {
		return
	}
	dropped := 0
	for dropped < droppable && (droppable-dropped > l.retention.Entries || l.commandBytes > l.retention.EntryBytes) {
		l.commandBytes -= len(l.entries[dropped].wire.Command)
		dropped++
	}
	l.baseEpoch = l.entries[dropped-1].wire.Epoch
	l.basePosition += uint64(dropped)
	l.entries = append([]logEntry(nil), l.entries[dropped:]...)
}

// reset replaces the log with a snapshot.
func (l *entryLog) reset(position, epoch uint64, state State) {
	*l = entryLog{basePosition: position, baseEpoch: epoch, committed: position, state: state, retention: l.retention}
}

// entriesBetween returns the entries after the first position up to and including the second. All of them have to be
// retained.
func (l *entryLog) entriesBetween(after, last uint64) []*chainpb.Entry {
	var entries []*chainpb.Entry
	for position := after + 1; position <= last; position++ {
		entries = append(entries, l.entryAt(position).wire)
	}
	return entries
}

// uncommittedBytes returns the size of the uncommitted commands.
func (l *entryLog) uncommittedBytes() int {
	bytes := 0
	for position := l.committed + 1; position <= l.lastPosition(); position++ {
		bytes += len(l.entryAt(position).wire.Command)
	}
	return bytes
}

// holdsAllAfter reports whether all entries after a position are retained. It is false for a position beyond the end.
func (l *entryLog) holdsAllAfter(position uint64) bool {
	return position >= l.basePosition && position <= l.lastPosition()
}

// committedEpoch returns the epoch of the last committed entry.
func (l *entryLog) committedEpoch() uint64 {
	epoch, _ := l.epochAt(l.committed)
	return epoch
}
