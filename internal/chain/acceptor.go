package chain

import (
	"slices"
	"time"

	"wallflow/internal/chain/chainpb"
)

// acceptor is the Paxos acceptor state of a voter. All of it except promisedAt is on disk before a message reveals it.
type acceptor struct {
	instance       uint64 // epoch of the view to decide
	promisedBallot ballot
	acceptedBallot ballot
	acceptedView   View
	promisedAt     time.Time // time of the newest promise or acceptance
}

// electorate returns the processes that decide the next view: the voters of the current view or, for the first view,
// the seeds, of which only the address is known.
func (n *Node) electorate() []Member {
	if n.view.Epoch > 0 {
		return n.view.Voters
	}
	members := make([]Member, 0, len(n.options.Seeds))
	for _, address := range n.options.Seeds {
		members = append(members, Member{Address: address})
	}
	return members
}

// isElector reports whether the node belongs to the electorate.
func (n *Node) isElector() bool {
	if n.view.Epoch == 0 {
		return n.founder
	}
	return n.isVoter() || n.injectedFaults.countLearnerVotes
}

// sendToElector sends to an elector, by address if its identity is not known.
func (n *Node) sendToElector(member Member, message *chainpb.Message) {
	if member.Identity == "" {
		n.sendTo(member.Address, n.selfIdentityAt(member.Address), message)
		return
	}
	n.send(member.Identity, message)
}

// selfIdentityAt returns the identity of this node if the address is its own, and an empty one otherwise.
func (n *Node) selfIdentityAt(address string) Identity {
	if address == n.self.Address {
		return n.self.Identity
	}
	return ""
}

// participatesIn reports whether the node takes part in deciding the view of an epoch.
func (n *Node) participatesIn(instance uint64) bool {
	return instance == n.view.Epoch+1 && n.isElector() && !n.journal.failed
}

// receivePrepare promises to ignore lower ballots, unless a higher ballot was promised already.
func (n *Node) receivePrepare(sender Identity, prepare *chainpb.Prepare) {
	if !n.participatesIn(prepare.Instance) {
		return
	}
	requested := ballotFromWire(prepare.Ballot)
	promise := &chainpb.Promise{Instance: prepare.Instance, Ballot: prepare.Ballot, Member: memberToWire(n.self)}
	if requested.less(n.acceptor.promisedBallot) {
		promise.Refused = ballotToWire(n.acceptor.promisedBallot)
		n.send(sender, &chainpb.Message{Body: &chainpb.Message_Promise{Promise: promise}})
		return
	}
	if requested != n.acceptor.promisedBallot {
		n.acceptor.promisedBallot, n.acceptor.promisedAt = requested, n.now
	}
	promise.Installed = n.installedEpoch
	promise.Position = n.log.lastPosition()
	promise.SilentNeighbours = n.silentNeighbours()
	promise.Impaired = n.impaired()
	if !n.acceptor.acceptedBallot.isZero() {
		promise.Accepted = ballotToWire(n.acceptor.acceptedBallot)
		promise.View = viewToWire(n.acceptor.acceptedView)
	}
	n.sendVote(sender, &chainpb.Message{Body: &chainpb.Message_Promise{Promise: promise}}, n.promiseRecord())
}

// receiveAccept accepts a view, unless a higher ballot was promised.
func (n *Node) receiveAccept(sender Identity, accept *chainpb.Accept) {
	if !n.participatesIn(accept.Instance) {
		return
	}
	requested := ballotFromWire(accept.Ballot)
	if requested.less(n.acceptor.promisedBallot) {
		return
	}
	n.acceptor.promisedBallot, n.acceptor.promisedAt = requested, n.now
	n.acceptor.acceptedBallot, n.acceptor.acceptedView = requested, viewFromWire(accept.View)
	n.sendVote(sender, &chainpb.Message{Body: &chainpb.Message_Accepted{Accepted: &chainpb.Accepted{
		Instance: accept.Instance,
		Ballot:   accept.Ballot,
	}}}, n.acceptedRecord())
}

// sendVote sends a promise or an acceptance once its record is on disk.
func (n *Node) sendVote(sender Identity, message *chainpb.Message, record Record) {
	if n.injectedFaults.sendUnsyncedVotes {
		n.persist(effect{}, record)
		n.send(sender, message)
		return
	}
	n.sendAfterSync(sender, message, record)
}

// receiveInquiry supports the proposal of another voter if this node sees the need for a new view as well. A proposer
// that membership reports as down includes itself in every view that it proposes, only to be removed again, so it is
// supported only after a longer time without confirmation of the epoch. This prevents a process that receives nothing,
// or that alone considers another one down, from disrupting a working chain.
func (n *Node) receiveInquiry(sender Identity, inquiry *chainpb.Inquiry) {
	if !n.participatesIn(inquiry.Instance) {
		return
	}
	n.election.pendingInquiry = &unsupportedInquiry{from: sender, inquiry: inquiry, receivedAt: n.now}
	n.answerPendingInquiry()
}

// answerPendingInquiry supports the newest inquiry if this node sees the need for a new view. Otherwise it keeps the
// inquiry for half an attempt, as this node may notice a failure later than the proposer.
func (n *Node) answerPendingInquiry() {
	pendingInquiry := n.election.pendingInquiry
	if pendingInquiry == nil || !n.participatesIn(pendingInquiry.inquiry.Instance) || n.now.Sub(pendingInquiry.receivedAt) > attemptTimeout/2 {
		return
	}
	if !n.shouldSupport(pendingInquiry.from, pendingInquiry.inquiry.Reason) {
		return
	}
	n.election.pendingInquiry = nil
	if pendingInquiry.from != n.self.Identity {
		n.election.delayUntil(n.now.Add(supportBackoff))
	}
	n.send(pendingInquiry.from, &chainpb.Message{Body: &chainpb.Message_Support{Support: &chainpb.Support{
		Instance: pendingInquiry.inquiry.Instance,
		Nonce:    pendingInquiry.inquiry.Nonce,
	}}})
}

// shouldSupport reports whether this node sees the need for a new view that a sender wants to propose.
func (n *Node) shouldSupport(sender Identity, reason chainpb.Reason) bool {
	if sender == n.self.Identity {
		return true
	}
	if n.isDown(sender) {
		return n.now.Sub(n.confirmedAt) >= unconfirmedBeforeDownSupport
	}
	if n.hasPromised() {
		return true
	}
	if reason == chainpb.Reason_REASON_STUCK && n.view.ChainIndex(sender) >= 0 {
		return true
	}
	unconfirmed := n.confirmedEpoch != n.view.Epoch || n.now.Sub(n.confirmedAt) >= unconfirmedBeforeSupport
	return unconfirmed || slices.ContainsFunc(n.view.Chain, n.isUnavailable)
}

// silentNeighbours returns the chain neighbours from which nothing was received for confirmationValidity.
func (n *Node) silentNeighbours() []string {
	if !n.inChain() || n.now.Sub(n.viewLearnedAt) < confirmationValidity {
		return nil
	}
	var silent []string
	if !n.isHead() && n.now.Sub(n.predecessorLastContact) >= confirmationValidity {
		silent = append(silent, string(n.predecessor()))
	}
	if !n.isTail() && n.now.Sub(n.successorLastContact) >= confirmationValidity {
		silent = append(silent, string(n.successor()))
	}
	return silent
}
