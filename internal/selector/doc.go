// Package selector decides, for each client request, which endpoint gets it, or that it waits, is refused or has failed.
//
// It is a tiered provider selector. A request walks the tiers of its route in a fixed order: the service that was drawn from the
// route's split, in the own region first, then in the other allowed regions, then the other services of the split. A tier is left
// for the next on the first failure rule that matches (rules.go). A rule may put an endpoint into the expiring skip table
// (skip.go); a refusal as full only halves its pace (pace.go), and what lies beyond the pace goes to the next tier. A tier is
// skipped while all of its endpoints are.
//
// Within a tier the endpoint with the least estimated time to the first token is taken (estimate.go, candidates.go). What a relay
// knows comes from its own requests, from the engines' reports, and from the lists it is told; relays share no other state.
// Requests that begin with the same long part meet at the same endpoints, since every relay ranks endpoints by the same hash.
//
// The package is a pure state machine: the time is an argument, nothing is read or sent, and the caller holds a lock.
package selector
