package selector

import (
	"math"
	"time"

	"wallflow/internal/config"
)

// Admission control goes by estimated work. What queues at an engine is prompt tokens to prefill, decode steps to run
// and KV-cache memory to be freed. The estimate of an attempt adds these up, and the engine with the lowest cost is
// chosen. If even that engine has as many requests, or as much memory in use, as it can work on plus a small margin,
// the request waits in this relay for a free slot, for a fraction of its target latency. It is then refused before it
// costs an engine anything, and its client is told when to retry. So the queues at engines stay short, and accepted
// requests are answered in time. An engine that runs out of slots or memory preempts the least urgent of the requests
// that it runs, which must then be prefilled again. It is this repeated work that makes goodput collapse.
//
// Under overload the most urgent priority goes first: requests of other priorities are admitted only while slots are
// left for it. A fraction of these requests is treated like the most urgent ones, so that no priority starves.

const (
	// maxOccupancyUrgent is the occupancy of the best endpoint from which a request of the most urgent priority is
	// refused, and maxOccupancyDeferred the same for all other requests. An engine without a free slot preempts the
	// least urgent request that it runs.
	maxOccupancyUrgent   = 1.5
	maxOccupancyDeferred = 0.85
	// maxOccupancyEstimated is the occupancy from which a request is refused where the load of other relays is only
	// estimated. It is refused only if it would also start too late: after lateStartFraction of the time between its
	// target and its deadline. The fraction is reduced by lateStartFractionPerRank for each step that its priority
	// lies behind the most urgent one, 0, up to maxPriorityRank steps.
	maxOccupancyEstimated    = 1.25
	lateStartFraction        = 0.8
	lateStartFractionPerRank = 0.06
	maxPriorityRank          = 5
	// holdPollInterval is how often a waiting request looks for a free slot, and holdEndMargin how long before its
	// offer deadline it stops waiting and is refused.
	holdPollInterval = 25 * time.Millisecond
	holdEndMargin    = 15 * time.Millisecond
	// exemptFraction is the fraction of the less urgent requests that have the limit of the most urgent ones.
	exemptFraction = 0.1
	// starvationRatio is the ratio of a priority's served fraction to the served fraction of all requests of the
	// service below which that priority gets the limit of the most urgent one at once. Clients try each request more
	// than once, and the fraction of requests served in the end must not fall to a quarter (rule Starved of the
	// specification).
	starvationRatio = 0.25
	// minRetryAfter is the shortest advised wait, and defaultRetryAfter the advised wait where nothing better is
	// known.
	minRetryAfter     = 50 * time.Millisecond
	defaultRetryAfter = 300 * time.Millisecond
	// retryAfterDivisor divides the time left until the deadline to give the longest advised wait, since clients do
	// not follow advice to wait longer than that.
	retryAfterDivisor = 3
	// retryAfterJitter is the fraction by which the advised wait varies at random, so that refused clients do not
	// return together.
	retryAfterJitter = 0.5
)

// checkOverload reports whether a request must not be sent now because even the best endpoint is overloaded, and how
// long its client should wait. The size of the request does not count: large prompts are refused no sooner than small
// ones. A request that is past its offer deadline, or that may already have run, is never refused for overload.
func (s *Selector) checkOverload(now time.Time, request *Request, best *choice) (time.Duration, bool) {
	if !s.enabled(Admission) || request.runs > 0 || now.After(request.offerDeadline()) {
		return 0, false
	}
	occupancy, startDelay := s.occupancy(now, best.endpoint), fromMs(best.estimate.networkMs+best.estimate.waitMs)
	switch {
	case !s.hasOtherLoads(now) || best.endpoint.service.engine() == nil:
		limit := s.maxStartDelay(now, request)
		return startDelay - limit, occupancy >= maxOccupancyEstimated && startDelay > limit
	case s.isDeferred(now, request):
		return startDelay, occupancy >= maxOccupancyDeferred
	}
	return startDelay, occupancy >= maxOccupancyUrgent
}

// maxStartDelay is how long the start of a request at an endpoint may be delayed for the request to be admitted,
// where the endpoint's load is only estimated.
func (s *Selector) maxStartDelay(now time.Time, request *Request) time.Duration {
	untilTarget, timeLeft := max(0, request.targetLeft(now)), request.timeLeft(now)
	fraction := lateStartFraction
	if s.enabled(Urgency) {
		fraction -= lateStartFractionPerRank * float64(min(max(request.Route.Priority, 0), maxPriorityRank))
	}
	return untilTarget + time.Duration(fraction*float64(timeLeft-untilTarget))
}

