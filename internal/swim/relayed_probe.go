package swim

import (
	"slices"
	"time"

	"wallflow/internal/swim/swimpb"
)

// maxRelayedProbes bounds the pings in flight on behalf of other members.
const maxRelayedProbes = 256

// relayedProbe is a ping that this process sent on behalf of another member.
type relayedProbe struct {
	sequence        uint32 // of the ping to the target
	requester       string // address
	requestSequence uint32 // of the ping request
	targetAddress   string
	targetHash      uint32
	nackAt          time.Time // when the requester is sent a nack
	expiresAt       time.Time // when a late ack is no longer forwarded
	nackSent        bool
}

// onPingRequest pings a target on behalf of another member.
func (n *Node) onPingRequest(now time.Time, from string, message *swimpb.Message) {
	if message.GetTargetAddress() == "" || len(n.relayedProbes) >= maxRelayedProbes || n.self.Status == Left {
		return
	}
	n.sequence++
	wait := relayedAckTimeout
	if known := n.table.byAddress[message.GetTargetAddress()]; known != nil {
		wait += n.roundTrip(known)
	}
	n.relayedProbes = append(n.relayedProbes, &relayedProbe{
		sequence:        n.sequence,
		requester:       from,
		requestSequence: message.GetSequence(),
		targetAddress:   message.GetTargetAddress(),
		targetHash:      message.GetTarget(),
		nackAt:          now.Add(wait),
		expiresAt:       now.Add(wait + indirectAckTimeout),
	})
	n.datagram(message.GetTargetAddress(), &swimpb.Message{
		Type:     swimpb.Type_TYPE_PING,
		Sequence: n.sequence,
		Target:   message.GetTarget(),
	})
}

// finishRelayedProbe forwards an ack to the member that requested the ping. It returns false if the ack belongs to no
// relayed probe.
func (n *Node) finishRelayedProbe(from string, message *swimpb.Message) bool {
	index := slices.IndexFunc(n.relayedProbes, func(open *relayedProbe) bool {
		return open.sequence == message.GetSequence() && open.targetAddress == from
	})
	if index < 0 {
		return false
	}
	open := n.relayedProbes[index]
	if open.targetHash != message.GetSender() {
		return true // another process has the address now
	}
	n.relayedProbes = slices.Delete(n.relayedProbes, index, index+1)
	n.datagram(open.requester, &swimpb.Message{
		Type:     swimpb.Type_TYPE_ACK,
		Sequence: open.requestSequence,
		Target:   open.targetHash,
	})
	return true
}

// advanceRelayedProbes sends a nack for each target that did not answer in time, and drops expired relayed probes.
func (n *Node) advanceRelayedProbes(now time.Time) {
	n.relayedProbes = slices.DeleteFunc(n.relayedProbes, func(open *relayedProbe) bool {
		if !open.nackSent && !now.Before(open.nackAt) {
			open.nackSent = true
			n.datagram(open.requester, &swimpb.Message{
				Type:     swimpb.Type_TYPE_NACK,
				Sequence: open.requestSequence,
				Target:   open.targetHash,
			})
		}
		return !now.Before(open.expiresAt)
	})
}
