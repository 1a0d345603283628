// Package experiment plays ways of choosing endpoints against the emulator's engines, under a virtual clock: the selector of the
// relays, two simple ways to compare with (the fewest outstanding requests, turns), and an oracle that sees into every engine. Equal
// seeds give equal plays.
package experiment
