// Package budget limits retries, by a ratio of the requests of a service, and the rate of requests to cold endpoints. It is a pure
// state machine: it takes the time as an argument, and the caller must hold a lock.
package budget

import "time"

// windowBuckets is the number of buckets of a sliding window. A bucket that is only partly inside the window is counted to the
// disadvantage of the caller: its retries count, its requests do not.
const windowBuckets = 50

// Options are the settings of a RetryBudget.
type Options struct {
	Ratio  float64       // allowed retries for each request that this relay received
	Window time.Duration // length of the sliding window for which the ratio holds
}

// RetryBudget limits the retries of the requests of each service. In every window that ends with a retry, the number of retries is at
// most the ratio times the number of requests that this relay received, plus a slack leased to this relay. Since each relay counts only
// its own requests, the limit holds for the sum over all relays without shared state.
type RetryBudget struct {
	options   Options
	startedAt time.Time // time of the first call; buckets are numbered from here
	services  map[string]*serviceCounters
}

// serviceCounters holds the counts and the slack of one service.
type serviceCounters struct {
	requests counter
	retries  counter
	slack    int
}

// NewRetryBudget returns a budget without counted requests and without slack.
func NewRetryBudget(options Options) *RetryBudget {
	return &RetryBudget{options: options, services: map[string]*serviceCounters{}}
}

// CountRequest counts a client request for a service.
func (b *RetryBudget) CountRequest(now time.Time, service string) {
	b.countersOf(service).requests.add(b.bucketAt(now))
}

// Take reports whether the budget of a service allows one more retry, and counts the retry if it does.
func (b *RetryBudget) Take(now time.Time, service string) bool {
	counters, bucket := b.countersOf(service), b.bucketAt(now)
	allowed := int(b.options.Ratio*float64(counters.requests.lowerBound(bucket))) + counters.slack
	if counters.retries.upperBound(bucket) >= allowed {
		return false
	}
	counters.retries.add(bucket)
	return true
}

// SetSlack sets the number of retries per window that the owner of a service has leased to this relay in addition to the ratio.
func (b *RetryBudget) SetSlack(service string, slack int) {
	b.countersOf(service).slack = max(0, slack)
}

// Retain drops the counts of all services for which isWanted returns false.
func (b *RetryBudget) Retain(isWanted func(service string) bool) {
	for service := range b.services {
		if !isWanted(service) {
			delete(b.services, service)
		}
	}
}

// countersOf returns the counters of a service, and adds them if there are none yet.
func (b *RetryBudget) countersOf(service string) *serviceCounters {
	counters := b.services[service]
	if counters == nil {
		counters = &serviceCounters{}
		b.services[service] = counters
	}
	return counters
}

// bucketAt returns the number of the bucket that a time falls into. Buckets are numbered from the first call, by monotonic time, so that
// a step of the wall clock does not matter.
func (b *RetryBudget) bucketAt(now time.Time) int64 {
	if b.startedAt.IsZero() {
		b.startedAt = now
	}
	return int64(now.Sub(b.startedAt)) / max(1, int64(b.options.Window)/windowBuckets)
}
