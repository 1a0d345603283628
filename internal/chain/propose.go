package chain

import (
	"cmp"
	"slices"

	"wallflow/internal/chain/chainpb"
)

// proposedView returns the view to propose after a majority has promised: the accepted view of the highest ballot, as
// it may already be decided, or a new view.
func (n *Node) proposedView() (View, bool) {
	if accepted, found := n.highestAcceptedView(); found {
		return accepted, true
	}
	return n.buildView()
}

// highestAcceptedView returns the view that a promiser accepted under the highest ballot, if any promiser accepted one.
func (n *Node) highestAcceptedView() (View, bool) {
	var highest ballot
	var view View
	for _, promise := range n.attempt.promises {
		accepted := ballotFromWire(promise.Accepted)
		if promise.View != nil && highest.less(accepted) {
			highest, view = accepted, viewFromWire(promise.View)
		}
	}
	return view, !highest.isZero()
}

// buildView makes a new view from the promises. It returns false if there are too few promisers for a chain.
func (n *Node) buildView() (View, bool) {
	a := n.attempt
	view := View{Epoch: a.instance, Voters: n.nextVoters()}
	head, found := n.selectHead(view)
	if !found {
		return View{}, false
	}
	candidates := n.chainCandidates(view, head)
	length := n.chainLength(view, candidates)
	if length < n.minChainLength(view) {
		return View{}, false
	}
	selected := selectMembers(head, candidates, length)
	view.Chain = orderChain(head, selected)
	return view, true
}

// chainLength returns the number of members of the new chain: the target length, limited by the number of candidates. A
// candidate that membership reports as down is used only if the chain would be too short without it, as the next view
// would remove it again.
func (n *Node) chainLength(view View, candidates []chainCandidate) int {
	up := 0
	for _, candidate := range candidates {
		if !candidate.down {
			up++
		}
	}
	length := min(n.targetChainLength(view), max(up+1, n.minChainLength(view)))
	return min(length, len(candidates)+1)
}

// minChainLength returns the length that a chain needs at least: a majority of the voters.
func (n *Node) minChainLength(view View) int {
	if n.injectedFaults.allowSingleMemberChain {
		return 1
	}
	return view.Majority()
}

// targetChainLength returns the chain length when no process is lost: one more than the number of simultaneous losses
// to tolerate. After a loss a shorter chain of at least minChainLength continues, since a chain that waits for a lost
// disk could wait forever.
func (n *Node) targetChainLength(view View) int {
	minimum := n.minChainLength(view)
	if n.injectedFaults.allowSingleMemberChain {
		return minimum
	}
	return max(minimum, min(n.options.TargetChainLength, len(view.Voters)))
}

// nextVoters returns the voters of the new view: those of the current view with the change of the attempt or, for the
// first view, the seeds that promised.
func (n *Node) nextVoters() []Member {
	a := n.attempt
	if n.view.Epoch == 0 {
		var founders []Member
		for _, address := range n.options.Seeds {
			if promise := a.promises[address]; promise != nil {
				founders = append(founders, memberFromWire(promise.Member))
			}
		}
		return founders
	}
	voters := slices.Clone(n.view.Voters)
	for i, voter := range voters {
		if promise := a.promises[string(voter.Identity)]; promise != nil {
			voters[i] = memberFromWire(promise.Member) // its address may have changed
		}
	}
	if n.injectedFaults.countLearnerVotes {
		voters = n.withPromisers(voters)
	}
	if a.change.isEmpty() {
		return voters
	}
	voters = slices.DeleteFunc(voters, func(voter Member) bool { return voter.Identity == a.change.remove })
	if a.change.addsVoter() {
		voters = append(voters, a.change.add)
	}
	if n.injectedFaults.replaceSeveralVoters {
		voters = n.withAllCandidates(voters)
	}
	return voters
}

// selectHead chooses the head of the new view among the promisers with the newest installed epoch. Every answered
// command passed through all chain members of that epoch, so each of these promisers has all of them. Among them it
// prefers, in this order, one that is not impaired, one that membership does not report as down, the one with the
// longest log, and the current head.
func (n *Node) selectHead(view View) (Member, bool) {
	var head Member
	var newest *chainpb.Promise
	for _, voter := range view.Voters {
		promise := n.attempt.promises[electorKey(n.attempt.instance, voter)]
		if promise == nil {
			continue
		}
		preference := 1
		if newest != nil {
			preference = cmp.Or(
				cmp.Compare(promise.Installed, newest.Installed),
				compareBools(newest.Impaired, promise.Impaired),
				compareBools(n.isDown(head.Identity), n.isDown(voter.Identity)),
				cmp.Compare(promise.Position, newest.Position),
			)
		}
		if preference > 0 || (preference == 0 && voter.Identity == n.view.Head()) {
			head, newest = voter, promise
		}
	}
	return head, newest != nil
}

