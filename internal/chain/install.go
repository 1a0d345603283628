package chain

import (
	"time"

	"wallflow/internal/chain/chainpb"
)

// replication is a node's work as a member of the chain of its view.
type replication struct {
	successorSynced    bool   // the successor holds, or is being sent, what was passed
	passed             uint64 // position up to which entries went to the successor
	waitingSyncRequest *chainpb.SyncRequest
	syncRequestedAt    time.Time
	barriers           []*chainpb.Barrier

	heartbeat                uint64    // head: number of the newest heartbeat
	heartbeatSentAt          time.Time // head: when it went out
	heartbeatUnansweredSince time.Time // head: when the oldest heartbeat without an acknowledgement went out
	predecessorHeardAt       time.Time // others: when the predecessor last sent anything
	successorHeardAt         time.Time // all but the tail: when the successor last sent anything
	confirmedAt              time.Time // the epoch was in force at this time
	confirmedEpoch           uint64
	activeSince              time.Time // head: since when the whole chain has installed the epoch
	entryWaits               time.Time // head: since when entries wait to be committed
	candidates               map[Identity]*candidate
	checkpoints              [checkpointsHeld]checkpoint // head: the newest first
	votersAfter              time.Time                   // head: no change of the voters before
}

// promised tells whether the node takes no part in its epoch any more.
func (n *Node) promised() bool { return !n.acceptor.promised.zero() && !n.mistakes.headGoesOn }

// serving tells whether the node may append and pass on in its epoch.
func (n *Node) serving() bool {
	return n.inChain() && n.installed == n.view.Epoch && !n.promised() && !n.journal.failed
}

func (n *Node) predecessor() Identity { return n.view.neighbour(n.self.Identity, -1) }
func (n *Node) successor() Identity   { return n.view.neighbour(n.self.Identity, 1) }

// learnView takes a decided view.
func (n *Node) learnView(view View) {
	if view.Epoch == n.view.Epoch && view.Epoch > 0 && !view.equal(n.view) {
		n.counters.BrokenViewValue++
		n.logf("two views for epoch %d", view.Epoch)
	}
	if view.Epoch <= n.view.Epoch {
		return
	}
	if len(view.Chain) < n.leastChainLength(view) {
		n.counters.BrokenChainMinimum++
	}
	n.noteFormerVoters(view)
	n.view, n.viewSince = view, n.now
	n.acceptor = acceptor{instance: view.Epoch + 1}
	n.attempt = nil
	n.election = election{maximumRound: n.election.maximumRound}
	n.counters.ViewsDecided++
	n.persist(effect{}, encodeRecord(RecordDecided, viewToWire(view)))
	n.logf("view %d: %d voters, chain of %d, role %s", view.Epoch, len(view.Voters), len(view.Chain), n.role())
	if len(view.Voters) < n.leastVoters() {
		n.logf("%d voters can't bear the loss of %d at once: %d are needed", len(view.Voters), n.options.MinimumChain-1, n.leastVoters())
	}
	confirmedAt, confirmedEpoch := n.confirmedAt, n.confirmedEpoch
	n.replication = replication{confirmedAt: confirmedAt, confirmedEpoch: confirmedEpoch}
	n.startChain()
	n.clients.viewChanged()
	n.tickClients()
}

// startChain begins a member's work in its view, or goes on with it after a restart.
func (n *Node) startChain() {
	n.predecessorHeardAt, n.successorHeardAt = n.now, n.now
	n.heartbeatUnansweredSince = n.now
	if !n.inChain() || n.promised() || n.installed == n.view.Epoch {
		return
	}
	if n.isHead() {
		n.install(&chainpb.StoredInstalled{Epoch: n.view.Epoch, Keep: n.log.lastPosition()})
		return
	}
	n.requestSync()
}

// install makes the log the one of this epoch. What stored keeps has to be in the log already.
func (n *Node) install(stored *chainpb.StoredInstalled) {
	n.installed = stored.Epoch
	n.generation++
	n.synced = n.log.committed
	n.persist(effect{
		installed:  stored.Epoch,
		position:   n.log.lastPosition(),
		generation: n.generation,
	}, encodeRecord(RecordInstalled, stored))
}

