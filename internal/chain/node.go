package chain

import (
	"encoding/hex"
	"fmt"
	"slices"
	"time"

	"wallflow/internal/chain/chainpb"
)

// Node is the replication state machine of one process.
type Node struct {
	options      Options
	self         Member
	founder      bool   // whether the node may vote on the first view
	session      uint64 // random number that distinguishes this run of the process from others
	ready        bool   // whether the identity is on disk
	startedAt    time.Time
	now          time.Time          // time of the current call
	output       Output             // result of the current call
	selfMessages []*chainpb.Message // messages to the node itself, handled at the end of the call
	counters     Counters

	journal        journal
	log            entryLog
	leaving        bool   // whether Node.Leave was called
	generation     uint64 // rises when entries are truncated or the log is replaced; writes of older generations are ignored
	syncedPosition uint64 // up to which the log is on disk

	view                  View
	viewLearnedAt         time.Time
	formerVoters          map[Identity]struct{} // removed or replaced voters, at most maxFormerVoters
	installedEpoch        uint64                // epoch for which the log was last synchronized with the predecessor
	durableInstalledEpoch uint64                // the same, as far as it is on disk
	acceptor              acceptor
	injectedFaults        injectedFaults
	attempt               *attempt
	election              election
	membership            membership
	replication
	probes  probes
	feed    feed
	clients clients
}

// New returns a node that continues from the records of its store. There are none at the first start.
func New(options Options, records []Record, now time.Time) (*Node, Output, error) {
	if err := options.validate(); err != nil {
		return nil, Output{}, err
	}
	n := &Node{
		options:       options,
		self:          options.Self,
		session:       options.Random.Uint64(),
		startedAt:     now,
		viewLearnedAt: now,
		acceptor:      acceptor{instance: 1},
		membership:    newMembership(),
		probes:        probes{lastNumber: options.Random.Uint64() >> 1},
		feed:          newFeed(),
		clients:       newClients(),
	}
	n.self.Identity = ""
	n.log.retention = options.Retention.withDefaults()
	n.log.reset(0, 0, options.Initial)
	n.beginCall(now)
	if len(records) == 0 {
		n.createIdentity()
		return n, n.finishCall(), nil
	}
	if err := n.recover(records); err != nil {
		return nil, Output{}, err
	}
	n.ready = true
	n.acceptor.promisedAt = now
	n.startReplication()
	n.advanceReplication()
	return n, n.finishCall(), nil
}

func (o *Options) validate() error {
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

// createIdentity gives an empty store a random identity. Only a seed at the first start of the system may vote on the
// first view.
func (n *Node) createIdentity() {
	const identityBytes = 16
	random := make([]byte, identityBytes)
	n.options.Random.Read(random)
	n.self.Identity = Identity(hex.EncodeToString(random))
	n.founder = n.options.Bootstrap && slices.Contains(n.options.Seeds, n.self.Address)
	n.persist(effect{identityStored: true}, n.identityRecord())
}

// beginCall sets the current time, which never goes back, and resets the output.
func (n *Node) beginCall(now time.Time) {
	if now.After(n.now) {
		n.now = now
	}
	n.output = Output{}
}

// finishCall handles messages of the node to itself, starts the next write and returns the output of the call.
func (n *Node) finishCall() Output {
	for len(n.selfMessages) > 0 {
		message := n.selfMessages[0]
		n.selfMessages = n.selfMessages[1:]
		n.dispatch(n.self.Address, message)
	}
	n.flush()
	return n.output
}

func (n *Node) logf(format string, args ...any) {
	n.output.Logs = append(n.output.Logs, fmt.Sprintf(format, args...))
}

// Tick runs everything that depends on time. It should be called every 50 to 100 ms.
func (n *Node) Tick(now time.Time) Output {
	n.beginCall(now)
	n.tickJournal()
	if n.ready {
		n.announceTrouble()
		n.tickChain()
		n.tickLearner()
		n.tickFetch()
		n.tickFeed()
		n.tickElection()
		n.tickVoters()
	}
	n.tickClients()
	return n.finishCall()
}

// Receive handles a message from the process at an internal address.
func (n *Node) Receive(now time.Time, fromAddress string, message *chainpb.Message) Output {
	n.beginCall(now)
	if n.ready {
		n.dispatch(fromAddress, message)
	}
	return n.finishCall()
}

// Leave makes the node leave the chain gracefully. It announces to the other voters that it is unavailable, so that
// they agree on a view in which enough other members store every committed entry. Until they do, the node goes on
// serving, see Node.InChain. If too few other voters remain, it stays in the chain.
func (n *Node) Leave(now time.Time) Output {
	n.beginCall(now)
	n.leaving = true
	if n.ready {
		n.announceTrouble()
	}
	return n.finishCall()
}

// InChain reports whether the node is a member of the chain in the newest view that it knows.
func (n *Node) InChain() bool { return n.inChain() }

// Identity returns the identity of the store of the node.
func (n *Node) Identity() Identity { return n.self.Identity }

// View returns the newest view that the node knows. Its epoch is 0 if the node knows none.
func (n *Node) View() View { return n.view }

// Committed returns the newest state known to be committed, and the position of its last entry.
func (n *Node) Committed() (State, uint64) { return n.log.state, n.log.committed }

// Fresh reports whether the node knows that its epoch was in force within the last second (confirmationValidity).
func (n *Node) Fresh(now time.Time) bool {
	return n.view.Epoch > 0 && n.confirmedEpoch == n.view.Epoch && now.Sub(n.confirmedAt) < confirmationValidity
}

// Status returns the condition of the node.
func (n *Node) Status() Status {
	return Status{
		Identity:       n.self.Identity,
		Role:           n.role(),
		Epoch:          n.view.Epoch,
		InstalledEpoch: n.installedEpoch,
		Position:       n.log.lastPosition(),
		Committed:      n.log.committed,
		Promised:       n.hasPromised(),
		Impaired:       n.impaired(),
		Failed:         n.journal.failed,
		Counters:       n.counters,
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

func (n *Node) inChain() bool { return n.view.ChainIndex(n.self.Identity) >= 0 }
func (n *Node) isHead() bool  { return n.inChain() && n.view.Head() == n.self.Identity }
func (n *Node) isTail() bool  { return n.inChain() && n.view.Tail() == n.self.Identity }
