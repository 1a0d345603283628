package openings

import (
	"slices"
	"time"
)

// mergeZone adds up the reports of the zone's relays, and passes the sum to the home of the region.
func (n *Node) mergeZone(now time.Time, output *Output) {
	n.reports.drop(now)
	if !n.zoneClaim.hold(now, times(n.options.Every, restPeriods)) {
		return
	}
	if !n.settled(now, &n.zoneClaim, len(n.reports.byScope) > len(n.topology.zonePeers)) {
		return
	}
	part := Part{
		Scope:   n.options.Self.Zone,
		Version: Version{Token: n.zoneClaim.token, Owner: n.options.Self.Name, Sequence: n.sequence},
		AsOf:    now,
		Demand:  n.reports.merged(now, noScope, partMost),
	}
	if n.topology.isRegionHome() {
		n.zones.take(part)
		return
	}
	encoder := n.encoder(now, n.options.Self.Region)
	encoder.message.Zone = encoder.part(part, partMost)
	output.send(n.topology.regionHome, encoder)
}

// settled tells whether a new home may speak: once all have reported to it, or have had the time to. Until then the last word of
// its predecessor counts.
func (n *Node) settled(now time.Time, claim *claim, complete bool) bool {
	if complete || now.Sub(claim.since) >= times(n.options.Every, settlePeriods) {
		claim.settled = true
	}
	return claim.settled
}

// mergeRegion adds up the zones of the region, decides what this relay owns, and tells the homes of the other regions and the
// relays of this one.
func (n *Node) mergeRegion(now time.Time, output *Output) {
	n.zones.drop(now)
	if !n.regionClaim.hold(now, times(n.options.Every, restPeriods)) {
		return
	}
	if n.settled(now, &n.regionClaim, n.heardAll()) {
		delete(n.picture.regions.byScope, restScope)
		n.takeRegion(Part{
			Scope:   n.options.Self.Region,
			Version: Version{Token: n.regionClaim.token, Owner: n.options.Self.Name, Sequence: n.sequence},
			AsOf:    now,
			Demand:  n.zones.merged(now, noScope, partMost),
		})
	}
	if n.regionClaim.settled && n.decide(now) {
		output.PlacesChanged = true
	}
	if !n.hasNews() {
		return
	}
	n.exchange(now, output)
	n.tellZones(now, output)
	n.tell(now, n.topology.zonePeers, output)
}

// heardAll tells whether all zones of the region and all other regions have said something.
func (n *Node) heardAll() bool {
	if len(n.zones.byScope) < len(n.topology.zoneHomes) {
		return false
	}
	for _, region := range n.topology.regions {
		if _, heard := n.picture.regions.byScope[region]; !heard && region != n.options.Self.Region {
			return false
		}
	}
	return true
}

// hasNews tells whether there is anything to say, or was the time before.
func (n *Node) hasNews() bool {
	named := len(n.picture.decisions.byKey) > 0
	for _, part := range n.picture.regions.byScope {
		named = named || len(part.Demand.Entries) > 0
	}
	before := n.told
	n.told = named
	return named || before
}

// exchange tells the homes of other regions what this region asks for: all at once, or in turns where they are many.
func (n *Node) exchange(now time.Time, output *Output) {
	own, known := n.picture.regions.byScope[n.options.Self.Region]
	own.Demand.Entries = n.fleetFirst(now, own.Demand.Entries)
	most := max(leastOfRegion, min(partMost, exchangeMost/len(n.topology.regions)))
	decisions := n.ownDecisions()
	for _, region := range n.inTurn() {
		encoder := n.encoder(now, region)
		if known {
			encoder.message.Regions = append(encoder.message.Regions, encoder.part(own, most))
		}
		encoder.decisions(decisions)
		encoder.message.SeenToken = n.picture.regions.byScope[region].Version.Token
		output.send(n.topology.regionHomes[region], encoder)
	}
}

// inTurn lists the other regions that are told now.
func (n *Node) inTurn() []string {
	others := slices.DeleteFunc(slices.Clone(n.topology.regions), func(region string) bool {
		return region == n.options.Self.Region
	})
	turns := (len(others) + regionsAtOnce - 1) / regionsAtOnce
	var told []string
	for index, region := range others {
		if index%turns == int(n.sequence%uint64(turns)) {
			told = append(told, region)
		}
	}
	return told
}

// fleetFirst puts the openings first that the fleet asks for most: where not all can be named, these must be.
func (n *Node) fleetFirst(now time.Time, entries []Entry) []Entry {
	if len(n.topology.regions)*partMost <= exchangeMost {
		return entries // all are named
	}
	top := make(map[Key]bool, fleetTop)
	for _, entry := range n.picture.Snapshot(now).head(fleetTop) {
		top[entry.Key] = true
	}
	ordered := make([]Entry, 0, len(entries))
	for _, wanted := range [...]bool{true, false} {
		for _, entry := range entries {
			if top[entry.Key] == wanted {
				ordered = append(ordered, entry)
			}
		}
	}
	return ordered
}

// ownDecisions are those that this relay made.
func (n *Node) ownDecisions() []*Decision {
	var own []*Decision
	for _, decision := range n.picture.decisions.sorted() {
		if decision.Owner == n.options.Self.Name {
			own = append(own, decision)
		}
	}
	return own
}

// tellZones gives the picture to the homes of the region's other zones, each with the token that is known of its zone.
func (n *Node) tellZones(now time.Time, output *Output) {
	for _, home := range n.topology.zoneHomes {
		if home.Name == n.options.Self.Name {
			continue
		}
		encoder := n.pictureFor(now)
		encoder.message.SeenToken = n.zones.byScope[home.Zone].Version.Token
		output.send(home, encoder)
	}
}

// tell gives the picture to relays of this zone.
func (n *Node) tell(now time.Time, relays []Member, output *Output) {
	if len(relays) == 0 {
		return
	}
	encoder := n.pictureFor(now) // one message for all: nobody changes it
	for _, relay := range relays {
		output.send(relay, encoder)
	}
}

// pictureFor encodes the picture for relays of this region: by region where they are few, else this region and the rest.
func (n *Node) pictureFor(now time.Time) *encoder {
	encoder := n.encoder(now, n.options.Self.Region)
	for _, part := range n.partsFor(now) {
		encoder.message.Regions = append(encoder.message.Regions, encoder.part(part, pictureMost))
	}
	encoder.decisions(n.picture.decisions.sorted())
	return encoder
}

func (n *Node) partsFor(now time.Time) []Part {
	regions := n.picture.regions.byScope
	own, known := regions[n.options.Self.Region]
	var parts []Part
	if known {
		parts = append(parts, own)
	}
	if rest, known := regions[restScope]; known {
		return append(parts, rest)
	}
	if len(regions) > regionsToldApart {
		return append(parts, n.rest(now))
	}
	for _, region := range sortedKeys(regions) {
		if region != n.options.Self.Region {
			parts = append(parts, regions[region])
		}
	}
	return parts
}

// rest adds up the other regions.
func (n *Node) rest(now time.Time) Part {
	part := Part{
		Scope:   restScope,
		Version: Version{Token: n.regionClaim.token, Owner: n.options.Self.Name, Sequence: n.sequence},
		AsOf:    now,
		Demand:  n.picture.regions.merged(now, n.options.Self.Region, pictureMost),
	}
	for _, status := range n.picture.coverage(now) {
		if status.Region != n.options.Self.Region {
			part.Covered = append(part.Covered, status)
		}
	}
	return part
}
