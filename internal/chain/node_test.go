package chain

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestBootstrapWriteAndRead verifies that three processes bootstrap the system, accept commands, reject one that
// expects an old version, and answer reads.
func TestBootstrapWriteAndRead(t *testing.T) {
	for seed := range int64(20) {
		s := newSimulation(t, seed, 3)
		s.startAll()
		reply, took := s.submitAndWait("a")
		assert.Equal(t, reply.Status, statusAccepted)
		if seed == 0 {
			t.Logf("first command accepted after %v", took)
		}
		for i := range 20 {
			reply, _ = s.submitAndWait(fmt.Sprintf("c%d@%d", i, i+1))
			assert.Equal(t, reply.Status, statusAccepted)
		}
		reply, _ = s.submitAndWait("late@3")
		assert.Equal(t, reply.Status, statusConflict)
		var read Answer
		s.processes[2].read(func(answer Answer) { read = answer })
		s.runUntil(time.Second, func() bool { return read.OutcomeKnown })
		assert.Equal(t, len(read.State.(ledger).commands), 21)
		s.runUntil(time.Second, s.committedEverywhere)
		s.checkInvariants()
	}
}

// TestAllBecomeVoters verifies that all control processes become voters, one at a time, and that the chain contains a
// majority of them.
func TestAllBecomeVoters(t *testing.T) {
	for _, count := range []int{1, 2, 4, 5, 9} {
		s := newSimulation(t, 7, count)
		s.startAll()
		s.submitAndWait("a")
		took := s.runUntil(20*time.Second, func() bool {
			view := s.processes[0].node.View()
			return len(view.Voters) == count && len(view.Chain) >= count/2+1
		})
		t.Logf("%d processes are voters after %v", count, took)
		s.runUntil(time.Second, s.committedEverywhere)
		s.checkInvariants()
	}
}
