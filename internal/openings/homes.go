package openings

import (
	"cmp"
	"maps"
	"slices"

	"wallflow/internal/distribution"
)

// Member is one relay.
type Member struct {
	Name    string
	Address string // internal
	Zone    string
	Region  string
}

// homeKey is the key by which the homes of zones and regions are chosen.
const homeKey = "openings"

// topology is who merges what, as far as this relay knows.
type topology struct {
	self        Member
	zonePeers   []Member          // the other relays of the own zone
	zoneHomes   []Member          // of the own region's zones, in order
	zoneHome    Member            // of the own zone
	regionHome  Member            // of the own region
	regionHomes map[string]Member // by region
	regions     []string          // those that have relays, in order
}

// newTopology finds the homes among the live relays. This relay always counts as live.
func newTopology(self Member, members []Member) topology {
	t := topology{self: self, regionHomes: make(map[string]Member)}
	zones := map[string][]Member{self.Zone: {self}}
	regionOf := map[string]string{self.Zone: self.Region}
	for _, member := range members {
		if member.Name == self.Name {
			continue
		}
		zones[member.Zone] = append(zones[member.Zone], member)
		regionOf[member.Zone] = member.Region
		if member.Zone == self.Zone {
			t.zonePeers = append(t.zonePeers, member)
		}
	}
	zonesOf := make(map[string][]string)
	for _, zone := range sortedKeys(zones) {
		zonesOf[regionOf[zone]] = append(zonesOf[regionOf[zone]], zone)
	}
	for region, names := range zonesOf {
		homeZone := distribution.Home(region, names, homeKey)
		t.regionHomes[region] = homeOf(homeZone, zones[homeZone])
	}
	for _, zone := range zonesOf[self.Region] {
		t.zoneHomes = append(t.zoneHomes, homeOf(zone, zones[zone]))
	}
	t.regions = sortedKeys(t.regionHomes)
	t.zoneHome = homeOf(self.Zone, zones[self.Zone])
	t.regionHome = t.regionHomes[self.Region]
	return t
}

func homeOf(zone string, members []Member) Member {
	names := make([]string, 0, len(members))
	for _, member := range members {
		names = append(names, member.Name)
	}
	home := distribution.Home(zone, names, homeKey)
	return members[slices.Index(names, home)]
}

func (t *topology) isZoneHome() bool   { return t.zoneHome.Name == t.self.Name }
func (t *topology) isRegionHome() bool { return t.regionHome.Name == t.self.Name }

// owner is the region whose home decides where an opening is kept: one of its homes, if it is bound.
func (t *topology) owner(key Key) string {
	var allowed []string
	for _, region := range t.regions {
		if key.Homes.Allows(region) {
			allowed = append(allowed, region)
		}
	}
	return distribution.Home(string(key.Homes), allowed, partName(key.Part))
}

// partName is the text of a part's hash.
func partName(part uint64) string {
	const bytes = 8
	var name [bytes]byte
	for index := range name {
		name[index] = byte(part >> (bytes * index))
	}
	return string(name[:])
}

func sortedKeys[K cmp.Ordered, V any](of map[K]V) []K { return slices.Sorted(maps.Keys(of)) }
