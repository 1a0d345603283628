package selector

import "time"

// Counts holds the number of endpoints in each state, the number of waiting requests, and how often failure rules
// have matched, for logs and metrics.
type Counts struct {
	Warm    int
	Cold    int
	Skipped int
	Silent  int
	Waiting int // requests
	Matched []RuleCount
}

// RuleCount is how often a failure rule has matched.
type RuleCount struct {
	Rule  RuleName
	Times uint64
}

// Counts returns the current counts. It goes through the tiers, not through the endpoints.
func (s *Selector) Counts(now time.Time) Counts {
	s.runTimers(now)
	var counts Counts
	for _, service := range s.services {
		counts.Waiting += service.waiting.count
		for _, tier := range service.tiers {
			counts.Warm += len(tier.lists[listWarm])
			counts.Cold += len(tier.lists[listColdOwned]) + len(tier.lists[listColdForeign])
			counts.Skipped += len(tier.lists[listSkipped])
			counts.Silent += len(tier.lists[listSilent])
		}
	}
	for index := range failureRules {
		name := failureRules[index].name
		if times := s.ruleMatches[name]; times > 0 {
			counts.Matched = append(counts.Matched, RuleCount{Rule: name, Times: times})
		}
	}
	return counts
}
