package chain

import (
	"maps"
	"slices"
	"time"

	"wallflow/internal/chain/chainpb"
)

// phase is the stage that an attempt has reached.
type phase int

const (
	phaseInquire phase = iota // ask the voters whether they also see the need for a new view
	phasePrepare              // first phase of Paxos: collect promises
	phaseAccept               // second phase of Paxos: have a view accepted
)

// attempt is the state of this node while it proposes a view.
type attempt struct {
	instance   uint64 // epoch of the view to decide
	reason     chainpb.Reason
	change     voterChange
	phase      phase
	ballot     ballot
	startedAt  time.Time
	sentAt     time.Time                   // when the message of the current phase was last sent
	supporters map[Identity]bool           // voters that answered the inquiry with support
	promises   map[string]*chainpb.Promise // by elector key, see electorKey
	majorityAt time.Time                   // when a majority had promised, zero before
	value      View                        // the proposed view
	acceptedBy map[string]bool             // by elector key
}

// voterChange describes how the next view changes the voters: add one, replace one, remove one, or keep them and only
// extend the chain.
type voterChange struct {
	add         Member
	remove      Identity
	extendChain bool
}

func (c voterChange) addsVoter() bool { return c.add.Identity != "" }
func (c voterChange) isEmpty() bool   { return !c.addsVoter() && c.remove == "" && !c.extendChain }

// startAttempt starts an attempt. The first view and changes of the voters need no support and skip the inquiry.
func (n *Node) startAttempt(reason chainpb.Reason, change voterChange) {
	n.counters.Proposals++
	n.attempt = &attempt{
		instance:   n.view.Epoch + 1,
		reason:     reason,
		change:     change,
		startedAt:  n.now,
		supporters: make(map[Identity]bool),
		promises:   make(map[string]*chainpb.Promise),
		acceptedBy: make(map[string]bool),
	}
	if reason == chainpb.Reason_REASON_FOUND || reason == chainpb.Reason_REASON_VOTERS {
		n.startPrepare()
		return
	}
	n.attempt.ballot.nonce = n.options.Random.Uint64()
	n.sendAttempt()
}

// startPrepare starts the first phase of Paxos with a new ballot.
func (n *Node) startPrepare() {
	n.election.maxRound = max(n.election.maxRound, n.acceptor.promisedBallot.round) + 1
	n.attempt.phase = phasePrepare
	n.attempt.ballot = ballot{round: n.election.maxRound, nonce: n.options.Random.Uint64()}
	n.sendAttempt()
}

// tickAttempt abandons an attempt that timed out, and otherwise advances it or repeats its messages.
func (n *Node) tickAttempt() {
	a := n.attempt
	if n.now.Sub(a.startedAt) >= attemptTimeout {
		n.abandonAttempt()
		return
	}
	if a.phase == phasePrepare {
		n.tryStartAccept()
	}
	if n.attempt == a && n.now.Sub(a.sentAt) >= attemptResendInterval {
		n.sendAttempt()
	}
}

// sendAttempt sends the message of the current phase to all electors that have not answered it.
func (n *Node) sendAttempt() {
	a := n.attempt
	a.sentAt = n.now
	for _, member := range n.electorate() {
		if !a.hasAnswerFrom(member) {
			n.sendToElector(member, a.currentMessage())
		}
	}
	if n.injectedFaults.countLearnerVotes {
		n.sendAttemptToLearners()
	}
}

// hasAnswerFrom reports whether an elector answered the message of the current phase.
func (a *attempt) hasAnswerFrom(member Member) bool {
	key := electorKey(a.instance, member)
	switch a.phase {
	case phaseInquire:
		return a.supporters[member.Identity]
	case phasePrepare:
		return a.promises[key] != nil
	}
	return a.acceptedBy[key]
}

