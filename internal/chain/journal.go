package chain

import "time"

// journal holds what is to be written. One write is out at a time; what comes meanwhile goes into the next one together.
type journal struct {
	records   []Record
	effects   []effect
	out       []effect // of the write that is out
	token     uint64   // of the write that is out, 0 for none
	lastToken uint64
	rewriting bool // the write that is out is a rewrite
	since     time.Time
	bytes     int // in the file, as far as known
	snapshot  int // size of the state when it was last encoded
	failed    bool
	failedAt  time.Time
	goodSince time.Time // since when no write was late
}

// effect is what follows once records are on disk.
type effect struct {
	sends      []Send
	loop       []Send // to the node itself
	installed  uint64 // the log of that epoch is installed
	position   uint64 // the log is on disk up to here
	generation uint64 // of the log that position is about
	identity   bool   // the store has its identity
}

// recordOverhead is about what a file adds to a payload.
const recordOverhead = 16

// persist queues records; the effect follows when they are on disk.
func (n *Node) persist(then effect, records ...Record) {
	n.journal.records = append(n.journal.records, records...)
	n.journal.effects = append(n.journal.effects, then)
}

// flush puts out the next write, if none is out.
func (n *Node) flush() {
	j := &n.journal
	if j.token != 0 || j.failed || len(j.records) == 0 {
		return
	}
	if n.needsRewrite() {
		n.rewrite()
		return
	}
	for _, record := range j.records {
		j.bytes += len(record.Payload) + recordOverhead
	}
	n.emitWrite(j.records, false)
}

func (n *Node) emitWrite(records []Record, rewrite bool) {
	j := &n.journal
	j.lastToken++
	j.token, j.rewriting, j.since = j.lastToken, rewrite, n.now
	j.out, j.effects, j.records = j.effects, nil, nil
	n.out.Writes = append(n.out.Writes, Write{Token: j.token, Records: records, Rewrite: rewrite})
}

func (n *Node) needsRewrite() bool {
	bytes := n.journal.bytes
	return bytes > rewriteBytes || bytes > max(n.log.retention.RewriteFrom, rewriteFactor*n.journal.snapshot)
}

// rewrite replaces the file by the present state, which holds whatever was queued.
func (n *Node) rewrite() {
	records := n.wholeState()
	n.journal.bytes = 0
	for _, record := range records {
		n.journal.bytes += len(record.Payload) + recordOverhead
	}
	n.counters.Rewrites++
	n.emitWrite(records, true)
}

// Written tells that the write with a token ended.
func (n *Node) Written(now time.Time, token uint64, err error) Output {
	n.begin(now)
	j := &n.journal
	if token != j.token {
		return n.finish()
	}
	wasLate := now.Sub(j.since) > n.options.AckBound/impairedShare
	j.token = 0
	if err != nil {
		n.writeFailed(err)
		return n.finish()
	}
	if wasLate || j.failed {
		j.goodSince = now
	}
	j.failed = false
	effects := j.out
	j.out = nil
	for _, each := range effects {
		n.takeEffect(each)
	}
	return n.finish()
}

// writeFailed keeps the effects for the rewrite that is to come: they hold once the whole state is on disk.
func (n *Node) writeFailed(err error) {
	j := &n.journal
	n.counters.FailedWrites++
	n.logf("write failed, leaving the chain: %v", err)
	j.failed, j.failedAt = true, n.now
	j.effects = append(j.out, j.effects...)
	j.out = nil
}

func (n *Node) takeEffect(done effect) {
	if done.identity {
		n.ready = true
	}
	n.out.Sends = append(n.out.Sends, done.sends...)
	for _, send := range done.loop {
		n.loop = append(n.loop, send.Message)
	}
	if done.generation == n.generation && done.position > n.synced {
		n.synced = done.position
	}
	if done.installed != 0 && done.installed == n.view.Epoch {
		n.durableInstalled = done.installed
		n.installDone()
	}
	n.advance()
}

// tickJournal retries after a failure.
func (n *Node) tickJournal() {
	j := &n.journal
	if j.failed && j.token == 0 && n.now.Sub(j.failedAt) >= rewriteRetry {
		j.failedAt = n.now
		n.rewrite()
	}
}

// impaired tells whether the node can't be counted on: its disk does not keep up, did not until a moment ago, or failed, or it leaves.
func (n *Node) impaired() bool {
	j := &n.journal
	if n.leaving || j.failed || n.writeLate() {
		return true
	}
	return !j.goodSince.IsZero() && n.now.Sub(j.goodSince) < fitAfter
}

func (n *Node) writeLate() bool {
	return n.journal.token != 0 && n.now.Sub(n.journal.since) > n.options.AckBound/impairedShare
}
