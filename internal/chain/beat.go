package chain

import "wallflow/internal/chain/chainpb"

// tickChain does what a member of the chain does from time to time.
func (n *Node) tickChain() {
	if !n.inChain() || n.promised() || n.journal.failed {
		return
	}
	if n.installed != n.view.Epoch {
		if !n.isHead() && n.now.Sub(n.joinSentAt) >= joinRetry {
			n.join()
		}
		return
	}
	if n.isHead() && n.now.Sub(n.beatSentAt) >= beatInterval {
		n.sendBeat()
	}
}

// sendBeat begins a round through the chain. It comes back as an acknowledgement if no member has promised for the next epoch.
func (n *Node) sendBeat() {
	n.beat++
	n.beatSentAt = n.now
	n.takeCheckpoint()
	if n.beatUnheard.IsZero() {
		n.beatUnheard = n.now
	}
	n.passBeat(n.beat)
}

// passBeat passes a beat on, or turns it round at the tail.
func (n *Node) passBeat(number uint64) {
	n.beats[number%beatsHeld] = beatTime{number: number, at: n.now}
	if n.now.Sub(n.beatPassedAt) >= freshFor {
		n.beatsSince = n.now
	}
	n.beatPassedAt = n.now
	if n.isTail() {
		n.confirmAtTail(number)
		n.acknowledge(number)
		n.feedDigests()
		return
	}
	n.send(n.successor(), &chainpb.Message{Body: &chainpb.Message_Beat{Beat: &chainpb.Beat{
		Number:       number,
		LastPosition: n.passed,
	}}})
}

func (n *Node) receiveBeat(beat *chainpb.Beat) {
	if !n.serving() {
		return
	}
	if beat.LastPosition > n.log.lastPosition() {
		n.joinAgain()
	}
	if n.durableInstalled == n.view.Epoch {
		n.passBeat(beat.Number)
	}
}

// confirmAtTail takes a beat that has passed the whole chain. The first ones after a silence may have been under way for long, or have
// waited while this process stood still: they prove nothing.
func (n *Node) confirmAtTail(number uint64) {
	if n.isHead() || n.now.Sub(n.beatsSince) >= beatsSettle {
		n.confirm(number)
	}
}

// confirm notes that the epoch was in force when a beat passed here.
func (n *Node) confirm(number uint64) {
	passed := n.beats[number%beatsHeld]
	if number == 0 || passed.number != number || passed.at.Before(n.confirmedAt) {
		return
	}
	n.confirmedAt, n.confirmedEpoch = passed.at, n.view.Epoch
}
