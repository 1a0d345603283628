package swim

import (
	"time"

	"google.golang.org/protobuf/proto"

	"wallflow/internal/swim/swimpb"
)

// join asks one seed after another for the members that it knows, until one has answered. During its initial phase a
// new member goes on with the seeds that are not live members yet, because the seed that answered may be partitioned
// from all other processes.
func (n *Node) join(now time.Time) {
	if len(n.seeds) == 0 || now.Before(n.nextJoin) || n.joined && now.Sub(n.started) >= n.timing.initialPhase {
		return
	}
	n.nextJoin = now.Add(joinInterval)
	n.seedIndex++
	if seed := n.seeds[n.seedIndex%len(n.seeds)]; !n.joined || !n.hasLiveMemberAt(seed) {
		n.sendJoin(seed)
	}
}

// hasLiveMemberAt reports whether a live member has the address.
func (n *Node) hasLiveMemberAt(address string) bool {
	holder := n.table.byAddress[address]
	return holder != nil && holder.Status.live()
}

// sendJoin sends a join request with the state of this process.
func (n *Node) sendJoin(to string) {
	n.datagram(to, &swimpb.Message{
		Type:   swimpb.Type_TYPE_JOIN,
		States: []*swimpb.State{encodeMember(n.self.Member, "", true)},
	})
}

// onJoin answers a join request with the states of all known members.
func (n *Node) onJoin(from string) {
	n.message(from, &swimpb.Message{Type: swimpb.Type_TYPE_STATES, States: n.allStates()})
	n.gossipPending = true
}

// allStates returns the states of all known members, that of this process first. Members that have left are described in full, so that a
// process that has just started knows what left before.
func (n *Node) allStates() []*swimpb.State {
	states := make([]*swimpb.State, 0, len(n.table.ring)+len(n.table.tombstones)+1)
	states = append(states, encodeMember(n.self.Member, "", true))
	for _, live := range n.table.ring {
		if live != n.self {
			states = append(states, encodeMember(live.Member, live.firstAccuser(), true))
		}
	}
	for _, departed := range n.table.tombstones {
		states = append(states, encodeMember(departed.Member, "", departed.Status == Left))
	}
	return states
}

// firstAccuser returns the name of the member that suspected p first, or "" if p is not suspected.
func (p *peer) firstAccuser() string {
	if p.suspicion == nil {
		return ""
	}
	return p.suspicion.accusers[0]
}

// compareDigests sends the digest of the live members to another member when it is due.
func (n *Node) compareDigests(now time.Time) {
	if now.Before(n.nextDigest) {
		return
	}
	interval := n.timing.digestInterval
	if now.Sub(n.started) < n.timing.initialPhase {
		interval = n.timing.initialDigestInterval
	}
	n.nextDigest = now.Add(n.withJitter(interval))
	if partner := n.pickRandom(n.digestPartners(), nil); partner != nil {
		n.sendDigest(partner.Address, nil)
	}
}

// digestPartners returns the span to pick the receiver of a digest from: the local span in 70% of the calls, the
// region of this process in 20%, and the whole ring otherwise.
func (n *Node) digestPartners() span {
	switch draw := n.random.IntN(10); {
	case draw < 7:
		return n.localSpan()
	case draw < 9:
		region := n.table.regionSpan(n.self.Meta.Region)
		if region.size() > 1 {
			return region
		}
	}
	return n.wholeRing()
}

// sendDigest sends the digest of the live members, together with states if there are any.
func (n *Node) sendDigest(to string, states []*swimpb.State) {
	n.datagram(to, &swimpb.Message{
		Type:   swimpb.Type_TYPE_DIGEST,
		Digest: n.table.digest,
		States: states,
	})
}

// onDigest starts an exchange if the received digest differs from that of this process.
func (n *Node) onDigest(from string, message *swimpb.Message) {
	if message.GetDigest() == n.table.digest || n.self.Status == Left {
		return
	}
	n.message(from, &swimpb.Message{Type: swimpb.Type_TYPE_SUMMARY, Summary: n.buildSummary()})
}

// onStates ends the join phase and answers with the requested states.
func (n *Node) onStates(from string, message *swimpb.Message) {
	n.joined = true
	if states := n.statesFor(message.GetWanted()); len(states) > 0 {
		n.message(from, &swimpb.Message{Type: swimpb.Type_TYPE_STATES, States: states})
	}
}

// triggerSync sends a digest and the state of this process outside of the schedule, at most once per
// minTriggeredSyncInterval.
func (n *Node) triggerSync(now time.Time, address string) {
	if now.Before(n.nextTriggeredSync) {
		return
	}
	n.nextTriggeredSync = now.Add(minTriggeredSyncInterval)
	n.sendDigest(address, []*swimpb.State{encodeMember(n.self.Member, "", true)})
}

// introduceSelf sends the state of this process to one that does not know it, at the limited rate of triggerSync.
func (n *Node) introduceSelf(now time.Time, address string) {
	n.triggerSync(now, address)
}

// recontactAbsent pings a dead member or sends a join request to a seed that is not a live member, so that the sides
// of a network partition find each other after it heals.
func (n *Node) recontactAbsent(now time.Time) {
	if now.Before(n.nextRecontact) {
		return
	}
	interval := n.timing.randomProbeInterval * time.Duration(max(1, len(n.table.ring)/recontactFleetSize))
	n.nextRecontact = now.Add(n.withJitter(interval))
	seed := n.pickAbsentSeed()
	if seed != "" && (len(n.table.tombstones) == 0 || n.random.IntN(2) == 0) {
		n.sendJoin(seed)
		return
	}
	if len(n.table.tombstones) == 0 {
		return
	}
	departed := n.table.tombstones[n.random.IntN(len(n.table.tombstones))]
	if holder := n.table.byAddress[departed.Address]; departed.Status == Dead && holder == departed {
		n.ping(departed, nil, n.piggybackUpdates)
	}
}

// pickAbsentSeed draws a random seed. It returns "" if a live member has the address of that seed.
func (n *Node) pickAbsentSeed() string {
	if len(n.seeds) == 0 {
		return ""
	}
	seed := n.seeds[n.random.IntN(len(n.seeds))]
	if n.hasLiveMemberAt(seed) {
		return ""
	}
	return seed
}

// trimToDatagram returns as many of the first states as fit into a datagram, at least one.
func trimToDatagram(states []*swimpb.State) []*swimpb.State {
	remaining := maxUpdateBytes
	for index, state := range states {
		remaining -= proto.Size(state) + stateOverhead
		if remaining < 0 && index > 0 {
			return states[:index]
		}
	}
	return states
}
