package directory

import "wallflow/internal/swim"

// query is what a client asks for: its own place, and the homes of the host's routes.
type query struct {
	zone   string
	region string
	homes  homes
}

// candidate is a relay that takes traffic.
type candidate struct {
	front  string
	region string
}

// rings are the relays that take traffic, by what speaks for them. The first ring with a relay is the answer.
type rings struct {
	inZone           []candidate
	inRegion         []candidate
	inHomes          []candidate // in other regions, where a route of the host may be served
	suspected        []candidate // where the client may be sent, but under suspicion
	outside          []candidate // in regions that are neither the client's nor a home
	suspectedOutside []candidate
}

// nearest lists the relays of the first ring that has any. While relays that the client may be sent to are only stopped for a moment by
// planned work, as returning tells, none outside of the homes is named in their place.
func (q query) nearest(members []swim.Member, returning func() bool) []string {
	found := q.divide(members)
	for _, ring := range [][]candidate{found.inZone, found.inRegion, q.homes.best(found.inHomes), found.suspected} {
		if len(ring) > 0 {
			return fronts(ring)
		}
	}
	if returning() {
		return nil
	}
	if len(found.outside) > 0 {
		return fronts(found.outside)
	}
	return fronts(found.suspectedOutside)
}

func (q query) divide(members []swim.Member) rings {
	var found rings
	for _, member := range members {
		if member.Meta.Front == "" || !member.Meta.Serving {
			continue
		}
		ring := q.ringOf(&found, member)
		*ring = append(*ring, candidate{front: member.Meta.Front, region: member.Meta.Region})
	}
	return found
}

func (q query) ringOf(found *rings, member swim.Member) *[]candidate {
	alive := member.Status == swim.Alive
	admitted := q.admits(member.Meta.Region)
	switch {
	case !alive && admitted:
		return &found.suspected
	case !alive:
		return &found.suspectedOutside
	case member.Meta.Zone == q.zone:
		return &found.inZone
	case member.Meta.Region == q.region:
		return &found.inRegion
	case admitted:
		return &found.inHomes
	}
	return &found.outside
}

// admits tells whether a client may be sent to a region.
func (q query) admits(region string) bool {
	return region == q.region || q.homes.admit(region)
}

func fronts(relays []candidate) []string {
	var addresses []string
	for _, relay := range relays {
		addresses = append(addresses, relay.front)
	}
	return addresses
}
