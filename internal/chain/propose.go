package chain

import (
	"cmp"
	"slices"

	"wallflow/internal/chain/chainpb"
)

// proposedView is the view to propose with the promises at hand: one that may have been decided already, or a new one.
func (n *Node) proposedView() (View, bool) {
	if earlier, found := n.earlierView(); found {
		return earlier, true
	}
	return n.buildView()
}

// earlierView is the accepted view of the highest ballot among the promises.
func (n *Node) earlierView() (View, bool) {
	var highest ballot
	var view View
	for _, promise := range n.attempt.promises {
		accepted := ballotFromWire(promise.Accepted)
		if promise.View != nil && highest.less(accepted) {
			highest, view = accepted, viewFromWire(promise.View)
		}
	}
	return view, !highest.zero()
}

// buildView makes a new view of those who promised. It fails if they are too few for a chain.
func (n *Node) buildView() (View, bool) {
	a := n.attempt
	view := View{Epoch: a.instance, Voters: n.nextVoters()}
	head, found := n.nextHead(view)
	if !found {
		return View{}, false
	}
	candidates := n.chainCandidates(view, head)
	length := n.chainLength(view, candidates)
	if length < n.leastChainLength(view) {
		return View{}, false
	}
	chosen := chooseMembers(head, candidates, length)
	view.Chain = orderChain(head, chosen)
	return view, true
}

// chainLength is as many members as are wanted, or as there are. One that membership holds for gone is taken only where a chain would be
// too short without it: the next view would drop it again.
func (n *Node) chainLength(view View, candidates []chainCandidate) int {
	present := 0
	for _, candidate := range candidates {
		if !candidate.gone {
			present++
		}
	}
	length := min(n.desiredChainLength(view), max(present+1, n.leastChainLength(view)))
	return min(length, len(candidates)+1)
}

// leastChainLength is the length below which a chain does not work: a majority of the voters.
func (n *Node) leastChainLength(view View) int {
	if n.mistakes.chainOfOne {
		return 1
	}
	return view.Majority()
}

// desiredChainLength is the length of a chain in calm times: more than may be lost at once. Where the voters are too few for a majority to
// outlast that, a shorter chain goes on after a loss, since one that waits for a lost disk would wait for ever.
func (n *Node) desiredChainLength(view View) int {
	least := n.leastChainLength(view)
	if n.mistakes.chainOfOne {
		return least
	}
	return max(least, min(n.options.MinimumChain, len(view.Voters)))
}

// nextVoters are the voters of this view with the change of the attempt, or the founders.
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
			voters[i] = memberFromWire(promise.Member) // its address may be another now
		}
	}
	if n.mistakes.learnerCounts {
		voters = n.withPromisers(voters)
	}
	if a.change.none() {
		return voters
	}
	voters = slices.DeleteFunc(voters, func(voter Member) bool { return voter.Identity == a.change.remove })
	if a.change.adds() {
		voters = append(voters, a.change.add)
	}
	if n.mistakes.twoReplacements {
		voters = n.withAllCandidates(voters)
	}
	return voters
}

// nextHead is one of the promisers that installed the newest epoch. What was answered passed through every member of the chain, so
// each of them holds it all. One whose disk keeps up goes first, then one that membership does not hold for gone, then the one with the
// longest log, and who is the head already stays it where logs are equal.
func (n *Node) nextHead(view View) (Member, bool) {
	var head Member
	var newest *chainpb.Promise
	for _, voter := range view.Voters {
		promise := n.attempt.promises[electorKey(n.attempt.instance, voter)]
		if promise == nil {
			continue
		}
		order := 1
		if newest != nil {
			order = cmp.Or(
				cmp.Compare(promise.Installed, newest.Installed),
				compareFlags(newest.Impaired, promise.Impaired),
				compareFlags(n.isGone(head.Identity), n.isGone(voter.Identity)),
				cmp.Compare(promise.Position, newest.Position),
			)
		}
		if order > 0 || (order == 0 && voter.Identity == n.view.Head()) {
			head, newest = voter, promise
		}
	}
	return head, newest != nil
}

