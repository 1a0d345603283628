// Package workload tells relays what the others have sent to endpoints: requests, prompt tokens that wait to be read, and memory.
//
// A relay sees its own requests alone, and in a large fleet that is next to nothing of what an endpoint has to do. So each relay tells
// the hub of its zone its own load; the hubs tell each other the sums of their zones; and each hub tells the relays of its zone the sum
// over all, from which they take their own part away. A hub's updates name what has changed and repeat the rest within a second; a
// receiver that sees a gap asks for a snapshot. What was received is forgotten after a while, so that a relay that is gone or cut off
// counts for nothing.
//
// Bytes are bounded: updates take no more than a share of the sender's link, however many relays and endpoints there are, with the
// largest changes first; between zones they go at most each ZoneEvery, less often where there are many zones, and name only endpoints
// with a load that matters.
//
// The package is a pure state machine: the time is an argument, nothing is sent or read.
package workload
