package chain

import (
	"time"

	"wallflow/internal/chain/chainpb"
)

// replication is the state of a node as a chain member of its view. It is reset by each new view, except for the
// confirmation of the epoch.
type replication struct {
	successorReady      bool                 // the successor has the entries up to forwardedPosition or is being sent them
	forwardedPosition   uint64               // up to which entries were sent to the successor
	deferredSyncRequest *chainpb.SyncRequest // of the successor, answered once the epoch is installed here
	syncRequestedAt     time.Time
	barriers            []*chainpb.Barrier // waiting for entries, see startBarrier

	lastHeartbeat            uint64    // head: number of the newest heartbeat
	heartbeatSentAt          time.Time // head: when the newest heartbeat was sent
	heartbeatUnansweredSince time.Time // head: when the oldest unacknowledged heartbeat was sent, zero for none
	predecessorLastContact   time.Time // all but the head: when the predecessor last sent anything
	successorLastContact     time.Time // all but the tail: when the successor last sent anything
	confirmedAt              time.Time // time at which confirmedEpoch was in force
	confirmedEpoch           uint64
	activeSince              time.Time                  // head: when the whole chain had installed the epoch, zero before
	uncommittedSince         time.Time                  // head: since when waiting entries make no progress, zero if none wait
	candidates               map[Identity]*candidate    // head: learners that ask to become voters
	checkpoints              [maxCheckpoints]checkpoint // head: the newest first
	voterChangeNotBefore     time.Time                  // head: earliest time of the next attempt to change the voters
}

// hasPromised reports whether the node promised in the instance of the next epoch and therefore takes no further part
// in the current one.
func (n *Node) hasPromised() bool {
	return !n.acceptor.promisedBallot.isZero() && !n.injectedFaults.ignoreEpochEnd
}

// canServe reports whether the node may append and forward in its epoch.
func (n *Node) canServe() bool {
	return n.inChain() && n.installedEpoch == n.view.Epoch && !n.hasPromised() && !n.journal.failed
}

func (n *Node) predecessor() Identity { return n.view.neighbour(n.self.Identity, -1) }
func (n *Node) successor() Identity   { return n.view.neighbour(n.self.Identity, 1) }

// learnView adopts a decided view if it is newer than the current one.
func (n *Node) learnView(view View) {
	if view.Epoch == n.view.Epoch && view.Epoch > 0 && !view.equal(n.view) {
		n.counters.BrokenViewValue++
		n.logf("two different views were decided for epoch %d", view.Epoch)
	}
	if view.Epoch <= n.view.Epoch {
		return
	}
	if len(view.Chain) < n.minChainLength(view) {
		n.counters.BrokenChainMinimum++
	}
	n.recordFormerVoters(view)
	n.view, n.viewLearnedAt = view, n.now
	n.acceptor = acceptor{instance: view.Epoch + 1}
	n.attempt = nil
	n.election = election{maxRound: n.election.maxRound}
	n.counters.ViewsDecided++
	n.persist(effect{}, encodeRecord(RecordDecided, viewToWire(view)))
	n.logf("view %d: %d voters, chain length %d, role %s", view.Epoch, len(view.Voters), len(view.Chain), n.role())
	if len(view.Voters) < n.minVoters() {
		n.logf("%d voters cannot tolerate the loss of %d at once: %d are needed", len(view.Voters), n.options.TargetChainLength-1, n.minVoters())
	}
	confirmedAt, confirmedEpoch := n.confirmedAt, n.confirmedEpoch
	n.replication = replication{confirmedAt: confirmedAt, confirmedEpoch: confirmedEpoch}
	n.startReplication()
	n.clients.resendReads()
	n.tickClients()
}

// startReplication starts the work of a chain member in its view or resumes it after a restart.
func (n *Node) startReplication() {
	n.predecessorLastContact, n.successorLastContact = n.now, n.now
	n.heartbeatUnansweredSince = n.now
	if !n.inChain() || n.hasPromised() || n.installedEpoch == n.view.Epoch {
		return
	}
	if n.isHead() {
		n.installLog(&chainpb.StoredInstalled{Epoch: n.view.Epoch, Keep: n.log.lastPosition()})
		return
	}
	n.requestSync()
}

