package chain

import (
	"time"

	"wallflow/internal/chain/chainpb"
)

// tickChain does what a member of the chain does from time to time.
func (n *Node) tickChain() {
	if !n.inChain() || n.promised() || n.journal.failed {
		return
	}
	if n.installed != n.view.Epoch {
		if !n.isHead() && n.now.Sub(n.syncRequestedAt) >= syncRetry {
			n.requestSync()
		}
		return
	}
	if n.isHead() && n.now.Sub(n.heartbeatSentAt) >= heartbeatInterval {
		n.sendHeartbeat()
	}
}

// sendHeartbeat begins a round through the chain. It comes back as an acknowledgement if no member has promised for the next epoch.
func (n *Node) sendHeartbeat() {
	n.heartbeat = n.questions.ask(n.now)
	n.heartbeatSentAt = n.now
	n.takeCheckpoint()
	if n.heartbeatUnansweredSince.IsZero() {
		n.heartbeatUnansweredSince = n.now
	}
	n.passHeartbeat(n.heartbeat)
}

// passHeartbeat passes a heartbeat on, or turns it round at the tail.
func (n *Node) passHeartbeat(number uint64) {
	if n.isTail() {
		n.acknowledge(number)
		n.feedDigests()
		return
	}
	n.send(n.successor(), &chainpb.Message{Body: &chainpb.Message_Heartbeat{Heartbeat: &chainpb.Heartbeat{
		Number:       number,
		LastPosition: n.passed,
	}}})
}

func (n *Node) receiveHeartbeat(heartbeat *chainpb.Heartbeat) {
	if !n.serving() {
		return
	}
	if heartbeat.LastPosition > n.log.lastPosition() {
		n.requestSyncAgain()
	}
	if n.durableInstalled == n.view.Epoch {
		n.questions.note(heartbeat.Number, n.now)
		n.passHeartbeat(heartbeat.Number)
	}
}

// heartbeatReturned takes a heartbeat that has passed the whole chain and come back to the head: no member had promised for the next
// epoch when it passed there. The other members are told.
func (n *Node) heartbeatReturned(number uint64) {
	if _, sent := n.questions.askedAt(number); !sent {
		return
	}
	n.confirm(number)
	n.passConfirm(number)
	n.heartbeatUnansweredSince = time.Time{}
	if number != n.heartbeat {
		n.heartbeatUnansweredSince = n.heartbeatSentAt
	}
}

func (n *Node) receiveConfirm(confirm *chainpb.Confirm) {
	if !n.serving() {
		return
	}
	first := n.confirmedEpoch != n.view.Epoch
	n.confirm(confirm.Heartbeat)
	n.passConfirm(confirm.Heartbeat)
	if first && n.isTail() {
		n.feedDigests() // the followers' questions came before the epoch was confirmed here
	}
}

// passConfirm tells the rest of the chain that a heartbeat came back.
func (n *Node) passConfirm(number uint64) {
	if !n.isTail() {
		n.send(n.successor(), &chainpb.Message{Body: &chainpb.Message_Confirm{Confirm: &chainpb.Confirm{Heartbeat: number}}})
	}
}
