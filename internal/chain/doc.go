// Package chain replicates one state over a few processes by chain replication, under an agreed view.
//
// A view names the voters and which of them form the chain. Commands enter at the head, are appended and synced by every member
// in turn, and are answered by the tail. The view of the next epoch is decided by one instance of single-decree Paxos among the
// voters of this one: a voter that has promised in that instance takes no part in this epoch any more, so whatever was answered
// is in the log of one of any majority of promisers, and the one with the newest log becomes the next head. There is neither a
// replicated log of views nor an elected leader; any voter may propose.
//
// A Node is a pure state machine. It takes messages, ends of writes and the time, and returns what to send, to write and to
// answer. It has no clock, socket or goroutine, and it is not safe for use by several goroutines at once.
package chain
