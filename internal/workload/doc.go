// Package workload exchanges endpoint loads between relays: requests in flight, prompt tokens that wait for prefill, and cache memory.
//
// A relay sees only its own requests, which in a large fleet are a small part of the load of an endpoint. Each relay therefore reports its
// own load to the hub of its zone, the hubs exchange the sums of their zones, and each hub sends the relays of its zone the sum over all
// relays, from which each relay subtracts its own part. Updates of a hub contain the loads that have changed, and repeat each of the others
// within a second or so; a receiver that detects a gap requests a snapshot. Received loads expire, so that a relay that is gone or
// unreachable no longer counts.
//
// The bandwidth is bounded: updates use no more than a fixed fraction of the sender's link, however many relays and endpoints there are,
// and send the largest changes first. Between zones there is at most one update per ZoneInterval, fewer if there are many zones, and it
// contains only endpoints whose load is large enough to affect other zones.
//
// The package is a pure state machine: it takes the time as an argument and does no input or output.
package workload
