package selector

import "slices"

const (
	// newConnectionCost is the cost of opening a connection to an endpoint, as a fraction of the request's target
	// latency.
	newConnectionCost = 0.02
	// maxRecentEndpoints is how many of the endpoints that answered last are remembered for each tier, and
	// maxConnectedCandidates how many of them with an open connection are considered for a request.
	maxRecentEndpoints     = 24
	maxConnectedCandidates = 4
)

// isConnected reports whether a request to an endpoint would find an open connection. To open one takes another round
// trip.
func (s *Selector) isConnected(endpoint *endpoint) bool {
	if s.options.HasConnection == nil || !s.enabled(OpenConnections) {
		return true
	}
	return s.options.HasConnection(endpoint.instance.ID)
}

// recordRecent records that an endpoint has answered. Its connection is usually kept open.
func (t *tier) recordRecent(endpoint *endpoint) {
	if at := slices.Index(t.recentlyUsed, endpoint); at >= 0 {
		t.recentlyUsed = slices.Delete(t.recentlyUsed, at, at+1)
	}
	if len(t.recentlyUsed) >= maxRecentEndpoints {
		t.recentlyUsed = slices.Delete(t.recentlyUsed, 0, 1)
	}
	t.recentlyUsed = append(t.recentlyUsed, endpoint)
}

// addConnected appends a few endpoints to which a connection is open, out of those that answered last. Without this,
// the endpoints of a large tier are mostly drawn at random, and a relay in a large fleet has used few of them
// recently.
func (s *Selector) addConnected(dst []candidate, tier *tier) []candidate {
	if s.options.HasConnection == nil || !s.enabled(OpenConnections) {
		return dst
	}
	found := 0
	for index := len(tier.recentlyUsed) - 1; index >= 0 && found < maxConnectedCandidates; index-- {
		endpoint := tier.recentlyUsed[index]
		if endpoint.tier == tier && endpoint.list == listWarm && s.isConnected(endpoint) {
			dst = append(dst, candidate{endpoint: endpoint, rank: unranked})
			found++
		}
	}
	return dst
}
