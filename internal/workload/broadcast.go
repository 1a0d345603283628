package workload

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// deltaBroadcast tracks which loads were sent to a group of receivers: the relays of a hub's zone, or the hubs of the other zones. An
// update contains the endpoints whose load has changed since it was last sent, the largest changes first. Unchanged loads are repeated
// every entryRepeatInterval, so that a lost update is made good.
type deltaBroadcast struct {
	minChange    float64         // in requests; a smaller change is sent when the entry is due for repetition
	isRelevant   func(Load) bool // other loads are sent as zero
	lastSent     map[Key]timedLoad
	lastUpdateAt time.Time
	nextUpdateAt time.Time // earliest time of the next update
}

// timedLoad is the load of an endpoint as last sent or received, and when that was.
type timedLoad struct {
	Load
	at time.Time
}

func newBroadcast(minChange float64, isRelevant func(Load) bool) deltaBroadcast {
	return deltaBroadcast{minChange: minChange, isRelevant: isRelevant, lastSent: make(map[Key]timedLoad)}
}

// change is an endpoint that is due to be part of an update.
type change struct {
	key  Key
	size float64 // in requests; 0 for a repetition of an unchanged load
}

// changes returns the endpoints that are due to be sent. If there are more than limit, it returns the limit largest changes;
// among equal changes, those not sent for the longest time come first.
func (b *deltaBroadcast) changes(now time.Time, loads Loads, limit int) []change {
	var changed []change
	compare := func(key Key, load Load) {
		last, known := b.lastSent[key]
		size := load.distance(last.Load)
		switch {
		case size >= b.minChange:
			changed = append(changed, change{key, size})
		case known && now.Sub(last.at) >= entryRepeatInterval:
			changed = append(changed, change{key, 0})
		}
	}
	for key, load := range loads {
		if b.isRelevant(load) {
			compare(key, load)
		}
	}
	for key := range b.lastSent {
		if !b.isRelevant(loads[key]) {
			compare(key, Load{})
		}
	}
	if len(changed) <= limit {
		return changed
	}
	slices.SortFunc(changed, func(left, right change) int {
		return cmp.Or(cmp.Compare(right.size, left.size), b.lastSent[left.key].at.Compare(b.lastSent[right.key].at),
			cmp.Compare(left.key, right.key))
	})
	return changed[:limit]
}

// markSent returns the loads of the changed endpoints and records them as sent. An endpoint whose load has dropped to zero is sent twice
// and then removed.
func (b *deltaBroadcast) markSent(now time.Time, loads Loads, changed []change) Loads {
	update := make(Loads, len(changed))
	for _, entry := range changed {
		load := loads[entry.key]
		if !b.isRelevant(load) {
			load = Load{}
		}
		update[entry.key] = load
		if load == (Load{}) && b.lastSent[entry.key].Load == (Load{}) {
			delete(b.lastSent, entry.key)
			continue
		}
		b.lastSent[entry.key] = timedLoad{Load: load, at: now}
	}
	return update
}

// snapshot returns all loads sent so far, for a receiver that has none of them. If there are more than limit, it returns the limit largest
// loads.
func (b *deltaBroadcast) snapshot(limit int) Loads {
	keys := slices.Collect(maps.Keys(b.lastSent))
	if len(keys) > limit {
		slices.SortFunc(keys, func(left, right Key) int {
			return cmp.Or(cmp.Compare(b.lastSent[right].distance(Load{}), b.lastSent[left].distance(Load{})), cmp.Compare(left, right))
		})
		keys = keys[:limit]
	}
	snapshot := make(Loads, len(keys))
	for _, key := range keys {
		snapshot[key] = b.lastSent[key].Load
	}
	return snapshot
}
