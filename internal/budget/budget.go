// Package budget bounds what relays do on their own account: how often they send a request a second time, and how many requests
// a cold endpoint gets. It is a pure state machine: the time is an argument, and the caller holds the lock.
package budget

import "time"

// buckets is how many parts a window is counted in. A part that lies half inside the window counts against the caller.
const buckets = 50

// Options say what a RetryBudget allows.
type Options struct {
	Ratio  float64       // repeats for each request that the relay measured itself
	Window time.Duration // the sliding window that the ratio holds for
}

// RetryBudget bounds the arrivals at a service beyond the first of each request. In every window that ends with a repeat, the
// repeats are at most the ratio times this relay's own requests, plus a slack that is leased to it. Since every relay keeps to its
// own requests, the sum over all relays keeps the bound with no shared state.
type RetryBudget struct {
	options  Options
	since    time.Time // of the first call
	services map[string]*account
}

// account is what is counted for one service.
type account struct {
	requests counter
	repeats  counter
	slack    int
}

// NewRetryBudget returns a budget with nothing counted and no slack.
func NewRetryBudget(options Options) *RetryBudget {
	return &RetryBudget{options: options, services: map[string]*account{}}
}

// Request counts a client's request for a service.
func (b *RetryBudget) Request(now time.Time, service string) {
	b.account(service).requests.add(b.slot(now))
}

// Take asks for one more arrival beyond the first, and counts it if the budget has room for it.
func (b *RetryBudget) Take(now time.Time, service string) bool {
	account, slot := b.account(service), b.slot(now)
	room := int(b.options.Ratio*float64(account.requests.whole(slot))) + account.slack
	if account.repeats.touched(slot) >= room {
		return false
	}
	account.repeats.add(slot)
	return true
}

// SetSlack sets how many arrivals a service's owner has leased to this relay on top of the ratio, for any one window.
func (b *RetryBudget) SetSlack(service string, slack int) {
	b.account(service).slack = max(0, slack)
}

// Keep forgets the services that are not wanted any more.
func (b *RetryBudget) Keep(wanted func(service string) bool) {
	for service := range b.services {
		if !wanted(service) {
			delete(b.services, service)
		}
	}
}

func (b *RetryBudget) account(service string) *account {
	known := b.services[service]
	if known == nil {
		known = &account{}
		b.services[service] = known
	}
	return known
}

// slot is the number of the part of a window that a time lies in, counted from the first call: the time of day may be stepped, the
// time between two calls is not.
func (b *RetryBudget) slot(now time.Time) int64 {
	if b.since.IsZero() {
		b.since = now
	}
	return int64(now.Sub(b.since)) / max(1, int64(b.options.Window)/buckets)
}
