package chain

import "wallflow/internal/chain/chainpb"

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
	n.heartbeat++
	n.heartbeatSentAt = n.now
	n.takeCheckpoint()
	if n.heartbeatUnansweredSince.IsZero() {
		n.heartbeatUnansweredSince = n.now
	}
	n.passHeartbeat(n.heartbeat)
}

// passHeartbeat passes a heartbeat on, or turns it round at the tail.
func (n *Node) passHeartbeat(number uint64) {
	n.heartbeats[number%heartbeatsHeld] = numberedTime{number: number, at: n.now}
	if n.now.Sub(n.heartbeatPassedAt) >= freshFor {
		n.heartbeatsSince = n.now
	}
	n.heartbeatPassedAt = n.now
	if n.isTail() {
		n.confirmAtTail(number)
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
		n.passHeartbeat(heartbeat.Number)
	}
}

// confirmAtTail takes a heartbeat that has passed the whole chain. The first ones after a silence may have been under way for long, or have
// waited while this process stood still: they prove nothing.
func (n *Node) confirmAtTail(number uint64) {
	if n.isHead() || n.now.Sub(n.heartbeatsSince) >= heartbeatsSettle {
		n.confirm(number)
	}
}

// confirm notes that the epoch was in force when a heartbeat passed here.
func (n *Node) confirm(number uint64) {
	passed := n.heartbeats[number%heartbeatsHeld]
	if number == 0 || passed.number != number || passed.at.Before(n.confirmedAt) {
		return
	}
	n.confirmedAt, n.confirmedEpoch = passed.at, n.view.Epoch
}