// holdUntil reports whether a request that is not admitted may wait in this relay for a free slot, and when to look
// again. It waits no longer than until its offer deadline, a quarter of its target latency after its arrival.
func (s *Selector) holdUntil(now time.Time, request *Request, best *choice) (time.Time, bool) {
	latest := request.offerDeadline().Add(-holdEndMargin)
	if !s.enabled(Waiting) || !now.Before(latest) || !s.hasOtherLoads(now) || best.endpoint.service.engine() == nil {
		return time.Time{}, false
	}
	until := now.Add(holdPollInterval)
	if until.After(latest) {
		until = latest
	}
	return until, true
}

// occupancy is the used fraction of an endpoint's slots or, at an engine, of its KV-cache memory, whichever is
// higher. It exceeds 1 where requests queue.
func (s *Selector) occupancy(now time.Time, endpoint *endpoint) float64 {
	slotOccupancy := s.requests(now, endpoint) / float64(endpoint.slots())
	engine := endpoint.service.engine()
	if engine == nil || engine.KVCapacity <= 0 {
		return slotOccupancy
	}
	return math.Max(slotOccupancy, s.memoryTokens(now, endpoint)/float64(engine.KVCapacity))
}

// isDeferred reports whether a request must leave slots free for more urgent requests of its service.
func (s *Selector) isDeferred(now time.Time, request *Request) bool {
	service := request.service()
	if !s.enabled(Urgency) || request.Route.Priority <= service.mostUrgentPriority ||
		service.recentCounts.isStarved(now, request.Route.Priority) {
		return false
	}
	// The exempt requests are selected by a hash of their id.
	const resolution = 1 << 16
	return float64(mixBits(s.splitDraw(request))%resolution) >= exemptFraction*resolution
}

// updateUrgency sets for each service the most urgent priority among the routes that use it.
func (s *Selector) updateUrgency(document *config.Document) {
	for _, service := range s.services {
		service.mostUrgentPriority = math.MaxInt
	}
	for index := range document.Routes {
		route := &document.Routes[index]
		for _, share := range route.WeightedBackends() {
			if service := s.services[share.Backend]; service != nil {
				service.mostUrgentPriority = min(service.mostUrgentPriority, route.Priority)
			}
		}
	}
}

// servedHalfLife is the half-life of the counts of arrived and served requests.
const servedHalfLife = 4 * time.Second

// priorityCounts holds how many requests of each priority have arrived and were served recently. The counts decay
// exponentially.
type priorityCounts struct {
	byPriority [priorityLevels]priorityCount
	decayedAt  time.Time
}

// priorityLevels is the number of priorities that are counted separately; higher ones count as the last.
const priorityLevels = 10

// priorityCount holds the decayed counts of one priority.
type priorityCount struct{ arrived, served float64 }

// countFor decays all counts to now and returns those of a priority.
func (c *priorityCounts) countFor(now time.Time, priority int) *priorityCount {
	if !c.decayedAt.IsZero() {
		decay := math.Exp2(-now.Sub(c.decayedAt).Seconds() / servedHalfLife.Seconds())
		for index := range c.byPriority {
			c.byPriority[index].arrived *= decay
			c.byPriority[index].served *= decay
		}
	}
	c.decayedAt = now
	return &c.byPriority[min(max(priority, 0), priorityLevels-1)]
}

// isStarved reports whether requests of a priority are served much less often than requests on average.
func (c *priorityCounts) isStarved(now time.Time, priority int) bool {
	own := c.countFor(now, priority)
	var total priorityCount
	for _, count := range c.byPriority {
		total.arrived += count.arrived
		total.served += count.served
	}
	return own.served*total.arrived < starvationRatio*total.served*own.arrived
}

// retryAfter returns how long a refused client is advised to wait; wait is the estimate, zero if there is none.
func (s *Selector) retryAfter(now time.Time, request *Request, wait time.Duration) time.Duration {
	if wait <= 0 {
		wait = defaultRetryAfter
	}
	if s.enabled(RetrySpread) {
		wait = time.Duration(float64(wait) * (1 + retryAfterJitter*(2*s.random.Float64()-1)))
	}
	maxWait := request.Deadline.Sub(now) / retryAfterDivisor
	return max(min(wait, maxWait), minRetryAfter)
}
