package experiment

import (
	"time"

	"github.com/gravitational/trace"

	"wallflow/internal/emulator"
)

// Options configure a simulation run.
type Options struct {
	Regions  int
	Relays   int // total, spread over the regions
	Engines  int // total, spread over the regions
	Engine   emulator.EngineOptions
	Load     []RequestKind
	Duration time.Duration // virtual time during which requests arrive
	Seed     uint64

	Slowdowns       []float64     // slowdown factors, assigned to engines in rotation; empty: all engines run at the speed of Engine
	Burst           Burst         // an interval with a different arrival rate
	MeasureAfter    time.Duration // start of the requests that Result.GoodputAfter counts; 0: none
	RegionFailureAt time.Duration // when all engines of the last region fail; 0: never
}

// Burst is an interval in which the arrival rate is multiplied by Factor.
type Burst struct {
	Start, End time.Duration // relative to the start of the run
	Factor     float64       // 0: no burst
}

// longestTimeout returns the maximum timeout of all kinds of requests.
func (o *Options) longestTimeout() time.Duration {
	longest := time.Duration(0)
	for index := range o.Load {
		longest = max(longest, o.Load[index].Timeout)
	}
	return longest
}

// engineOptions returns the options of the engine at an index, with its slowdown applied.
func (o *Options) engineOptions(index int) emulator.EngineOptions {
	engine := o.Engine
	if len(o.Slowdowns) == 0 {
		return engine
	}
	slowdown := o.Slowdowns[index%len(o.Slowdowns)]
	engine.PrefillPerMs /= slowdown
	engine.StepTime = time.Duration(float64(engine.StepTime) * slowdown)
	engine.StepTimePerJob = time.Duration(float64(engine.StepTimePerJob) * slowdown)
	return engine
}

// RequestKind describes one kind of requests to a model.
type RequestKind struct {
	Name         string
	Rate         float64 // requests per second, over all relays
	Prefixes     int     // number of different shared prompt prefixes
	ZipfExponent float64 // exponent of the Zipf distribution of prefixes; 0: uniform
	PrefixMin    int     // tokens of a shared prefix
	PrefixMax    int
	SuffixMin    int // tokens of the part of the prompt that is not shared
	SuffixMax    int
	OutputMin    int // output tokens
	OutputMax    int
	Target       time.Duration // target latency of the first token; later responses do not count as in time
	Timeout      time.Duration
	Priority     int // 0 is the most urgent
}

// Load of the deployments that the system is designed for, in requests per second and engine.
const (
	largeRatePerEngine = 0.66
	smallRatePerEngine = 8.4
)

// DefaultLoad returns the request mix of the known deployments, scaled to the number of engines and multiplied by factor.
func DefaultLoad(engines int, factor float64) []RequestKind {
	scale := float64(engines) * factor
	return []RequestKind{
		{
			Name: "large", Rate: largeRatePerEngine * scale, Prefixes: 101, ZipfExponent: 0.3, PrefixMin: 4000, PrefixMax: 26000,
			SuffixMin: 400, SuffixMax: 10000, OutputMin: 20, OutputMax: 300,
			Target: 1200 * time.Millisecond, Timeout: 8 * time.Second, Priority: 1,
		},
		{
			Name: "small", Rate: smallRatePerEngine * scale, Prefixes: 40, PrefixMin: 30, PrefixMax: 140,
			SuffixMin: 50, SuffixMax: 900, OutputMin: 10, OutputMax: 120, Target: 800 * time.Millisecond, Timeout: 5 * time.Second,
		},
	}
}

// OptionsError reports an invalid option.
type OptionsError struct {
	Option      string
	Requirement string
}

// Error returns the message.
func (e *OptionsError) Error() string { return "experiment: " + e.Option + ": " + e.Requirement }

// Check returns an OptionsError for the first invalid option.
func (o *Options) Check() error {
	switch {
	case o.Regions < 1:
		return trace.Wrap(&OptionsError{Option: "regions", Requirement: "at least 1"})
	case o.Relays < o.Regions:
		return trace.Wrap(&OptionsError{Option: "relays", Requirement: "at least one in each region"})
	case o.Engines < o.Regions:
		return trace.Wrap(&OptionsError{Option: "engines", Requirement: "at least one in each region"})
	case o.Duration <= 0:
		return trace.Wrap(&OptionsError{Option: "for", Requirement: "a time above 0"})
	case len(o.Load) == 0:
		return trace.Wrap(&OptionsError{Option: "load", Requirement: "at least one kind of request"})
	}
	return nil
}
