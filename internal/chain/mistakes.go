package chain

import "slices"

// mistakes are faults that tests plant to see that their checks find them. All are off in a node that New returns.
type mistakes struct {
	voteUnsynced    bool // a promise or acceptance is told before it is on disk
	readUnconfirmed bool // the head answers reads by itself
	chainOfOne      bool // a chain needs but its head
	headGoesOn      bool // a promise does not end the part in the epoch
	learnerCounts   bool // a process that is no voter promises and accepts as if it were
	twoReplacements bool // all candidates become voters in one view
}

// withAllCandidates adds every candidate to the voters. It is for the mistake of that name alone.
func (n *Node) withAllCandidates(voters []Member) []Member {
	for _, each := range n.readyCandidates() {
		present := func(voter Member) bool { return voter.Identity == each.member.Identity }
		if !slices.ContainsFunc(voters, present) {
			voters = append(voters, each.member)
		}
	}
	return voters
}
