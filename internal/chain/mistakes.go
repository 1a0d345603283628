package chain

import (
	"maps"
	"slices"
)

// mistakes are faults that tests plant to see that their checks find them. All are off in a node that New returns.
type mistakes struct {
	voteUnsynced    bool // a promise or acceptance is told before it is on disk
	readUnconfirmed bool // the head answers reads by itself
	chainOfOne      bool // a chain needs but its head
	headGoesOn      bool // neither a promise nor a newer view ends the part in the epoch
	learnerCounts   bool // a process that is no voter promises and accepts as if it were
	twoReplacements bool // all candidates become voters in one view
}

// withAllCandidates adds every candidate to the voters. It is for the mistake of that name alone.
func (n *Node) withAllCandidates(voters []Member) []Member {
	for _, each := range n.readyCandidates() {
		voters = withMember(voters, each.member)
	}
	return voters
}

// withPromisers adds whoever promised. It is for the mistake of learners that count alone.
func (n *Node) withPromisers(voters []Member) []Member {
	for _, key := range slices.Sorted(maps.Keys(n.attempt.promises)) {
		voters = withMember(voters, memberFromWire(n.attempt.promises[key].Member))
	}
	return voters
}

func withMember(members []Member, member Member) []Member {
	present := func(other Member) bool { return other.Identity == member.Identity }
	if slices.ContainsFunc(members, present) {
		return members
	}
	return append(members, member)
}

// askLearners asks processes without a vote for theirs. It is for the mistake of learners that count alone.
func (n *Node) askLearners() {
	for _, identity := range slices.Sorted(maps.Keys(n.membership.alive)) {
		if _, voter := n.view.Voter(identity); !voter {
			n.send(identity, n.attempt.message())
		}
	}
}
