// Package swim implements the SWIM membership protocol: which processes run, where, and the metadata that each announces. It
// is a state machine without I/O: the caller passes the time and received messages in, and each call returns the messages to
// send and the members that changed.
//
// # Probing
//
// Members probe each other with small datagrams. If a ping is not acknowledged, three helpers are asked to ping the target. If
// that fails too, the target is suspected, and a suspected member that does not refute in time is declared dead. A member
// refutes by raising its incarnation. Updates are piggybacked on the probes and also sent in gossip datagrams of their own.
//
// SWIM picks probe targets at random. Here the members form a ring, sorted by region, zone and a hash of the name, and each is
// probed in every probe interval by the three members that follow it. The cost per member does not grow with the fleet, the
// time to the first probe of a failed member is bounded by the probe interval, and nearly all probes stay inside a zone, which
// keeps the traffic between regions low. Only the members at the ends of a zone are probed from the next zone. When a whole
// zone or region fails, those probes detect it. Any member that learns of a suspect in another zone may then probe a random
// member near the suspect; the rate is limited to a few such probes per possibly affected member. The rest of the zone or
// region is thus found within one or two rounds. Every few probe intervals a member also probes a random member of the fleet.
//
// # Slow members
//
// As in Lifeguard, a member that gets no answer even from its helpers assumes that it is slow itself, and uses longer timeouts
// before it accuses others. Helpers therefore send a nack when a target does not answer them. A member that finds a long gap
// between two calls was paused or starved: it discards its probes in flight and extends all suspicions by the gap. The
// timeout of a suspicion shrinks when other members confirm it, and grows with the logarithm of the fleet size.
//
// # Discovery
//
// A new member sends a join request to one seed after another, every 200 ms, until one answers with the states of all members
// that it knows. For a few more seconds it continues with the seeds that are not members yet, because the seed that answered
// may be partitioned from the rest. Every few seconds a member sends a digest of its live members to another one, mostly in
// its own zone. If the digests differ, the receiver returns a summary of the members that it knows, about 16 bytes for each.
// The other side answers with the states that are newer there and requests those that it lacks, so that only the differences
// are sent in full.
//
// Dead members are remembered for a while and pinged occasionally, and so are seeds that are not members, so that the two
// sides of a network partition find each other after it heals. A ping to a member that is not believed alive carries that
// belief, which the member then refutes. A death that is reported in a full exchange is verified with a probe first;
// otherwise the sides of a healed partition would declare each other's members dead.
//
// # Incarnations
//
// The incarnation starts at the wall clock time in milliseconds, so that a process that restarts without stored state
// supersedes its previous run at once. If the clock was set back, the process learns its old incarnation from the first answer
// and raises its own above it.
package swim
