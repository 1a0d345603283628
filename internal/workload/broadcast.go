package workload

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// broadcast sends the same loads to a group of receivers: the relays of a hub's zone, or the hubs of the other zones. An update names the
// endpoints whose load has changed since it was sent last, the largest changes first, and once in a while the others, so that nothing
// depends on an update that was lost.
type broadcast struct {
	leastChange float64 // smaller changes wait for the repetition
	matters     func(Load) bool
	sent        map[Key]sentLoad
	sentAt      time.Time
	nextAt      time.Time // of the next update
}

// sentLoad is an endpoint's load as it was sent, or received, last.
type sentLoad struct {
	Load
	at time.Time
}

func newBroadcast(leastChange float64, matters func(Load) bool) broadcast {
	return broadcast{leastChange: leastChange, matters: matters, sent: make(map[Key]sentLoad)}
}

// change is an endpoint that an update should name.
type change struct {
	key  Key
	size float64 // in requests; 0: a repetition
}

// changes lists the endpoints to be named, the largest changes first, room of them at the most.
func (b *broadcast) changes(now time.Time, loads Loads, room int) []change {
	var found []change
	compare := func(key Key, load Load) {
		last, known := b.sent[key]
		size := load.distance(last.Load)
		switch {
		case size >= b.leastChange:
			found = append(found, change{key, size})
		case known && now.Sub(last.at) >= entryRepeat:
			found = append(found, change{key, 0})
		}
	}
	for key, load := range loads {
		if b.matters(load) {
			compare(key, load)
		}
	}
	for key := range b.sent {
		if !b.matters(loads[key]) {
			compare(key, Load{})
		}
	}
	if len(found) <= room {
		return found
	}
	slices.SortFunc(found, func(left, right change) int {
		return cmp.Or(cmp.Compare(right.size, left.size), b.sent[left.key].at.Compare(b.sent[right.key].at), cmp.Compare(left.key, right.key))
	})
	return found[:room]
}

// update returns the loads of the changed endpoints, and notes that they are sent. An endpoint without load is named twice and then
// forgotten.
func (b *broadcast) update(now time.Time, loads Loads, changed []change) Loads {
	update := make(Loads, len(changed))
	for _, each := range changed {
		load := loads[each.key]
		if !b.matters(load) {
			load = Load{}
		}
		update[each.key] = load
		if load == (Load{}) && b.sent[each.key].Load == (Load{}) {
			delete(b.sent, each.key)
			continue
		}
		b.sent[each.key] = sentLoad{Load: load, at: now}
	}
	return update
}

// snapshot is all that was sent, for a receiver that has none of it; where that is too much, the largest loads.
func (b *broadcast) snapshot(most int) Loads {
	keys := slices.Collect(maps.Keys(b.sent))
	if len(keys) > most {
		slices.SortFunc(keys, func(left, right Key) int {
			return cmp.Or(cmp.Compare(b.sent[right].distance(Load{}), b.sent[left].distance(Load{})), cmp.Compare(left, right))
		})
		keys = keys[:most]
	}
	snapshot := make(Loads, len(keys))
	for _, key := range keys {
		snapshot[key] = b.sent[key].Load
	}
	return snapshot
}
