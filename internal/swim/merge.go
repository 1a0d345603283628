package swim

import "time"

// merge applies the state of a member that a message reports. A death reported in a full exchange is verified with a
// probe first.
func (n *Node) merge(now time.Time, reported report) {
	if reported.Name == n.self.Name {
		n.refute(reported)
		return
	}
	known := n.table.byName[reported.Name]
	switch {
	case known == nil:
		n.addMember(now, reported)
	case reported.Status == Suspect && known.Status == Suspect && reported.Incarnation == known.Incarnation:
		n.confirmSuspicion(known, reported.accuser)
	case !supersedes(reported.Incarnation, reported.Status, known.Member):
		n.updates.noteDuplicate(reported)
	case reported.Status == Alive:
		n.applyAlive(now, known, reported)
	case reported.Status == Suspect:
		n.applySuspect(now, known, reported)
	case n.inFullExchange && reported.Status == Dead && known.Status.live():
		n.queueProbe(probeRequest{target: known, claim: encodeMember(reported.Member, "", false)})
	default:
		n.applyDeparture(now, known, reported)
	}
}

// refute raises the incarnation of this process above that of an incorrect report about it.
func (n *Node) refute(reported report) {
	if n.self.Status == Left || reported.Incarnation < n.self.Incarnation {
		return
	}
	matchesSelf := reported.Status == Alive && reported.Address == n.self.Address && reported.Meta.Equal(n.self.Meta)
	if reported.Incarnation == n.self.Incarnation && matchesSelf {
		return
	}
	if reported.Status == Suspect || reported.Status == Dead {
		n.healthScore = min(n.healthScore+1, maxHealthScore) // this process answered too late
	}
	n.table.remove(n.self)
	n.self.Incarnation = reported.Incarnation + 1
	n.table.insert(n.self)
	n.announceSelf()
}

// addMember adds an unknown member. Unknown members that are reported dead are ignored, as are those that have left if the report does not
// describe them.
func (n *Node) addMember(now time.Time, reported report) {
	if reported.Status == Dead || !reported.hasMeta {
		return
	}
	added := &peer{Member: reported.Member, nameHash: hashName(reported.Name), statusSince: now}
	if reported.Status == Left {
		n.table.byName[added.Name] = added
		n.table.addTombstone(added)
		return
	}
	added.Status = Alive
	n.table.byName[added.Name] = added
	n.insertMember(now, added)
}

// applyAlive applies a newer report that a member is alive.
func (n *Node) applyAlive(now time.Time, known *peer, reported report) {
	returned := !known.Status.live()
	if returned {
		n.table.removeTombstone(known)
	} else {
		n.table.remove(known)
	}
	n.releaseAddress(known, reported.Address)
	known.Member = reported.Member
	known.statusSince = now
	known.suspicion = nil
	n.insertMember(now, known)
	if returned {
		known.lastContact = time.Time{}
		n.triggerSync(now, known.Address)
	}
}

// releaseAddress removes the address index entry of a member that now has another address.
func (n *Node) releaseAddress(known *peer, address string) {
	if known.Address == address {
		return
	}
	known.roundTrip = 0
	if n.table.byAddress[known.Address] == known {
		delete(n.table.byAddress, known.Address)
	}
}

// insertMember inserts a member into the ring. Another live member with the same address and a lower incarnation is
// declared dead.
func (n *Node) insertMember(now time.Time, inserted *peer) {
	previous := n.table.byAddress[inserted.Address]
	n.table.indexAddress(inserted)
	n.table.insert(inserted)
	n.changed(inserted)
	n.queueUpdate(inserted, "")
	if previous == nil || previous == inserted || previous == n.self || !previous.Status.live() {
		return
	}
	if previous.Incarnation < inserted.Incarnation {
		n.markDeparted(now, previous, Dead, previous.Incarnation)
	}
}

// confirmSuspicion adds an accuser to an existing suspicion. Accusers that have departed do not count.
func (n *Node) confirmSuspicion(known *peer, accuser string) {
	if accuser == "" || n.hasDeparted(accuser) {
		return
	}
	if known.suspicion.confirm(accuser) {
		n.queueUpdate(known, accuser)
	}
}

// applySuspect applies a newer report that a member is suspected. It ignores accusers that have departed.
func (n *Node) applySuspect(now time.Time, known *peer, reported report) {
	if !known.Status.live() || n.hasDeparted(reported.accuser) {
		return
	}
	n.table.remove(known)
	known.Incarnation = reported.Incarnation
	n.table.insert(known)
	n.suspect(now, known, reported.accuser)
}

// hasDeparted reports whether a member is known to be dead or to have left.
func (n *Node) hasDeparted(name string) bool {
	known := n.table.byName[name]
	return known != nil && !known.Status.live()
}

// applyDeparture applies a newer report that a member is dead or has left.
func (n *Node) applyDeparture(now time.Time, known *peer, reported report) {
	if known.Status.live() {
		n.markDeparted(now, known, reported.Status, reported.Incarnation)
		return
	}
	known.Incarnation = reported.Incarnation
	known.Status = reported.Status
	n.changed(known)
	n.queueUpdate(known, "")
}
