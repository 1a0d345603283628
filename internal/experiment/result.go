package experiment

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the metrics of one simulation run.
type Result struct {
	Policy          string        `json:"policy"`
	Seed            uint64        `json:"seed"`
	Requests        int           `json:"requests"`
	Served          int           `json:"served"`  // requests that received at least one token
	InTime          int           `json:"inTime"`  // requests whose first token met the target and whose response was completed
	Goodput         float64       `json:"goodput"` // fraction of requests answered in time
	ByKind          []KindResult  `json:"byKind"`
	FirstTokenP50   time.Duration `json:"firstP50"` // time to first token
	FirstTokenP99   time.Duration `json:"firstP99"`
	GapP50          time.Duration `json:"gapP50"` // longest time between two events of a response
	GapP99          time.Duration `json:"gapP99"`
	PrefilledTokens uint64        `json:"read"` // tokens prefilled by all engines
	// GoodputAfter is the fraction answered in time of the requests that arrived at Options.MeasureAfter or later.
	GoodputAfter float64 `json:"laterInTime"`
}

// KindResult holds the metrics of one kind of request.
type KindResult struct {
	Name     string  `json:"name"`
	Requests int     `json:"requests"`
	InTime   int     `json:"inTime"`
	Goodput  float64 `json:"goodput"`
}

// Range of the histograms in microseconds, and their precision in significant digits.
const (
	histogramMin    = 1
	histogramMax    = 60_000_000
	histogramDigits = 3
)

// recorder aggregates the metrics of ended requests.
type recorder struct {
	options          *Options
	result           Result
	firstTokenDelays *hdrhistogram.Histogram
	tokenGaps        *hdrhistogram.Histogram

	measuredCount, measuredInTime int // requests that arrived at Options.MeasureAfter or later, and those of them answered in time
}

func newRecorder(options *Options) *recorder {
	r := &recorder{
		options:          options,
		firstTokenDelays: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		tokenGaps:        hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
	}
	for _, kind := range options.Load {
		r.result.ByKind = append(r.result.ByKind, KindResult{Name: kind.Name})
	}
	return r
}

// add records an ended request.
func (r *recorder) add(ended *request) {
	kind := r.kindResult(ended.kind)
	r.result.Requests++
	kind.Requests++
	if !ended.firstTokenAt.IsZero() {
		r.result.Served++
		recordDuration(r.firstTokenDelays, ended.firstTokenAt.Sub(ended.arrived))
		recordDuration(r.tokenGaps, ended.longestGap)
	}
	if after := r.options.MeasureAfter; after > 0 && ended.arrived.Sub(startTime) >= after {
		r.measuredCount++
		if ended.inTime {
			r.measuredInTime++
		}
	}
	if ended.inTime {
		r.result.InTime++
		kind.InTime++
	}
}

// kindResult returns the entry of a kind in the result.
func (r *recorder) kindResult(kind *RequestKind) *KindResult {
	for index := range r.options.Load {
		if &r.options.Load[index] == kind {
			return &r.result.ByKind[index]
		}
	}
	return &KindResult{}
}

// recordDuration records a duration, clamped to the range of the histogram.
func recordDuration(histogram *hdrhistogram.Histogram, duration time.Duration) {
	value := min(max(duration.Microseconds(), histogramMin), histogramMax)
	if err := histogram.RecordValue(value); err != nil {
		panic(err) // can't happen: the value is within the histogram's range
	}
}

// quantile returns the duration at a percentile of a histogram.
func quantile(histogram *hdrhistogram.Histogram, percent float64) time.Duration {
	return time.Duration(histogram.ValueAtQuantile(percent)) * time.Microsecond
}

// finalResult returns the result with all derived metrics.
func (r *recorder) finalResult(policy string, engines []*engine) Result {
	result := r.result
	result.Policy, result.Seed = policy, r.options.Seed
	result.Goodput = ratio(result.InTime, result.Requests)
	for index := range result.ByKind {
		kind := &result.ByKind[index]
		kind.Goodput = ratio(kind.InTime, kind.Requests)
	}
	result.GoodputAfter = ratio(r.measuredInTime, r.measuredCount)
	const median, tail = 50, 99
	result.FirstTokenP50, result.FirstTokenP99 = quantile(r.firstTokenDelays, median), quantile(r.firstTokenDelays, tail)
	result.GapP50, result.GapP99 = quantile(r.tokenGaps, median), quantile(r.tokenGaps, tail)
	for _, engine := range engines {
		result.PrefilledTokens += engine.PrefilledTokens()
	}
	return result
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}
