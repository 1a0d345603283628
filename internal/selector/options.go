package selector

import (
	"math/rand/v2"
	"time"

	"wallflow/internal/budget"
)

// Options are the settings of a Selector. The zero value of each field but Zone and Zones has a sensible meaning.
type Options struct {
	Zone   string            // where this relay is
	Region string            // the region of that zone
	Zones  map[string]string // region by zone

	// Random breaks ties and spreads skips over time. It is seeded by the caller; nil gives a fixed seed.
	Random *rand.Rand
	// Budget pays for arrivals at endpoints beyond the first of each request; nil allows none.
	Budget *budget.RetryBudget

	WarmupOvershoot float64 // factor of the bound on a cold endpoint's requests
	WarmupSlack     float64 // addend of that bound

	// HasConnection tells whether an open connection to an instance waits for a request; nil: there always is one.
	HasConnection func(instanceID string) bool

	Engines EngineModel // how fast engines are until answers tell; zero: a usual engine
	// RegionDelay is the time from one region to another, one way, until connections tell; zero: 40 ms.
	RegionDelay time.Duration
	// Disabled mechanisms do not work, so that what each is worth can be measured.
	Disabled []Mechanism
}

const (
	defaultRegionDelay = 40 * time.Millisecond
	zoneDelay          = time.Millisecond
	defaultSeed        = 0x77616c6c
)

// EngineModel is how fast a model engine works.
type EngineModel struct {
	StepMs         float64 // one step of the batch
	StepMsPerSlot  float64 // added for each request in the batch
	TokensPerMs    float64 // prompt tokens read in a millisecond
	PairsMs        float64 // added for each million pairs of tokens that are compared when a prompt is read
	FirstMs        float64 // from the last prompt token to the first event
	MeanDurationMs float64 // of an answer, until measured
}

// priorEngines is where learning begins: about a large model on accelerators of today. It counts like a few answers.
var priorEngines = EngineModel{StepMs: 5, StepMsPerSlot: 0.15, TokensPerMs: 40, PairsMs: 0.2, FirstMs: 20, MeanDurationMs: 600}

func (o *Options) complete() {
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(defaultSeed, defaultSeed))
	}
	if o.Engines.TokensPerMs <= 0 {
		o.Engines = priorEngines
	}
	if o.RegionDelay <= 0 {
		o.RegionDelay = defaultRegionDelay
	}
	if o.WarmupOvershoot <= 0 {
		o.WarmupOvershoot = 1
	}
}
