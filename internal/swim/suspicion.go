package swim

import (
	"math"
	"slices"
	"time"

	"wallflow/internal/swim/swimpb"
)

// suspicion is the period in which a suspected member can refute. Its length shrinks from maxTimeout to minTimeout as
// more members accuse.
type suspicion struct {
	started                time.Time
	minTimeout, maxTimeout time.Duration
	accusers               []string
}

// deadline returns the time at which the suspected member is declared dead unless it refutes before. As in Lifeguard,
// the timeout falls with the logarithm of the number of confirmations.
func (s *suspicion) deadline() time.Time {
	confirmed := float64(min(len(s.accusers)-1, maxConfirmations))
	fraction := math.Log(confirmed+1) / math.Log(maxConfirmations+1)
	reduction := time.Duration(fraction * float64(s.maxTimeout-s.minTimeout))
	return s.started.Add(s.maxTimeout - reduction)
}

// confirm adds an accuser. It reports whether the accuser is new and shortens the suspicion.
func (s *suspicion) confirm(accuser string) bool {
	if len(s.accusers) > maxConfirmations || slices.Contains(s.accusers, accuser) {
		return false
	}
	s.accusers = append(s.accusers, accuser)
	return true
}

// accuse suspects a member that did not answer a probe of this process, and sends the accusation to that member so
// that it can refute.
func (n *Node) accuse(now time.Time, silent *peer) {
	switch {
	case !silent.Status.live():
		return
	case silent.Status == Alive:
		n.suspect(now, silent, n.self.Name)
	case !silent.suspicion.confirm(n.self.Name):
		return
	default:
		n.queueUpdate(silent, n.self.Name)
	}
	n.gossipPending = true
	n.datagram(silent.Address, &swimpb.Message{
		Type:   swimpb.Type_TYPE_GOSSIP,
		States: []*swimpb.State{encodeMember(silent.Member, n.self.Name, false)},
	})
}

// suspect starts the suspicion of a member, announces it, and probes the surroundings of that member.
func (n *Node) suspect(now time.Time, accused *peer, accuser string) {
	minTimeout, maxTimeout := n.timing.suspicionTimeouts(len(n.table.ring))
	accused.Status = Suspect
	accused.statusSince = now
	accused.suspicion = &suspicion{started: now, minTimeout: minTimeout, maxTimeout: maxTimeout, accusers: []string{accuser}}
	if !slices.Contains(n.suspects, accused) {
		n.suspects = append(n.suspects, accused)
	}
	n.changed(accused)
	n.queueUpdate(accused, accuser)
	n.probeSurroundings(accused)
}

// probeSurroundings queues probes after a member of another zone is suspected or declared dead: one to a member near
// it, because its whole zone or region may be lost with no watcher left to notice, and one to a member anywhere,
// because this process's own zone may be partitioned from the others. The surroundings are the zone of the affected
// member if it is in this region, otherwise its region. The larger the fleet, the smaller the share of members that
// do this, so that each member of the surroundings gets about probesPerNearbyMember probes.
func (n *Node) probeSurroundings(affected *peer) {
	if affected.Meta.Zone == n.self.Meta.Zone && affected.Meta.Region == n.self.Meta.Region {
		return
	}
	surroundings := n.table.regionSpan(affected.Meta.Region)
	if affected.Meta.Region == n.self.Meta.Region {
		surroundings = n.table.zoneSpan(affected.Meta.Region, affected.Meta.Zone)
	}
	outside := len(n.table.ring) - surroundings.size()
	if outside > 0 && n.random.IntN(outside) >= probesPerNearbyMember*surroundings.size() {
		return
	}
	first := n.pickRandom(surroundings, []*peer{affected})
	second := n.pickRandom(n.wholeRing(), []*peer{affected, first})
	for _, target := range []*peer{first, second} {
		if target != nil {
			n.queueProbe(probeRequest{target: target})
		}
	}
}

// queueProbe queues an unscheduled probe. Requests beyond maxQueuedProbes are dropped.
func (n *Node) queueProbe(request probeRequest) {
	if len(n.queuedProbes) < maxQueuedProbes {
		n.queuedProbes = append(n.queuedProbes, request)
	}
}

// expireSuspicions declares dead the suspected members that did not refute in time.
func (n *Node) expireSuspicions(now time.Time) {
	n.suspects = slices.DeleteFunc(n.suspects, func(member *peer) bool { return member.suspicion == nil })
	for _, suspected := range slices.Clone(n.suspects) {
		if now.Before(suspected.suspicion.deadline()) {
			continue
		}
		if suspected.lastContact.After(suspected.suspicion.started) {
			suspected.suspicion.started = now // direct contact since the suspicion started: the period restarts
			continue
		}
		n.markDeparted(now, suspected, Dead, suspected.Incarnation)
		n.gossipPending = true
	}
}

// markDeparted changes a live member to dead or left.
func (n *Node) markDeparted(now time.Time, departed *peer, status Status, incarnation uint64) {
	n.table.remove(departed)
	departed.Status = status
	departed.Incarnation = incarnation
	departed.statusSince = now
	departed.suspicion = nil
	n.table.addTombstone(departed)
	n.changed(departed)
	n.queueUpdate(departed, "")
	if status == Dead {
		n.probeSurroundings(departed)
	}
}