// installDone follows once the installation is on disk.
func (n *Node) installDone() {
	if request := n.waitingSyncRequest; request != nil {
		n.waitingSyncRequest = nil
		n.answerSyncRequest(request)
	}
}

// requestSync asks the predecessor for what is missing.
func (n *Node) requestSync() {
	n.syncRequestedAt = n.now
	n.send(n.predecessor(), &chainpb.Message{Body: &chainpb.Message_SyncRequest{SyncRequest: &chainpb.SyncRequest{
		LastEpoch:    n.log.lastEpoch(),
		LastPosition: n.log.lastPosition(),
		Committed:    n.log.committed,
	}}})
}

// requestSyncAgain asks again, unless it just did.
func (n *Node) requestSyncAgain() {
	if n.now.Sub(n.syncRequestedAt) >= syncRetry/2 {
		n.requestSync()
	}
}

func (n *Node) receiveSyncRequest(request *chainpb.SyncRequest) {
	if !n.serving() {
		return
	}
	if n.durableInstalled != n.view.Epoch {
		n.waitingSyncRequest = request
		return
	}
	n.answerSyncRequest(request)
}

// answerSyncRequest sends what the successor is missing of what is on disk here.
func (n *Node) answerSyncRequest(request *chainpb.SyncRequest) {
	sync := &chainpb.Sync{}
	if keep, possible := n.commonPosition(request.LastEpoch, request.LastPosition, request.Committed); possible {
		sync.Keep = keep
	} else {
		sync.Snapshot = n.snapshot()
		sync.Keep = n.log.committed
		n.counters.Snapshots++
	}
	sync.Entries = n.log.between(sync.Keep, n.synced)
	n.successorSynced = true
	n.passed = n.synced
	n.send(n.successor(), &chainpb.Message{Body: &chainpb.Message_Sync{Sync: sync}})
	n.passBarriers()
}

// commonPosition is a position up to which another log is the same as this one, as far as that can be told from the other's last
// entry and from what the other knows to be committed.
func (n *Node) commonPosition(lastEpoch, lastPosition, committed uint64) (uint64, bool) {
	if epoch, held := n.log.epochAt(lastPosition); held && epoch == lastEpoch && lastPosition <= n.synced {
		return lastPosition, true
	}
	if n.log.holds(committed) && committed <= n.synced {
		return committed, true
	}
	return 0, false
}

// receiveSync installs the predecessor's log, or fills a gap in an installed one.
func (n *Node) receiveSync(sync *chainpb.Sync) {
	if n.journal.failed {
		return
	}
	if n.installed == n.view.Epoch {
		n.fillGap(sync)
		return
	}
	stored := &chainpb.StoredInstalled{Epoch: n.view.Epoch, Keep: sync.Keep, Entries: sync.Entries}
	if sync.Snapshot != nil && sync.Snapshot.Position >= n.log.committed {
		if err := n.resetLog(sync.Snapshot); err != nil {
			n.logf("snapshot from %s: %v", n.predecessor(), err)
			return
		}
		stored.Snapshot = sync.Snapshot
	} else if sync.Keep > n.log.lastPosition() {
		n.requestSyncAgain()
		return
	} else if !n.log.truncate(sync.Keep) {
		n.brokenCommit("a sync would replace entry %d, which is committed", sync.Keep+1)
		return
	}
	for _, entry := range sync.Entries {
		n.log.append(entry)
	}
	n.install(stored)
}

// fillGap takes from a sync only what is new: entries that are here may have been passed on. A snapshot can't be needed, as only
// what every member holds is dropped from a log.
func (n *Node) fillGap(sync *chainpb.Sync) {
	if sync.Snapshot == nil {
		n.appendEntries(sync.Keep, sync.Entries)
	}
}

func (n *Node) brokenCommit(format string, values ...any) {
	n.counters.BrokenCommitLog++
	n.logf(format, values...)
}
