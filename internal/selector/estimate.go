package selector

import (
	"math"
	"time"
)

const (
	// readWeight is what a token read at an engine costs beyond the delay of its own request: it delays all others there.
	readWeight = 0.75
	// readWeightFull is added to that at an engine whose places are all taken.
	readWeightFull = 4.0
	// regionByteWorth and zoneByteWorth are the shares of a request's worth that a byte costs between regions and zones.
	regionByteWorth = 1e-5
	zoneByteWorth   = 3.5e-6
	// coldWorth is the share of the aim by which a cold endpoint is put behind a warm one.
	coldWorth = 0.05
	// fullness is the share by which a plain endpoint slows as its places fill.
	fullness = 0.3
	// noise is the share of a cost that varies by chance, so that relays which know the same do not act as one.
	noise   = 0.05
	noiseMs = 1.0
	// plainSlots is taken for endpoints that name no slots.
	plainSlots = 1
)

// preference is the part of the reading saved that the first endpoints of a prompt's ranking are credited with, though this relay
// has not used them for it: others have, or will.
var preference = [...]float64{1, 0.4, 0.2}

// estimate is what an attempt at an endpoint is expected to take, in milliseconds.
type estimate struct {
	travel float64 // on the network, both ways
	wait   float64 // until the endpoint begins with it
	late   float64 // part of wait: what answers came too late by before
	own    float64 // from then to the first byte
	cost   float64 // what is compared: the time, what others lose by it, and prices
	kept   int     // parts that are kept
	unread int     // tokens that must be read
	saved  float64 // part of own that falls away if others have had the opening read there, as its ranking says
}

// first is the expected time to the first byte.
func (e *estimate) first() float64 { return e.travel + e.wait + e.own }

// hoped is the expected time to the first byte if the opening is kept where its ranking says.
func (e *estimate) hoped() float64 { return e.first() - e.saved }

// estimate says what an attempt at an endpoint is expected to take; rank is its place in the ranking of the prompt, or unranked.
func (s *Selector) estimate(now time.Time, request *Request, endpoint *endpoint, rank int) estimate {
	var e estimate
	if endpoint.service.engine() != nil {
		s.estimateEngine(now, request, endpoint, rank, &e)
	} else {
		s.estimatePlain(now, endpoint, &e)
	}
	if s.on(Lateness) {
		e.late = endpoint.load.late(now)
	}
	e.wait += e.late
	e.travel = s.travel(endpoint)
	if !s.isConnected(endpoint) {
		e.travel += s.travel(endpoint)
		e.cost += connectionWorth * request.Route.TargetMs
	}
	e.cost += e.first()
	if s.on(Prices) {
		e.cost += s.prices(request, endpoint)
	}
	if s.on(Suspicion) {
		e.cost += s.suspicion(now, endpoint)
	}
	if s.on(Penalty) {
		e.cost += endpoint.health.penalty(now)
	}
	return e
}

// kept tells how many parts of a request's prompt the endpoint is believed to keep, and their tokens.
func (s *Selector) kept(now time.Time, request *Request, endpoint *endpoint) (parts, tokens int) {
	if !s.on(KeptParts) {
		return 0, 0
	}
	return endpoint.cache.kept(now, request.Parts)
}

// readingWeight is what a millisecond of reading at an engine costs beyond the delay of its own request: it delays all others there, the
// more the fuller the engine is.
func (s *Selector) readingWeight(occupied float64) float64 {
	if !s.on(LoadedReading) {
		return readWeight
	}
	return readWeight + readWeightFull*math.Min(1, occupied)
}

