package selector

import (
	"math/bits"

	"wallflow/internal/config"
)

// service is what this relay knows about one service.
type service struct {
	name               string
	backend            *config.Backend // nil: not in the configuration
	tiers              map[string]*tier
	waiting            waitingList
	typicalDuration    averageDuration // of its answers
	speed              prefillSpeed    // of its engines, if it has any
	mostUrgentPriority int             // lowest priority value among its routes
	recentCounts       priorityCounts  // requests that arrived and were served
}

func newService(name string, speed prefillSpeed) *service {
	return &service{name: name, tiers: map[string]*tier{}, speed: speed}
}

// tier returns the tier of the service in a region, and creates it if there is none.
func (s *service) tier(region string) *tier {
	known := s.tiers[region]
	if known == nil {
		known = &tier{service: s, region: region}
		s.tiers[region] = known
	}
	return known
}

// empty reports whether the service has no endpoints and no waiting requests.
func (s *service) empty() bool {
	for _, tier := range s.tiers {
		for _, list := range tier.lists {
			if len(list) > 0 {
				return false
			}
		}
	}
	return s.waiting.count == 0
}

// engine describes the service's engines; nil if the service has none.
func (s *service) engine() *config.Engine {
	if s.backend == nil {
		return nil
	}
	return s.backend.Engine
}

// listKind identifies the list of its tier that an endpoint is in.
type listKind uint8

const (
	listNone        listKind = iota // in no list: draining, leaving or evacuated, never chosen
	listWarm                        // may be chosen
	listColdOwned                   // cold, and owned by this relay, the only one that may send to it
	listColdForeign                 // cold, and owned by another relay
	listSkipped                     // skipped after failures
	listSilent                      // heartbeats have stopped: a last resort
	listKinds                       // number of lists
)

// tier holds the endpoints of one service in one region. A request tries one tier after the other.
type tier struct {
	service      *service
	region       string
	lists        [listKinds][]*endpoint
	groups       [][]*endpoint // warm endpoints by hash; nil while there are few
	recentlyUsed []*endpoint   // endpoints that answered this relay last, the newest at the end
}

const (
	// maxScannedEndpoints is the size of a tier up to which all its endpoints are considered for a request.
	maxScannedEndpoints = 32
	// targetGroupSize is the approximate number of endpoints in a group of a large tier.
	targetGroupSize = 64
)

func (t *tier) warm() []*endpoint { return t.lists[listWarm] }

// usable reports whether the tier has endpoints that may be sent a request, now or when their limits allow.
func (t *tier) usable() bool { return len(t.lists[listWarm])+len(t.lists[listColdOwned]) > 0 }

// moveTo moves an endpoint from one list of the tier to another.
func (t *tier) moveTo(endpoint *endpoint, to listKind) {
	from := endpoint.list
	if from == to {
		return
	}
	if from != listNone {
		t.removeFrom(endpoint, from)
	}
	endpoint.list = to
	if to == listNone {
		return
	}
	endpoint.listIndex = len(t.lists[to])
	t.lists[to] = append(t.lists[to], endpoint)
	if to == listWarm {
		t.updateGroups(endpoint, true)
	}
}

func (t *tier) removeFrom(endpoint *endpoint, from listKind) {
	list := t.lists[from]
	last := len(list) - 1
	list[endpoint.listIndex] = list[last]
	list[endpoint.listIndex].listIndex = endpoint.listIndex
	list[last] = nil
	t.lists[from] = list[:last]
	if from == listWarm {
		t.updateGroups(endpoint, false)
	}
}

// updateGroups keeps the groups of a large tier up to date after a warm endpoint was added or removed.
func (t *tier) updateGroups(endpoint *endpoint, added bool) {
	count := groupCount(len(t.warm()))
	if count != len(t.groups) {
		t.rebuildGroups(count)
		return
	}
	if count == 0 {
		return
	}
	at := endpoint.hash % uint64(count)
	if added {
		t.groups[at] = append(t.groups[at], endpoint)
		return
	}
	group := t.groups[at]
	for index := range group {
		if group[index] == endpoint {
			group[index] = group[len(group)-1]
			t.groups[at] = group[:len(group)-1]
			return
		}
	}
}

// rebuildGroups divides the warm endpoints into a new number of groups.
func (t *tier) rebuildGroups(count int) {
	t.groups = make([][]*endpoint, count)
	if count == 0 {
		t.groups = nil
		return
	}
	for _, endpoint := range t.warm() {
		at := endpoint.hash % uint64(count)
		t.groups[at] = append(t.groups[at], endpoint)
	}
}

// groupCount returns a power of two, so that the number of groups seldom changes, and relays whose instance lists
// differ slightly have the same number.
func groupCount(endpoints int) int {
	if endpoints <= maxScannedEndpoints {
		return 0
	}
	return 1 << bits.Len(uint(endpoints/targetGroupSize))
}
