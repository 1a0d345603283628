package swim

import "slices"

// pickAttempts bounds the search for a member by chance.
const pickAttempts = 8

// everywhere returns the whole ring.
func (n *Node) everywhere() span { return span{from: 0, to: len(n.table.ring)} }

// near returns the own zone, or the own region or the whole ring where those hold nobody else.
func (n *Node) near() span {
	zone := n.table.zoneSpan(n.self.Meta.Region, n.self.Meta.Zone)
	if zone.size() > 1 {
		return zone
	}
	region := n.table.regionSpan(n.self.Meta.Region)
	if region.size() > 1 {
		return region
	}
	return n.everywhere()
}

// pick returns a member of a span by chance: alive, not this process, and none of the excluded. It returns nil when it
// finds none soon.
func (n *Node) pick(among span, excluded []*peer) *peer {
	if among.size() <= 0 {
		return nil
	}
	for range pickAttempts {
		candidate := n.table.ring[among.from+n.random.IntN(among.size())]
		if candidate == n.self || candidate.Status != Alive || slices.Contains(excluded, candidate) {
			continue
		}
		return candidate
	}
	return nil
}

// targets calls visit for the members that this process watches: those before it in the ring.
func (n *Node) targets(visit func(*peer)) {
	size := len(n.table.ring)
	position, found := n.table.position(n.self)
	if !found {
		return
	}
	for step := 1; step <= min(watchers, size-1); step++ {
		visit(n.table.ring[(position-step+size)%size])
	}
}

// chooseHelpers returns members to ask about a silent target: one near, one of the target's zone, one that is in neither
// region where there is one, so that a cut between two places is told from a death.
func (n *Node) chooseHelpers(target *peer) []*peer {
	chosen := []*peer{target}
	add := func(among span) {
		if helper := n.pick(among, chosen); helper != nil {
			chosen = append(chosen, helper)
		}
	}
	add(n.near())
	add(n.table.zoneSpan(target.Meta.Region, target.Meta.Zone))
	if third := n.pickThird(target, chosen); third != nil {
		chosen = append(chosen, third)
	}
	for range helpers - (len(chosen) - 1) {
		add(n.everywhere())
	}
	return chosen[1:]
}

// pickThird returns a member that is neither in the own region nor in the target's, or nil if there is none.
func (n *Node) pickThird(target *peer, excluded []*peer) *peer {
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
