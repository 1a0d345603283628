package chain

import (
	"cmp"
	"slices"
	"time"

	"wallflow/internal/chain/chainpb"
)

// candidate is a process that asks to become a voter.
type candidate struct {
	member   Member
	caughtUp bool // as of its newest join request
	since    time.Time
	heardAt  time.Time
}

// A learner may be taken as a voter if it lacks few entries, or holds what was committed a while ago: where many changes go through, it
// always lacks those of the time in which its word comes here.
const (
	caughtUpEntries = 16
	caughtUpWithin  = 600 * time.Millisecond
	checkpointsHeld = 4
	// formerVotersMost is how many voters that were dropped or replaced are remembered; then all are forgotten.
	formerVotersMost = 64
)

// checkpoint remembers what was committed at a time.
type checkpoint struct {
	at       time.Time
	position uint64
}

// takeCheckpoint keeps what is committed now for comparisons with learners.
func (n *Node) takeCheckpoint() {
	copy(n.checkpoints[1:], n.checkpoints[:checkpointsHeld-1])
	n.checkpoints[0] = checkpoint{at: n.now, position: n.log.committed}
}

// isCaughtUp tells whether a learner at a position may become a voter.
func (n *Node) isCaughtUp(position uint64) bool {
	if position+caughtUpEntries >= n.log.committed {
		return true
	}
	for _, checkpoint := range n.checkpoints {
		if !checkpoint.at.IsZero() && n.now.Sub(checkpoint.at) >= caughtUpWithin {
			return position >= checkpoint.position
		}
	}
	return false
}

