package chain

import (
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"wallflow/internal/chain/chainpb"
)

// Node is one process's part in the replication.
type Node struct {
	options  Options
	self     Member
	founder  bool   // may vote on the first view
	session  uint64 // tells this life of the process from others
	ready    bool   // the store has its identity
	started  time.Time
	now      time.Time // of the call that is under way
	out      Output    // of the call that is under way
	loop     []*chainpb.Message
	counters Counters

	journal    journal
	log        entryLog
	leaving    bool   // Leave was called
	generation uint64 // rises when entries are dropped from the end of the log
	synced     uint64 // the log is on disk up to this position

	view             View
	viewSince        time.Time
	formerVoters     map[Identity]struct{} // of views before this one, as far as they are remembered
	installed        uint64                // epoch in which the log was last taken from the predecessor
	durableInstalled uint64                // the same, on disk
	acceptor         acceptor
	mistakes         mistakes
	attempt          *attempt
	election         election
	membership       membership
	replication
	questions questions
	feed      feed
	clients   clients
}

// New makes a node from the records of its store, which are none at the first start.
func New(options Options, recovered []Record, now time.Time) (*Node, Output, error) {
	if err := options.check(); err != nil {
		return nil, Output{}, err
	}
	n := &Node{
		options:    options,
		self:       options.Self,
		session:    options.Random.Uint64(),
		started:    now,
		viewSince:  now,
		acceptor:   acceptor{instance: 1},
		membership: newMembership(),
		questions:  questions{newest: options.Random.Uint64() >> 1},
		feed:       newFeed(),
		clients:    newClients(),
	}
	n.self.Identity = ""
	n.log.retention = options.Retention.orDefault()
	n.log.reset(0, 0, options.Initial)
	n.begin(now)
	if len(recovered) == 0 {
		n.found()
		return n, n.finish(), nil
	}
	if err := n.recover(recovered); err != nil {
		return nil, Output{}, err
	}
	n.ready = true
	n.acceptor.since = now
	n.startChain()
	n.advance()
	return n, n.finish(), nil
}

func (o *Options) check() error {
	switch {
	case o.Self.Address == "":
		return &OptionsError{Field: "Self.Address"}
	case o.Initial == nil:
		return &OptionsError{Field: "Initial"}
	case o.Decode == nil:
		return &OptionsError{Field: "Decode"}
	case o.Random == nil:
		return &OptionsError{Field: "Random"}
	case o.AckBound <= 0:
		return &OptionsError{Field: "AckBound"}
	}
	return nil
}

// found gives an empty store its identity. Only a seed at the first start of the system may vote on the first view.
func (n *Node) found() {
	const identityBytes = 16
	random := make([]byte, identityBytes)
	n.options.Random.Read(random)
	n.self.Identity = Identity(hex.EncodeToString(random))
	n.founder = n.options.Bootstrap && slices.Contains(n.options.Seeds, n.self.Address)
	n.persist(effect{identity: true}, n.identityRecord())
}

// begin starts a call.
func (n *Node) begin(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
	n.out = Output{}
}

// finish ends a call: messages to the node itself are taken in, and what is to be written goes out.
func (n *Node) finish() Output {
	for len(n.loop) > 0 {
		message := n.loop[0]
		n.loop = n.loop[1:]
		n.dispatch(n.self.Address, message)
	}
	n.flush()
	return n.out
}

func (n *Node) logf(format string, values ...any) {
	n.out.Logs = append(n.out.Logs, fmt.Sprintf(format, values...))
}

// Tick lets time pass. It is to be called every 50 to 100 ms.
func (n *Node) Tick(now time.Time) Output {
	n.begin(now)
	n.tickJournal()
	if n.ready {
		n.tickTrouble()
		n.tickChain()
		n.tickLearner()
		n.tickQuestions()
		n.tickFeed()
		n.tickElection()
		n.tickVoters()
	}
	n.tickClients()
	return n.finish()
}

// Receive takes a message from the process at the internal address from.
func (n *Node) Receive(now time.Time, from string, message *chainpb.Message) Output {
	n.begin(now)
	if n.ready {
		n.dispatch(from, message)
	}
	return n.finish()
}

// Leave has the node leave the chain in order: the other voters are told that it can't be counted on and agree on a view without it,
// in which what it holds is held by enough others. It goes on with its part until they have: see InChain. Where they are too few for
// that, it stays.
func (n *Node) Leave(now time.Time) Output {
	n.begin(now)
	n.leaving = true
	if n.ready {
		n.tickTrouble()
	}
	return n.finish()
}

// InChain tells whether the node is a member of the chain of the newest view that it knows.
func (n *Node) InChain() bool { return n.inChain() }

// Identity names the node's store.
func (n *Node) Identity() Identity { return n.self.Identity }

// View is the newest view that the node knows; its epoch is 0 when it knows none.
func (n *Node) View() View { return n.view }

// Committed returns the newest state known to be committed, and the position of its last entry.
func (n *Node) Committed() (State, uint64) { return n.log.state, n.log.committed }

// Fresh tells whether the node heard a moment ago that its epoch is in force.
func (n *Node) Fresh(now time.Time) bool {
	return n.view.Epoch > 0 && n.confirmedEpoch == n.view.Epoch && now.Sub(n.confirmedAt) < freshFor
}

// Status describes the node.
func (n *Node) Status() Status {
	return Status{
		Identity:  n.self.Identity,
		Role:      n.role(),
		Epoch:     n.view.Epoch,
		Installed: n.installed,
		Position:  n.log.lastPosition(),
		Committed: n.log.committed,
		Promised:  n.promised(),
		Impaired:  n.impaired(),
		Failed:    n.journal.failed,
		Counters:  n.counters,
	}
}

func (n *Node) role() Role {
	switch {
	case n.isHead() && n.isTail():
		return RoleSingle
	case n.isHead():
		return RoleHead
	case n.isTail():
		return RoleTail
	case n.inChain():
		return RoleMember
	case n.isVoter():
		return RoleVoter
	}
	return RoleLearner
}

func (n *Node) isVoter() bool {
	_, found := n.view.Voter(n.self.Identity)
	return found
}

func (n *Node) inChain() bool { return n.view.Place(n.self.Identity) >= 0 }
func (n *Node) isHead() bool  { return n.inChain() && n.view.Head() == n.self.Identity }
func (n *Node) isTail() bool  { return n.inChain() && n.view.Tail() == n.self.Identity }
