package chain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A machine is replaced as planned: its successor comes first and is a fourth voter, then the old one leaves for good. Without it,
// the loss of one more disk while all are killed must leave a majority.
func TestPlannedReplacementLeavesNoDeadVoter(t *testing.T) {
	for seed := range int64(20) {
		s := settled(t, seed, 3)
		former := s.processes[seed%3]
		successor := s.addProcess(4)
		successor.self.Zone, successor.self.Region = former.self.Zone, former.self.Region
		successor.start(false)
		s.until(8*time.Second, func() bool { return len(s.newestView().Voters) == 4 })
		identity := former.node.Identity()
		former.kill(false)
		s.processes = append(s.processes[:seed%3], s.processes[seed%3+1:]...)
		s.until(8*time.Second, func() bool {
			_, stays := s.newestView().Voter(identity)
			return !stays && s.active()
		})
		assert.Equal(t, len(s.newestView().Voters), 3)
		s.write("before")
		for _, p := range s.processes {
			p.kill(true)
		}
		s.processes[(seed+1)%3].wipe()
		for _, p := range s.processes {
			p.start(false)
		}
		s.run(time.Second)
		s.write("after")
		s.finish("before", "after")
	}
}

// Two machines are replaced at once as planned: with both successors five vote, and the two that left for good are dropped one after the
// other. Without that, two of the living three would have to be there for ever after.
func TestTwoPlannedReplacementsAtOnceLeaveNoDeadVoter(t *testing.T) {
	for seed := range int64(20) {
		s := settled(t, seed, 3)
		former := []*process{s.processes[seed%3], s.processes[(seed+1)%3]}
		stays := s.processes[(seed+2)%3]
		for _, each := range former {
			successor := s.addProcess(4 + each.number)
			successor.self.Zone, successor.self.Region = each.self.Zone, each.self.Region
			successor.start(false)
		}
		s.until(8*time.Second, func() bool { return len(s.newestView().Voters) == 5 && s.active() })
		var left []Identity
		for _, each := range former {
			left = append(left, each.node.Identity())
			each.carryOut(each.node.Leave(s.now))
		}
		s.until(leaveBound, func() bool { return !former[0].node.InChain() && !former[1].node.InChain() })
		for _, each := range former {
			each.kill(false)
		}
		s.processes = append([]*process{stays}, s.processes[3:]...)
		s.until(12*time.Second, func() bool {
			view := s.newestView()
			_, first := view.Voter(left[0])
			_, second := view.Voter(left[1])
			return !first && !second && s.active()
		})
		assert.Equal(t, len(s.newestView().Voters), 3)
		s.write("before")
		s.processes[1].kill(true)
		s.run(5 * time.Second)
		s.write("with one lost")
		s.finish("before", "with one lost")
	}
}

// One dead voter of five is waited for: without it the majority would be as large, and it could not help to make it up when it is back.
func TestOneDeadVoterOfAnOddNumberStays(t *testing.T) {
	s := settled(t, 1, 5)
	s.processes[4].kill(true)
	s.run(10 * time.Second)
	assert.Equal(t, len(s.newestView().Voters), 5)
	s.processes[3].kill(true)
	s.until(8*time.Second, func() bool { return len(s.newestView().Voters) == 3 && s.active() })
	s.write("with two of five")
	s.finish("with two of five")
}

// With no more voters than the loss that is to be borne asks for, a dead one waits for its replacement.
func TestDeadVoterThatIsNeededStays(t *testing.T) {
	s := settled(t, 1, 3)
	s.processes[0].kill(true)
	s.run(10 * time.Second)
	assert.Equal(t, len(s.newestView().Voters), 3)
	s.write("meanwhile")
	s.finish("meanwhile")
}

// Two of five that were dropped while they were lost vote again well before the next loss is to be borne.
func TestDroppedVotersVoteAgainSoon(t *testing.T) {
	longest := time.Duration(0)
	for seed := range int64(40) {
		s := settled(t, seed, 5)
		lost := s.random.Perm(5)[:2]
		for _, number := range lost {
			s.processes[number].kill(false)
		}
		s.run(6*time.Second + time.Duration(seed)*37*time.Millisecond)
		assert.Equal(t, len(s.newestView().Voters), 3)
		for _, number := range lost {
			s.processes[number].start(false)
		}
		longest = max(longest, s.until(4*time.Second, func() bool {
			return len(s.newestView().Voters) == 5 && s.active()
		}))
		s.finish()
	}
	t.Logf("they vote again after %v at most", longest)
	assert.Assert(t, longest < 2500*time.Millisecond)
}
