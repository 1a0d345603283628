package selector

import (
	"time"

	"wallflow/internal/workload"
)

// othersFresh is how long what other relays have at endpoints is believed.
const othersFresh = 2 * time.Second

// others is what the other relays have at an endpoint, as they say.
type others struct {
	requests int
	unread   int // prompt tokens to be read
	held     int // tokens of memory
	overdue  int // requests without an answer that should have one, with nothing heard from the endpoint since
}

// key names the endpoint to other relays.
func (e *endpoint) key() workload.Key { return workload.Key(e.hash) }

// TakeReport is what this relay tells the others: what it has at model engines, what their answers told of their speed, and which openings
// they were given to read since the last call.
func (s *Selector) TakeReport(now time.Time) workload.Report {
	report := workload.Report{Loads: s.ownLoads(now), Sums: s.ownSums(now), Readings: s.readings}
	s.readings = nil
	return report
}

// ownLoads is what this relay has at model engines.
func (s *Selector) ownLoads(now time.Time) workload.Loads {
	loads := make(workload.Loads, len(s.busy))
	for _, endpoint := range s.busy {
		load := &endpoint.load
		loads[endpoint.key()] = workload.Load{Requests: load.outstanding, Unread: load.unread, Held: load.held, Overdue: s.ownOverdue(now, endpoint)}
	}
	return loads
}

// SetOthers takes what all other relays have at model engines. Not known: this relay has to guess from its own requests.
func (s *Selector) SetOthers(now time.Time, loads workload.Loads, known bool) {
	if !known || !s.on(SharedLoads) {
		return // what was known ages
	}
	s.othersAt = now
	for _, endpoint := range s.loaded {
		if _, still := loads[endpoint.key()]; !still {
			endpoint.load.setOthers(now, others{}, s.speedOf(endpoint))
		}
	}
	clear(s.loaded)
	s.loaded = s.loaded[:0]
	for _, watch := range s.watches {
		watch.othersOverdue = 0
	}
	for key, told := range loads {
		endpoint := s.byKey[key]
		if endpoint == nil {
			continue
		}
		endpoint.load.setOthers(now, others{requests: told.Requests, unread: told.Unread, held: told.Held, overdue: told.Overdue}, s.speedOf(endpoint))
		s.loaded = append(s.loaded, endpoint)
		endpoint.watch.othersOverdue += told.Overdue
	}
}

// overdueTold bounds the overdue requests at one endpoint that other relays are told of.
const overdueTold = 8

// ownOverdue counts this relay's overdue requests at an endpoint. None are told while this process may have stood still itself.
func (s *Selector) ownOverdue(now time.Time, endpoint *endpoint) int {
	if !s.on(SharedSuspicion) || now.Sub(s.awakeSince) < settleAfter {
		return 0
	}
	return endpoint.overdue(now, overdueTold)
}

// suspectedByOthers tells whether requests of other relays are overdue at an endpoint that has said nothing here lately either.
func (s *Selector) suspectedByOthers(now time.Time, endpoint *endpoint) bool {
	return s.on(SharedSuspicion) && s.knowsOthers(now) && endpoint.load.others.overdue > 0 &&
		now.Sub(endpoint.health.heardAt) > patienceLeast
}

// knowsOthers tells whether the loads of other relays are known.
func (s *Selector) knowsOthers(now time.Time) bool {
	return s.on(SharedLoads) && !s.othersAt.IsZero() && now.Sub(s.othersAt) < othersFresh
}

// setOthers takes what others have at the endpoint now. What came anew waits behind what is to be read already.
func (l *load) setOthers(now time.Time, told others, tokensPerMs float64) {
	l.backlog = l.reading(now, tokensPerMs)
	l.backlogAt = now
	if more := told.unread - l.others.unread; more > 0 {
		l.backlog += float64(more)
	}
	l.others = told
}

// noteBusy keeps the list of endpoints at which this relay has requests.
func (s *Selector) noteBusy(endpoint *endpoint) {
	switch {
	case endpoint.service.engine() == nil:
	case endpoint.load.outstanding > 0 && !endpoint.busy:
		endpoint.busy, endpoint.busyIndex = true, len(s.busy)
		s.busy = append(s.busy, endpoint)
	case endpoint.load.outstanding == 0 && endpoint.busy:
		last := len(s.busy) - 1
		s.busy[endpoint.busyIndex] = s.busy[last]
		s.busy[endpoint.busyIndex].busyIndex = endpoint.busyIndex
		s.busy[last] = nil
		s.busy = s.busy[:last]
		endpoint.busy = false
	}
}

// readingsHeld bounds the openings that wait to be told to other relays.
const readingsHeld = 64

// noteReading has the other relays told that an endpoint reads, or uses, the opening of a prompt. One that is bound to home regions is told
// to nobody, since readings go to all regions.
func (s *Selector) noteReading(endpoint *endpoint, request *Request) {
	if _, affine := request.affinity(); !affine || len(request.Parts) < 2 || request.isBound() || len(s.readings) >= readingsHeld {
		return
	}
	opening := request.Parts[0]
	s.readings = append(s.readings, workload.Reading{Part: opening.ID, Tokens: opening.Tokens, Endpoint: endpoint.key()})
}

// NoteReadings takes which openings other relays had endpoints read: they are kept there.
func (s *Selector) NoteReadings(now time.Time, readings []workload.Reading) {
	if !s.on(SharedOpenings) {
		return
	}
	for _, reading := range readings {
		endpoint := s.byKey[reading.Endpoint]
		if endpoint == nil || endpoint.service.engine() == nil {
			continue
		}
		opening := PromptPart{ID: reading.Part, Tokens: reading.Tokens}
		endpoint.cache.use(now, []PromptPart{opening}, endpoint.cacheCapacity())
		s.keepers.note(now, reading.Part, endpoint)
	}
}

// serviceKey names a service to other relays.
func serviceKey(name string) workload.Key { return workload.Key(hashText(name)) }

// ownSums is what the answers to this relay have told of the engines' speed.
func (s *Selector) ownSums(now time.Time) workload.Sums {
	sums := make(workload.Sums)
	for name, service := range s.services {
		if service.engine() != nil {
			service.speed.fade(now)
			sums[serviceKey(name)] = service.speed.own.figures()
		}
	}
	return sums
}

// SetOthersSums takes what the answers to the other relays have told of the engines' speed.
func (s *Selector) SetOthersSums(sums workload.Sums) {
	if !s.on(LearnedSpeed) {
		return
	}
	for name, service := range s.services {
		if told, known := sums[serviceKey(name)]; known && service.engine() != nil {
			service.speed.setOthers(sumsOf(told))
		}
	}
}
