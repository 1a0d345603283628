package selector

const (
	defaultPlainDurationMs = 30.0 // assumed for a service without engines until an answer is measured
	durationEMAWeight      = 0.05 // of a new sample
)

// averageDuration is a moving average of how long requests of a service take at an endpoint that is not overloaded.
type averageDuration struct {
	meanMs float64
}

// orDefaultMs returns the mean in milliseconds, or fallbackMs if there is no sample yet.
func (a *averageDuration) orDefaultMs(fallbackMs float64) float64 {
	if a.meanMs == 0 {
		return fallbackMs
	}
	return a.meanMs
}

// learn adds a sample.
func (a *averageDuration) learn(durationMs float64) {
	if a.meanMs == 0 {
		a.meanMs = durationMs
		return
	}
	a.meanMs += durationEMAWeight * (durationMs - a.meanMs)
}
