package workload

import (
	"maps"
	"slices"
	"time"

	"wallflow/internal/workload/workloadpb"
)

// Receive takes a message of another relay. One that is not from a relay that this one expects messages of, or came late, is ignored.
func (n *Node) Receive(now time.Time, from string, message *workloadpb.Message) {
	if !n.receiveLoads(now, from, message) {
		return
	}
	if receiver := n.receiver(from); message.SnapshotWanted && now.Sub(receiver.snapshotAt) >= repeatEvery {
		receiver.hasSnapshot = false // a request that crossed with the last snapshot asks for nothing new
	}
	readings := decodeReadings(message.Readings)
	n.received = append(n.received, readings...)
	if n.isHub() {
		n.queue.add(from, readings)
	}
}

// receiveLoads takes the loads and sums of a message. It returns false for a message that is ignored.
func (n *Node) receiveLoads(now time.Time, from string, message *workloadpb.Message) bool {
	switch {
	case message.GetRelay() != nil && n.isHub() && slices.Contains(n.peers, from):
		return peerAt(n.relays, from).receive(now, message, message.Relay, true, nil)
	case message.GetZone() != nil && n.isHub() && n.hubs[from] != "":
		return peerAt(n.zones, from).receive(now, message, message.Zone, message.Snapshot, nil)
	case message.GetAll() != nil && from == n.hub && !n.isHub():
		if n.others == nil {
			n.others = &peer{}
		}
		return n.others.receive(now, message, message.All, message.Snapshot, n.reportedIn(message.IncludedReport))
	}
	return false
}

// peerAt returns the peer at an address, a new one if it has sent nothing yet.
func peerAt(peers map[string]*peer, address string) *peer {
	if peers[address] == nil {
		peers[address] = &peer{}
	}
	return peers[address]
}

// sumOfZone is what the relays of the own zone have, this one included.
func (n *Node) sumOfZone(now time.Time) Loads {
	sum := maps.Clone(n.own.Loads)
	if sum == nil {
		sum = make(Loads)
	}
	addFresh(sum, now, n.relays)
	return sum
}

// sumOfZones is what the relays of the other zones have.
func (n *Node) sumOfZones(now time.Time) Loads {
	sum := make(Loads)
	addFresh(sum, now, n.zones)
	return sum
}

func addFresh(sum Loads, now time.Time, peers map[string]*peer) {
	for _, peer := range peers {
		if peer.fresh(now) {
			peer.addTo(sum, now)
		}
	}
}

// sumsOfZone is what the answers to the relays of the own zone have shown.
func (n *Node) sumsOfZone(now time.Time) Sums {
	sums := make(Sums)
	sums.add(n.own.Sums)
	addFreshSums(sums, now, n.relays)
	return sums
}

// sumsBut is what the answers to all relays but one of the own zone have shown.
func (n *Node) sumsBut(now time.Time, relay string) Sums {
	sums := n.sumsOfZone(now)
	addFreshSums(sums, now, n.zones)
	if reporter := n.relays[relay]; reporter.fresh(now) {
		return sums.without(reporter.sums)
	}
	return sums
}

func addFreshSums(sums Sums, now time.Time, peers map[string]*peer) {
	for _, peer := range peers {
		if peer.fresh(now) {
			sums.add(peer.sums)
		}
	}
}
