package emulator

import "time"

// loadHistory records load samples, so that reports can return the load with a lag.
type loadHistory struct {
	lag     time.Duration
	samples []loadSample // in time order; only the first may be older than the lag
}

type loadSample struct {
	at   time.Time
	load Load
}

// add records the load after a change.
func (h *loadHistory) add(now time.Time, load Load) {
	h.trim(now)
	h.samples = append(h.samples, loadSample{at: now, load: load})
}

// at returns the load as it was one lag before now, or a zero Load if there is no sample that old.
func (h *loadHistory) at(now time.Time) Load {
	h.trim(now)
	if len(h.samples) == 0 || h.samples[0].at.After(now.Add(-h.lag)) {
		return Load{}
	}
	return h.samples[0].load
}

// trim drops the samples that later calls of at can't return.
func (h *loadHistory) trim(now time.Time) {
	cutoff := now.Add(-h.lag)
	first := 0
	for first+1 < len(h.samples) && !h.samples[first+1].at.After(cutoff) {
		first++
	}
	h.samples = append(h.samples[:0], h.samples[first:]...)
}
