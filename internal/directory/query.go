package directory

import "wallflow/internal/swim"

// query describes a client's request: the client's zone and region, and the home regions of the routes of the requested host.
type query struct {
	zone        string
	region      string
	homeRegions homeRegions
}

// candidate is a relay that serves clients.
type candidate struct {
	front  string // client-facing address
	region string
}

// candidateGroups holds the serving relays in groups, from the most to the least preferred. The answer is the first group that is not
// empty.
type candidateGroups struct {
	inZone                []candidate
	inRegion              []candidate
	inHomeRegions         []candidate // in other regions that are home regions of a route of the host
	suspected             []candidate // suspected by the membership protocol, in regions that are allowed
	outsideHomes          []candidate // in regions that are neither the client's nor a home region
	suspectedOutsideHomes []candidate // suspected, in such regions
}

// nearest returns the addresses of the first group that is not empty. While a relay in an allowed region is only stopped for planned
// work, as reported by expectsReturn, no relay outside the home regions is returned in its place.
func (q query) nearest(members []swim.Member, expectsReturn func() bool) []string {
	groups := q.group(members)
	for _, candidates := range [][]candidate{groups.inZone, groups.inRegion,
		q.homeRegions.preferMostSets(groups.inHomeRegions), groups.suspected} {
		if len(candidates) > 0 {
			return frontAddresses(candidates)
		}
	}
	if expectsReturn() {
		return nil
	}
	if len(groups.outsideHomes) > 0 {
		return frontAddresses(groups.outsideHomes)
	}
	return frontAddresses(groups.suspectedOutsideHomes)
}

// group divides the serving relays among members into groups.
func (q query) group(members []swim.Member) candidateGroups {
	var groups candidateGroups
	for _, member := range members {
		if member.Meta.Front == "" || !member.Meta.Serving {
			continue
		}
		target := q.groupOf(&groups, member)
		*target = append(*target, candidate{front: member.Meta.Front, region: member.Meta.Region})
	}
	return groups
}

// groupOf returns the group to which a member belongs.
func (q query) groupOf(groups *candidateGroups, member swim.Member) *[]candidate {
	alive := member.Status == swim.Alive
	allowed := q.allows(member.Meta.Region)
	switch {
	case !alive && allowed:
		return &groups.suspected
	case !alive:
		return &groups.suspectedOutsideHomes
	case member.Meta.Zone == q.zone:
		return &groups.inZone
	case member.Meta.Region == q.region:
		return &groups.inRegion
	case allowed:
		return &groups.inHomeRegions
	}
	return &groups.outsideHomes
}

// allows reports whether a client may be sent to a region.
func (q query) allows(region string) bool {
	return region == q.region || q.homeRegions.allow(region)
}

func frontAddresses(relays []candidate) []string {
	var addresses []string
	for _, relay := range relays {
		addresses = append(addresses, relay.front)
	}
	return addresses
}
