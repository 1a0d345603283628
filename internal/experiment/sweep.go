package experiment

import (
	"runtime"
	"sync"
	"time"
)

// Summary aggregates the results of one policy over several seeds.
type Summary struct {
	Policy          string        `json:"policy"`
	Goodput         float64       `json:"goodput"` // mean over the seeds
	GoodputLow      float64       `json:"goodputLow"`
	GoodputHigh     float64       `json:"goodputHigh"`
	RelativeGoodput float64       `json:"ofBest"` // goodput relative to the best policy
	ByKind          []KindResult  `json:"byKind"`
	FirstTokenP50   time.Duration `json:"firstP50"` // mean of the quantiles of all seeds
	FirstTokenP99   time.Duration `json:"firstP99"`
	GapP99          time.Duration `json:"gapP99"`
	PrefilledTokens uint64        `json:"read"` // tokens prefilled by all engines, mean over the seeds
}

// Sweep runs each policy with the given number of consecutive seeds, starting with options.Seed.
func Sweep(policies []string, options Options, seeds int) ([]Summary, error) {
	var summaries []Summary
	for _, policy := range policies {
		results, err := runSeeds(policy, options, seeds)
		if err != nil {
			return nil, err
		}
		summaries = append(summaries, summarize(policy, results))
	}
	best := 0.0
	for _, summary := range summaries {
		best = max(best, summary.Goodput)
	}
	for index := range summaries {
		if best > 0 {
			summaries[index].RelativeGoodput = summaries[index].Goodput / best
		}
	}
	return summaries, nil
}

// runSeeds runs the seeds in parallel. The runs are independent, so the results do not depend on their order.
func runSeeds(policy string, options Options, seeds int) ([]Result, error) {
	results := make([]Result, seeds)
	errs := make([]error, seeds)
	var group sync.WaitGroup
	slots := make(chan struct{}, runtime.GOMAXPROCS(0))
	for seed := range seeds {
		slots <- struct{}{}
		group.Go(func() {
			defer func() { <-slots }()
			seeded := options
			seeded.Seed += uint64(seed)
			results[seed], errs[seed] = Run(policy, seeded)
		})
	}
	group.Wait()
	for _, err := range errs {
		if err != nil {
			return nil, err
		}
	}
	return results, nil
}

// summarize aggregates the results of one policy.
func summarize(policy string, results []Result) Summary {
	summary := Summary{Policy: policy, GoodputLow: 1}
	count := len(results)
	for _, result := range results {
		summary.Goodput += result.Goodput / float64(count)
		summary.GoodputLow = min(summary.GoodputLow, result.Goodput)
		summary.GoodputHigh = max(summary.GoodputHigh, result.Goodput)
		summary.FirstTokenP50 += result.FirstTokenP50 / time.Duration(count)
		summary.FirstTokenP99 += result.FirstTokenP99 / time.Duration(count)
		summary.GapP99 += result.GapP99 / time.Duration(count)
		summary.PrefilledTokens += result.PrefilledTokens / uint64(count)
		summary.addKindResults(result.ByKind)
	}
	for index := range summary.ByKind {
		kind := &summary.ByKind[index]
		kind.Goodput = ratio(kind.InTime, kind.Requests)
	}
	return summary
}

// addKindResults adds the counts of each kind of request.
func (s *Summary) addKindResults(kinds []KindResult) {
	if s.ByKind == nil {
		s.ByKind = make([]KindResult, len(kinds))
	}
	for index, kind := range kinds {
		s.ByKind[index].Name = kind.Name
		s.ByKind[index].Requests += kind.Requests
		s.ByKind[index].InTime += kind.InTime
	}
}
