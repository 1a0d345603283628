// Package openings keeps the fleet-wide picture of which prompt openings (the first shared parts of prompts) are in demand, and
// decides from it where they are kept.
//
// Each relay counts the openings of its own requests in a [Sketch] of bounded size, whose counts decay. Its [Node] reports the
// largest to the home of its zone; that merges the reports of its relays and passes one part to the home of the region, which
// merges the zones and exchanges one part with the homes of the other regions. The parts of all regions together are the
// [Picture], and it goes back to every relay. Reports and parts are versioned and the newest replaces the one before, so a repeat
// or a late message changes nothing and nothing is counted twice. What is not renewed fades with the half-life of the counts.
//
// Nothing here causes a request: an opening is kept by sending the requests that come to the same endpoints.
package openings
