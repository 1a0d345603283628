package openings

import (
	"cmp"
	"slices"
	"time"
)

// Share is how many endpoints of a region keep an opening. The first share of a decision serves all regions that have none of
// their own; its Region is empty where the relays' common ranking gives the home.
type Share struct {
	Region   string
	Replicas int
}

// Decision is where an opening is kept.
type Decision struct {
	Key    Key
	Token  uint64 // rises with each change; of two with the same token the higher owner's holds
	Owner  string
	Shares []Share // none: nothing is decided any more
	AsOf   time.Time
}

// replaces tells whether a decision takes the place of another.
func (d *Decision) replaces(other *Decision) bool {
	return cmp.Or(cmp.Compare(d.Token, other.Token), cmp.Compare(d.Owner, other.Owner)) > 0
}

func (d *Decision) same(other *Decision) bool {
	return d.Token == other.Token && d.Owner == other.Owner
}

// decisions holds the newest decision for each opening.
type decisions struct {
	byKey map[Key]*Decision
}

// take keeps a decision that is newer, and tells whether that changed anything. One that is known is renewed.
func (d *decisions) take(decision Decision) bool {
	known := d.byKey[decision.Key]
	if known != nil && known.same(&decision) {
		if decision.AsOf.After(known.AsOf) {
			known.AsOf = decision.AsOf
		}
		return false
	}
	if known != nil && !decision.replaces(known) {
		return false
	}
	if known == nil && len(d.byKey) >= decisionsMost {
		return false
	}
	d.byKey[decision.Key] = &decision
	return true
}

// drop forgets the decisions that nobody renews, and tells whether there were any.
func (d *decisions) drop(now time.Time, forget time.Duration) bool {
	dropped := false
	for key, decision := range d.byKey {
		if now.Sub(decision.AsOf) >= forget {
			delete(d.byKey, key)
			dropped = true
		}
	}
	return dropped
}

func (d *decisions) shares(key Key) []Share {
	if known := d.byKey[key]; known != nil {
		return known.Shares
	}
	return nil
}

// sorted lists the decisions in a fixed order.
func (d *decisions) sorted() []*Decision {
	list := make([]*Decision, 0, len(d.byKey))
	for _, decision := range d.byKey {
		list = append(list, decision)
	}
	slices.SortFunc(list, func(a, b *Decision) int { return compareKeys(a.Key, b.Key) })
	return list
}

// place is where the requests of this relay with an opening go.
type place struct {
	region   string
	replicas int
}

// Places is where openings are kept, as one region sees it. It never changes, so several goroutines may use it.
type Places struct {
	byPart map[uint64]place
}

// Home is the region that an opening's requests go to, and how many endpoints there keep it. An empty region stands for the home
// that the ranking gives. Without a decision ok is false.
func (p *Places) Home(part uint64) (region string, replicas int, ok bool) {
	if p == nil {
		return "", 0, false
	}
	found, ok := p.byPart[part]
	return found.region, found.replicas, ok
}

// Len is how many openings have a place.
func (p *Places) Len() int { return len(p.byPart) }

// places makes the view of a region. Where one part is under several homes, the first decision in order holds.
func (d *decisions) places(region string) *Places {
	places := &Places{byPart: make(map[uint64]place, len(d.byKey))}
	for _, decision := range d.sorted() {
		if _, known := places.byPart[decision.Key.Part]; known || len(decision.Shares) == 0 {
			continue
		}
		share := decision.Shares[0]
		for _, other := range decision.Shares[1:] {
			if other.Region == region {
				share = other
			}
		}
		places.byPart[decision.Key.Part] = place{region: share.Region, replicas: share.Replicas}
	}
	return places
}
