package selector

import (
	"math/bits"

	"wallflow/internal/config"
)

// service is what is known of one service.
type service struct {
	name    string
	backend *config.Backend // nil: not in the configuration
	tiers   map[string]*tier
	waiting waitingList
	usual   usual
	speed   speed // of its engines, if it has any
	urgent  int   // priority of the most urgent kind of request
	served  servedCounts
}

func newService(name string, speed speed) *service {
	return &service{name: name, tiers: map[string]*tier{}, speed: speed}
}

func (s *service) tier(region string) *tier {
	known := s.tiers[region]
	if known == nil {
		known = &tier{service: s, region: region}
		s.tiers[region] = known
	}
	return known
}

func (s *service) empty() bool {
	for _, tier := range s.tiers {
		for _, list := range tier.lists {
			if len(list) > 0 {
				return false
			}
		}
	}
	return s.waiting.live == 0
}

// engine describes the service's engines; nil if it is a plain one.
func (s *service) engine() *config.Engine {
	if s.backend == nil {
		return nil
	}
	return s.backend.Engine
}

// placeOf says in which list of its tier an endpoint is.
type placeOf uint8

const (
	placeNowhere placeOf = iota // draining, leaving or evacuated: never chosen
	placeWarm                   // may be chosen
	placeOwned                  // cold, and this relay is the one that may send to it
	placeForeign                // cold, and another relay's
	placeSkipped                // in the skip table
	placeSilent                 // no heartbeats: a last resort
	places
)

// tier is the endpoints of one service in one region: what a request tries before it moves on.
type tier struct {
	service *service
	region  string
	lists   [places][]*endpoint
	groups  [][]*endpoint // of the warm ones, by hash; nil while they are few
	recent  []*endpoint   // that answered this relay last, the newest last
}

const (
	// scanAll is the number of endpoints up to which all are looked at.
	scanAll = 32
	// groupSize is about how many endpoints a group of a large tier has.
	groupSize = 64
)

func (t *tier) warm() []*endpoint { return t.lists[placeWarm] }

// usable tells whether the tier has endpoints that may take a request, now or when their limits allow.
func (t *tier) usable() bool { return len(t.lists[placeWarm])+len(t.lists[placeOwned]) > 0 }

// place moves an endpoint from one list of the tier to another.
func (t *tier) place(endpoint *endpoint, to placeOf) {
	from := endpoint.place
	if from == to {
		return
	}
	if from != placeNowhere {
		t.take(endpoint, from)
	}
	endpoint.place = to
	if to == placeNowhere {
		return
	}
	endpoint.index = len(t.lists[to])
	t.lists[to] = append(t.lists[to], endpoint)
	if to == placeWarm {
		t.regroup(endpoint, true)
	}
}

func (t *tier) take(endpoint *endpoint, from placeOf) {
	list := t.lists[from]
	last := len(list) - 1
	list[endpoint.index] = list[last]
	list[endpoint.index].index = endpoint.index
	list[last] = nil
	t.lists[from] = list[:last]
	if from == placeWarm {
		t.regroup(endpoint, false)
	}
}

// regroup keeps the groups of a large tier in step with its warm endpoints.
func (t *tier) regroup(endpoint *endpoint, added bool) {
	wanted := groupCount(len(t.warm()))
	if wanted != len(t.groups) {
		t.split(wanted)
		return
	}
	if wanted == 0 {
		return
	}
	at := endpoint.hash % uint64(wanted)
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

func (t *tier) split(count int) {
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

// groupCount is a power of two, so that it changes seldom; relays with nearly the same list have the same number.
func groupCount(endpoints int) int {
	if endpoints <= scanAll {
		return 0
	}
	return 1 << bits.Len(uint(endpoints/groupSize))
}
