package swim

import (
	"math"
	"slices"
	"time"

	"wallflow/internal/swim/swimpb"
)

// suspicion is the time a member has to refute. It shortens as more members accuse.
type suspicion struct {
	started        time.Time
	least, longest time.Duration
	accusers       []string
}

// deadline returns when the suspect counts as dead.
func (s *suspicion) deadline() time.Time {
	further := float64(min(len(s.accusers)-1, confirmations))
	share := math.Log(further+1) / math.Log(confirmations+1)
	shortened := time.Duration(share * float64(s.longest-s.least))
	return s.started.Add(s.longest - shortened)
}

// confirm adds an accuser; true means that it is a new one that counts.
func (s *suspicion) confirm(accuser string) bool {
	if len(s.accusers) > confirmations || slices.Contains(s.accusers, accuser) {
		return false
	}
	s.accusers = append(s.accusers, accuser)
	return true
}

// accuse suspects a member that did not answer this process, and tells it so.
func (n *Node) accuse(now time.Time, silent *peer) {
	switch {
	case !silent.Status.live():
		return
	case silent.Status == Alive:
		n.suspect(now, silent, n.self.Name)
	case !silent.suspicion.confirm(n.self.Name):
		return
	default:
		n.tell(silent, n.self.Name)
	}
	n.spreadWanted = true
	n.datagram(silent.Address, &swimpb.Message{
		Type:   swimpb.Type_TYPE_GOSSIP,
		States: []*swimpb.State{encodeMember(silent.Member, n.self.Name, false)},
	})
}

// suspect starts the suspicion of a member.
func (n *Node) suspect(now time.Time, accused *peer, accuser string) {
	least, longest := n.timing.suspicionBounds(len(n.table.ring))
	accused.Status = Suspect
	accused.since = now
	accused.suspicion = &suspicion{started: now, least: least, longest: longest, accusers: []string{accuser}}
	if !slices.Contains(n.suspects, accused) {
		n.suspects = append(n.suspects, accused)
	}
	n.changed(accused)
	n.tell(accused, accuser)
	n.lookAround(accused)
}

// lookAround probes a member near one that is in trouble and one from anywhere, if that is in another zone: a whole zone or
// region may be gone, where nobody is left to notice, or the own one may be cut off from all others. The more members there are, the fewer of them do so.
func (n *Node) lookAround(troubled *peer) {
	if troubled.Meta.Zone == n.self.Meta.Zone && troubled.Meta.Region == n.self.Meta.Region {
		return
	}
	around := n.table.regionSpan(troubled.Meta.Region)
	if troubled.Meta.Region == n.self.Meta.Region {
		around = n.table.zoneSpan(troubled.Meta.Region, troubled.Meta.Zone)
	}
	outside := len(n.table.ring) - around.size()
	if outside > 0 && n.random.IntN(outside) >= lookAroundProbes*around.size() {
		return
	}
	first := n.pick(around, []*peer{troubled})
	second := n.pick(n.everywhere(), []*peer{troubled, first})
	for _, target := range []*peer{first, second} {
		if target != nil {
			n.checkSoon(check{target: target})
		}
	}
}

// checkSoon adds a probe out of turn.
func (n *Node) checkSoon(wanted check) {
	if len(n.urgent) < maxUrgent {
		n.urgent = append(n.urgent, wanted)
	}
}

// settleSuspicions declares the suspects dead that did not refute in time.
func (n *Node) settleSuspicions(now time.Time) {
	n.suspects = slices.DeleteFunc(n.suspects, func(former *peer) bool { return former.suspicion == nil })
	for _, silent := range slices.Clone(n.suspects) {
		if now.Before(silent.suspicion.deadline()) {
			continue
		}
		if silent.heard.After(silent.suspicion.started) {
			silent.suspicion.started = now // it was heard since: it gets the time again
			continue
		}
		n.bury(now, silent, Dead, silent.Incarnation)
		n.spreadWanted = true
	}
}

// bury makes a live member dead or left.
func (n *Node) bury(now time.Time, gone *peer, status Status, incarnation uint64) {
	n.table.withdraw(gone)
	gone.Status = status
	gone.Incarnation = incarnation
	gone.since = now
	gone.suspicion = nil
	n.table.bury(gone)
	n.changed(gone)
	n.tell(gone, "")
	if status == Dead {
		n.lookAround(gone)
	}
}
