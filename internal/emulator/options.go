package emulator

import (
	"cmp"
	"time"
)

// EngineOptions describe an engine. Zero values stand for those of DefaultEngine.
type EngineOptions struct {
	Slots          int           // jobs that run at once
	Queue          int           // jobs that wait beyond those
	KVCapacity     int           // tokens in memory
	Step           time.Duration // the least time of one step, in which each running job gets a token
	StepPerJob     time.Duration // more for each running job
	PrefillPerMs   float64       // prompt tokens that are read in a millisecond
	ChunkTokens    int           // prompt tokens that are read in one step at most
	TokensPerEvent int
}

// The figures of the engines that the system is built for.
const (
	defaultSlots          = 64
	defaultQueue          = 64
	defaultKVCapacity     = 316_082
	defaultStep           = 4630 * time.Microsecond
	defaultStepPerJob     = 153 * time.Microsecond
	defaultPrefillPerMs   = 37.9
	defaultChunkTokens    = 512
	defaultTokensPerEvent = 5
)

// DefaultEngine describes the engines that the system is built for.
func DefaultEngine() EngineOptions {
	return EngineOptions{}.WithDefaults()
}

// WithDefaults puts the default where nothing was given.
func (o EngineOptions) WithDefaults() EngineOptions {
	o.Slots = cmp.Or(o.Slots, defaultSlots)
	o.Queue = cmp.Or(o.Queue, defaultQueue)
	o.KVCapacity = cmp.Or(o.KVCapacity, defaultKVCapacity)
	o.Step = cmp.Or(o.Step, defaultStep)
	o.StepPerJob = cmp.Or(o.StepPerJob, defaultStepPerJob)
	o.PrefillPerMs = cmp.Or(o.PrefillPerMs, defaultPrefillPerMs)
	o.ChunkTokens = cmp.Or(o.ChunkTokens, defaultChunkTokens)
	o.TokensPerEvent = cmp.Or(o.TokensPerEvent, defaultTokensPerEvent)
	return o
}
