package chain

import (
	"cmp"
	"slices"
	"time"

	"wallflow/internal/chain/chainpb"
)

// candidate is a learner that asks to become a voter.
type candidate struct {
	member       Member
	caughtUp     bool // by its newest join request
	firstContact time.Time
	lastContact  time.Time
}

// A learner may become a voter if it lacks at most maxLearnerLag entries, or if it has every entry that was committed
// maxLearnerDelay ago. Under continuous changes it always lacks the entries committed while its join request is on the
// way.
const (
	maxLearnerLag   = 16 // entries
	maxLearnerDelay = 600 * time.Millisecond
	maxCheckpoints  = 4 // one per heartbeat
	// maxFormerVoters is the number of removed or replaced voters at which all of them are forgotten.
	maxFormerVoters = 64
)

// checkpoint records the committed position at a time.
type checkpoint struct {
	at       time.Time
	position uint64
}

// recordCheckpoint records the committed position for comparisons with learners.
func (n *Node) recordCheckpoint() {
	copy(n.checkpoints[1:], n.checkpoints[:maxCheckpoints-1])
	n.checkpoints[0] = checkpoint{at: n.now, position: n.log.committed}
}

// isCaughtUp reports whether a learner at a position may become a voter.
func (n *Node) isCaughtUp(position uint64) bool {
	if position+maxLearnerLag >= n.log.committed {
		return true
	}
	for _, checkpoint := range n.checkpoints {
		if !checkpoint.at.IsZero() && n.now.Sub(checkpoint.at) >= maxLearnerDelay {
			return position >= checkpoint.position
		}
	}
	return false
}

// tickLearner sends join requests of a process that is not a voter: to the seeds while it knows no view, and to the
// head afterwards.
func (n *Node) tickLearner() {
	if n.isVoter() || n.impaired() || n.now.Sub(n.feed.lastJoinRequestAt) < joinRequestInterval {
		return
	}
	n.feed.lastJoinRequestAt = n.now
	if n.view.Epoch > 0 {
		n.send(n.view.Head(), n.joinRequest())
		return
	}
	for _, address := range n.options.Seeds {
		if address != n.self.Address {
			n.sendTo(address, "", n.joinRequest())
		}
	}
}

// receiveJoinRequest records a process that may become a voter. Differing epochs are handled by reconcileEpochs.
func (n *Node) receiveJoinRequest(sender Identity, fromAddress string, joinRequest *chainpb.JoinRequest) {
	member := memberFromWire(joinRequest.Member)
	if member.Identity != sender || !n.isHead() {
		return
	}
	if _, voter := n.view.Voter(sender); voter {
		return
	}
	member.Address = fromAddress
	learner, known := n.candidates[sender]
	if !known {
		learner = &candidate{firstContact: n.now}
		if n.candidates == nil {
			n.candidates = make(map[Identity]*candidate)
		}
		n.candidates[sender] = learner
	}
	learner.member, learner.caughtUp, learner.lastContact = member, n.isCaughtUp(joinRequest.Position), n.now
}

// tickVoters lets the head of an active epoch change the voters, one change at a time.
func (n *Node) tickVoters() {
	for identity, learner := range n.candidates {
		if n.now.Sub(learner.lastContact) > candidateTimeout {
			delete(n.candidates, identity)
		}
	}
	if !n.canChangeVoters() {
		return
	}
	if change := n.nextChange(); !change.isEmpty() {
		n.startAttempt(chainpb.Reason_REASON_VOTERS, change)
	}
}

// canChangeVoters reports whether this node is the head of a working chain and no change is under way or has just
// failed.
func (n *Node) canChangeVoters() bool {
	if !n.isHead() || !n.canServe() || n.impaired() || n.attempt != nil {
		return false
	}
	if n.activeSince.IsZero() || n.now.Sub(n.activeSince) < epochSettleTime || !n.Fresh(n.now) {
		return false
	}
	return n.now.After(n.voterChangeNotBefore) && n.proposalReason() == chainpb.Reason_REASON_UNSPECIFIED
}

// nextChange returns the next change of the voters. In order of preference, a candidate replaces a voter that is down,
// a candidate is added if all voters are available, a voter that is down and not needed is removed, or the chain is
// extended.
func (n *Node) nextChange() voterChange {
	for _, learner := range n.readyCandidates() {
		if voter, found := n.voterToReplace(learner.member); found {
			if n.now.Sub(learner.firstContact) >= n.replacementProbation(voter, learner.member) {
				return voterChange{add: learner.member, remove: voter.Identity}
			}
			continue
		}
		if n.now.Sub(learner.firstContact) >= n.additionProbation(learner.member.Identity) && !n.anyVoterUnavailable() {
			return voterChange{add: learner.member}
		}
	}
	if voter, found := n.removableVoter(); found {
		return voterChange{remove: voter.Identity}
	}
	return voterChange{extendChain: n.canExtendChain()}
}

