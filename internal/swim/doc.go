// Package swim keeps the membership of the system: which processes run, where, and what they tell of themselves. It is a
// state machine: calls carry the time, and return the messages to send and the members that changed.
//
// # Probing
//
// Members probe each other with small datagrams, as SWIM does: a ping that is not acknowledged is tried again through
// three helpers, then the member is suspected, and a suspect that does not refute in time is declared dead. A member
// refutes by raising its incarnation. Updates ride on the probes and on a few datagrams of their own.
//
// SWIM picks the target of a probe by chance. Here the members form a ring, sorted by region, zone and a hash of the name,
// and each is probed by the three that follow it in every period. The cost for one member does not grow with the fleet, the
// wait for the first probe is bounded by the period, and nearly all probes stay inside a zone, which keeps the bytes between
// regions low. Only the ends of a zone are watched from the next one. When a whole zone or region goes, these notice; whoever
// hears of a suspect in another zone probes one member near it by chance, few for each, so that the rest of the zone or
// region is found within a round or two. Every few periods a member also probes one of all by chance.
//
// # Slow members
//
// As in Lifeguard, a member that gets no answer even from its helpers takes that as a sign of its own trouble and waits
// longer before it accuses; helpers say so when the target did not answer them. A member that finds that its own clock
// jumped between two calls was frozen or starved, forgets its open probes and gives suspects that much more time. A
// suspicion shortens when other members share it, and grows with the logarithm of the fleet.
//
// # Finding each other
//
// A new member asks one seed after the other, every 200 ms, until one answers with all it knows. For a few seconds it goes on to ask
// those that are no members, since who answered may be cut off from the rest. Every few seconds a member
// compares a digest of the live members with another one, mostly of its own zone. Where the digests differ, one sends a summary
// of the members that it knows, about 16 bytes for each; the other answers with the states that it knows better and asks for
// those that it lacks, so that only what differs is sent in full. The dead are kept for a while and pinged now and then, as are
// seeds that are not members, so that halves that were cut apart find each other. A ping to a member that is not thought alive
// carries that belief, which the member then refutes. A report of a death in an exchange is not believed but checked, so that
// halves that meet again do not bury each other.
//
// # Incarnations
//
// The incarnation starts from the wall clock in milliseconds, so that a process that restarts with an empty memory wins over
// its earlier life at once. If the clock was set back, it learns its old incarnation with the first answer and raises its
// own past that.
package swim