// estimateEngine estimates for a model engine: a batch that decodes, and prompts read between its steps.
func (s *Selector) estimateEngine(now time.Time, request *Request, endpoint *endpoint, rank int, e *estimate) {
	model := &s.options.Engines
	engine := endpoint.service.engine()
	speed := &endpoint.service.speed
	load := &endpoint.load
	kept, keptTokens := s.kept(now, request, endpoint)
	e.kept, e.unread = kept, max(0, request.TokensIn-keptTokens)

	requests := s.requests(now, endpoint)
	slots := float64(max(1, engine.Slots))
	duration := endpoint.service.usual.duration(model.MeanDurationMs)
	e.wait = load.reading(now, speed.tokensPerMs()) / speed.tokensPerMs()
	if over := requests + 1 - slots; over > 0 {
		e.wait += over / slots * duration
	}
	capacity := math.Max(1, float64(engine.KVCapacity))
	if over := s.memory(now, endpoint) + float64(e.unread+request.answerMemory()) - capacity; over > 0 {
		e.wait += over / capacity * duration * slots / math.Max(1, requests)
	}
	e.own = speed.firstMs(request.TokensIn, e.unread) + model.StepMsPerSlot*math.Min(requests, slots)
	reading := speed.readingMs(request.TokensIn, e.unread)
	weight := s.readingWeight(requests / slots)
	e.cost = weight * reading
	if rank != unranked {
		left := e.unread - shared(request.Parts, kept)
		saved := reading - speed.readingMs(request.TokensIn, left)
		e.saved = preference[rank] * saved
		e.cost -= e.saved * (1 + weight)
	}
}

// estimatePlain estimates for a service without engines, by what its answers have taken.
func (s *Selector) estimatePlain(now time.Time, endpoint *endpoint, e *estimate) {
	requests := s.requests(now, endpoint)
	slots := float64(endpoint.slots())
	duration := endpoint.service.usual.duration(plainDurationMs)
	e.own = duration * (1 + fullness*math.Min(1, requests/slots))
	if over := requests + 1 - slots; over > 0 {
		e.wait = over / slots * duration
	}
}

// shared is the tokens of a prompt's parts that other requests may begin with as well and that are not kept.
func shared(parts []PromptPart, kept int) int {
	tokens := 0
	for index := kept; index < len(parts)-1; index++ {
		tokens += parts[index].Tokens
	}
	return tokens
}

// travel is the time on the network to the first byte of an answer, both ways, in milliseconds.
func (s *Selector) travel(endpoint *endpoint) float64 {
	if known := endpoint.watch.roundTrip; known > 0 && s.on(LearnedDistance) {
		return inMs(known)
	}
	switch {
	case endpoint.instance.Zone == s.options.Zone:
		return 0
	case endpoint.tier.region == s.options.Region:
		return 2 * inMs(zoneDelay)
	}
	return 2 * inMs(s.options.RegionDelay)
}

// prices turns what an attempt costs besides time into the milliseconds of the aim that are worth as much.
func (s *Selector) prices(request *Request, endpoint *endpoint) float64 {
	worth := 0.0
	switch {
	case endpoint.instance.Zone == s.options.Zone:
	case endpoint.tier.region == s.options.Region:
		worth = zoneByteWorth * float64(request.BodyBytes)
	default:
		worth = regionByteWorth * float64(request.BodyBytes)
	}
	if endpoint.place == placeOwned {
		worth += coldWorth
	}
	return worth * request.Route.TargetMs
}

// suspicion grows while an endpoint's oldest attempt is overdue: new ones go elsewhere if they can. Where others' are, it counts as much as
// is waited for an answer at least.
func (s *Selector) suspicion(now time.Time, endpoint *endpoint) float64 {
	if endpoint.overdue(now, 1) == 0 {
		if s.suspectedByOthers(now, endpoint) {
			return inMs(patienceLeast)
		}
		return 0
	}
	return inMs(now.Sub(endpoint.load.first.sentAt))
}

// vary makes equal costs differ by chance.
func (s *Selector) vary(cost float64) float64 {
	return cost + (noiseMs+noise*math.Abs(cost))*s.random.Float64()
}

// slots is how many requests the endpoint works on at once.
func (e *endpoint) slots() int {
	if engine := e.service.engine(); engine != nil && engine.Slots > 0 {
		return engine.Slots
	}
	return max(plainSlots, e.instance.Slots)
}

func inMs(duration time.Duration) float64 { return float64(duration) / float64(time.Millisecond) }

func fromMs(milliseconds float64) time.Duration {
	return time.Duration(milliseconds * float64(time.Millisecond))
}

// speedOf is how many prompt tokens an endpoint reads in a millisecond.
func (s *Selector) speedOf(endpoint *endpoint) float64 { return endpoint.service.speed.tokensPerMs() }
