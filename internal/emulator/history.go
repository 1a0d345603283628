package emulator

import "time"

// loadHistory lets a report tell the load as it was a while ago.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample // in the order of time; the first may be older than the lag
}

type loadSample struct {
	at   time.Time
	load Load
}

// add notes the load after a change.
func (h *loadHistory) add(now time.Time, load Load) {
	h.forget(now)
	h.samples = append(h.samples, loadSample{at: now, load: load})
}

// at returns the load as it was the lag before now.
func (h *loadHistory) at(now time.Time) Load {
	h.forget(now)
	if len(h.samples) == 0 || h.samples[0].at.After(now.Add(-h.lag)) {
		return Load{}
	}
	return h.samples[0].load
}

// forget drops the samples that no later question can ask for.
func (h *loadHistory) forget(now time.Time) {
	asked := now.Add(-h.lag)
	kept := 0
	for kept+1 < len(h.samples) && !h.samples[kept+1].at.After(asked) {
		kept++
	}
	h.samples = append(h.samples[:0], h.samples[kept:]...)
}
