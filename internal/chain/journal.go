package chain

import "time"

// journal queues the records to write. One write is in flight at a time, and the records queued meanwhile form the next
// one.
type journal struct {
	queuedRecords   []Record
	queuedEffects   []effect
	inFlightEffects []effect // of the write in flight
	inFlightToken   uint64   // of the write in flight, 0 for none
	lastToken       uint64
	inFlightRewrite bool      // the write in flight replaces the file
	inFlightSince   time.Time // start of the write in flight
	fileBytes       int       // approximate size of the log file
	stateBytes      int       // size of the state when it was last encoded
	failed          bool      // the last write failed
	failedAt        time.Time
	recoveredAt     time.Time // end of the first successful write after a late or failed one
}

// effect is what to do once the records queued with it are on disk.
type effect struct {
	sends          []Send
	selfMessages   []Send // messages to the node itself
	installedEpoch uint64 // the installation of this epoch is on disk
	position       uint64 // the log is on disk up to this position
	generation     uint64 // generation of the log to which the position applies
	identityStored bool   // the identity is on disk
}

// recordOverhead is the approximate number of bytes that the file adds to a payload.
const recordOverhead = 16

// persist queues records, and an effect that is applied once they are on disk.
func (n *Node) persist(onSynced effect, records ...Record) {
	n.journal.queuedRecords = append(n.journal.queuedRecords, records...)
	n.journal.queuedEffects = append(n.journal.queuedEffects, onSynced)
}

// flush starts the next write if none is in flight. After a failure only rewrites are started, see tickJournal.
func (n *Node) flush() {
	j := &n.journal
	if j.inFlightToken != 0 || j.failed || len(j.queuedRecords) == 0 {
		return
	}
	if n.needsRewrite() {
		n.rewrite()
		return
	}
	for _, record := range j.queuedRecords {
		j.fileBytes += len(record.Payload) + recordOverhead
	}
	n.startWrite(j.queuedRecords, false)
}

func (n *Node) startWrite(records []Record, rewrite bool) {
	j := &n.journal
	j.lastToken++
	j.inFlightToken, j.inFlightRewrite, j.inFlightSince = j.lastToken, rewrite, n.now
	j.inFlightEffects, j.queuedEffects, j.queuedRecords = j.queuedEffects, nil, nil
	n.output.Writes = append(n.output.Writes, Write{Token: j.inFlightToken, Records: records, Rewrite: rewrite})
}

// needsRewrite reports whether the log file is long enough to be replaced with the current state.
func (n *Node) needsRewrite() bool {
	fileBytes := n.journal.fileBytes
	return fileBytes > maxLogFileBytes || fileBytes > max(n.log.retention.MinRewriteBytes, maxLogFileFactor*n.journal.stateBytes)
}

// rewrite replaces the log file with the full state, which includes all queued records.
func (n *Node) rewrite() {
	records := n.fullState()
	n.journal.fileBytes = 0
	for _, record := range records {
		n.journal.fileBytes += len(record.Payload) + recordOverhead
	}
	n.counters.Rewrites++
	n.startWrite(records, true)
}

// Written reports that the write with a token ended, with an error if it failed.
func (n *Node) Written(now time.Time, token uint64, err error) Output {
	n.beginCall(now)
	j := &n.journal
	if token != j.inFlightToken {
		return n.finishCall()
	}
	wasLate := now.Sub(j.inFlightSince) > n.options.AckBound/lateWriteDivisor
	j.inFlightToken = 0
	if err != nil {
		n.handleWriteFailure(err)
		return n.finishCall()
	}
	if wasLate || j.failed {
		j.recoveredAt = now
	}
	j.failed = false
	effects := j.inFlightEffects
	j.inFlightEffects = nil
	for _, completed := range effects {
		n.applyEffect(completed)
	}
	return n.finishCall()
}

// handleWriteFailure keeps the effects of the failed write for the following rewrite: they apply once the full state is
// on disk.
func (n *Node) handleWriteFailure(err error) {
	j := &n.journal
	n.counters.FailedWrites++
	n.logf("write failed, leaving the chain: %v", err)
	j.failed, j.failedAt = true, n.now
	j.queuedEffects = append(j.inFlightEffects, j.queuedEffects...)
	j.inFlightEffects = nil
}

// applyEffect does what was waiting for records to be on disk.
func (n *Node) applyEffect(completed effect) {
	if completed.identityStored {
		n.ready = true
	}
	n.output.Sends = append(n.output.Sends, completed.sends...)
	for _, send := range completed.selfMessages {
		n.selfMessages = append(n.selfMessages, send.Message)
	}
	if completed.generation == n.generation && completed.position > n.syncedPosition {
		n.syncedPosition = completed.position
	}
	if completed.installedEpoch != 0 && completed.installedEpoch == n.view.Epoch {
		n.durableInstalledEpoch = completed.installedEpoch
		n.finishInstall()
	}
	n.advanceReplication()
}

// tickJournal retries a failed write by rewriting the log file.
func (n *Node) tickJournal() {
	j := &n.journal
	if j.failed && j.inFlightToken == 0 && n.now.Sub(j.failedAt) >= rewriteRetryDelay {
		j.failedAt = n.now
		n.rewrite()
	}
}

// impaired reports whether the node should not be part of a chain: its disk is too slow, was so until recently or
// failed, or the node is leaving.
func (n *Node) impaired() bool {
	j := &n.journal
	if n.leaving || j.failed || n.isWriteLate() {
		return true
	}
	return !j.recoveredAt.IsZero() && n.now.Sub(j.recoveredAt) < diskRecoveryTime
}

// isWriteLate reports whether the write in flight takes too long.
func (n *Node) isWriteLate() bool {
	return n.journal.inFlightToken != 0 && n.now.Sub(n.journal.inFlightSince) > n.options.AckBound/lateWriteDivisor
}
