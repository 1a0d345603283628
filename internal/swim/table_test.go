package swim

import (
	"fmt"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func tablePeer(name, zone, region string) *peer {
	return &peer{
		Member:   Member{Name: name, Address: name + ":1", Incarnation: 1, Meta: Meta{Zone: zone, Region: region}},
		nameHash: hashName(name),
	}
}

func TestSpansMatchRegionsAndZones(t *testing.T) {
	members := newTable()
	for index := range 30 {
		region := fmt.Sprintf("region-%d", index%3)
		members.insert(tablePeer(fmt.Sprintf("m%d", index), fmt.Sprintf("%s-zone-%d", region, index%2), region))
	}
	assert.Equal(t, members.regionSpan("region-1").size(), 10)
	zone := members.zoneSpan("region-1", "region-1-zone-0")
	assert.Equal(t, zone.size(), 5)
	for _, each := range members.ring[zone.from:zone.to] {
		assert.Equal(t, each.Meta.Zone, "region-1-zone-0")
	}
	assert.Equal(t, members.regionSpan("region-9").size(), 0)
}

func TestDigestDependsOnlyOnTheLiveMembers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.IntRange(1, 20).Draw(t, "count")
		order := rapid.Permutation(indices(count)).Draw(t, "order")
		first, second := newTable(), newTable()
		for index := range count {
			first.insert(tablePeer(fmt.Sprint("m", index), "zone", "region"))
		}
		extra := tablePeer("extra", "zone", "region")
		second.insert(extra)
		for _, index := range order {
			second.insert(tablePeer(fmt.Sprint("m", index), "zone", "region"))
		}
		assert.Assert(t, first.digest != second.digest)
		second.remove(extra)
		assert.Equal(t, first.digest, second.digest)
		assert.Assert(t, slices.IsSortedFunc(second.ring, compareRing))
	})
}

func indices(count int) []int {
	all := make([]int, count)
	for index := range all {
		all[index] = index
	}
	return all
}

func TestTombstonesAreBounded(t *testing.T) {
	members := newTable()
	for index := range maxTombstones + 10 {
		gone := tablePeer(fmt.Sprint("m", index), "zone", "region")
		members.byName[gone.Name] = gone
		members.addTombstone(gone)
	}
	assert.Equal(t, len(members.tombstones), maxTombstones)
	assert.Equal(t, len(members.byName), maxTombstones)
}

func TestOrderOfStates(t *testing.T) {
	known := Member{Incarnation: 5, Status: Suspect}
	assert.Assert(t, supersedes(6, Alive, known))
	assert.Assert(t, supersedes(5, Dead, known))
	assert.Assert(t, !supersedes(5, Suspect, known))
	assert.Assert(t, !supersedes(5, Alive, known))
	assert.Assert(t, !supersedes(4, Left, known))
}
