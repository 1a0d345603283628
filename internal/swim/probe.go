package swim

import (
	"slices"
	"time"

	"wallflow/internal/swim/swimpb"
)

// probe is a ping that has not been acknowledged yet.
type probe struct {
	sequence     uint32
	target       *peer
	sentAt       time.Time
	askHelpersAt time.Time // when helpers are asked to probe the target
	failsAt      time.Time // when the target is accused
	helpersAsked int
	nacks        int  // helpers that reported no answer from the target
	unscheduled  bool // started from a probeRequest of the queue
}

// probeRequest asks for an unscheduled probe: of a member near a new suspect, or of a member that another process
// reported dead.
type probeRequest struct {
	target *peer
	claim  *swimpb.State // belief about the target that it should refute; may be nil
}

// startDueProbes starts the scheduled probes of watched members that are due, some queued probes and, at times, the
// probe of a random member.
func (n *Node) startDueProbes(now time.Time) {
	n.forEachProbeTarget(func(target *peer) {
		if now.Before(target.nextProbe) {
			return
		}
		target.nextProbe = now.Add(n.withJitter(n.timing.probeInterval))
		if now.Sub(target.lastContact) < n.timing.probeInterval/2 {
			return // recent contact makes the probe unnecessary
		}
		n.startProbe(now, probeRequest{target: target}, false)
	})
	for range min(maxQueuedProbesPerTick, len(n.queuedProbes)) {
		next := n.queuedProbes[0]
		n.queuedProbes = n.queuedProbes[1:]
		n.startProbe(now, next, true)
	}
	if now.Before(n.nextRandomProbe) {
		return
	}
	n.nextRandomProbe = now.Add(n.withJitter(n.timing.randomProbeInterval))
	if target := n.pickRandom(n.wholeRing(), nil); target != nil {
		n.startProbe(now, probeRequest{target: target}, false)
	}
}

// withJitter returns a random duration within 10% of base.
func (n *Node) withJitter(base time.Duration) time.Duration {
	return base*9/10 + time.Duration(n.random.Int64N(int64(base)/5+1))
}

// startProbe pings a live member unless a probe of it is in flight. A claim is sent in any case.
func (n *Node) startProbe(now time.Time, request probeRequest, unscheduled bool) {
	target, claim := request.target, request.claim
	if !target.Status.live() || target == n.self {
		return
	}
	inFlight := slices.ContainsFunc(n.probes, func(inFlight *probe) bool { return inFlight.target == target })
	if inFlight && claim == nil {
		return
	}
	piggyback := n.piggybackUpdates
	if unscheduled {
		piggyback = n.piggybackWithinRegion
	}
	sequence := n.ping(target, claim, piggyback)
	if inFlight {
		return
	}
	timeoutMultiplier := time.Duration(1 + n.healthScore)
	roundTrip := n.roundTrip(target)
	askHelpersAt := now.Add(timeoutMultiplier * (directAckTimeout + roundTrip))
	n.probes = append(n.probes, &probe{
		sequence:     sequence,
		target:       target,
		sentAt:       now,
		askHelpersAt: askHelpersAt,
		failsAt:      askHelpersAt.Add(timeoutMultiplier * (indirectAckTimeout + roundTrip)),
		unscheduled:  unscheduled,
	})
}

// ping sends a ping and returns its sequence number. The ping carries the claim if there is one, otherwise the states
// that piggyback returns.
func (n *Node) ping(target *peer, claim *swimpb.State, piggyback func(*peer) []*swimpb.State) uint32 {
	n.sequence++
	message := &swimpb.Message{
		Type:     swimpb.Type_TYPE_PING,
		Sequence: n.sequence,
		Target:   target.nameHash,
	}
	if claim != nil {
		message.States = append(message.States, claim)
	} else {
		message.States = piggyback(target)
	}
	n.datagram(target.Address, message)
	return n.sequence
}

// roundTrip returns the expected round trip to a member, with a margin.
func (n *Node) roundTrip(target *peer) time.Duration {
	switch {
	case target.roundTrip > 0:
		return target.roundTrip * 5 / 4
	case target.Meta.Region != n.self.Meta.Region:
		return assumedRemoteRoundTrip
	default:
		return 0
	}
}

