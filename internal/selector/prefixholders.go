package selector

import (
	"slices"
	"time"
)

const (
	// maxHoldersPerPrefix bounds the endpoints remembered for one prefix; the least recently used are dropped first.
	maxHoldersPerPrefix = 8
	// maxTrackedPrefixes bounds the prefixes remembered; beyond it those that no endpoint caches any more are
	// dropped, and then arbitrary ones.
	maxTrackedPrefixes = 1 << 14
)

// noTier is the result of holderTier if no tier qualifies.
const noTier = -1

// prefixHolders lists for each prompt prefix the endpoints that cache it, the most recently used last. It may include
// endpoints that have evicted the prefix: check with cachesPrefix.
type prefixHolders map[uint64][]*endpoint

// record adds an endpoint that has prefilled or reused a prefix.
func (p prefixHolders) record(now time.Time, prefix uint64, endpoint *endpoint) {
	holders := p[prefix]
	if at := slices.Index(holders, endpoint); at >= 0 {
		holders = slices.Delete(holders, at, at+1)
	}
	if len(holders) >= maxHoldersPerPrefix {
		holders = slices.Delete(holders, 0, 1)
	}
	if len(holders) == 0 && len(p) >= maxTrackedPrefixes {
		p.prune(now)
	}
	p[prefix] = append(holders, endpoint)
}

// prune makes room for another prefix.
func (p prefixHolders) prune(now time.Time) {
	for prefix, endpoints := range p {
		if !slices.ContainsFunc(endpoints, func(e *endpoint) bool { return e.cachesPrefix(now, prefix) }) {
			delete(p, prefix)
		}
	}
	for prefix := range p {
		if len(p) < maxTrackedPrefixes {
			return
		}
		delete(p, prefix)
	}
}

// cachesPrefix reports whether the endpoint is believed to cache a prefix.
func (e *endpoint) cachesPrefix(now time.Time, prefix uint64) bool {
	if e.removed {
		return false
	}
	part := e.cache.parts[prefix]
	return part != nil && now.Sub(part.usedAt) <= cachedPartTTL
}

// appendPrefixHolders appends the endpoints of a tier that cache a request's prefix and may be chosen.
func (s *Selector) appendPrefixHolders(now time.Time, dst []candidate, request *Request, tier *tier) []candidate {
	for _, endpoint := range s.holders[request.Parts[0].ID] {
		if endpoint.tier == tier && endpoint.list == listWarm && endpoint.cachesPrefix(now, request.Parts[0].ID) {
			dst = append(dst, candidate{endpoint: endpoint, rank: unranked})
		}
	}
	return dst
}

// holderTier returns the index of the tier in which a request's prefix is cached: the one of the own region if the
// prefix is cached there, else the one where it was used last. So a prefix stays where it is while regions gain and
// lose endpoints. The index is negative if no endpoint that may be chosen caches the prefix.
func (s *Selector) holderTier(request *Request, order []*tier) int {
	if !s.enabled(SharedPrefixes) {
		return noTier
	}
	home := noTier
	endpoints := s.holders[request.Parts[0].ID]
	for at := len(endpoints) - 1; at >= 0; at-- {
		endpoint := endpoints[at]
		if endpoint.list != listWarm || endpoint.service != request.service() || !endpoint.cachesPrefix(s.lastDecisionAt, request.Parts[0].ID) {
			continue
		}
		index := slices.Index(order, endpoint.tier)
		if index >= 0 && (home < 0 || order[index].region == s.options.Region) {
			home = index
		}
	}
	return home
}

// mayPrefillAnywhere reports whether a prefix that no endpoint caches may be prefilled at any endpoint, because the
// other relays are informed which one it is. Where they are not, as for requests bound to home regions, the endpoint
// must follow from the hash of the prefix.
func (s *Selector) mayPrefillAnywhere(request *Request) bool {
	return !request.isBound() && s.enabled(SharedPrefixes) && s.enabled(FreePlacement) && s.hasOtherLoads(s.lastDecisionAt)
}
