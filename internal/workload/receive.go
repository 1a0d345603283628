package workload

import (
	"maps"
	"slices"
	"time"

	"wallflow/internal/workload/workloadpb"
)

// Receive processes a message from another relay. A message is ignored if this relay expects none from its sender, or if it is older
// than one received before.
func (n *Node) Receive(now time.Time, from string, message *workloadpb.Message) {
	if !n.receiveLoads(now, from, message) {
		return
	}
	if receiver := n.receiverState(from); message.SnapshotWanted && now.Sub(receiver.snapshotSentAt) >= repeatInterval {
		receiver.hasSnapshot = false // an earlier request may have crossed with the last snapshot
	}
	prefills := decodePrefills(message.Readings)
	n.receivedPrefills = append(n.receivedPrefills, prefills...)
	if n.isHub() {
		n.queuedPrefills.add(from, prefills)
	}
}

// receiveLoads applies the loads and sums of a message. It returns false for a message that is to be ignored.
func (n *Node) receiveLoads(now time.Time, from string, message *workloadpb.Message) bool {
	switch {
	case message.GetRelay() != nil && n.isHub() && slices.Contains(n.zonePeers, from):
		return peerStateAt(n.relayStates, from).receive(now, message, message.Relay, true, nil)
	case message.GetZone() != nil && n.isHub() && n.zoneByHub[from] != "":
		return peerStateAt(n.hubStates, from).receive(now, message, message.Zone, message.Snapshot, nil)
	case message.GetAll() != nil && from == n.hub && !n.isHub():
		if n.othersState == nil {
			n.othersState = &peerState{}
		}
		return n.othersState.receive(now, message, message.All, message.Snapshot, n.reportedLoads(message.IncludedReport))
	}
	return false
}

// peerStateAt returns the state of the peer at an address, and adds it if there is none yet.
func peerStateAt(peers map[string]*peerState, address string) *peerState {
	if peers[address] == nil {
		peers[address] = &peerState{}
	}
	return peers[address]
}

// ownZoneLoads returns the summed loads of all relays of the own zone, this one included.
func (n *Node) ownZoneLoads(now time.Time) Loads {
	sum := maps.Clone(n.ownReport.Loads)
	if sum == nil {
		sum = make(Loads)
	}
	addFreshLoads(sum, now, n.relayStates)
	return sum
}

// otherZoneLoads returns the summed loads of the relays of all other zones.
func (n *Node) otherZoneLoads(now time.Time) Loads {
	sum := make(Loads)
	addFreshLoads(sum, now, n.hubStates)
	return sum
}

// addFreshLoads adds the loads of the peers that have sent something within senderExpiry.
func addFreshLoads(sum Loads, now time.Time, peers map[string]*peerState) {
	for _, peer := range peers {
		if peer.isFresh(now) {
			peer.addTo(sum, now)
		}
	}
}

// ownZoneSums returns the sums over the answers to all relays of the own zone, this one included.
func (n *Node) ownZoneSums(now time.Time) Sums {
	sums := make(Sums)
	sums.add(n.ownReport.Sums)
	addFreshSums(sums, now, n.relayStates)
	return sums
}

// sumsExcept returns the sums over the answers to all relays except one of the own zone.
func (n *Node) sumsExcept(now time.Time, relay string) Sums {
	sums := n.ownZoneSums(now)
	addFreshSums(sums, now, n.hubStates)
	if reporter := n.relayStates[relay]; reporter.isFresh(now) {
		return sums.without(reporter.sums)
	}
	return sums
}

// addFreshSums adds the sums of the peers that have sent something within senderExpiry.
func addFreshSums(sums Sums, now time.Time, peers map[string]*peerState) {
	for _, peer := range peers {
		if peer.isFresh(now) {
			sums.add(peer.sums)
		}
	}
}
