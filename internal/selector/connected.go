package selector

import "slices"

const (
	// connectionWorth is the share of a request's worth that a new connection to an endpoint costs.
	connectionWorth = 0.02
	// recentMost bounds the endpoints of a tier that are remembered as used last, and connectedLooks those of them that are looked at.
	recentMost     = 24
	connectedLooks = 4
)

// isConnected tells whether a request to an endpoint finds an open connection. To open one takes another round trip.
func (s *Selector) isConnected(endpoint *endpoint) bool {
	if s.options.HasConnection == nil || !s.on(KeptConnections) {
		return true
	}
	return s.options.HasConnection(endpoint.instance.ID)
}

// noteRecent remembers that an endpoint has answered: its connection is kept, as a rule.
func (t *tier) noteRecent(endpoint *endpoint) {
	if at := slices.Index(t.recent, endpoint); at >= 0 {
		t.recent = slices.Delete(t.recent, at, at+1)
	}
	if len(t.recent) >= recentMost {
		t.recent = slices.Delete(t.recent, 0, 1)
	}
	t.recent = append(t.recent, endpoint)
}

// addConnected adds a few endpoints to which a connection is open, out of those used last. The others of a large tier are found by chance
// alone, and a relay of many has used few of them lately.
func (s *Selector) addConnected(into []candidate, tier *tier) []candidate {
	if s.options.HasConnection == nil || !s.on(KeptConnections) {
		return into
	}
	found := 0
	for index := len(tier.recent) - 1; index >= 0 && found < connectedLooks; index-- {
		endpoint := tier.recent[index]
		if endpoint.tier == tier && endpoint.place == placeWarm && s.isConnected(endpoint) {
			into = append(into, candidate{endpoint: endpoint, rank: unranked})
			found++
		}
	}
	return into
}
