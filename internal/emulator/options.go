package emulator

import (
	"cmp"
	"time"
)

// EngineOptions configure an Engine. Zero values stand for the values of DefaultEngine.
type EngineOptions struct {
	Slots          int           // maximum number of running jobs (batch size)
	Queue          int           // maximum number of queued jobs
	KVCapacity     int           // KV memory in tokens
	StepTime       time.Duration // base time of one step, which decodes one token for each running job
	StepTimePerJob time.Duration // additional step time for each running job
	PrefillPerMs   float64       // prefill rate in prompt tokens per millisecond
	ChunkTokens    int           // maximum number of prompt tokens prefilled in one step
	TokensPerEvent int           // output tokens in one event of the stream
}

// Defaults that match the engines the system is designed for.
const (
	defaultSlots          = 64
	defaultQueue          = 64
	defaultKVCapacity     = 316_082
	defaultStepTime       = 4630 * time.Microsecond
	defaultStepTimePerJob = 153 * time.Microsecond
	defaultPrefillPerMs   = 37.9
	defaultChunkTokens    = 512
	defaultTokensPerEvent = 5
)

// DefaultEngine returns options that match the engines the system is designed for.
func DefaultEngine() EngineOptions {
	return EngineOptions{}.WithDefaults()
}

// WithDefaults returns a copy in which zero values are replaced by defaults.
func (o EngineOptions) WithDefaults() EngineOptions {
	o.Slots = cmp.Or(o.Slots, defaultSlots)
	o.Queue = cmp.Or(o.Queue, defaultQueue)
	o.KVCapacity = cmp.Or(o.KVCapacity, defaultKVCapacity)
	o.StepTime = cmp.Or(o.StepTime, defaultStepTime)
	o.StepTimePerJob = cmp.Or(o.StepTimePerJob, defaultStepTimePerJob)
	o.PrefillPerMs = cmp.Or(o.PrefillPerMs, defaultPrefillPerMs)
	o.ChunkTokens = cmp.Or(o.ChunkTokens, defaultChunkTokens)
	o.TokensPerEvent = cmp.Or(o.TokensPerEvent, defaultTokensPerEvent)
	return o
}
