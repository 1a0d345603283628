package workload

import (
	"cmp"
	"maps"
	"slices"
	"time"
)

// audience is a group of receivers that are told the same loads: the relays of a hub's zone, or the hubs of the other zones. A word
// names the endpoints whose load has changed since it was named last, those that changed most first, and now and then the others, so
// that nothing depends on a word that was lost.
type audience struct {
	least   float64 // changes below it are told with the repetitions only
	matters func(Load) bool
	shown   map[Key]heldLoad // as told last, and when
	nextAt  time.Time        // of the next word
	toldAt  time.Time
}

func newAudience(least float64, matters func(Load) bool) audience {
	return audience{least: least, matters: matters, shown: make(map[Key]heldLoad)}
}

// change is an endpoint that a word should name.
type change struct {
	key    Key
	weight float64
}

// changes lists the endpoints to be named, the most urgent first, room of them at the most.
func (a *audience) changes(now time.Time, loads Loads, room int) []change {
	var found []change
	note := func(key Key, load Load) {
		shown, told := a.shown[key]
		weight := load.distance(shown.Load)
		switch {
		case weight >= a.least:
			found = append(found, change{key, weight})
		case told && now.Sub(shown.at) >= entryRepeat:
			found = append(found, change{key, 0})
		}
	}
	for key, load := range loads {
		if a.matters(load) {
			note(key, load)
		}
	}
	for key := range a.shown {
		if !a.matters(loads[key]) {
			note(key, Load{})
		}
	}
	if len(found) <= room {
		return found
	}
	slices.SortFunc(found, func(left, right change) int {
		return cmp.Or(cmp.Compare(right.weight, left.weight), a.shown[left.key].at.Compare(a.shown[right.key].at), cmp.Compare(left.key, right.key))
	})
	return found[:room]
}

// tell notes that endpoints are named, and returns their loads. One without load is named once more than it need be, and then forgotten.
func (a *audience) tell(now time.Time, loads Loads, named []change) Loads {
	word := make(Loads, len(named))
	for _, each := range named {
		load := loads[each.key]
		if !a.matters(load) {
			load = Load{}
		}
		word[each.key] = load
		if load == (Load{}) && a.shown[each.key].Load == (Load{}) {
			delete(a.shown, each.key)
			continue
		}
		a.shown[each.key] = heldLoad{Load: load, at: now}
	}
	return word
}

// whole is what a receiver that was told nothing yet is told: all that the others know.
func (a *audience) whole(most int) Loads {
	whole := make(Loads, len(a.shown))
	for _, key := range slices.Sorted(maps.Keys(a.shown)) {
		if len(whole) >= most {
			break
		}
		whole[key] = a.shown[key].Load
	}
	return whole
}
