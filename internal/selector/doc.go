// Package selector decides, for each client request, which endpoint it is sent to, or that it waits, is refused or has failed.
//
// A service is a set of equivalent endpoints. Some services run language-model engines, which serve a batch of requests at once,
// one in each slot, and cache the prompt prefixes that they have prefilled in their KV cache. Others are plain HTTP services.
//
// # Terms
//
//   - An attempt is one send of a request to an endpoint. A request arrives at an endpoint if the connection is made, and may have run
//     if the endpoint may have started to work on it.
//   - The prefix of a prompt is its first part, which other requests may share. Endpoints that cache it are its holders.
//   - The target of a route is the time to the first byte within which an answer is on time. An answer is overdue when it takes so much
//     longer than estimated that the endpoint is suspected of not answering at all.
//   - An endpoint is cold for the warm-up time of its service after it has started, or after the evacuation of its zone has ended. Then
//     only the relay that owns it may send to it.
//   - A failing endpoint is skipped for a time. After that it gets one attempt at a time, the trial, until one succeeds.
//   - Nothing is sent to the endpoints of an evacuated zone. The process receives the list of these zones.
//   - A forced attempt ignores the pacing rate of its endpoint.
//   - Home regions are the only ones that may serve a route, where the route names any.
//
// # How a decision is made
//
// Choose is called when a request arrives and after each attempt that ended without an answer for the client:
//
//  1. The request's service is drawn from the route's split by the hash of the request's id (plan.go).
//  2. Its tiers are tried in order. A tier holds the endpoints of one service in one region. The tiers of the drawn service come first,
//     beginning with this relay's region, then the tiers of the other services of the split. A prompt whose prefix is cached somewhere
//     is tried in that region first (prefixholders.go); where the loads of other relays are not known, in the region that the prefix
//     hashes to.
//  3. In a tier, candidates are selected (candidates.go), and those that do not admit the request are left out. Reasons are a skip after
//     failures (skip.go), a trial in flight after a skip, the limit of connections, an unreachable zone (zonewatch.go), the rate limit of
//     cold endpoints (coldbound.go), and the pacing rate (pace.go).
//  4. Of the remaining candidates, the one with the lowest cost is taken (estimate.go). The cost is the expected time to the first byte
//     (network, prefill queue, waiting for slots and memory, own prefill), plus the delay that the request causes to others (its prefill,
//     weighted higher where slots are in use), plus costs for bytes between zones, for new connections and for recent failures. The
//     search ends with the first tier whose best endpoint is within target, or after four tiers, and the cheapest endpoint found is
//     chosen (choose.go).
//  5. If that endpoint is full, the request waits in this relay for a fraction of its target latency. It is then refused, with an
//     advised time to retry (admission.go).
//  6. The outcome of a failed attempt goes through the failure rules in order; the first that matches is applied (rules.go). It may skip
//     the endpoint, reduce its pacing rate, or do nothing.
//
// # What decisions are based on
//
// This relay's own requests and their outcomes (load.go, health.go, outcome.go); the load of other relays at engines, and the prompt
// prefixes that they sent there (others.go, package workload); the prefill speed of engines, learned from the answers to all relays
// (speed.go); the round trips to zones, learned from connect times (distance.go); and the instance lists, the configuration and the
// evacuated zones that the process receives.
//
// Each mechanism has a name and can be switched off (mechanism.go). docs/decisions.md describes the effect of each.
//
// The package is a pure state machine: the time is an argument, nothing is read or sent, and the caller holds a lock.
package selector