// chainCandidate is a possible chain member behind the head, with the properties by which candidates are ranked.
type chainCandidate struct {
	member       Member
	impaired     bool // its disk is too slow or failed, or it is leaving
	down         bool // membership reports it as down, although it promised
	silent       bool // a chain neighbour has not received anything from it recently
	outsideChain bool // it is not in the current chain
	newcomer     bool // it becomes a voter with this view and so cannot have promised
	distance     int  // to the head
}

// chainCandidates returns the possible chain members behind a head, the best first.
func (n *Node) chainCandidates(view View, head Member) []chainCandidate {
	silentMembers := n.silentMembers(head)
	var candidates []chainCandidate
	for _, voter := range view.Voters {
		promise := n.attempt.promises[electorKey(n.attempt.instance, voter)]
		promised := promise != nil
		newcomer := !promised && voter.Identity == n.attempt.change.add.Identity
		if voter.Identity == head.Identity || (!promised && !newcomer) {
			continue
		}
		candidates = append(candidates, chainCandidate{
			member:       voter,
			impaired:     promise.GetImpaired(),
			down:         n.view.Epoch > 0 && n.isDown(voter.Identity),
			silent:       silentMembers[voter.Identity],
			outsideChain: n.view.ChainIndex(voter.Identity) < 0,
			newcomer:     newcomer,
			distance:     distance(head, voter),
		})
	}
	slices.SortStableFunc(candidates, compareCandidates)
	return candidates
}

// silentMembers returns the members, except the head, that a promiser reports as silent neighbours.
func (n *Node) silentMembers(head Member) map[Identity]bool {
	silent := make(map[Identity]bool)
	for _, promise := range n.attempt.promises {
		for _, identity := range promise.SilentNeighbours {
			silent[Identity(identity)] = true
		}
	}
	delete(silent, head.Identity)
	return silent
}

// compareCandidates orders candidates from best to worst.
func compareCandidates(a, b chainCandidate) int {
	return cmp.Or(
		compareBools(a.newcomer, b.newcomer),
		compareBools(a.down, b.down),
		compareBools(a.impaired, b.impaired),
		compareBools(a.silent, b.silent),
		compareBools(a.outsideChain, b.outsideChain),
		cmp.Compare(a.distance, b.distance),
		cmp.Compare(a.member.Identity, b.member.Identity),
	)
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// distance ranks the network distance between two members: same zone, same region, different regions.
func distance(a, b Member) int {
	switch {
	case a.Zone == b.Zone:
		return 0
	case a.Region == b.Region:
		return 1
	}
	return 2
}

// selectMembers returns the best candidates for a chain of a length that includes the head. If all of them are in the
// zone of the head, the last one is replaced by the best candidate of another zone, if there is one.
func selectMembers(head Member, candidates []chainCandidate, length int) []Member {
	var selected []Member
	for _, candidate := range candidates[:length-1] {
		selected = append(selected, candidate.member)
	}
	sameZone := func(member Member) bool { return member.Zone == head.Zone }
	if len(selected) == 0 || !allMembers(selected, sameZone) {
		return selected
	}
	for _, candidate := range candidates[length-1:] {
		if !sameZone(candidate.member) {
			selected[len(selected)-1] = candidate.member
			break
		}
	}
	return selected
}

func allMembers(members []Member, condition func(Member) bool) bool {
	return !slices.ContainsFunc(members, func(member Member) bool { return !condition(member) })
}

// orderChain orders the chain so that it passes through each region and zone once, starting with those of the head.
func orderChain(head Member, members []Member) []Identity {
	slices.SortStableFunc(members, func(a, b Member) int {
		return cmp.Or(
			compareBools(a.Region != head.Region, b.Region != head.Region),
			cmp.Compare(a.Region, b.Region),
			compareBools(a.Zone != head.Zone, b.Zone != head.Zone),
			cmp.Compare(a.Zone, b.Zone),
			cmp.Compare(a.Identity, b.Identity),
		)
	})
	chain := []Identity{head.Identity}
	for _, member := range members {
		chain = append(chain, member.Identity)
	}
	return chain
}
