package chain

import (
	"maps"
	"slices"
)

// injectedFaults are protocol violations that tests enable to verify that their checks detect them. All are off in a
// node returned by New.
type injectedFaults struct {
	sendUnsyncedVotes      bool // a promise or acceptance is sent before it is on disk
	serveUnconfirmedReads  bool // the head answers reads without a barrier through the chain
	allowSingleMemberChain bool // a chain may consist of its head alone
	ignoreEpochEnd         bool // a node continues in its epoch after a promise or a newer view
	countLearnerVotes      bool // processes that are not voters promise and accept like voters
	replaceSeveralVoters   bool // all candidates become voters in one view
}

// withAllCandidates adds every candidate to the voters, for the fault replaceSeveralVoters.
func (n *Node) withAllCandidates(voters []Member) []Member {
	for _, learner := range n.readyCandidates() {
		voters = withMember(voters, learner.member)
	}
	return voters
}

// withPromisers adds every process that promised to the voters, for the fault countLearnerVotes.
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

// sendAttemptToLearners sends the current attempt to live processes without a vote, for the fault countLearnerVotes.
func (n *Node) sendAttemptToLearners() {
	for _, identity := range slices.Sorted(maps.Keys(n.membership.alive)) {
		if _, voter := n.view.Voter(identity); !voter {
			n.send(identity, n.attempt.currentMessage())
		}
	}
}
