package swim

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// peer is a member and what this process tracks about it.
type peer struct {
	Member
	nameHash    uint32
	statusSince time.Time     // start of the current status
	lastContact time.Time     // last time that it answered this process or sent a message over a connection
	roundTrip   time.Duration // smoothed; 0 until measured
	nextProbe   time.Time
	suspicion   *suspicion // nil unless its status is Suspect
	digestHash  uint64     // its contribution to table.digest; 0 unless it is in the ring
}

// table holds all known members: the live ones in a ring, the others as tombstones.
type table struct {
	byName        map[string]*peer
	byAddress     map[string]*peer
	ring          []*peer  // live members, ordered by compareRing
	tombstones    []*peer  // members that are dead or have left, oldest first
	digest        uint64   // XOR of the digestHash of all live members
	sortedMembers []Member // cache of liveMembers; nil after a change
}

func newTable() *table {
	return &table{byName: map[string]*peer{}, byAddress: map[string]*peer{}}
}

// compareRing orders the ring by region, zone, name hash and name. The hash shuffles the members of a zone, so that
// machines that were started together are not neighbors in the ring.
func compareRing(left, right *peer) int {
	return cmp.Or(
		strings.Compare(left.Meta.Region, right.Meta.Region),
		strings.Compare(left.Meta.Zone, right.Meta.Zone),
		cmp.Compare(left.nameHash, right.nameHash),
		strings.Compare(left.Name, right.Name),
	)
}

// position returns the index of a member in the ring, or the index at which it would be inserted.
func (t *table) position(member *peer) (int, bool) {
	return slices.BinarySearchFunc(t.ring, member, compareRing)
}

// insert adds a member to the ring.
func (t *table) insert(inserted *peer) {
	position, found := t.position(inserted)
	if found {
		return
	}
	t.ring = slices.Insert(t.ring, position, inserted)
	inserted.digestHash = digestOf(inserted.Member)
	t.digest ^= inserted.digestHash
	t.sortedMembers = nil
}

// remove deletes a member from the ring. The fields that compareRing uses must not have changed since the member was
// inserted.
func (t *table) remove(removed *peer) {
	position, found := t.position(removed)
	if !found {
		return
	}
	t.ring = slices.Delete(t.ring, position, position+1)
	t.digest ^= removed.digestHash
	removed.digestHash = 0
	t.sortedMembers = nil
}

// digestOf returns the hash of a live member's name and incarnation. The digest of the table is the XOR of these
// hashes.
func digestOf(member Member) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(member.Name))
	var incarnation [8]byte
	for index := range incarnation {
		incarnation[index] = byte(member.Incarnation >> (8 * index))
	}
	_, _ = hash.Write(incarnation[:])
	return hash.Sum64()
}

// addTombstone adds a departed member to the tombstones. Beyond maxTombstones the oldest one is forgotten.
func (t *table) addTombstone(departed *peer) {
	t.tombstones = append(t.tombstones, departed)
	if len(t.tombstones) > maxTombstones {
		t.forget(t.tombstones[0])
	}
}

// removeTombstone deletes a member from the tombstones.
func (t *table) removeTombstone(removed *peer) {
	position := slices.Index(t.tombstones, removed)
	if position >= 0 {
		t.tombstones = slices.Delete(t.tombstones, position, position+1)
	}
}

// forget deletes a departed member from the table.
func (t *table) forget(forgotten *peer) {
	t.removeTombstone(forgotten)
	delete(t.byName, forgotten.Name)
	if t.byAddress[forgotten.Address] == forgotten {
		delete(t.byAddress, forgotten.Address)
	}
}

// expireTombstones forgets the members that departed before the cutoff.
func (t *table) expireTombstones(cutoff time.Time) {
	for len(t.tombstones) > 0 && t.tombstones[0].statusSince.Before(cutoff) {
		t.forget(t.tombstones[0])
	}
}

// indexAddress records a member as the holder of its address.
func (t *table) indexAddress(indexed *peer) { t.byAddress[indexed.Address] = indexed }

// liveMembers returns the live members sorted by name. The slice is cached until the next change, so callers must not
// modify it.
func (t *table) liveMembers() []Member {
	if t.sortedMembers != nil {
		return t.sortedMembers
	}
	t.sortedMembers = make([]Member, 0, len(t.ring))
	for _, live := range t.ring {
		t.sortedMembers = append(t.sortedMembers, live.Member)
	}
	slices.SortFunc(t.sortedMembers, func(left, right Member) int { return strings.Compare(left.Name, right.Name) })
	return t.sortedMembers
}

// span is the index range [from, to) of the ring.
type span struct{ from, to int }

func (s span) size() int { return s.to - s.from }

// regionSpan returns the span of the members of a region.
func (t *table) regionSpan(region string) span {
	from, _ := slices.BinarySearchFunc(t.ring, region, func(live *peer, region string) int {
		return strings.Compare(live.Meta.Region, region)
	})
	to := from
	for to < len(t.ring) && t.ring[to].Meta.Region == region {
		to++
	}
	return span{from: from, to: to}
}

// zoneSpan returns the span of the members of a zone.
func (t *table) zoneSpan(region, zone string) span {
	regionRange := t.regionSpan(region)
	from := regionRange.from
	for from < regionRange.to && t.ring[from].Meta.Zone < zone {
		from++
	}
	to := from
	for to < regionRange.to && t.ring[to].Meta.Zone == zone {
		to++
	}
	return span{from: from, to: to}
}
