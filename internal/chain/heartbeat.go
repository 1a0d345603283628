package chain

import (
	"time"

	"wallflow/internal/chain/chainpb"
)

// tickChain repeats the sync request of a member that has not installed its epoch, and sends the heartbeats of the
// head.
func (n *Node) tickChain() {
	if !n.inChain() || n.hasPromised() || n.journal.failed {
		return
	}
	if n.installedEpoch != n.view.Epoch {
		if !n.isHead() && n.now.Sub(n.syncRequestedAt) >= syncRetryInterval {
			n.requestSync()
		}
		return
	}
	if n.isHead() && n.now.Sub(n.heartbeatSentAt) >= heartbeatInterval {
		n.sendHeartbeat()
	}
}

// sendHeartbeat sends a heartbeat through the chain. It returns as an acknowledgement only if no member has promised
// for the next epoch.
func (n *Node) sendHeartbeat() {
	n.lastHeartbeat = n.probes.start(n.now)
	n.heartbeatSentAt = n.now
	n.recordCheckpoint()
	if n.heartbeatUnansweredSince.IsZero() {
		n.heartbeatUnansweredSince = n.now
	}
	n.forwardHeartbeat(n.lastHeartbeat)
}

// forwardHeartbeat forwards a heartbeat or, at the tail, acknowledges it and sends digests to the followers.
func (n *Node) forwardHeartbeat(number uint64) {
	if n.isTail() {
		n.acknowledge(number)
		n.feedDigests()
		return
	}
	n.send(n.successor(), &chainpb.Message{Body: &chainpb.Message_Heartbeat{Heartbeat: &chainpb.Heartbeat{
		Number:       number,
		LastPosition: n.forwardedPosition,
	}}})
}

// receiveHeartbeat records and forwards a heartbeat of the predecessor. Its last position shows whether entries are
// missing here.
func (n *Node) receiveHeartbeat(heartbeat *chainpb.Heartbeat) {
	if !n.canServe() {
		return
	}
	if heartbeat.LastPosition > n.log.lastPosition() {
		n.retrySync()
	}
	if n.durableInstalledEpoch == n.view.Epoch {
		n.probes.record(heartbeat.Number, n.now)
		n.forwardHeartbeat(heartbeat.Number)
	}
}

// handleReturnedHeartbeat confirms the epoch at the head for the time of a heartbeat that passed through the whole
// chain and back: no member had promised for the next epoch when it passed. The other members are notified.
func (n *Node) handleReturnedHeartbeat(number uint64) {
	if _, sent := n.probes.sentAt(number); !sent {
		return
	}
	n.confirmProbe(number)
	n.forwardConfirm(number)
	n.heartbeatUnansweredSince = time.Time{}
	if number != n.lastHeartbeat {
		n.heartbeatUnansweredSince = n.heartbeatSentAt
	}
}

// receiveConfirm confirms the epoch for the time at which a heartbeat passed here, now that the heartbeat has returned
// to the head.
func (n *Node) receiveConfirm(confirm *chainpb.Confirm) {
	if !n.canServe() {
		return
	}
	firstOfEpoch := n.confirmedEpoch != n.view.Epoch
	n.confirmProbe(confirm.Heartbeat)
	n.forwardConfirm(confirm.Heartbeat)
	if firstOfEpoch && n.isTail() {
		n.feedDigests() // the fetches of the followers arrived before the epoch was confirmed here
	}
}

// forwardConfirm notifies the rest of the chain that a heartbeat returned.
func (n *Node) forwardConfirm(number uint64) {
	if !n.isTail() {
		n.send(n.successor(), &chainpb.Message{Body: &chainpb.Message_Confirm{Confirm: &chainpb.Confirm{Heartbeat: number}}})
	}
}
