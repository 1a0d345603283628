package selector

import (
	"math/rand/v2"
	"time"

	"wallflow/internal/budget"
)

// Options are the settings of a Selector. Each field but Zone and Zones has a useful zero value.
type Options struct {
	Zone   string            // zone of this relay
	Region string            // region of that zone
	Zones  map[string]string // region of each zone

	// Random breaks ties and jitters skips and costs. The caller seeds it; nil gives a fixed seed.
	Random *rand.Rand
	// Budget limits the sends of a request beyond the first that reached an endpoint; nil allows none.
	Budget *budget.RetryBudget

	// A cold endpoint gets at most WarmupPerS*WarmupOvershoot+WarmupSlack requests per second; WarmupPerS is configured by service.
	WarmupOvershoot float64
	WarmupSlack     float64

	// HasConnection reports whether an idle open connection to an instance exists; nil: there always is one.
	HasConnection func(instanceID string) bool

	EnginePrior EngineModel // assumed speed of engines until answers are measured; zero: defaultEnginePrior
	// RegionDelay is the assumed one-way network delay between regions until connect times are measured; zero: 40 ms.
	RegionDelay time.Duration
	// Disabled lists the mechanisms that are switched off, so that the effect of each can be measured.
	Disabled []Mechanism
}

const (
	defaultRegionDelay = 40 * time.Millisecond
	zoneDelay          = time.Millisecond // one way, between zones of a region
	defaultSeed        = 0x77616c6c
)

// EngineModel describes how fast a model engine works.
type EngineModel struct {
	StepMs            float64 // duration of a decode step
	StepMsPerSlot     float64 // added to a step for each request in the batch
	TokensPerMs       float64 // prefill rate in prompt tokens per millisecond
	MsPerMillionPairs float64 // prefill time for each million token pairs that attention compares
	FirstTokenMs      float64 // from the end of prefill to the first event
	MeanDurationMs    float64 // of an answer, until answers are measured
}

// defaultEnginePrior is the model that learning starts from: roughly a large model on current accelerators. It has
// the weight of priorWeight answers.
var defaultEnginePrior = EngineModel{StepMs: 5, StepMsPerSlot: 0.15, TokensPerMs: 40, MsPerMillionPairs: 0.2, FirstTokenMs: 20,
	MeanDurationMs: 600}

// complete sets the defaults.
func (o *Options) complete() {
	if o.Random == nil {
		o.Random = rand.New(rand.NewPCG(defaultSeed, defaultSeed))
	}
	if o.EnginePrior.TokensPerMs <= 0 {
		o.EnginePrior = defaultEnginePrior
	}
	if o.RegionDelay <= 0 {
		o.RegionDelay = defaultRegionDelay
	}
	if o.WarmupOvershoot <= 0 {
		o.WarmupOvershoot = 1
	}
}
