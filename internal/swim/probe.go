package swim

import (
	"slices"
	"time"

	"wallflow/internal/swim/swimpb"
)

// probe is a question to a member that is not answered yet.
type probe struct {
	sequence uint32
	target   *peer
	sent     time.Time
	askAt    time.Time // when helpers are asked
	failAt   time.Time // when the member is accused
	asked    int       // helpers
	nacks    int       // helpers that had no answer either
	isCheck  bool      // out of turn
}

// check is a probe out of turn: near a new suspect, or of a member that another reported dead.
type check struct {
	target *peer
	claim  *swimpb.State // what the target should refute, if anything
}

// startProbes probes the watched members whose time has come, the checks that wait, and one member by chance now and then.
func (n *Node) startProbes(now time.Time) {
	n.targets(func(target *peer) {
		if now.Before(target.nextProbe) {
			return
		}
		target.nextProbe = now.Add(n.jittered(n.timing.period))
		if now.Sub(target.heard) < n.timing.period/2 {
			return // it was heard a moment ago
		}
		n.startProbe(now, check{target: target}, false)
	})
	for range min(urgentPerTick, len(n.urgent)) {
		next := n.urgent[0]
		n.urgent = n.urgent[1:]
		n.startProbe(now, next, true)
	}
	if now.Before(n.nextRandom) {
		return
	}
	n.nextRandom = now.Add(n.jittered(n.timing.random))
	if target := n.pick(n.everywhere(), nil); target != nil {
		n.startProbe(now, check{target: target}, false)
	}
}

// jittered returns a time within a tenth of the given one.
func (n *Node) jittered(base time.Duration) time.Duration {
	return base*9/10 + time.Duration(n.random.Int64N(int64(base)/5+1))
}

// startProbe pings a live member unless a ping to it is open.
func (n *Node) startProbe(now time.Time, wanted check, outOfTurn bool) {
	target, claim := wanted.target, wanted.claim
	if !target.Status.live() || target == n.self {
		return
	}
	open := slices.ContainsFunc(n.probes, func(open *probe) bool { return open.target == target })
	if open && claim == nil {
		return
	}
	states := n.riding
	if outOfTurn {
		states = n.ridingLightly
	}
	sequence := n.ping(target, claim, states)
	if open {
		return
	}
	patience := time.Duration(1 + n.health)
	roundTrip := n.roundTrip(target)
	askAt := now.Add(patience * (directWait + roundTrip))
	n.probes = append(n.probes, &probe{
		sequence: sequence,
		target:   target,
		sent:     now,
		askAt:    askAt,
		failAt:   askAt.Add(patience * (helperWait + roundTrip)),
		isCheck:  outOfTurn,
	})
}

// ping sends a ping, with a claim that the target should refute or else with the states that ride along, and returns its sequence number.
func (n *Node) ping(target *peer, claim *swimpb.State, riding func(*peer) []*swimpb.State) uint32 {
	n.sequence++
	message := &swimpb.Message{
		Type:     swimpb.Type_TYPE_PING,
		Sequence: n.sequence,
		Target:   target.nameHash,
	}
	if claim != nil {
		message.States = append(message.States, claim)
	} else {
		message.States = riding(target)
	}
	n.datagram(target.Address, message)
	return n.sequence
}

// roundTrip returns how long an answer of a member may take on its way, with a margin.
func (n *Node) roundTrip(target *peer) time.Duration {
	switch {
	case target.roundTrip > 0:
		return target.roundTrip * 5 / 4
	case target.Meta.Region != n.self.Meta.Region:
		return remoteRoundTrip
	default:
		return 0
	}
}

// settleProbes asks helpers about silent members, and accuses those that stay silent.
func (n *Node) settleProbes(now time.Time) {
	var failed []*probe
	n.probes = slices.DeleteFunc(n.probes, func(open *probe) bool {
		if !open.target.Status.live() || !open.target.heard.Before(open.sent) {
			return true
		}
		if !now.Before(open.failAt) {
			failed = append(failed, open)
			return true
		}
		if open.asked == 0 && !now.Before(open.askAt) {
			n.askHelpers(open)
			if !open.isCheck {
				n.lookAround(open.target)
			}
		}
		return false
	})
	for _, silent := range failed {
		n.fail(now, silent)
	}
}

// askHelpers asks other members to ping a silent target.
func (n *Node) askHelpers(open *probe) {
	for _, helper := range n.chooseHelpers(open.target) {
		open.asked++
		n.datagram(helper.Address, &swimpb.Message{
			Type:          swimpb.Type_TYPE_PING_REQUEST,
			Sequence:      open.sequence,
			Target:        open.target.nameHash,
			TargetAddress: open.target.Address,
			States:        n.ridingLightly(helper),
		})
	}
}

// fail accuses a silent member. Without a word from any helper, this process doubts itself as well.
func (n *Node) fail(now time.Time, silent *probe) {
	if silent.asked > 0 && silent.nacks == 0 {
		n.health = min(n.health+1, maxHealth)
	}
	n.accuse(now, silent.target)
}

// onPing answers a ping.
func (n *Node) onPing(from string, message *swimpb.Message) {
	asker := n.known(from, message)
	answer := &swimpb.Message{
		Type:     swimpb.Type_TYPE_ACK,
		Sequence: message.GetSequence(),
		Target:   message.GetTarget(),
		States:   n.ridingLightly(asker),
	}
	if n.mustTellSelf(message) {
		answer.States = append([]*swimpb.State{encodeMember(n.self.Member, "", true)}, answer.States...)
		answer.States = trim(answer.States)
	}
	answer.AnswerWanted = asker == nil || asker.Incarnation < message.GetIncarnation()
	n.datagram(from, answer)
}

// mustTellSelf reports whether an asker should learn the own state: it holds a wrong belief, or meant somebody else.
func (n *Node) mustTellSelf(message *swimpb.Message) bool {
	if message.GetTarget() != n.self.nameHash {
		return true
	}
	return slices.ContainsFunc(message.GetStates(), func(state *swimpb.State) bool {
		return state.GetName() == n.self.Name
	})
}

// known returns the member that sent a message, or nil if another or none is known at its address.
func (n *Node) known(from string, message *swimpb.Message) *peer {
	known := n.table.byAddress[from]
	if known == nil || known.nameHash != message.GetSender() {
		return nil
	}
	return known
}

// onAck closes the probe, own or relayed, that an answer belongs to.
func (n *Node) onAck(now time.Time, from string, message *swimpb.Message) {
	if message.GetAnswerWanted() {
		n.introduce(now, from)
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
		return // another process has its address now
	}
	open.target.heard = now
	n.probes = slices.Delete(n.probes, index, index+1)
	if direct {
		n.health = max(n.health-1, 0)
		open.target.measure(now.Sub(open.sent))
	}
}

// measure takes a measured round trip into the smoothed one.
func (p *peer) measure(roundTrip time.Duration) {
	roundTrip = min(max(roundTrip, time.Microsecond), remoteRoundTrip*2)
	if p.roundTrip == 0 {
		p.roundTrip = roundTrip
		return
	}
	p.roundTrip += (roundTrip - p.roundTrip) / 8
}

// onNack notes that a helper lives but had no answer.
func (n *Node) onNack(message *swimpb.Message) {
	for _, open := range n.probes {
		if open.sequence == message.GetSequence() {
			open.nacks++
		}
	}
}
