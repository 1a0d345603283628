package chain

import (
	"maps"
	"slices"
	"time"

	"wallflow/internal/chain/chainpb"
)

// phase is how far an attempt is.
type phase int

const (
	phaseInquire phase = iota // do others see the need as well?
	phasePrepare
	phaseAccept
)

// attempt is one try to have a view decided.
type attempt struct {
	instance  uint64
	reason    chainpb.Reason
	change    voterChange
	phase     phase
	ballot    ballot
	started   time.Time
	sentAt    time.Time
	supports  map[Identity]bool
	promises  map[string]*chainpb.Promise // by elector, see electorKey
	majority  time.Time                   // when a majority had promised
	value     View
	acceptors map[string]bool
}

// voterChange is one voter more, one in the place of another, or one less, or the same voters with a longer chain.
type voterChange struct {
	add      Member
	remove   Identity
	lengthen bool
}

func (c voterChange) adds() bool { return c.add.Identity != "" }
func (c voterChange) none() bool { return !c.adds() && c.remove == "" && !c.lengthen }

func (n *Node) startAttempt(reason chainpb.Reason, change voterChange) {
	n.counters.Proposals++
	n.attempt = &attempt{
		instance:  n.view.Epoch + 1,
		reason:    reason,
		change:    change,
		started:   n.now,
		supports:  make(map[Identity]bool),
		promises:  make(map[string]*chainpb.Promise),
		acceptors: make(map[string]bool),
	}
	if reason == chainpb.Reason_REASON_FOUND || reason == chainpb.Reason_REASON_VOTERS {
		n.prepare()
		return
	}
	n.attempt.ballot.nonce = n.options.Random.Uint64()
	n.sendAttempt()
}

// prepare begins the first phase of Paxos with a new ballot.
func (n *Node) prepare() {
	n.election.maximumRound = max(n.election.maximumRound, n.acceptor.promised.round) + 1
	n.attempt.phase = phasePrepare
	n.attempt.ballot = ballot{round: n.election.maximumRound, nonce: n.options.Random.Uint64()}
	n.sendAttempt()
}

func (n *Node) tickAttempt() {
	a := n.attempt
	if n.now.Sub(a.started) >= attemptTimeout {
		n.giveUp()
		return
	}
	if a.phase == phasePrepare {
		n.tryPropose()
	}
	if n.attempt == a && n.now.Sub(a.sentAt) >= attemptResend {
		n.sendAttempt()
	}
}

// sendAttempt sends the message of the present phase to those of the electorate that have not answered it.
func (n *Node) sendAttempt() {
	a := n.attempt
	a.sentAt = n.now
	for _, member := range n.electorate() {
		if !a.answered(member) {
			n.sendElector(member, a.message())
		}
	}
	if n.mistakes.learnerCounts {
		n.askLearners()
	}
}

func (a *attempt) answered(member Member) bool {
	key := electorKey(a.instance, member)
	switch a.phase {
	case phaseInquire:
		return a.supports[member.Identity]
	case phasePrepare:
		return a.promises[key] != nil
	}
	return a.acceptors[key]
}

func (a *attempt) message() *chainpb.Message {
	wireBallot := ballotToWire(a.ballot)
	switch a.phase {
	case phaseInquire:
		return &chainpb.Message{Body: &chainpb.Message_Inquiry{Inquiry: &chainpb.Inquiry{
			Instance: a.instance, Nonce: a.ballot.nonce, Reason: a.reason,
		}}}
	case phasePrepare:
		return &chainpb.Message{Body: &chainpb.Message_Prepare{Prepare: &chainpb.Prepare{
			Instance: a.instance, Ballot: wireBallot,
		}}}
	}
	return &chainpb.Message{Body: &chainpb.Message_Accept{Accept: &chainpb.Accept{
		Instance: a.instance, Ballot: wireBallot, View: viewToWire(a.value),
	}}}
}

// electorKey names one of the electorate: by identity, and by address where the first view is decided.
func electorKey(instance uint64, member Member) string {
	if instance == 1 {
		return member.Address
	}
	return string(member.Identity)
}

