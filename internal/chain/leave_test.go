package chain

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// leave makes a process leave the chain gracefully and returns how long that took.
func (s *simulation) leave(p *process) time.Duration {
	s.t.Helper()
	p.apply(p.node.Leave(s.now))
	took := s.runUntil(2*time.Second, func() bool { return !p.node.InChain() })
	s.runUntil(2*time.Second, s.active)
	return took
}

// TestMemberLeavesGracefully verifies that a chain member that is stopped first leaves the chain. Changes continue
// meanwhile, and enough other members store its entries: even if it never returns, another member may lose its disk at
// once.
func TestMemberLeavesGracefully(t *testing.T) {
	longest := time.Duration(0)
	for _, voters := range []int{3, 5} {
		for seed := range int64(12) {
			s := newSettledSimulation(t, seed, voters)
			members, _ := (&randomWalk{simulation: s}).chainAndRest()
			leaving := members[seed%int64(len(members))]
			answered, unknown := 0, 0
			leftAt := time.Time{} // when the others had a chain without it
			others := slices.DeleteFunc(slices.Clone(s.processes), func(p *process) bool { return p == leaving })
			for number := range 20 {
				s.schedule(time.Duration(number)*80*time.Millisecond, func() {
					submitted := s.now
					others[number%len(others)].submit(fmt.Sprintf("c%d", number), func(answer Answer) {
						if answer.OutcomeKnown {
							answered++
						} else if !leftAt.IsZero() && submitted.After(leftAt) {
							unknown++
						}
					})
				})
			}
			took := s.leave(leaving)
			longest = max(longest, took)
			leftAt = s.now
			s.submitAndWait("newest")
			leaving.kill(false)
			members, _ = (&randomWalk{simulation: s}).chainAndRest()
			for _, member := range members {
				assert.Assert(t, member != leaving)
			}
			s.run(2400 * time.Millisecond) // until all changes have ended
			if voters > 3 {
				members[0].kill(true)
				members[0].wipe()
				s.submitAndWait("after")
				members[0].start(false)
			}
			assert.Equal(t, unknown, 0, "voters %d, seed %d: unknown outcomes after the member left", voters, seed)
			assert.Assert(t, answered >= 10, "voters %d, seed %d: %d answered", voters, seed, answered)
			leaving.start(false)
			s.verifyFinalState("first", "second", "newest")
		}
	}
	t.Logf("left the chain after %v at most", longest)
	assert.Assert(t, longest < maxLeaveTime)
}

// maxLeaveTime is how long internal/control waits at shutdown for the others to form a chain without the process.
const maxLeaveTime = 1500 * time.Millisecond

// TestTwoMembersLeaveInOneView verifies that two of five voters that stop at once are removed from the chain by one
// view. Their own promises sometimes arrive first, and a view made of these would include one of them again.
func TestTwoMembersLeaveInOneView(t *testing.T) {
	longest := time.Duration(0)
	for seed := range int64(30) {
		s := newSettledSimulation(t, seed, 5)
		before := s.newestView()
		var leaving []*process
		for _, identity := range before.Chain[seed%2 : seed%2+2] {
			leaving = append(leaving, s.byIdentity(identity))
		}
		for _, each := range leaving {
			each.apply(each.node.Leave(s.now))
		}
		took := s.runUntil(maxLeaveTime, func() bool { return !leaving[0].node.InChain() && !leaving[1].node.InChain() })
		longest = max(longest, took)
		assert.Equal(t, s.newestView().Epoch, before.Epoch+1, "seed %d", seed)
		for _, each := range leaving {
			each.kill(false)
		}
		s.submitAndWait("after")
		for _, each := range leaving {
			each.start(false)
		}
		s.verifyFinalState("first", "second", "after")
	}
	t.Logf("two left the chain after %v at most", longest)
}

// TestAllLeaveAtOnce verifies that all processes can stop at once, although none remains to agree on another chain, and
// return with everything they stored.
func TestAllLeaveAtOnce(t *testing.T) {
	s := newSettledSimulation(t, 1, 3)
	for _, p := range s.processes {
		p.apply(p.node.Leave(s.now))
	}
	s.run(1500 * time.Millisecond)
	for _, p := range s.processes {
		p.kill(false)
	}
	for _, p := range s.processes {
		p.start(false)
	}
	s.verifyFinalState("first", "second")
}