// tickLearner makes a process that has no vote known: to the seeds while it knows no view, then to the head.
func (n *Node) tickLearner() {
	if n.isVoter() || n.impaired() || n.now.Sub(n.feed.joinRequestedAt) < joinRequestInterval {
		return
	}
	n.feed.joinRequestedAt = n.now
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

// receiveJoinRequest notes a process that may become a voter. That its epoch is older, or newer, was dealt with before.
func (n *Node) receiveJoinRequest(sender Identity, from string, joinRequest *chainpb.JoinRequest) {
	member := memberFromWire(joinRequest.Member)
	if member.Identity != sender || !n.isHead() {
		return
	}
	if _, voter := n.view.Voter(sender); voter {
		return
	}
	member.Address = from
	each, known := n.candidates[sender]
	if !known {
		each = &candidate{since: n.now}
		if n.candidates == nil {
			n.candidates = make(map[Identity]*candidate)
		}
		n.candidates[sender] = each
	}
	each.member, each.caughtUp, each.heardAt = member, n.isCaughtUp(joinRequest.Position), n.now
}

// tickVoters lets the head of an active epoch change the voters, by one at a time.
func (n *Node) tickVoters() {
	for identity, each := range n.candidates {
		if n.now.Sub(each.heardAt) > candidateForget {
			delete(n.candidates, identity)
		}
	}
	if !n.mayChangeVoters() {
		return
	}
	if change := n.nextChange(); !change.none() {
		n.startAttempt(chainpb.Reason_REASON_VOTERS, change)
	}
}

func (n *Node) mayChangeVoters() bool {
	if !n.isHead() || !n.serving() || n.impaired() || n.attempt != nil {
		return false
	}
	if n.activeSince.IsZero() || n.now.Sub(n.activeSince) < activeSteady || !n.Fresh(n.now) {
		return false
	}
	return n.now.After(n.votersAfter) && n.suspicion() == chainpb.Reason_REASON_UNSPECIFIED
}

// nextChange takes the candidate that replaces a dead voter, or else one more voter if all are alive, or else drops a dead voter
// that is not needed.
func (n *Node) nextChange() voterChange {
	for _, each := range n.readyCandidates() {
		if dead, found := n.replaceable(each.member); found {
			if n.now.Sub(each.since) >= n.steadiness(dead, each.member) {
				return voterChange{add: each.member, remove: dead.Identity}
			}
			continue
		}
		if n.now.Sub(each.since) >= n.patienceWith(each.member.Identity) && !n.anyVoterDead() {
			return voterChange{add: each.member}
		}
	}
	if dead, found := n.superfluous(); found {
		return voterChange{remove: dead.Identity}
	}
	return voterChange{lengthen: n.mayLengthen()}
}

// patienceWith is how long a learner is watched before it becomes one more voter. One that voted before was dropped while it was lost: the
// sooner it votes again, the sooner the next loss can be borne.
func (n *Node) patienceWith(learner Identity) time.Duration {
	if _, former := n.formerVoters[learner]; former {
		return candidateReturned
	}
	return candidateSteady
}

// noteFormerVoters remembers who votes no more with a newer view.
func (n *Node) noteFormerVoters(view View) {
	if n.formerVoters == nil || len(n.formerVoters) >= formerVotersMost {
		n.formerVoters = make(map[Identity]struct{})
	}
	for _, voter := range n.view.Voters {
		if _, stays := view.Voter(voter.Identity); !stays {
			n.formerVoters[voter.Identity] = struct{}{}
		}
	}
}

// mayLengthen tells whether the chain is shorter than wanted, and a voter outside of it can be counted on.
func (n *Node) mayLengthen() bool {
	if len(n.view.Chain) >= n.desiredChainLength(n.view) || n.now.Sub(n.activeSince) < candidateSteady {
		return false
	}
	return slices.ContainsFunc(n.view.Voters, func(voter Member) bool {
		return n.view.Place(voter.Identity) < 0 && !n.isDead(voter.Identity)
	})
}

// superfluous finds a voter that is dead for long and outside the chain, where enough stay without it and its removal brings the
// living nearer to bearing the next loss: with an even number of voters the majority shrinks by one, with an odd one it does once
// another dead voter is removed after it. The only dead one of an odd number stays a voter until it is replaced: without it the
// majority would be as large, and it could not help to make it up when it returns.
func (n *Node) superfluous() (Member, bool) {
	if len(n.view.Voters) <= n.leastVoters() {
		return Member{}, false
	}
	var removable []Member
	for _, voter := range n.view.Voters {
		since, dead := n.membership.deadSince[voter.Identity]
		if dead && n.now.Sub(since) >= voterDead && n.view.Place(voter.Identity) < 0 {
			removable = append(removable, voter)
		}
	}
	needed := 1 + len(n.view.Voters)%2
	if len(removable) < needed {
		return Member{}, false
	}
	return removable[0], true
}

// leastVoters is the number of voters of which as many as may be lost at once leave a majority.
func (n *Node) leastVoters() int { return 2*n.options.MinimumChain - 1 }

// readyCandidates are those that have caught up, in a fixed order.
func (n *Node) readyCandidates() []*candidate {
	var ready []*candidate
	for _, each := range n.candidates {
		if each.caughtUp && !n.isDead(each.member.Identity) {
			ready = append(ready, each)
		}
	}
	slices.SortFunc(ready, func(a, b *candidate) int { return cmp.Compare(a.member.Identity, b.member.Identity) })
	return ready
}

func (n *Node) steadiness(dead, learner Member) time.Duration {
	if dead.Address == learner.Address {
		return candidateReturned
	}
	return candidateSteady
}

// replaceable finds the dead voter whose place a learner takes: the one at its address, or one that is dead for long, of its own
// zone if there is one. Members of the chain have to leave that first.
func (n *Node) replaceable(learner Member) (Member, bool) {
	var best Member
	bestRank := 0
	for _, voter := range n.view.Voters {
		if n.view.Place(voter.Identity) >= 0 {
			continue
		}
		if rank := n.replaceRank(voter, learner); rank > bestRank {
			best, bestRank = voter, rank
		}
	}
	return best, bestRank > 0
}

func (n *Node) replaceRank(voter, learner Member) int {
	const sameAddress, sameZone, elsewhere = 3, 2, 1
	since, dead := n.membership.deadSince[voter.Identity]
	_, alive := n.membership.alive[voter.Identity]
	switch {
	case voter.Address == learner.Address && !alive:
		return sameAddress
	case !dead || n.now.Sub(since) < voterDead:
		return 0
	case voter.Zone == learner.Zone:
		return sameZone
	}
	return elsewhere
}

func (n *Node) anyVoterDead() bool {
	return slices.ContainsFunc(n.view.Voters, func(voter Member) bool { return n.isDead(voter.Identity) })
}
