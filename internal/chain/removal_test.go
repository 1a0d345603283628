package chain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestPlannedReplacementRemovesOldVoter covers the planned replacement of a machine: the new one becomes a fourth
// voter, then the old one is shut down for good. The old one has to be removed, so that losing one more disk while all
// processes are killed leaves a majority.
func TestPlannedReplacementRemovesOldVoter(t *testing.T) {
	for seed := range int64(20) {
		s := newSettledSimulation(t, seed, 3)
		old := s.processes[seed%3]
		replacement := s.addProcess(4)
		replacement.self.Zone, replacement.self.Region = old.self.Zone, old.self.Region
		replacement.start(false)
		s.runUntil(8*time.Second, func() bool { return len(s.newestView().Voters) == 4 })
		identity := old.node.Identity()
		old.kill(false)
		s.processes = append(s.processes[:seed%3], s.processes[seed%3+1:]...)
		s.runUntil(8*time.Second, func() bool {
			_, votes := s.newestView().Voter(identity)
			return !votes && s.active()
		})
		assert.Equal(t, len(s.newestView().Voters), 3)
		s.submitAndWait("before")
		for _, p := range s.processes {
			p.kill(true)
		}
		s.processes[(seed+1)%3].wipe()
		for _, p := range s.processes {
			p.start(false)
		}
		s.run(time.Second)
		s.submitAndWait("after")
		s.verifyFinalState("before", "after")
	}
}

// TestTwoPlannedReplacementsRemoveOldVoters covers the planned replacement of two machines at once: there are five
// voters with both new ones, and the two that were shut down are removed one after the other. Otherwise all three
// remaining voters would have to stay available.
func TestTwoPlannedReplacementsRemoveOldVoters(t *testing.T) {
	for seed := range int64(20) {
		s := newSettledSimulation(t, seed, 3)
		old := []*process{s.processes[seed%3], s.processes[(seed+1)%3]}
		remaining := s.processes[(seed+2)%3]
		for _, each := range old {
			replacement := s.addProcess(4 + each.number)
			replacement.self.Zone, replacement.self.Region = each.self.Zone, each.self.Region
			replacement.start(false)
		}
		s.runUntil(8*time.Second, func() bool { return len(s.newestView().Voters) == 5 && s.active() })
		var oldIdentities []Identity
		for _, each := range old {
			oldIdentities = append(oldIdentities, each.node.Identity())
			each.apply(each.node.Leave(s.now))
		}
		s.runUntil(maxLeaveTime, func() bool { return !old[0].node.InChain() && !old[1].node.InChain() })
		for _, each := range old {
			each.kill(false)
		}
		s.processes = append([]*process{remaining}, s.processes[3:]...)
		s.runUntil(12*time.Second, func() bool {
			view := s.newestView()
			_, first := view.Voter(oldIdentities[0])
			_, second := view.Voter(oldIdentities[1])
			return !first && !second && s.active()
		})
		assert.Equal(t, len(s.newestView().Voters), 3)
		s.submitAndWait("before")
		s.processes[1].kill(true)
		s.run(5 * time.Second)
		s.submitAndWait("with one lost")
		s.verifyFinalState("before", "with one lost")
	}
}

// TestSingleDownVoterOfOddNumberStays verifies that one voter of five that is down is not removed: without it the
// majority would be as large, and it could not contribute to the majority when it returns.
func TestSingleDownVoterOfOddNumberStays(t *testing.T) {
	s := newSettledSimulation(t, 1, 5)
	s.processes[4].kill(true)
	s.run(10 * time.Second)
	assert.Equal(t, len(s.newestView().Voters), 5)
	s.processes[3].kill(true)
	s.runUntil(8*time.Second, func() bool { return len(s.newestView().Voters) == 3 && s.active() })
	s.submitAndWait("with two of five")
	s.verifyFinalState("with two of five")
}

// TestRequiredDownVoterStays verifies that a voter that is down waits for its replacement if there are no more voters
// than required.
func TestRequiredDownVoterStays(t *testing.T) {
	s := newSettledSimulation(t, 1, 3)
	s.processes[0].kill(true)
	s.run(10 * time.Second)
	assert.Equal(t, len(s.newestView().Voters), 3)
	s.submitAndWait("meanwhile")
	s.verifyFinalState("meanwhile")
}

// TestRemovedVotersRejoinQuickly verifies that two of five voters that were removed while they were down become voters
// again before the next loss is expected.
func TestRemovedVotersRejoinQuickly(t *testing.T) {
	longest := time.Duration(0)
	for seed := range int64(40) {
		s := newSettledSimulation(t, seed, 5)
		lost := s.random.Perm(5)[:2]
		for _, number := range lost {
			s.processes[number].kill(false)
		}
		s.run(6*time.Second + time.Duration(seed)*37*time.Millisecond)
		assert.Equal(t, len(s.newestView().Voters), 3)
		for _, number := range lost {
			s.processes[number].start(false)
		}
		longest = max(longest, s.runUntil(4*time.Second, func() bool {
			return len(s.newestView().Voters) == 5 && s.active()
		}))
		s.verifyFinalState()
	}
	t.Logf("voters again after at most %v", longest)
	assert.Assert(t, longest < 2500*time.Millisecond)
}
