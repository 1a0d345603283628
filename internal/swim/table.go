package swim

import (
	"cmp"
	"hash/fnv"
	"slices"
	"strings"
	"time"
)

// peer is a member with what this process knows of it besides.
type peer struct {
	Member
	nameHash   uint32
	since      time.Time     // of the present status
	heard      time.Time     // last direct evidence that it runs
	roundTrip  time.Duration // smoothed, 0 until measured
	nextProbe  time.Time
	suspicion  *suspicion // while it is suspect
	digestPart uint64     // its share of the digest while it is live
}

// table holds all members that are known: the live ones in a ring, the others as graves.
type table struct {
	byName    map[string]*peer
	byAddress map[string]*peer
	ring      []*peer // live members by region, zone, hash and name
	graves    []*peer // dead and left, oldest first
	digest    uint64  // of the live members
	members   []Member
}

func newTable() *table {
	return &table{byName: map[string]*peer{}, byAddress: map[string]*peer{}}
}

// compareRing orders the ring. The hash mixes the members of a zone, so that machines started together are not neighbors.
func compareRing(left, right *peer) int {
	return cmp.Or(
		strings.Compare(left.Meta.Region, right.Meta.Region),
		strings.Compare(left.Meta.Zone, right.Meta.Zone),
		cmp.Compare(left.nameHash, right.nameHash),
		strings.Compare(left.Name, right.Name),
	)
}

// position returns where a member stands in the ring, or would stand.
func (t *table) position(wanted *peer) (int, bool) {
	return slices.BinarySearchFunc(t.ring, wanted, compareRing)
}

// enter puts a member into the ring.
func (t *table) enter(entered *peer) {
	position, found := t.position(entered)
	if found {
		return
	}
	t.ring = slices.Insert(t.ring, position, entered)
	entered.digestPart = digestOf(entered.Member)
	t.digest ^= entered.digestPart
	t.members = nil
}

// withdraw takes a member out of the ring; its key must not have changed since it entered.
func (t *table) withdraw(withdrawn *peer) {
	position, found := t.position(withdrawn)
	if !found {
		return
	}
	t.ring = slices.Delete(t.ring, position, position+1)
	t.digest ^= withdrawn.digestPart
	withdrawn.digestPart = 0
	t.members = nil
}

// digestOf returns a live member's share of the digest: its name and incarnation.
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

// bury adds a member to the graves, and forgets the oldest beyond the bound.
func (t *table) bury(buried *peer) {
	t.graves = append(t.graves, buried)
	if len(t.graves) > maxGraves {
		t.forget(t.graves[0])
	}
}

// exhume takes a member out of the graves.
func (t *table) exhume(exhumed *peer) {
	position := slices.Index(t.graves, exhumed)
	if position >= 0 {
		t.graves = slices.Delete(t.graves, position, position+1)
	}
}

// forget drops a member altogether.
func (t *table) forget(forgotten *peer) {
	t.exhume(forgotten)
	delete(t.byName, forgotten.Name)
	if t.byAddress[forgotten.Address] == forgotten {
		delete(t.byAddress, forgotten.Address)
	}
}

// forgetBefore drops the graves that are older than a time.
func (t *table) forgetBefore(limit time.Time) {
	for len(t.graves) > 0 && t.graves[0].since.Before(limit) {
		t.forget(t.graves[0])
	}
}

// place files a member under its address.
func (t *table) place(placed *peer) { t.byAddress[placed.Address] = placed }

// list returns the live members sorted by name. The result is shared until the next change.
func (t *table) list() []Member {
	if t.members != nil {
		return t.members
	}
	t.members = make([]Member, 0, len(t.ring))
	for _, live := range t.ring {
		t.members = append(t.members, live.Member)
	}
	slices.SortFunc(t.members, func(left, right Member) int { return strings.Compare(left.Name, right.Name) })
	return t.members
}

// span is a range of the ring.
type span struct{ from, to int }

func (s span) size() int { return s.to - s.from }

// regionSpan returns the range of the ring that holds a region.
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

// zoneSpan returns the range of the ring that holds a zone.
func (t *table) zoneSpan(region, zone string) span {
	whole := t.regionSpan(region)
	from := whole.from
	for from < whole.to && t.ring[from].Meta.Zone < zone {
		from++
	}
	to := from
	for to < whole.to && t.ring[to].Meta.Zone == zone {
		to++
	}
	return span{from: from, to: to}
}