// installLog records that the log is the one of this epoch. The log has to match stored already.
func (n *Node) installLog(stored *chainpb.StoredInstalled) {
	n.installedEpoch = stored.Epoch
	n.generation++
	n.syncedPosition = n.log.committed
	n.persist(effect{
		installedEpoch: stored.Epoch,
		position:       n.log.lastPosition(),
		generation:     n.generation,
	}, encodeRecord(RecordInstalled, stored))
}

// finishInstall runs once the installation is on disk. It answers the sync request that waited for it.
func (n *Node) finishInstall() {
	if request := n.deferredSyncRequest; request != nil {
		n.deferredSyncRequest = nil
		n.answerSyncRequest(request)
	}
}

// requestSync requests missing entries from the predecessor.
func (n *Node) requestSync() {
	n.syncRequestedAt = n.now
	n.send(n.predecessor(), &chainpb.Message{Body: &chainpb.Message_SyncRequest{SyncRequest: &chainpb.SyncRequest{
		LastEpoch:    n.log.lastEpoch(),
		LastPosition: n.log.lastPosition(),
		Committed:    n.log.committed,
	}}})
}

// retrySync repeats the sync request unless the last one was very recent.
func (n *Node) retrySync() {
	if n.now.Sub(n.syncRequestedAt) >= syncRetryInterval/2 {
		n.requestSync()
	}
}

func (n *Node) receiveSyncRequest(request *chainpb.SyncRequest) {
	if !n.canServe() {
		return
	}
	if n.durableInstalledEpoch != n.view.Epoch {
		n.deferredSyncRequest = request
		return
	}
	n.answerSyncRequest(request)
}

// answerSyncRequest sends the successor the entries on disk that it is missing, or a snapshot if the common prefix of
// the logs is not known.
func (n *Node) answerSyncRequest(request *chainpb.SyncRequest) {
	sync := &chainpb.Sync{}
	if keep, found := n.commonPosition(request.LastEpoch, request.LastPosition, request.Committed); found {
		sync.Keep = keep
	} else {
		sync.Snapshot = n.snapshot()
		sync.Keep = n.log.committed
		n.counters.Snapshots++
	}
	sync.Entries = n.log.entriesBetween(sync.Keep, n.syncedPosition)
	n.successorReady = true
	n.forwardedPosition = n.syncedPosition
	n.send(n.successor(), &chainpb.Message{Body: &chainpb.Message_Sync{Sync: sync}})
	n.forwardBarriers()
}

// commonPosition returns a position up to which another log equals this one, judged by the last entry and the committed
// position of the other log. It returns false if neither shows one.
func (n *Node) commonPosition(lastEpoch, lastPosition, committed uint64) (uint64, bool) {
	if epoch, retained := n.log.epochAt(lastPosition); retained && epoch == lastEpoch && lastPosition <= n.syncedPosition {
		return lastPosition, true
	}
	if n.log.holdsAllAfter(committed) && committed <= n.syncedPosition {
		return committed, true
	}
	return 0, false
}

// receiveSync installs the log of the predecessor or fills a gap in an already installed log.
func (n *Node) receiveSync(sync *chainpb.Sync) {
	if n.journal.failed {
		return
	}
	if n.installedEpoch == n.view.Epoch {
		n.fillGap(sync)
		return
	}
	stored := &chainpb.StoredInstalled{Epoch: n.view.Epoch, Keep: sync.Keep, Entries: sync.Entries}
	if sync.Snapshot != nil && sync.Snapshot.Position >= n.log.committed {
		if err := n.resetLog(sync.Snapshot); err != nil {
			n.logf("installing the snapshot from %s: %v", n.predecessor(), err)
			return
		}
		stored.Snapshot = sync.Snapshot
	} else if sync.Keep > n.log.lastPosition() {
		n.retrySync()
		return
	} else if !n.log.truncate(sync.Keep) {
		n.reportBrokenCommit("a sync would replace the committed entry %d", sync.Keep+1)
		return
	}
	for _, entry := range sync.Entries {
		n.log.append(entry)
	}
	n.installLog(stored)
}

// fillGap appends only the new entries of a sync, since present ones may have been forwarded already. A snapshot cannot
// be needed: a log drops only entries that every member has.
func (n *Node) fillGap(sync *chainpb.Sync) {
	if sync.Snapshot == nil {
		n.appendEntries(sync.Keep, sync.Entries)
	}
}

// reportBrokenCommit counts and logs a violated invariant of the committed log.
func (n *Node) reportBrokenCommit(format string, args ...any) {
	n.counters.BrokenCommitLog++
	n.logf(format, args...)
}
