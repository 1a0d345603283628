package chain

import (
	"slices"
	"time"

	"wallflow/internal/chain/chainpb"
)

// acceptor is a voter's part in deciding the next view. Everything but since is on disk before it is told.
type acceptor struct {
	instance uint64 // the epoch that is being decided
	promised ballot
	accepted ballot
	view     View
	since    time.Time // of the newest promise
}

// electorate is who decides the next view: the voters of this one, or for the first view the seeds, known by address alone.
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

// votes tells whether the node is one of the electorate.
func (n *Node) votes() bool {
	if n.view.Epoch == 0 {
		return n.founder
	}
	return n.isVoter() || n.mistakes.learnerCounts
}

// sendElector sends to one of the electorate.
func (n *Node) sendElector(member Member, message *chainpb.Message) {
	if member.Identity == "" {
		n.sendTo(member.Address, n.ownIdentityAt(member.Address), message)
		return
	}
	n.send(member.Identity, message)
}

func (n *Node) ownIdentityAt(address string) Identity {
	if address == n.self.Address {
		return n.self.Identity
	}
	return ""
}

// decides tells whether the node takes part in deciding the view of an epoch.
func (n *Node) decides(instance uint64) bool {
	return instance == n.view.Epoch+1 && n.votes() && !n.journal.failed
}

func (n *Node) receivePrepare(sender Identity, prepare *chainpb.Prepare) {
	if !n.decides(prepare.Instance) {
		return
	}
	asked := ballotFromWire(prepare.Ballot)
	promise := &chainpb.Promise{Instance: prepare.Instance, Ballot: prepare.Ballot, Member: memberToWire(n.self)}
	if asked.less(n.acceptor.promised) {
		promise.Refused = ballotToWire(n.acceptor.promised)
		n.send(sender, &chainpb.Message{Body: &chainpb.Message_Promise{Promise: promise}})
		return
	}
	if asked != n.acceptor.promised {
		n.acceptor.promised, n.acceptor.since = asked, n.now
	}
	promise.Installed = n.installed
	promise.Position = n.log.lastPosition()
	promise.SilentNeighbours = n.silentNeighbours()
	promise.Impaired = n.impaired()
	if !n.acceptor.accepted.zero() {
		promise.Accepted = ballotToWire(n.acceptor.accepted)
		promise.View = viewToWire(n.acceptor.view)
	}
	n.vote(sender, &chainpb.Message{Body: &chainpb.Message_Promise{Promise: promise}}, n.promiseRecord())
}

func (n *Node) receiveAccept(sender Identity, accept *chainpb.Accept) {
	if !n.decides(accept.Instance) {
		return
	}
	asked := ballotFromWire(accept.Ballot)
	if asked.less(n.acceptor.promised) {
		return
	}
	n.acceptor.promised, n.acceptor.since = asked, n.now
	n.acceptor.accepted, n.acceptor.view = asked, viewFromWire(accept.View)
	n.vote(sender, &chainpb.Message{Body: &chainpb.Message_Accepted{Accepted: &chainpb.Accepted{
		Instance: accept.Instance,
		Ballot:   accept.Ballot,
	}}}, n.acceptedRecord())
}

// vote tells a promise or acceptance once its record is on disk.
func (n *Node) vote(sender Identity, message *chainpb.Message, record Record) {
	if n.mistakes.voteUnsynced {
		n.persist(effect{}, record)
		n.send(sender, message)
		return
	}
	n.sendAfter(sender, message, record)
}

// receiveInquiry supports another's proposal if it is seen to be needed here too. One that membership has lost would take itself into each
// view that it proposes, and be dropped again: it is supported only where nothing has worked for longer. This keeps a process that hears
// nobody, or alone holds another for dead, from stopping a chain that works.
func (n *Node) receiveInquiry(sender Identity, inquiry *chainpb.Inquiry) {
	if !n.decides(inquiry.Instance) {
		return
	}
	n.election.asked = &askedSupport{by: sender, inquiry: inquiry, at: n.now}
	n.answerInquiry()
}

// answerInquiry supports the newest inquiry if the need is seen here. If it is not, it may be soon: others hear of a death later.
func (n *Node) answerInquiry() {
	asked := n.election.asked
	if asked == nil || !n.decides(asked.inquiry.Instance) || n.now.Sub(asked.at) > attemptTimeout/2 {
		return
	}
	if !n.supports(asked.by, asked.inquiry.Reason) {
		return
	}
	n.election.asked = nil
	if asked.by != n.self.Identity {
		n.election.postpone(n.now.Add(supportPause))
	}
	n.send(asked.by, &chainpb.Message{Body: &chainpb.Message_Support{Support: &chainpb.Support{
		Instance: asked.inquiry.Instance,
		Nonce:    asked.inquiry.Nonce,
	}}})
}

func (n *Node) supports(sender Identity, reason chainpb.Reason) bool {
	if sender == n.self.Identity {
		return true
	}
	if n.isGone(sender) {
		return n.now.Sub(n.confirmedAt) >= quietBeforeGone
	}
	if n.promised() {
		return true
	}
	if reason == chainpb.Reason_REASON_STUCK && n.view.Place(sender) >= 0 {
		return true
	}
	quiet := n.confirmedEpoch != n.view.Epoch || n.now.Sub(n.confirmedAt) >= quietBeforeVote
	return quiet || slices.ContainsFunc(n.view.Chain, n.isDead)
}

// silentNeighbours names the neighbours in the chain that have been silent.
func (n *Node) silentNeighbours() []string {
	if !n.inChain() || n.now.Sub(n.viewSince) < freshFor {
		return nil
	}
	var silent []string
	if !n.isHead() && n.now.Sub(n.predecessorHeardAt) >= freshFor {
		silent = append(silent, string(n.predecessor()))
	}
	if !n.isTail() && n.now.Sub(n.successorHeardAt) >= freshFor {
		silent = append(silent, string(n.successor()))
	}
	return silent
}
