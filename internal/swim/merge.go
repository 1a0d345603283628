package swim

import "time"

// merge takes what a message says of a member. Deaths that a full exchange reports are checked first.
func (n *Node) merge(now time.Time, told report) {
	if told.Name == n.self.Name {
		n.refute(told)
		return
	}
	known := n.table.byName[told.Name]
	switch {
	case known == nil:
		n.meet(now, told)
	case told.Status == Suspect && known.Status == Suspect && told.Incarnation == known.Incarnation:
		n.confirm(known, told.accuser)
	case !supersedes(told.Incarnation, told.Status, known.Member):
		n.updates.heardAgain(told)
	case told.Status == Alive:
		n.renew(now, known, told)
	case told.Status == Suspect:
		n.doubt(now, known, told)
	case n.inExchange && told.Status == Dead && known.Status.live():
		n.checkSoon(check{target: known, claim: encodeMember(told.Member, "", false)})
	default:
		n.mourn(now, known, told)
	}
}

// refute answers a wrong report of this process with a higher incarnation.
func (n *Node) refute(told report) {
	if n.self.Status == Left || told.Incarnation < n.self.Incarnation {
		return
	}
	same := told.Status == Alive && told.Address == n.self.Address && told.Meta.Equal(n.self.Meta)
	if told.Incarnation == n.self.Incarnation && same {
		return
	}
	if told.Status == Suspect || told.Status == Dead {
		n.health = min(n.health+1, maxHealth) // others had to wait for this process
	}
	n.table.withdraw(n.self)
	n.self.Incarnation = told.Incarnation + 1
	n.table.enter(n.self)
	n.announceSelf()
}

// meet adds a member that was unknown. Who is reported dead need not be known.
func (n *Node) meet(now time.Time, told report) {
	if !told.Status.live() || !told.hasMeta {
		return
	}
	added := &peer{Member: told.Member, nameHash: hashName(told.Name), since: now}
	added.Status = Alive
	n.table.byName[added.Name] = added
	n.arrive(now, added)
}

// renew takes a newer word of a member that it is alive.
func (n *Node) renew(now time.Time, known *peer, told report) {
	back := !known.Status.live()
	if back {
		n.table.exhume(known)
	} else {
		n.table.withdraw(known)
	}
	n.moveFrom(known, told.Address)
	known.Member = told.Member
	known.since = now
	known.suspicion = nil
	n.arrive(now, known)
	if back {
		known.heard = time.Time{}
		n.wantSync(now, known.Address)
	}
}

// moveFrom frees the address of a member that moved.
func (n *Node) moveFrom(known *peer, address string) {
	if known.Address == address {
		return
	}
	known.roundTrip = 0
	if n.table.byAddress[known.Address] == known {
		delete(n.table.byAddress, known.Address)
	}
}

// arrive puts a member into the ring. A member that was known at its address has lost it.
func (n *Node) arrive(now time.Time, arrived *peer) {
	former := n.table.byAddress[arrived.Address]
	n.table.place(arrived)
	n.table.enter(arrived)
	n.changed(arrived)
	n.tell(arrived, "")
	if former == nil || former == arrived || former == n.self || !former.Status.live() {
		return
	}
	if former.Incarnation < arrived.Incarnation {
		n.bury(now, former, Dead, former.Incarnation)
	}
}

// confirm adds an accuser to a suspicion.
func (n *Node) confirm(known *peer, accuser string) {
	if accuser == "" || n.isGone(accuser) {
		return
	}
	if known.suspicion.confirm(accuser) {
		n.tell(known, accuser)
	}
}

// doubt takes the word of another that a member is suspect, unless the accuser itself is gone.
func (n *Node) doubt(now time.Time, known *peer, told report) {
	if !known.Status.live() || n.isGone(told.accuser) {
		return
	}
	n.table.withdraw(known)
	known.Incarnation = told.Incarnation
	n.table.enter(known)
	n.suspect(now, known, told.accuser)
}

// isGone reports whether a member is known to be dead or to have left.
func (n *Node) isGone(name string) bool {
	known := n.table.byName[name]
	return known != nil && !known.Status.live()
}

// mourn takes the word that a member is dead or has left.
func (n *Node) mourn(now time.Time, known *peer, told report) {
	if known.Status.live() {
		n.bury(now, known, told.Status, told.Incarnation)
		return
	}
	known.Incarnation = told.Incarnation
	known.Status = told.Status
	n.changed(known)
	n.tell(known, "")
}
