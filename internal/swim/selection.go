package swim

import "slices"

// maxPickAttempts bounds the random draws of pickRandom.
const maxPickAttempts = 8

// wholeRing returns the span of all live members.
func (n *Node) wholeRing() span { return span{from: 0, to: len(n.table.ring)} }

// localSpan returns the span of this process's zone. If this process is alone there, it returns the span of its
// region, and if it is alone in the region, the whole ring.
func (n *Node) localSpan() span {
	zone := n.table.zoneSpan(n.self.Meta.Region, n.self.Meta.Zone)
	if zone.size() > 1 {
		return zone
	}
	region := n.table.regionSpan(n.self.Meta.Region)
	if region.size() > 1 {
		return region
	}
	return n.wholeRing()
}

// pickRandom returns a random member of a span that is alive, is not this process and is not excluded. It returns nil
// if maxPickAttempts draws find none.
func (n *Node) pickRandom(within span, excluded []*peer) *peer {
	if within.size() <= 0 {
		return nil
	}
	for range maxPickAttempts {
		candidate := n.table.ring[within.from+n.random.IntN(within.size())]
		if candidate == n.self || candidate.Status != Alive || slices.Contains(excluded, candidate) {
			continue
		}
		return candidate
	}
	return nil
}

// forEachProbeTarget calls visit for each member that this process watches: the watcherCount members that precede it
// in the ring.
func (n *Node) forEachProbeTarget(visit func(*peer)) {
	size := len(n.table.ring)
	position, found := n.table.position(n.self)
	if !found {
		return
	}
	for step := 1; step <= min(watcherCount, size-1); step++ {
		visit(n.table.ring[(position-step+size)%size])
	}
}

// chooseHelpers returns the members that are asked to probe an unresponsive target: one close to this process, one in
// the target's zone and, if there is one, one in neither region. The different vantage points distinguish a network
// partition between two locations from a failure of the target.
func (n *Node) chooseHelpers(target *peer) []*peer {
	chosen := []*peer{target}
	addFrom := func(within span) {
		if helper := n.pickRandom(within, chosen); helper != nil {
			chosen = append(chosen, helper)
		}
	}
	addFrom(n.localSpan())
	addFrom(n.table.zoneSpan(target.Meta.Region, target.Meta.Zone))
	if outsider := n.pickOutsideBothRegions(target, chosen); outsider != nil {
		chosen = append(chosen, outsider)
	}
	for range helperCount - (len(chosen) - 1) {
		addFrom(n.wholeRing())
	}
	return chosen[1:]
}

// pickOutsideBothRegions returns a member that is in neither this process's region nor the target's, or nil if there
// is none. The search starts at a random position of the ring.
func (n *Node) pickOutsideBothRegions(target *peer, excluded []*peer) *peer {
	size := len(n.table.ring)
	start := n.random.IntN(size)
	for step := range size {
		candidate := n.table.ring[(start+step)%size]
		region := candidate.Meta.Region
		if region == n.self.Meta.Region || region == target.Meta.Region {
			continue
		}
		if candidate.Status == Alive && !slices.Contains(excluded, candidate) {
			return candidate
		}
	}
	return nil
}
