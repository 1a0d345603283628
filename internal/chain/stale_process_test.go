package chain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestDiskMovesToAnotherAddress moves a disk to a machine at another address. The same store continues to vote from
// there.
func TestDiskMovesToAnotherAddress(t *testing.T) {
	for seed := range int64(10) {
		s := newSettledSimulation(t, seed, 3)
		moved := s.processes[seed%3]
		identity := moved.node.Identity()
		moved.kill(true)
		moved.self.Address = "10.0.1.1:7000"
		s.run(time.Duration(s.random.Int63n(int64(2 * time.Second))))
		moved.start(false)
		assert.Equal(t, moved.node.Identity(), identity)
		s.submitAndWait("moved")
		other := s.processes[(seed+1)%3]
		other.kill(true)
		s.submitAndWait("without the other")
		s.verifyFinalState("moved", "without the other")
	}
}

// TestFrozenHeadDoesNotServeStaleState verifies that a head that was frozen while the others continued without it
// neither answers reads nor rejects commands from its old state.
func TestFrozenHeadDoesNotServeStaleState(t *testing.T) {
	for seed := range int64(20) {
		s := newSettledSimulation(t, seed, 3)
		head := s.byIdentity(s.newestView().Head())
		epoch := s.newestView().Epoch
		head.frozen = true
		s.runUntil(5*time.Second, func() bool { return s.newestView().Epoch > epoch && s.active() })
		s.submitAndWait("meanwhile")
		s.run(confirmationValidity)
		head.frozen = false
		assert.Assert(t, !head.node.Fresh(s.now))
		head.read(func(answer Answer) {
			if answer.OutcomeKnown {
				assert.Equal(t, len(answer.State.(ledger).commands), 3)
			}
		})
		head.submit("late@2", func(answer Answer) {
			assert.Assert(t, !answer.OutcomeKnown || answer.Reply.Status == statusConflict)
		})
		s.run(time.Second)
		s.verifyFinalState("meanwhile")
	}
}
