package workload

import (
	"maps"
	"slices"
	"time"

	"wallflow/internal/workload/workloadpb"
)

// Receive takes a word of another relay. One that is not from a relay that this one listens to, or came late, is passed over.
func (n *Node) Receive(now time.Time, from string, message *workloadpb.Message) {
	if !n.take(now, from, message) {
		return
	}
	if message.Again {
		n.toldTo(from).begun = false
	}
	readings := decodeReadings(message.Readings)
	n.heard = append(n.heard, readings...)
	if n.isHub() {
		n.queue.add(from, readings)
	}
}

// take takes the loads and sums of a message. It returns whether the message is from a relay that this one listens to, newer than its
// last, and readable.
func (n *Node) take(now time.Time, from string, message *workloadpb.Message) bool {
	switch {
	case message.GetRelay() != nil && n.isHub() && slices.Contains(n.peers, from):
		return listen(n.relays, from).hear(now, message, message.Relay, true, nil)
	case message.GetZone() != nil && n.isHub() && n.hubs[from] != "":
		return listen(n.zones, from).hear(now, message, message.Zone, message.Whole, nil)
	case message.GetAll() != nil && from == n.hub && !n.isHub():
		if n.others == nil {
			n.others = &view{}
		}
		return n.others.hear(now, message, message.All, message.Whole, n.ownIn(message.Heard))
	}
	return false
}

// listen is what a sender has told, begun if it is new.
func listen(views map[string]*view, from string) *view {
	if views[from] == nil {
		views[from] = &view{}
	}
	return views[from]
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

func addFresh(sum Loads, now time.Time, views map[string]*view) {
	for _, said := range views {
		if said.fresh(now) {
			said.addTo(sum, now)
		}
	}
}

// sumsOfZone is what the answers to the relays of the own zone have told.
func (n *Node) sumsOfZone(now time.Time) Sums {
	sums := make(Sums)
	sums.add(n.own.Sums)
	addFreshSums(sums, now, n.relays)
	return sums
}

// sumsBut is what the answers to all relays but one of the own zone have told.
func (n *Node) sumsBut(now time.Time, relay string) Sums {
	sums := n.sumsOfZone(now)
	addFreshSums(sums, now, n.zones)
	if said := n.relays[relay]; said.fresh(now) {
		return sums.without(said.sums)
	}
	return sums
}

func addFreshSums(sums Sums, now time.Time, views map[string]*view) {
	for _, said := range views {
		if said.fresh(now) {
			sums.add(said.sums)
		}
	}
}
