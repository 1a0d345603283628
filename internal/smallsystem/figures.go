package smallsystem

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Figures are what the client saw in a span of time.
type Figures struct {
	Requests   int            // that ended in it
	Served     int            // whole, and in time
	Repeats    int            // further tries of a request, after a refusal or a failure
	FirstP50   time.Duration  // to the first event, or to the answer
	FirstP99   time.Duration  // the same
	ByRelay    map[string]int // requests served, by relay
	FirstFault error          // of a request that was not served
}

// All tells whether there were requests and all of them were served.
func (f Figures) All() bool { return f.Requests > 0 && f.Served == f.Requests }

// The histograms count in microseconds.
const (
	histogramLeast  = 1
	histogramMost   = 60_000_000
	histogramDigits = 3
)

// recorder adds up what happens to requests.
type recorder struct {
	mu    sync.Mutex
	first *hdrhistogram.Histogram
	sum   Figures
}

func newRecorder() *recorder {
	return &recorder{
		first: hdrhistogram.New(histogramLeast, histogramMost, histogramDigits),
		sum:   Figures{ByRelay: make(map[string]int)},
	}
}

// result is how a request ended.
type result struct {
	relay   string // that served it
	repeats int
	first   time.Duration
	fault   error // nil: it was served
}

func (r *recorder) add(end result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sum.Requests++
	r.sum.Repeats += end.repeats
	if end.fault != nil {
		if r.sum.FirstFault == nil {
			r.sum.FirstFault = end.fault
		}
		return
	}
	r.sum.Served++
	r.sum.ByRelay[end.relay]++
	_ = r.first.RecordValue(min(end.first.Microseconds(), histogramMost)) // within its range
}

// figures returns the sum so far.
func (r *recorder) figures() Figures {
	r.mu.Lock()
	defer r.mu.Unlock()
	figures := r.sum
	figures.FirstP50 = time.Duration(r.first.ValueAtQuantile(50)) * time.Microsecond
	figures.FirstP99 = time.Duration(r.first.ValueAtQuantile(99)) * time.Microsecond
	return figures
}
