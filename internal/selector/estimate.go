package selector

import (
	"math"
	"time"
)

const (
	// prefillBaseWeight is what a millisecond of prefill at an engine costs beyond the delay of its own request, since it
	// delays all other requests there.
	prefillBaseWeight = 0.75
	// prefillFullWeight is added to that, in proportion to the used slots, up to an engine with all slots in use.
	prefillFullWeight = 4.0
	// regionByteCost and zoneByteCost are the cost of a body byte sent to another region or zone, as a fraction of
	// the target latency.
	regionByteCost = 1e-5
	zoneByteCost   = 3.5e-6
	// coldCost is the cost of a cold endpoint compared with a warm one, as a fraction of the target latency.
	coldCost = 0.05
	// plainSlowdown is the fraction by which an endpoint without an engine slows down when its slots are all in use.
	plainSlowdown = 0.3
	// costJitter is the fraction of a cost, and costJitterMs the time, by which costs vary at random, so that relays
	// with the same knowledge do not all choose the same endpoint.
	costJitter   = 0.05
	costJitterMs = 1.0
	// defaultPlainSlots is assumed for endpoints that announce no slots.
	defaultPlainSlots = 1
)

// rankCredit is the fraction of the saved prefill time that is credited to the first endpoints in the ranking of a
// prompt prefix although this relay has not sent the prefix there: other relays have, or will.
var rankCredit = [...]float64{1, 0.4, 0.2}

// estimate is the expected cost of an attempt at an endpoint. Times are in milliseconds.
type estimate struct {
	networkMs     float64 // network round trip
	waitMs        float64 // until the endpoint starts with the request
	latenessMs    float64 // part of waitMs: by how much recent answers were later than estimated
	processingMs  float64 // from the start to the first byte
	costMs        float64 // what endpoints are compared by: the time, the delay of other requests, and further costs
	cachedParts   int     // leading parts of the prompt that are believed to be cached
	prefillTokens int     // tokens that must be prefilled
	savingMs      float64 // part of processingMs that is saved if other relays have sent the prefix there, as its rank predicts
}

// firstByteMs is the expected time to the first byte.
func (e *estimate) firstByteMs() float64 { return e.networkMs + e.waitMs + e.processingMs }

// cachedFirstByteMs is the expected time to the first byte if the prompt prefix is cached where its ranking predicts.
func (e *estimate) cachedFirstByteMs() float64 { return e.firstByteMs() - e.savingMs }

// estimate returns what an attempt at an endpoint is expected to cost. rank is the endpoint's rank for the prompt
// prefix, or unranked.
func (s *Selector) estimate(now time.Time, request *Request, endpoint *endpoint, rank int) estimate {
	var e estimate
	if endpoint.service.engine() != nil {
		s.estimateEngine(now, request, endpoint, rank, &e)
	} else {
		s.estimatePlain(now, endpoint, &e)
	}
	if s.enabled(Lateness) {
		e.latenessMs = endpoint.load.decayedLatenessMs(now)
	}
	e.waitMs += e.latenessMs
	e.networkMs = s.networkMs(endpoint)
	if !s.isConnected(endpoint) {
		e.networkMs += s.networkMs(endpoint)
		e.costMs += newConnectionCost * request.Route.TargetMs
	}
	e.costMs += e.firstByteMs()
	if s.enabled(PlacementCosts) {
		e.costMs += s.placementCostMs(request, endpoint)
	}
	if s.enabled(Suspicion) {
		e.costMs += s.suspicionCostMs(now, endpoint)
	}
	if s.enabled(Penalty) {
		e.costMs += endpoint.health.penaltyMs(now)
	}
	return e
}

// cachedPrefix returns how many leading parts of a request's prompt the endpoint is believed to cache, and their
// tokens.
func (s *Selector) cachedPrefix(now time.Time, request *Request, endpoint *endpoint) (parts, tokens int) {
	if !s.enabled(CachedParts) {
		return 0, 0
	}
	return endpoint.cache.cachedPrefix(now, request.Parts)
}

// prefillWeight is what a millisecond of prefill at an engine costs beyond the delay of its own request. It delays all
// other requests there, and more of them the higher the occupancy.
func (s *Selector) prefillWeight(occupancy float64) float64 {
	if !s.enabled(LoadedPrefill) {
		return prefillBaseWeight
	}
	return prefillBaseWeight + prefillFullWeight*math.Min(1, occupancy)
}