// additionProbation returns how long a learner is observed before it is added as a voter. A former voter was removed
// while it was down: the sooner it votes again, the sooner the next loss can be tolerated.
func (n *Node) additionProbation(learner Identity) time.Duration {
	if _, former := n.formerVoters[learner]; former {
		return shortCandidateProbation
	}
	return candidateProbation
}

// recordFormerVoters records the voters that a newer view no longer includes.
func (n *Node) recordFormerVoters(view View) {
	if n.formerVoters == nil || len(n.formerVoters) >= maxFormerVoters {
		n.formerVoters = make(map[Identity]struct{})
	}
	for _, voter := range n.view.Voters {
		if _, stays := view.Voter(voter.Identity); !stays {
			n.formerVoters[voter.Identity] = struct{}{}
		}
	}
}

// canExtendChain reports whether the chain is shorter than its target length and an available voter is outside of it.
func (n *Node) canExtendChain() bool {
	if len(n.view.Chain) >= n.targetChainLength(n.view) || n.now.Sub(n.activeSince) < candidateProbation {
		return false
	}
	return slices.ContainsFunc(n.view.Voters, func(voter Member) bool {
		return n.view.ChainIndex(voter.Identity) < 0 && !n.isUnavailable(voter.Identity)
	})
}

// removableVoter returns a voter outside the chain that has been down for voterDownTimeout, if enough voters remain
// without it and its removal helps to tolerate the next loss. With an even number of voters the removal reduces the
// majority by one. With an odd number it does so only together with the removal of another voter that is down. The only
// voter that is down among an odd number therefore stays until it is replaced: without it the majority would be as
// large, and it could not contribute to the majority when it returns.
func (n *Node) removableVoter() (Member, bool) {
	if len(n.view.Voters) <= n.minVoters() {
		return Member{}, false
	}
	var removable []Member
	for _, voter := range n.view.Voters {
		since, down := n.membership.downSince[voter.Identity]
		if down && n.now.Sub(since) >= voterDownTimeout && n.view.ChainIndex(voter.Identity) < 0 {
			removable = append(removable, voter)
		}
	}
	needed := 1 + len(n.view.Voters)%2
	if len(removable) < needed {
		return Member{}, false
	}
	return removable[0], true
}

// minVoters returns the number of voters that still have a majority after the losses to tolerate.
func (n *Node) minVoters() int { return 2*n.options.TargetChainLength - 1 }

// readyCandidates returns the candidates that are caught up and available, in a deterministic order.
func (n *Node) readyCandidates() []*candidate {
	var ready []*candidate
	for _, learner := range n.candidates {
		if learner.caughtUp && !n.isUnavailable(learner.member.Identity) {
			ready = append(ready, learner)
		}
	}
	slices.SortFunc(ready, func(a, b *candidate) int { return cmp.Compare(a.member.Identity, b.member.Identity) })
	return ready
}

// replacementProbation returns how long a learner is observed before it replaces a voter.
func (n *Node) replacementProbation(voter, learner Member) time.Duration {
	if voter.Address == learner.Address {
		return shortCandidateProbation
	}
	return candidateProbation
}

// voterToReplace returns the voter that a learner replaces: preferably the one that was at its address, otherwise one
// that has been down for voterDownTimeout, preferably of the zone of the learner. A member of the chain has to leave
// the chain first.
func (n *Node) voterToReplace(learner Member) (Member, bool) {
	var best Member
	bestRank := 0
	for _, voter := range n.view.Voters {
		if n.view.ChainIndex(voter.Identity) >= 0 {
			continue
		}
		if rank := n.replacementRank(voter, learner); rank > bestRank {
			best, bestRank = voter, rank
		}
	}
	return best, bestRank > 0
}

// replacementRank returns how well a learner suits as the replacement of a voter, 0 if it may not replace it.
func (n *Node) replacementRank(voter, learner Member) int {
	const sameAddress, sameZone, elsewhere = 3, 2, 1
	since, down := n.membership.downSince[voter.Identity]
	_, alive := n.membership.alive[voter.Identity]
	switch {
	case voter.Address == learner.Address && !alive:
		return sameAddress
	case !down || n.now.Sub(since) < voterDownTimeout:
		return 0
	case voter.Zone == learner.Zone:
		return sameZone
	}
	return elsewhere
}

func (n *Node) anyVoterUnavailable() bool {
	return slices.ContainsFunc(n.view.Voters, func(voter Member) bool { return n.isUnavailable(voter.Identity) })
}
