package selector

import "time"

const (
	// overloadSlots is the share of its places that must be taken at the best endpoint before anything is refused for overload.
	overloadSlots = 1.25
	// lateShare is the share of the time between aim and deadline beyond which a start is too late to wait for: the queue is kept
	// so short that what is in it is served.
	lateShare = 0.8
	// urgentShare is taken off for each rank of priority: the less urgent are refused first.
	urgentShare = 0.06
	urgentRanks = 5

	adviceLeast = 50 * time.Millisecond
	adviceUsual = 300 * time.Millisecond
	// adviceShare: clients follow advice up to a third of the time that they have left.
	adviceShare = 3
)

// overloaded tells whether a request is refused since even the best endpoint found would begin with it too late, and how long its
// client should wait. The request's own reading doesn't count: large prompts are refused no sooner than small ones. Nothing is
// refused once it has been held for a part of its aim, or while places are free.
func (s *Selector) overloaded(now time.Time, request *Request, found *choice) (time.Duration, bool) {
	if request.runs > 0 || now.After(request.offerBy()) {
		return 0, false
	}
	load := found.endpoint.load.requests(now, s.relays)
	if load < overloadSlots*float64(found.endpoint.slots()) {
		return 0, false
	}
	latest := request.latestStart(now)
	begins := fromMs(found.estimate.travel + found.estimate.wait)
	if begins <= latest {
		return 0, false
	}
	return begins - latest, true
}

// latestStart is how much later an endpoint may begin with the request.
func (r *Request) latestStart(now time.Time) time.Duration {
	aim, left := r.aimLeft(now), r.left(now)
	share := lateShare - urgentShare*float64(min(max(r.Route.Priority, 0), urgentRanks))
	return max(0, aim) + time.Duration(share*float64(left-max(0, aim)))
}

// advice is how long a refused client should wait.
func (r *Request) advice(now time.Time, wait time.Duration) time.Duration {
	if wait <= 0 {
		wait = adviceUsual
	}
	most := r.Deadline.Sub(now) / adviceShare
	return max(min(wait, most), adviceLeast)
}
