package dataplane

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"wallflow/internal/distribution"
	"wallflow/internal/proxy"
	"wallflow/internal/swim"
	"wallflow/internal/workload"
)

const (
	// minRelaysForHome is the number of relays in a zone from which one of them, the home relay, subscribes to the feed for the
	// others. In a smaller zone this saves less than the second hop costs.
	minRelaysForHome = 12
	// feedHomeKey is the hash key by which the home relay of a zone is chosen.
	feedHomeKey = "feed"
)

// peerView is the set of known relays as last passed to the selector.
type peerView struct {
	mayOwn  bool                // this relay may own cold endpoints; see ownership
	byZone  map[string][]string // names of the relays by zone
	names   []string
	members []workload.Member
}

// updateSources orders the processes from which this relay may receive the feed: the home relay of a large zone, then control processes
// of the same zone, of the same region, and of other regions. Ties are ordered differently at each relay, which spreads the load.
func (p *Process) updateSources(now time.Time) {
	members := p.members.Members()
	ordered := p.controlSources(members)
	if len(ordered) == 0 {
		ordered = p.settings.SeedInternalAddresses() // until membership knows any control process
	}
	if home := p.homeAddress(members); home != "" && home != p.settings.InternalAddress() {
		ordered = append([]string{home}, ordered...)
	}
	if slices.Equal(ordered, p.sources) {
		return
	}
	p.sources = ordered
	p.applyFeedOutput(now, p.subscriber.SetSources(now, ordered))
}

// controlSources returns the internal addresses of the control processes in the order in which this relay prefers them.
func (p *Process) controlSources(members []swim.Member) []string {
	type candidate struct {
		address  string
		distance int
	}
	var candidates []candidate
	for _, member := range members {
		if member.Meta.Control != "" {
			candidates = append(candidates, candidate{member.Address, p.distance(member)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.distance != b.distance {
			return cmp.Compare(a.distance, b.distance)
		}
		if distribution.Home(p.settings.Node, []string{a.address, b.address}, feedHomeKey) == a.address {
			return -1
		}
		return 1
	})
	ordered := make([]string, 0, len(candidates))
	for _, candidate := range candidates {
		ordered = append(ordered, candidate.address)
	}
	return ordered
}

// distance ranks a member: 0 in the same zone, 1 in the same region, 2 elsewhere.
func (p *Process) distance(member swim.Member) int {
	switch {
	case member.Meta.Zone == p.settings.Zone:
		return 0
	case member.Meta.Region == p.settings.Region:
		return 1
	}
	return 2
}

// homeAddress returns the internal address of the home relay of this zone. It is empty if the zone has fewer than minRelaysForHome
// relays.
func (p *Process) homeAddress(members []swim.Member) string {
	var addresses []string
	for _, member := range members {
		if isRelay(member) && member.Meta.Zone == p.settings.Zone && member.Status == swim.Alive {
			addresses = append(addresses, member.Address)
		}
	}
	if len(addresses) < minRelaysForHome {
		return ""
	}
	return distribution.Home(p.settings.Zone, addresses, feedHomeKey)
}

// updatePeers passes the known relays and the suspected zones to the selector when they have changed.
func (p *Process) updatePeers(now time.Time) {
	p.updateSuspectedZones()
	p.logUnreachableZones()
	view := p.currentPeers()
	view.mayOwn = p.ownership.update(now, p.subscriber.Fresh(now))
	if view.equal(p.peers) {
		return
	}
	p.peers = view
	p.relayCount.Store(int64(len(view.names)))
	p.loads.SetMembers(view.members)
	p.selectorLock.Lock()
	defer p.selectorLock.Unlock()
	p.selector.SetPeers(now, len(view.byZone[p.settings.Zone]), p.ownershipCheck(view))
	proxy.WakeAll(p.selector)
}

// logUnreachableZones logs the zones that the selector avoids as unreachable, when they have changed.
func (p *Process) logUnreachableZones() {
	p.selectorLock.Lock()
	unreachable := p.selector.UnreachableZones()
	p.selectorLock.Unlock()
	if slices.Equal(unreachable, p.unreachableZones) {
		return
	}
	p.unreachableZones = unreachable
	p.log.Info("unreachable zones changed", "zones", unreachable)
}

// updateSuspectedZones tells the selector which other zones had live members before and have none now.
func (p *Process) updateSuspectedZones() {
	alive := make(map[string]bool)
	for _, member := range p.members.Members() {
		if member.Status == swim.Alive {
			alive[member.Meta.Zone] = true
		}
	}
	suspected := make(map[string]bool)
	for zone := range p.seenZones {
		if !alive[zone] && zone != p.settings.Zone {
			suspected[zone] = true
		}
	}
	for zone := range alive {
		p.seenZones[zone] = true
	}
	if maps.Equal(suspected, p.suspectedZones) {
		return
	}
	p.suspectedZones = suspected
	p.selectorLock.Lock()
	defer p.selectorLock.Unlock()
	p.selector.SetSuspectedZones(suspected)
}

// currentPeers returns the relays in the member list.
func (p *Process) currentPeers() peerView {
	view := peerView{byZone: make(map[string][]string)}
	for _, member := range p.members.Members() {
		if !isRelay(member) {
			continue
		}
		view.names = append(view.names, member.Name)
		view.members = append(view.members, workload.Member{Address: member.Address, Zone: member.Meta.Zone})
		view.byZone[member.Meta.Zone] = append(view.byZone[member.Meta.Zone], member.Name)
	}
	return view
}

func (v peerView) equal(other peerView) bool {
	return v.mayOwn == other.mayOwn && slices.Equal(v.names, other.names) && slices.Equal(v.members, other.members)
}

// ownershipCheck returns a function that reports whether this relay is the owner of an endpoint. The caller of that function must
// hold selectorLock, since the function reads zoneByInstance.
func (p *Process) ownershipCheck(view peerView) func(instanceID string) bool {
	return func(instanceID string) bool {
		return view.owner(p.zoneByInstance[instanceID], instanceID) == p.settings.Node
	}
}