// elector finds the key of a sender, empty if it has no vote.
func (n *Node) elector(sender Identity) string {
	if n.view.Epoch > 0 {
		if _, voter := n.view.Voter(sender); voter || n.mistakes.learnerCounts {
			return string(sender)
		}
		return ""
	}
	address := n.addressOf(sender)
	for _, member := range n.electorate() {
		if member.Address == address {
			return address
		}
	}
	return ""
}

func (n *Node) receiveSupport(sender Identity, support *chainpb.Support) {
	a := n.attempt
	if a == nil || a.phase != phaseInquire || support.Instance != a.instance || support.Nonce != a.ballot.nonce {
		return
	}
	if n.elector(sender) == "" {
		return
	}
	a.supports[sender] = true
	if len(a.supports) >= n.quorum() {
		n.prepare()
	}
}

// quorum is the number of the electorate that decides.
func (n *Node) quorum() int { return len(n.electorate())/2 + 1 }

func (n *Node) receivePromise(sender Identity, promise *chainpb.Promise) {
	a := n.attempt
	if a == nil || a.phase != phasePrepare || promise.Instance != a.instance || ballotFromWire(promise.Ballot) != a.ballot {
		return
	}
	if promise.Refused != nil {
		n.election.maximumRound = max(n.election.maximumRound, promise.Refused.Round)
		n.giveUp()
		return
	}
	key := n.elector(sender)
	if key == "" || promise.Member.GetIdentity() != string(sender) {
		return
	}
	a.promises[key] = promise
	if a.majority.IsZero() && len(a.promises) >= n.quorum() {
		a.majority = n.now
	}
	n.tryPropose()
}

// tryPropose goes on to the second phase once a majority has promised and the others had a moment to.
func (n *Node) tryPropose() {
	a := n.attempt
	if a.majority.IsZero() || (n.awaitsPromise() && n.now.Sub(a.majority) < n.promisePatience()) {
		return
	}
	value, possible := n.proposedView()
	if !possible {
		if n.now.Sub(a.started) >= attemptTimeout/2 {
			n.giveUp()
		}
		return
	}
	a.value = value
	a.phase = phaseAccept
	n.sendAttempt()
}

// awaitsPromise tells whether one of the electorate that can be counted on has not promised yet. The promise of one that cannot, as
// that of a process which is stopping, does not stand for it: the view would be made with the very member that has to leave.
func (n *Node) awaitsPromise() bool {
	for _, member := range n.electorate() {
		counted := member.Identity == "" || !n.isDead(member.Identity)
		if counted && n.attempt.promises[electorKey(n.attempt.instance, member)] == nil {
			return true
		}
	}
	return false
}

// promisePatience is how long to wait for more than a majority.
func (n *Node) promisePatience() time.Duration {
	if n.view.Epoch > 0 {
		return promiseWait
	}
	return max(promiseWait, foundingWait-n.attempt.started.Sub(n.started))
}

func (n *Node) receiveAccepted(sender Identity, accepted *chainpb.Accepted) {
	a := n.attempt
	if a == nil || a.phase != phaseAccept || accepted.Instance != a.instance || ballotFromWire(accepted.Ballot) != a.ballot {
		return
	}
	key := n.elector(sender)
	if key == "" {
		return
	}
	a.acceptors[key] = true
	if len(a.acceptors) >= n.quorum() {
		n.decided(a.value)
	}
}

// decided tells everybody concerned a view that was decided.
func (n *Node) decided(view View) {
	notify := make(map[Identity]bool)
	for _, members := range [][]Member{n.view.Voters, view.Voters} {
		for _, member := range members {
			notify[member.Identity] = true
		}
	}
	for identity := range n.membership.alive {
		notify[identity] = true
	}
	delete(notify, n.self.Identity)
	n.learnView(view)
	for _, identity := range slices.Sorted(maps.Keys(notify)) {
		n.send(identity, n.viewNotice())
	}
}
