package chain

import (
	"time"

	"wallflow/internal/chain/chainpb"
)

// membership is what a node knows about the liveness, addresses and health of other processes.
type membership struct {
	livenessKnown     bool // whether Node.SetAlive was called
	alive             map[Identity]Member
	aliveByAddress    map[string]Identity    // shows a new store at the address of a voter
	downSince         map[Identity]time.Time // voters that are not alive
	lastAddresses     map[Identity]string    // from which a process last sent anything
	troubleReports    map[Identity]time.Time // when a process last reported that it is impaired
	lastNotices       map[Identity]time.Time // when a view was last sent to a process, or requested from it
	troubleSentAt     time.Time              // when this node last reported its own condition
	announcedImpaired bool                   // the condition that was last reported
}

func newMembership() membership {
	return membership{
		alive:          make(map[Identity]Member),
		aliveByAddress: make(map[string]Identity),
		downSince:      make(map[Identity]time.Time),
		lastAddresses:  make(map[Identity]string),
		troubleReports: make(map[Identity]time.Time),
		lastNotices:    make(map[Identity]time.Time),
	}
}

// SetAlive sets the control processes that membership considers alive, including this one.
func (n *Node) SetAlive(now time.Time, alive []Member) Output {
	n.beginCall(now)
	m := &n.membership
	m.livenessKnown = true
	clear(m.alive)
	clear(m.aliveByAddress)
	for _, member := range alive {
		identity := n.identityOf(member)
		if identity != "" {
			member.Identity = identity
			m.alive[identity] = member
			m.aliveByAddress[member.Address] = identity
		}
	}
	m.prune()
	for _, voter := range n.view.Voters {
		n.recordDowntime(voter.Identity)
	}
	if n.ready {
		n.tickElection()
	}
	return n.finishCall()
}

// identityOf returns the identity of a live member. If it is not given, it is that of the voter at the address.
func (n *Node) identityOf(member Member) Identity {
	if member.Identity != "" {
		return member.Identity
	}
	for _, voter := range n.view.Voters {
		if voter.Address == member.Address {
			return voter.Identity
		}
	}
	return ""
}

// recordDowntime records since when an identity is not alive.
func (n *Node) recordDowntime(identity Identity) {
	m := &n.membership
	if _, alive := m.alive[identity]; alive {
		delete(m.downSince, identity)
		return
	}
	if _, recorded := m.downSince[identity]; !recorded {
		m.downSince[identity] = n.now
	}
}

// isUnavailable reports whether a process should not take part in a new chain: it is down, its store was replaced, or
// it reports that it is impaired.
func (n *Node) isUnavailable(identity Identity) bool {
	if identity == n.self.Identity {
		return false
	}
	if at, reported := n.membership.troubleReports[identity]; reported && n.now.Sub(at) < troubleTimeout {
		return true
	}
	if n.isReplaced(identity) {
		return true
	}
	return n.isDown(identity)
}

// isDown reports whether membership considers another process down.
func (n *Node) isDown(identity Identity) bool {
	if identity == n.self.Identity || !n.membership.livenessKnown || n.now.Sub(n.startedAt) < startupGracePeriod {
		return false
	}
	_, alive := n.membership.alive[identity]
	return !alive
}

// isReplaced reports whether a different store is at the address of a voter.
func (n *Node) isReplaced(identity Identity) bool {
	voter, found := n.view.Voter(identity)
	if !found {
		return false
	}
	if _, alive := n.membership.alive[identity]; alive {
		return false
	}
	current, known := n.membership.aliveByAddress[voter.Address]
	return known && current != identity
}

// addressOf returns the address of a process by its liveness, by its last message or by the view, in this order.
func (n *Node) addressOf(identity Identity) string {
	if identity == n.self.Identity {
		return n.self.Address
	}
	if member, alive := n.membership.alive[identity]; alive {
		return member.Address
	}
	if address, known := n.membership.lastAddresses[identity]; known {
		return address
	}
	voter, _ := n.view.Voter(identity)
	return voter.Address
}

// maxRememberedIdentities is the number of identities above which those that are not alive are forgotten.
const maxRememberedIdentities = 256

// prune drops what is known about stores that are not alive, if there are too many.
func (m *membership) prune() {
	if len(m.lastAddresses) <= maxRememberedIdentities {
		return
	}
	for identity := range m.lastAddresses {
		if _, alive := m.alive[identity]; !alive {
			delete(m.lastAddresses, identity)
			delete(m.lastNotices, identity)
			delete(m.troubleReports, identity)
			delete(m.downSince, identity)
		}
	}
}

// allowNotice limits how often a view is sent to a process or requested from it.
func (m *membership) allowNotice(identity Identity, now time.Time) bool {
	if now.Sub(m.lastNotices[identity]) < noticeInterval {
		return false
	}
	m.lastNotices[identity] = now
	return true
}

// announceTrouble reports to the voters whether this node is impaired. It repeats the report while it is.
func (n *Node) announceTrouble() {
	m := &n.membership
	impaired := n.impaired()
	if !impaired && !m.announcedImpaired {
		return
	}
	if impaired && m.announcedImpaired && n.now.Sub(m.troubleSentAt) < troubleResendInterval {
		return
	}
	if impaired && !m.announcedImpaired && n.leaving {
		n.logf("stopping, leaving the chain")
	} else if impaired && !m.announcedImpaired {
		n.logf("the disk is too slow or failed, leaving the chain")
	}
	m.announcedImpaired, m.troubleSentAt = impaired, n.now
	for _, voter := range n.view.Voters {
		if voter.Identity != n.self.Identity {
			n.send(voter.Identity, &chainpb.Message{Body: &chainpb.Message_Trouble{Trouble: &chainpb.Trouble{Fit: !impaired}}})
		}
	}
}

// receiveTrouble records whether another process reports that it is impaired.
func (n *Node) receiveTrouble(sender Identity, trouble *chainpb.Trouble) {
	if trouble.Fit {
		delete(n.membership.troubleReports, sender)
		return
	}
	n.membership.troubleReports[sender] = n.now
}
