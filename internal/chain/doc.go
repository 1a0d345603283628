// Package chain replicates a state machine over a few processes by chain replication under an agreed view.
//
// A view names the voters and the subset of them that forms the chain. Commands enter at the head. Each member in turn
// appends and syncs them and forwards them to its successor, and the tail commits them and answers the clients. At the
// start of an epoch each member, from head to tail, first installs the epoch: it makes its log equal to that of its
// predecessor. Processes outside the chain follow the committed entries by feeds from the tail. Those without a vote
// are learners, which ask the head to make them voters.
//
// The view of the next epoch is decided by one instance of single-decree Paxos among the voters of the current view. A
// voter that has promised in that instance takes no further part in the current epoch, so every answered command is in
// the log of at least one voter of any promising majority. The new head is chosen among the promisers that installed
// the newest epoch and therefore have every answered command. There is neither a replicated log of views nor an elected
// leader: any voter may propose a view.
//
// An epoch is confirmed as in force by heartbeats that pass through the whole chain and back. Reads and rejected
// commands pass through the chain as barriers, so that no member of an ended epoch answers them.
//
// A Node is a deterministic state machine without I/O. Its methods take messages, completed writes and the current
// time, and return the messages to send, the records to write and the answers to deliver. A Node has no clock, socket
// or goroutine, and it is not safe for concurrent use.
package chain
