package chain

import (
	"time"

	"wallflow/internal/chain/chainpb"
)

// membership is what a node knows about which processes are alive and able.
type membership struct {
	told        bool // Liveness was called
	alive       map[Identity]Member
	aliveAt     map[string]Identity // by address, to see a store that took another's place
	deadSince   map[Identity]time.Time
	addresses   map[Identity]string // from where a process was last heard
	troubled    map[Identity]time.Time
	notified    map[Identity]time.Time // when it was last sent a view notice, or asked for one
	troubleAt   time.Time              // when the own trouble was last told
	wasImpaired bool
}

func newMembership() membership {
	return membership{
		alive:     make(map[Identity]Member),
		aliveAt:   make(map[string]Identity),
		deadSince: make(map[Identity]time.Time),
		addresses: make(map[Identity]string),
		troubled:  make(map[Identity]time.Time),
		notified:  make(map[Identity]time.Time),
	}
}

// Liveness tells which control processes are held alive, this one included.
func (n *Node) Liveness(now time.Time, alive []Member) Output {
	n.begin(now)
	m := &n.membership
	m.told = true
	clear(m.alive)
	clear(m.aliveAt)
	for _, member := range alive {
		identity := n.identityOf(member)
		if identity != "" {
			member.Identity = identity
			m.alive[identity] = member
			m.aliveAt[member.Address] = identity
		}
	}
	m.forget()
	for _, voter := range n.view.Voters {
		n.noteDeath(voter.Identity)
	}
	if n.ready {
		n.tickElection()
	}
	return n.finish()
}

// identityOf is the identity of a member that is alive; where it is not told, the voter at that address.
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

// noteDeath keeps since when an identity is not alive.
func (n *Node) noteDeath(identity Identity) {
	m := &n.membership
	if _, alive := m.alive[identity]; alive {
		delete(m.deadSince, identity)
		return
	}
	if _, noted := m.deadSince[identity]; !noted {
		m.deadSince[identity] = n.now
	}
}

// isDead tells whether a process cannot be counted on: not alive, replaced, or its disk in trouble.
func (n *Node) isDead(identity Identity) bool {
	if identity == n.self.Identity {
		return false
	}
	if at, told := n.membership.troubled[identity]; told && n.now.Sub(at) < troubleForget {
		return true
	}
	if n.isReplaced(identity) {
		return true
	}
	return n.isGone(identity)
}

// isGone tells whether membership holds another process for gone.
func (n *Node) isGone(identity Identity) bool {
	if identity == n.self.Identity || !n.membership.told || n.now.Sub(n.started) < startGrace {
		return false
	}
	_, alive := n.membership.alive[identity]
	return !alive
}

// isReplaced tells whether another store is at the address of a voter.
func (n *Node) isReplaced(identity Identity) bool {
	voter, found := n.view.Voter(identity)
	if !found {
		return false
	}
	if _, alive := n.membership.alive[identity]; alive {
		return false
	}
	present, known := n.membership.aliveAt[voter.Address]
	return known && present != identity
}

// addressOf is where a process was last, or else where the view says.
func (n *Node) addressOf(identity Identity) string {
	if identity == n.self.Identity {
		return n.self.Address
	}
	if member, alive := n.membership.alive[identity]; alive {
		return member.Address
	}
	if address, heard := n.membership.addresses[identity]; heard {
		return address
	}
	voter, _ := n.view.Voter(identity)
	return voter.Address
}

// forgottenOver is how many identities are remembered before those that are not alive are forgotten.
const forgottenOver = 256

// forget drops what is known of stores that are gone.
func (m *membership) forget() {
	if len(m.addresses) <= forgottenOver {
		return
	}
	for identity := range m.addresses {
		if _, alive := m.alive[identity]; !alive {
			delete(m.addresses, identity)
			delete(m.notified, identity)
			delete(m.troubled, identity)
			delete(m.deadSince, identity)
		}
	}
}

// mayNotify bounds how often a process is told, or asked, about views.
func (m *membership) mayNotify(identity Identity, now time.Time) bool {
	if now.Sub(m.notified[identity]) < noticeInterval {
		return false
	}
	m.notified[identity] = now
	return true
}

// tickTrouble tells the voters whether this node can be counted on.
func (n *Node) tickTrouble() {
	m := &n.membership
	impaired := n.impaired()
	if !impaired && !m.wasImpaired {
		return
	}
	if impaired && m.wasImpaired && n.now.Sub(m.troubleAt) < troubleResend {
		return
	}
	if impaired && !m.wasImpaired && n.leaving {
		n.logf("stopping, leaving the chain")
	} else if impaired && !m.wasImpaired {
		n.logf("the disk does not keep up, leaving the chain")
	}
	m.wasImpaired, m.troubleAt = impaired, n.now
	for _, voter := range n.view.Voters {
		if voter.Identity != n.self.Identity {
			n.send(voter.Identity, &chainpb.Message{Body: &chainpb.Message_Trouble{Trouble: &chainpb.Trouble{Fit: !impaired}}})
		}
	}
}

func (n *Node) receiveTrouble(sender Identity, trouble *chainpb.Trouble) {
	if trouble.Fit {
		delete(n.membership.troubled, sender)
		return
	}
	n.membership.troubled[sender] = n.now
}
