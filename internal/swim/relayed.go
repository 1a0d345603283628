package swim

import (
	"slices"
	"time"

	"wallflow/internal/swim/swimpb"
)

// maxRelayedProbes bounds the pings under way for others.
const maxRelayedProbes = 256

// relayedProbe is a ping for another member.
type relayedProbe struct {
	sequence  uint32 // of the own ping
	asker     string
	askedWith uint32 // sequence of the request
	target    string // address
	hash      uint32
	nackAt    time.Time // when the asker learns that there was no answer yet
	until     time.Time // when a late answer is of no use any more
	nacked    bool
}

// onPingRequest pings a target for another member.
func (n *Node) onPingRequest(now time.Time, from string, message *swimpb.Message) {
	if message.GetTargetAddress() == "" || len(n.relayedProbes) >= maxRelayedProbes || n.self.Status == Left {
		return
	}
	n.sequence++
	wait := relayedProbeWait
	if known := n.table.byAddress[message.GetTargetAddress()]; known != nil {
		wait += n.roundTrip(known)
	}
	n.relayedProbes = append(n.relayedProbes, &relayedProbe{
		sequence:  n.sequence,
		asker:     from,
		askedWith: message.GetSequence(),
		target:    message.GetTargetAddress(),
		hash:      message.GetTarget(),
		nackAt:    now.Add(wait),
		until:     now.Add(wait + helperWait),
	})
	n.datagram(message.GetTargetAddress(), &swimpb.Message{
		Type:     swimpb.Type_TYPE_PING,
		Sequence: n.sequence,
		Target:   message.GetTarget(),
	})
}

// finishRelayedProbe passes an answer on to the member that asked for it. It returns false when no relayed probe waits for it.
func (n *Node) finishRelayedProbe(from string, message *swimpb.Message) bool {
	index := slices.IndexFunc(n.relayedProbes, func(open *relayedProbe) bool {
		return open.sequence == message.GetSequence() && open.target == from
	})
	if index < 0 {
		return false
	}
	open := n.relayedProbes[index]
	if open.hash != message.GetSender() {
		return true // another process has the address now
	}
	n.relayedProbes = slices.Delete(n.relayedProbes, index, index+1)
	n.datagram(open.asker, &swimpb.Message{
		Type:     swimpb.Type_TYPE_ACK,
		Sequence: open.askedWith,
		Target:   open.hash,
	})
	return true
}

// settleRelayedProbes tells those that asked when a target does not answer.
func (n *Node) settleRelayedProbes(now time.Time) {
	n.relayedProbes = slices.DeleteFunc(n.relayedProbes, func(open *relayedProbe) bool {
		if !open.nacked && !now.Before(open.nackAt) {
			open.nacked = true
			n.datagram(open.asker, &swimpb.Message{
				Type:     swimpb.Type_TYPE_NACK,
				Sequence: open.askedWith,
				Target:   open.hash,
			})
		}
		return !now.Before(open.until)
	})
}
