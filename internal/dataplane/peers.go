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
	// homeFrom is the number of relays in a zone from which on one of them, the home, subscribes for the others. In a smaller
	// zone that saves less than the second hop costs.
	homeFrom = 12
	// homeKey is the key of the zone's feed.
	homeKey = "feed"
)

// peerView is what the selector was last told of the relays around.
type peerView struct {
	mayOwn bool                // this relay is in touch, and has been for a while
	zones  map[string][]string // names of the relays by zone
	all    []string
	relays []workload.Member
}

// takeSources orders the processes that this relay may take its feed from: the home of a large zone, then control processes of
// the zone, of the region, and elsewhere. Among equals each relay has an order of its own, so that the load spreads.
func (p *Process) takeSources(now time.Time) {
	members := p.members.Members()
	ordered := p.controlSources(members)
	if len(ordered) == 0 {
		ordered = p.settings.SeedInternalAddresses() // until membership knows any
	}
	if home := p.homeAddress(members); home != "" && home != p.settings.InternalAddress() {
		ordered = append([]string{home}, ordered...)
	}
	if slices.Equal(ordered, p.sources) {
		return
	}
	p.sources = ordered
	p.takeFeed(now, p.subscriber.SetSources(now, ordered))
}

func (p *Process) controlSources(members []swim.Member) []string {
	type candidate struct {
		address string
		ring    int
	}
	var candidates []candidate
	for _, member := range members {
		if member.Meta.Control != "" {
			candidates = append(candidates, candidate{member.Address, p.ring(member)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		if a.ring != b.ring {
			return cmp.Compare(a.ring, b.ring)
		}
		if distribution.Home(p.settings.Node, []string{a.address, b.address}, homeKey) == a.address {
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

// ring is how far away a member is.
func (p *Process) ring(member swim.Member) int {
	switch {
	case member.Meta.Zone == p.settings.Zone:
		return 0
	case member.Meta.Region == p.settings.Region:
		return 1
	}
	return 2
}

// homeAddress is the internal address of the relay that feeds this zone; empty where the zone is small.
func (p *Process) homeAddress(members []swim.Member) string {
	var addresses []string
	for _, member := range members {
		if member.Meta.Front != "" && member.Meta.Zone == p.settings.Zone && member.Status == swim.Alive {
			addresses = append(addresses, member.Address)
		}
	}
	if len(addresses) < homeFrom {
		return ""
	}
	return distribution.Home(p.settings.Zone, addresses, homeKey)
}

// takePeers tells the selector of the relays around when they have changed.
func (p *Process) takePeers(now time.Time) {
	p.takeDoubts()
	p.logDarkZones()
	view := p.viewPeers()
	view.mayOwn = p.ownership.update(now, p.subscriber.Fresh(now))
	if view.equal(p.peers) {
		return
	}
	p.peers = view
	p.relays.Store(int64(len(view.all)))
	p.loads.SetMembers(view.relays)
	p.selectorLock.Lock()
	defer p.selectorLock.Unlock()
	p.selector.SetPeers(now, len(view.zones[p.settings.Zone]), p.owns(view))
	proxy.WakeAll(p.selector)
}

// logDarkZones says which zones the selector leaves alone, when that has changed.
func (p *Process) logDarkZones() {
	p.selectorLock.Lock()
	dark := p.selector.UnreachableZones()
	p.selectorLock.Unlock()
	if slices.Equal(dark, p.darkZones) {
		return
	}
	p.darkZones = dark
	p.log.Info("zones from which nothing comes", "zones", dark)
}

// takeDoubts tells the selector in which other zones nobody is heard any more, of those where somebody was.
func (p *Process) takeDoubts() {
	alive := make(map[string]bool)
	for _, member := range p.members.Members() {
		if member.Status == swim.Alive {
			alive[member.Meta.Zone] = true
		}
	}
	doubted := make(map[string]bool)
	for zone := range p.seenZones {
		if !alive[zone] && zone != p.settings.Zone {
			doubted[zone] = true
		}
	}
	for zone := range alive {
		p.seenZones[zone] = true
	}
	if maps.Equal(doubted, p.doubted) {
		return
	}
	p.doubted = doubted
	p.selectorLock.Lock()
	defer p.selectorLock.Unlock()
	p.selector.SetSuspectedZones(doubted)
}

// viewPeers lists the relays that are alive.
func (p *Process) viewPeers() peerView {
	view := peerView{zones: make(map[string][]string)}
	for _, member := range p.members.Members() {
		if member.Meta.Front == "" {
			continue
		}
		view.all = append(view.all, member.Name)
		view.relays = append(view.relays, workload.Member{Address: member.Address, Zone: member.Meta.Zone})
		view.zones[member.Meta.Zone] = append(view.zones[member.Meta.Zone], member.Name)
	}
	return view
}

func (v peerView) equal(other peerView) bool {
	return v.mayOwn == other.mayOwn && slices.Equal(v.all, other.all) && slices.Equal(v.relays, other.relays)
}

// owns tells whether this relay is the one that may call a cold endpoint.
func (p *Process) owns(view peerView) func(instanceID string) bool {
	return func(instanceID string) bool {
		return view.owner(p.zoneOf[instanceID], instanceID) == p.settings.Node
	}
}