// chainCandidate is one that may be a member of the chain, with what speaks for and against it.
type chainCandidate struct {
	member   Member
	impaired bool // its disk does not keep up
	gone     bool // membership holds it for gone, though it promised
	silent   bool // a neighbour has not heard it lately
	outside  bool // it is not in the chain now
	newcomer bool // it did not promise, as it becomes a voter with this view
	distance int
}

// chainCandidates are the members that may follow a head, the best first.
func (n *Node) chainCandidates(view View, head Member) []chainCandidate {
	complaints := n.complaints(head)
	var candidates []chainCandidate
	for _, voter := range view.Voters {
		promise := n.attempt.promises[electorKey(n.attempt.instance, voter)]
		promised := promise != nil
		newcomer := !promised && voter.Identity == n.attempt.change.add.Identity
		if voter.Identity == head.Identity || (!promised && !newcomer) {
			continue
		}
		candidates = append(candidates, chainCandidate{
			member:   voter,
			impaired: promise.GetImpaired(),
			gone:     n.view.Epoch > 0 && n.isGone(voter.Identity),
			silent:   complaints[voter.Identity],
			outside:  n.view.Place(voter.Identity) < 0,
			newcomer: newcomer,
			distance: distance(head, voter),
		})
	}
	slices.SortStableFunc(candidates, compareCandidates)
	return candidates
}

// complaints are those whom a neighbour in the chain has not heard, the head's own complaints or all of them.
func (n *Node) complaints(head Member) map[Identity]bool {
	silent := make(map[Identity]bool)
	for _, promise := range n.attempt.promises {
		for _, identity := range promise.SilentNeighbours {
			silent[Identity(identity)] = true
		}
	}
	delete(silent, head.Identity)
	return silent
}

func compareCandidates(a, b chainCandidate) int {
	return cmp.Or(
		compareFlags(a.newcomer, b.newcomer),
		compareFlags(a.gone, b.gone),
		compareFlags(a.impaired, b.impaired),
		compareFlags(a.silent, b.silent),
		compareFlags(a.outside, b.outside),
		cmp.Compare(a.distance, b.distance),
		cmp.Compare(a.member.Identity, b.member.Identity),
	)
}

// compareFlags puts the one without the flag first.
func compareFlags(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// distance grows with the cost of the way between two members.
func distance(a, b Member) int {
	switch {
	case a.Zone == b.Zone:
		return 0
	case a.Region == b.Region:
		return 1
	}
	return 2
}

// chooseMembers takes as many as the chain is to have beside the head, and one of another zone if there is any.
func chooseMembers(head Member, candidates []chainCandidate, length int) []Member {
	var chosen []Member
	for _, candidate := range candidates[:length-1] {
		chosen = append(chosen, candidate.member)
	}
	sameZone := func(member Member) bool { return member.Zone == head.Zone }
	if len(chosen) == 0 || !allMembers(chosen, sameZone) {
		return chosen
	}
	for _, candidate := range candidates[length-1:] {
		if !sameZone(candidate.member) {
			chosen[len(chosen)-1] = candidate.member
			break
		}
	}
	return chosen
}

func allMembers(members []Member, holds func(Member) bool) bool {
	return !slices.ContainsFunc(members, func(member Member) bool { return !holds(member) })
}

// orderChain lays the chain so that it passes each region and zone once, the head's first.
func orderChain(head Member, members []Member) []Identity {
	slices.SortStableFunc(members, func(a, b Member) int {
		return cmp.Or(
			compareFlags(a.Region != head.Region, b.Region != head.Region),
			cmp.Compare(a.Region, b.Region),
			compareFlags(a.Zone != head.Zone, b.Zone != head.Zone),
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