// advanceProbes asks helpers to probe targets that did not answer in time, and accuses the targets that still do not
// answer.
func (n *Node) advanceProbes(now time.Time) {
	var failed []*probe
	n.probes = slices.DeleteFunc(n.probes, func(open *probe) bool {
		if !open.target.Status.live() || !open.target.lastContact.Before(open.sentAt) {
			return true
		}
		if !now.Before(open.failsAt) {
			failed = append(failed, open)
			return true
		}
		if open.helpersAsked == 0 && !now.Before(open.askHelpersAt) {
			n.askHelpers(open)
			if !open.unscheduled {
				n.probeSurroundings(open.target)
			}
		}
		return false
	})
	for _, unanswered := range failed {
		n.handleFailedProbe(now, unanswered)
	}
}

// askHelpers asks other members to ping an unresponsive target.
func (n *Node) askHelpers(open *probe) {
	for _, helper := range n.chooseHelpers(open.target) {
		open.helpersAsked++
		n.datagram(helper.Address, &swimpb.Message{
			Type:          swimpb.Type_TYPE_PING_REQUEST,
			Sequence:      open.sequence,
			Target:        open.target.nameHash,
			TargetAddress: open.target.Address,
			States:        n.piggybackWithinRegion(helper),
		})
	}
}

// handleFailedProbe accuses the target of a failed probe. If no helper sent even a nack, the problem may be at this
// process, so its health score gets worse as well.
func (n *Node) handleFailedProbe(now time.Time, failed *probe) {
	if failed.helpersAsked > 0 && failed.nacks == 0 {
		n.healthScore = min(n.healthScore+1, maxHealthScore)
	}
	n.accuse(now, failed.target)
}

// onPing answers a ping with an ack.
func (n *Node) onPing(from string, message *swimpb.Message) {
	sender := n.senderOf(from, message)
	answer := &swimpb.Message{
		Type:     swimpb.Type_TYPE_ACK,
		Sequence: message.GetSequence(),
		Target:   message.GetTarget(),
		States:   n.piggybackWithinRegion(sender),
	}
	if n.needsOwnState(message) {
		answer.States = append([]*swimpb.State{encodeMember(n.self.Member, "", true)}, answer.States...)
		answer.States = trimToDatagram(answer.States)
	}
	answer.AnswerWanted = sender == nil || sender.Incarnation < message.GetIncarnation()
	n.datagram(from, answer)
}

// needsOwnState reports whether the ack must carry the state of this process: the ping carried a belief about this
// process that may need refuting, or was meant for another process.
func (n *Node) needsOwnState(message *swimpb.Message) bool {
	if message.GetTarget() != n.self.nameHash {
		return true
	}
	return slices.ContainsFunc(message.GetStates(), func(state *swimpb.State) bool {
		return state.GetName() == n.self.Name
	})
}

// senderOf returns the member that sent a message, or nil if no member or another one is known at its address.
func (n *Node) senderOf(from string, message *swimpb.Message) *peer {
	known := n.table.byAddress[from]
	if known == nil || known.nameHash != message.GetSender() {
		return nil
	}
	return known
}

// onAck ends the probe or relayed probe that an ack belongs to.
func (n *Node) onAck(now time.Time, from string, message *swimpb.Message) {
	if message.GetAnswerWanted() {
		n.introduceSelf(now, from)
	}
	if n.finishRelayedProbe(from, message) {
		return
	}
	index := slices.IndexFunc(n.probes, func(open *probe) bool { return open.sequence == message.GetSequence() })
	if index < 0 {
		return
	}
	open := n.probes[index]
	direct := from == open.target.Address
	if direct && message.GetSender() != open.target.nameHash {
		return // another process has the address now
	}
	open.target.lastContact = now
	n.probes = slices.Delete(n.probes, index, index+1)
	if direct {
		n.healthScore = max(n.healthScore-1, 0)
		open.target.updateRoundTrip(now.Sub(open.sentAt))
	}
}

// updateRoundTrip adds a measured round trip to the smoothed one.
func (p *peer) updateRoundTrip(roundTrip time.Duration) {
	roundTrip = min(max(roundTrip, time.Microsecond), assumedRemoteRoundTrip*2)
	if p.roundTrip == 0 {
		p.roundTrip = roundTrip
		return
	}
	p.roundTrip += (roundTrip - p.roundTrip) / 8
}

// onNack counts a helper that is alive but got no answer from the target.
func (n *Node) onNack(message *swimpb.Message) {
	for _, open := range n.probes {
		if open.sequence == message.GetSequence() {
			open.nacks++
		}
	}
}
