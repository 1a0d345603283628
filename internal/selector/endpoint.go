package selector

import (
	"container/heap"
	"time"

	"wallflow/internal/registry"
)

// endpoint is what this relay knows about one instance.
type endpoint struct {
	instance     registry.Instance
	service      *service
	tier         *tier
	watch        *zoneWatch // of the instance's zone
	list         listKind   // the list of its tier that it is in
	listIndex    int        // position in that list
	hash         uint64     // of the instance id
	removed      bool       // the instance is no longer listed
	coldUntil    time.Time  // counts as cold until then, whatever the instance announces
	lastSentAt   time.Time  // when this relay last sent a request to it
	recheckAt    time.Time  // time of its entry in the timer heap; zero: none
	skip         skip
	pacer        pacer
	health       health
	load         load
	cache        prefixCache
	trialAttempt *Attempt // the one attempt in flight after a skip; nil: none
	listVersion  uint64   // version of the last instance list that contained it
	busy         bool     // this relay has requests in flight there
	busyIndex    int      // position in Selector.ownBusy
}

func newEndpoint(service *service, instance *registry.Instance) *endpoint {
	return &endpoint{service: service, hash: hashText(instance.ID)}
}

// recordReceived records that a message or data was received from the endpoint.
func (e *endpoint) recordReceived(now time.Time) {
	e.health.recordReceived(now)
	e.watch.recordReceived(now)
}

// markCold has the endpoint count as cold from now on, for the warm-up time of its service.
func (e *endpoint) markCold(now time.Time) {
	if warmup := e.service.warmup(); warmup > 0 {
		e.coldUntil = now.Add(warmup)
	}
}

// warmAt returns when the endpoint becomes or became warm; the zero time if it was never cold.
func (e *endpoint) warmAt() time.Time {
	if e.service.warmup() <= 0 && e.service.backend != nil {
		return time.Time{}
	}
	if e.instance.ColdUntil.After(e.coldUntil) {
		return e.instance.ColdUntil
	}
	return e.coldUntil
}

func (e *endpoint) isCold(now time.Time) bool { return e.warmAt().After(now) }

// warmup is how long an endpoint of the service stays cold after its start.
func (s *service) warmup() time.Duration {
	if s.backend == nil {
		return 0
	}
	return time.Duration(s.backend.WarmupS * float64(time.Second))
}

// refreshList moves an endpoint to the list of its tier in which it belongs now.
func (s *Selector) refreshList(now time.Time, endpoint *endpoint) {
	if endpoint.removed {
		return
	}
	endpoint.tier.moveTo(endpoint, s.listFor(now, endpoint))
	switch endpoint.list {
	case listSkipped:
		s.scheduleRecheck(endpoint, endpoint.skip.until)
	case listColdOwned, listColdForeign:
		s.scheduleRecheck(endpoint, endpoint.warmAt())
	}
}

// listFor returns the list in which an endpoint belongs.
func (s *Selector) listFor(now time.Time, endpoint *endpoint) listKind {
	instance := &endpoint.instance
	switch {
	case s.evacuated[instance.Zone] || !instance.GoneAt.IsZero() || instance.Departing():
		return listNone
	case instance.State != registry.StateReady && instance.State != registry.StateSilent:
		return listNone
	case endpoint.skip.until.After(now):
		return listSkipped
	case endpoint.isCold(now) && instance.State == registry.StateReady && s.ownsCold != nil && s.ownsCold(instance.ID):
		return listColdOwned
	case endpoint.isCold(now):
		return listColdForeign
	case instance.State == registry.StateSilent:
		return listSilent
	}
	return listWarm
}

// recheckTimer is the time at which an endpoint may have to move to another list.
type recheckTimer struct {
	at       time.Time
	endpoint *endpoint
}

// scheduleRecheck has the list of an endpoint determined again at a time.
func (s *Selector) scheduleRecheck(endpoint *endpoint, at time.Time) {
	if endpoint.recheckAt.Equal(at) {
		return
	}
	endpoint.recheckAt = at
	heap.Push(&s.timers, recheckTimer{at: at, endpoint: endpoint})
}

// runTimers moves the endpoints whose skip or warm-up has ended to their new lists.
func (s *Selector) runTimers(now time.Time) {
	for len(s.timers) > 0 && !s.timers[0].at.After(now) {
		due := heap.Pop(&s.timers).(recheckTimer)
		if due.endpoint.recheckAt.Equal(due.at) {
			due.endpoint.recheckAt = time.Time{}
			s.refreshList(now, due.endpoint)
		}
	}
}

// timerHeap orders timers by their time.
type timerHeap []recheckTimer

// Len implements heap.Interface.
func (h timerHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h timerHeap) Less(i, j int) bool { return h[i].at.Before(h[j].at) }

// Swap implements heap.Interface.
func (h timerHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *timerHeap) Push(x any) { *h = append(*h, x.(recheckTimer)) }

// Pop implements heap.Interface.
func (h *timerHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	old[len(old)-1] = recheckTimer{}
	*h = old[:len(old)-1]
	return last
}