// estimateEngine fills in the estimate for a model engine, which decodes a batch of requests and prefills prompts
// between decode steps.
func (s *Selector) estimateEngine(now time.Time, request *Request, endpoint *endpoint, rank int, e *estimate) {
	model := &s.options.EnginePrior
	engine := endpoint.service.engine()
	speed := &endpoint.service.speed
	load := &endpoint.load
	cachedParts, cachedTokens := s.cachedPrefix(now, request, endpoint)
	e.cachedParts, e.prefillTokens = cachedParts, max(0, request.TokensIn-cachedTokens)

	requests := s.requests(now, endpoint)
	slots := float64(max(1, engine.Slots))
	duration := endpoint.service.typicalDuration.orDefaultMs(model.MeanDurationMs)
	// The engine first prefills the prompts that are queued already.
	e.waitMs = load.prefillAhead(now, speed.tokensPerMs()) / speed.tokensPerMs()
	// Without a free slot the request waits for others to end.
	if excess := requests + 1 - slots; excess > 0 {
		e.waitMs += excess / slots * duration
	}
	// Without enough free memory it waits for others to release theirs.
	capacity := math.Max(1, float64(engine.KVCapacity))
	if excess := s.memoryTokens(now, endpoint) + float64(e.prefillTokens+request.answerTokens()) - capacity; excess > 0 {
		e.waitMs += excess / capacity * duration * slots / math.Max(1, requests)
	}
	e.processingMs = speed.firstTokenMs(request.TokensIn, e.prefillTokens) + model.StepMsPerSlot*math.Min(requests, slots)
	ownPrefillMs := speed.prefillMs(request.TokensIn, e.prefillTokens)
	weight := s.prefillWeight(requests / slots)
	e.costMs = weight * ownPrefillMs
	if rank != unranked {
		remaining := e.prefillTokens - shareableTokens(request.Parts, cachedParts)
		saving := ownPrefillMs - speed.prefillMs(request.TokensIn, remaining)
		e.savingMs = rankCredit[rank] * saving
		e.costMs -= e.savingMs * (1 + weight)
	}
}

// estimatePlain fills in the estimate for a service without engines, from the average time of its answers.
func (s *Selector) estimatePlain(now time.Time, endpoint *endpoint, e *estimate) {
	requests := s.requests(now, endpoint)
	slots := float64(endpoint.slots())
	duration := endpoint.service.typicalDuration.orDefaultMs(defaultPlainDurationMs)
	e.processingMs = duration * (1 + plainSlowdown*math.Min(1, requests/slots))
	if excess := requests + 1 - slots; excess > 0 {
		e.waitMs = excess / slots * duration
	}
}

// shareableTokens is the number of tokens in the prompt parts that are not cached and that other requests may share:
// all but the last part.
func shareableTokens(parts []PromptPart, cached int) int {
	tokens := 0
	for index := cached; index < len(parts)-1; index++ {
		tokens += parts[index].Tokens
	}
	return tokens
}

// networkMs is the network round trip to an endpoint, in milliseconds.
func (s *Selector) networkMs(endpoint *endpoint) float64 {
	if measured := endpoint.watch.roundTrip; measured > 0 && s.enabled(LearnedDistance) {
		return inMs(measured)
	}
	switch {
	case endpoint.instance.Zone == s.options.Zone:
		return 0
	case endpoint.tier.region == s.options.Region:
		return 2 * inMs(zoneDelay)
	}
	return 2 * inMs(s.options.RegionDelay)
}

// placementCostMs converts what an attempt costs besides time (bytes sent between zones or regions, load on a cold
// endpoint) into milliseconds.
func (s *Selector) placementCostMs(request *Request, endpoint *endpoint) float64 {
	fraction := 0.0
	switch {
	case endpoint.instance.Zone == s.options.Zone:
	case endpoint.tier.region == s.options.Region:
		fraction = zoneByteCost * float64(request.BodyBytes)
	default:
		fraction = regionByteCost * float64(request.BodyBytes)
	}
	if endpoint.list == listColdOwned {
		fraction += coldCost
	}
	return fraction * request.Route.TargetMs
}

// suspicionCostMs is the cost of an endpoint with an overdue answer, so that new requests go elsewhere if they can.
// It grows with the age of this relay's oldest unanswered attempt there. Where only requests of other relays are
// overdue, it is the minimum time after which an answer counts as overdue.
func (s *Selector) suspicionCostMs(now time.Time, endpoint *endpoint) float64 {
	if endpoint.countOverdue(now, 1) == 0 {
		if s.suspectedByOthers(now, endpoint) {
			return inMs(minOverdueDelay)
		}
		return 0
	}
	return inMs(now.Sub(endpoint.load.firstUnanswered.sentAt))
}

// addJitter adds a random amount to a cost, so that equal costs differ.
func (s *Selector) addJitter(costMs float64) float64 {
	return costMs + (costJitterMs+costJitter*math.Abs(costMs))*s.random.Float64()
}

// slots is how many requests the endpoint processes at once.
func (e *endpoint) slots() int {
	if engine := e.service.engine(); engine != nil && engine.Slots > 0 {
		return engine.Slots
	}
	return max(defaultPlainSlots, e.instance.Slots)
}

func inMs(duration time.Duration) float64 { return float64(duration) / float64(time.Millisecond) }

func fromMs(milliseconds float64) time.Duration {
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// prefillRate is how many prompt tokens an endpoint prefills in a millisecond.
func (s *Selector) prefillRate(endpoint *endpoint) float64 {
	return endpoint.service.speed.tokensPerMs()
}
