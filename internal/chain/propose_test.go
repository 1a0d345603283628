package chain

import (
	"testing"

	"gotest.tools/v3/assert"

	"wallflow/internal/chain/chainpb"
)

// newProposer returns one of five voters with an attempt that has the given promises, by index in the voters.
func newProposer(t *testing.T, promises map[int]*chainpb.Promise) (*Node, View) {
	t.Helper()
	s := newSettledSimulation(t, 6, 5)
	node := s.processes[0].node
	view := node.View()
	node.attempt = &attempt{instance: view.Epoch + 1, promises: make(map[string]*chainpb.Promise)}
	for place, promise := range promises {
		promise.Member = memberToWire(view.Voters[place])
		node.attempt.promises[string(view.Voters[place].Identity)] = promise
	}
	return node, view
}

// TestImpairedMemberIsNotHeadIfAnotherIsUpToDate verifies that an impaired member does not become head although it
// often has the longest log, with entries that it could not forward.
func TestImpairedMemberIsNotHeadIfAnotherIsUpToDate(t *testing.T) {
	node, view := newProposer(t, map[int]*chainpb.Promise{
		0: {Installed: 1, Position: 7, Impaired: true},
		1: {Installed: 1, Position: 5},
		2: {Installed: 0, Position: 9},
	})
	head, found := node.selectHead(view)
	assert.Assert(t, found)
	assert.Equal(t, head.Identity, view.Voters[1].Identity)
	candidates := node.chainCandidates(view, head)
	assert.Equal(t, len(candidates), 2)
	assert.Equal(t, candidates[1].member.Identity, view.Voters[0].Identity)
}

// TestImpairedMemberIsHeadIfOnlyItIsUpToDate verifies that the only promiser that installed the newest epoch becomes
// head, since it may be the only one that has every answered command.
func TestImpairedMemberIsHeadIfOnlyItIsUpToDate(t *testing.T) {
	node, view := newProposer(t, map[int]*chainpb.Promise{
		0: {Installed: 2, Position: 7, Impaired: true},
		1: {Installed: 1, Position: 7},
		2: {Installed: 1, Position: 7},
	})
	head, found := node.selectHead(view)
	assert.Assert(t, found)
	assert.Equal(t, head.Identity, view.Voters[0].Identity)
}

// TestHighestAcceptedViewIsProposed verifies that of several accepted views the one with the highest ballot is proposed
// again, since it may be decided.
func TestHighestAcceptedViewIsProposed(t *testing.T) {
	accepted := func(round uint64, head Identity) *chainpb.Promise {
		view := View{Epoch: 2, Voters: []Member{{Identity: head}}, Chain: []Identity{head}}
		return &chainpb.Promise{Accepted: &chainpb.Ballot{Round: round, Nonce: 1}, View: viewToWire(view)}
	}
	for range 20 { // map iteration order is random
		n := &Node{attempt: &attempt{promises: map[string]*chainpb.Promise{
			"a": accepted(3, "third"), "b": accepted(7, "seventh"), "c": accepted(5, "fifth"), "d": {},
		}}}
		view, found := n.highestAcceptedView()
		assert.Assert(t, found)
		assert.Equal(t, view.Head(), Identity("seventh"))
	}
}

// TestChainSpansTwoZones verifies that the chain includes a member of another zone than that of the head if there is
// one, even if it is the last candidate otherwise.
func TestChainSpansTwoZones(t *testing.T) {
	member := func(name, zone string) Member {
		return Member{Identity: Identity(name), Name: name, Zone: zone, Region: "r"}
	}
	head := member("head", "a")
	candidatesOf := func(members ...Member) (candidates []chainCandidate) {
		for _, each := range members {
			candidates = append(candidates, chainCandidate{member: each})
		}
		return candidates
	}
	near, nearer, far, farther := member("near", "a"), member("nearer", "a"), member("far", "b"), member("farther", "c")
	for _, c := range []struct {
		name       string
		candidates []chainCandidate
		length     int
		want       []Member
	}{
		{"best candidate in another zone", candidatesOf(far, near), 2, []Member{far}},
		{"last candidate in another zone", candidatesOf(near, nearer, far), 2, []Member{far}},
		{"last member of a longer chain is replaced", candidatesOf(near, nearer, far, farther), 3, []Member{near, far}},
		{"a selected member in another zone", candidatesOf(near, far, farther), 3, []Member{near, far}},
		{"no candidate in another zone", candidatesOf(near, nearer), 2, []Member{near}},
		{"head alone", candidatesOf(near, far), 1, nil},
	} {
		assert.DeepEqual(t, selectMembers(head, c.candidates, c.length), c.want)
	}
}

// TestMemberWithLongestLogBecomesHead verifies that of otherwise equal members the one with the longest log becomes
// head. The fewest entries have to be sent then, and its uncommitted entries are committed instead of lost.
func TestMemberWithLongestLogBecomesHead(t *testing.T) {
	node, view := newProposer(t, map[int]*chainpb.Promise{
		0: {Installed: 1, Position: 5},
		1: {Installed: 1, Position: 9},
		2: {Installed: 1, Position: 7},
	})
	head, found := node.selectHead(view)
	assert.Assert(t, found)
	assert.Equal(t, head.Identity, view.Voters[1].Identity)
}