// currentMessage returns the message of the current phase.
func (a *attempt) currentMessage() *chainpb.Message {
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

// electorKey returns the key of an elector: its identity or, for the first view, its address.
func electorKey(instance uint64, member Member) string {
	if instance == 1 {
		return member.Address
	}
	return string(member.Identity)
}

// senderElectorKey returns the elector key of a sender, or an empty key if the sender has no vote.
func (n *Node) senderElectorKey(sender Identity) string {
	if n.view.Epoch > 0 {
		if _, voter := n.view.Voter(sender); voter || n.injectedFaults.countLearnerVotes {
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
	if n.senderElectorKey(sender) == "" {
		return
	}
	a.supporters[sender] = true
	if len(a.supporters) >= n.quorum() {
		n.startPrepare()
	}
}

// quorum returns the number of electors that form a majority.
func (n *Node) quorum() int { return len(n.electorate())/2 + 1 }

func (n *Node) receivePromise(sender Identity, promise *chainpb.Promise) {
	a := n.attempt
	if a == nil || a.phase != phasePrepare || promise.Instance != a.instance || ballotFromWire(promise.Ballot) != a.ballot {
		return
	}
	if promise.Refused != nil {
		n.election.maxRound = max(n.election.maxRound, promise.Refused.Round)
		n.abandonAttempt()
		return
	}
	key := n.senderElectorKey(sender)
	if key == "" || promise.Member.GetIdentity() != string(sender) {
		return
	}
	a.promises[key] = promise
	if a.majorityAt.IsZero() && len(a.promises) >= n.quorum() {
		a.majorityAt = n.now
	}
	n.tryStartAccept()
}

// tryStartAccept starts the second phase of Paxos once a majority has promised and the remaining electors have had a
// short time to do so.
func (n *Node) tryStartAccept() {
	a := n.attempt
	if a.majorityAt.IsZero() || (n.awaitsMorePromises() && n.now.Sub(a.majorityAt) < n.extraPromiseWait()) {
		return
	}
	value, found := n.proposedView()
	if !found {
		if n.now.Sub(a.startedAt) >= attemptTimeout/2 {
			n.abandonAttempt()
		}
		return
	}
	a.value = value
	a.phase = phaseAccept
	n.sendAttempt()
}

// awaitsMorePromises reports whether an available elector has not promised yet. A promise of an unavailable elector,
// such as a process that is stopping, does not stand in for it: the new view would include the very member that has to
// leave.
func (n *Node) awaitsMorePromises() bool {
	for _, member := range n.electorate() {
		expected := member.Identity == "" || !n.isUnavailable(member.Identity)
		if expected && n.attempt.promises[electorKey(n.attempt.instance, member)] == nil {
			return true
		}
	}
	return false
}

// extraPromiseWait returns how long to wait for promises beyond a majority.
func (n *Node) extraPromiseWait() time.Duration {
	if n.view.Epoch > 0 {
		return promiseWait
	}
	return max(promiseWait, bootstrapPromiseWait-n.attempt.startedAt.Sub(n.startedAt))
}

func (n *Node) receiveAccepted(sender Identity, accepted *chainpb.Accepted) {
	a := n.attempt
	if a == nil || a.phase != phaseAccept || accepted.Instance != a.instance || ballotFromWire(accepted.Ballot) != a.ballot {
		return
	}
	key := n.senderElectorKey(sender)
	if key == "" {
		return
	}
	a.acceptedBy[key] = true
	if len(a.acceptedBy) >= n.quorum() {
		n.announceDecision(a.value)
	}
}

// announceDecision adopts a decided view and announces it to the voters of the old and the new view and to all live
// processes.
func (n *Node) announceDecision(view View) {
	recipients := make(map[Identity]bool)
	for _, members := range [][]Member{n.view.Voters, view.Voters} {
		for _, member := range members {
			recipients[member.Identity] = true
		}
	}
	for identity := range n.membership.alive {
		recipients[identity] = true
	}
	delete(recipients, n.self.Identity)
	n.learnView(view)
	for _, identity := range slices.Sorted(maps.Keys(recipients)) {
		n.send(identity, n.viewNotice())
	}
}
