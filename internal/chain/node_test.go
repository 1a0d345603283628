package chain

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Three processes found the system, take commands, refuse one that builds on an old version, and read.
func TestFoundsWritesAndReads(t *testing.T) {
	for seed := range int64(20) {
		s := newSimulation(t, seed, 3)
		s.startAll()
		reply, took := s.write("a")
		assert.Equal(t, reply.Status, statusTaken)
		if seed == 0 {
			t.Logf("first write taken after %v", took)
		}
		for i := range 20 {
			reply, _ = s.write(fmt.Sprintf("c%d@%d", i, i+1))
			assert.Equal(t, reply.Status, statusTaken)
		}
		reply, _ = s.write("late@3")
		assert.Equal(t, reply.Status, statusConflict)
		var read Answer
		s.processes[2].read(func(answer Answer) { read = answer })
		s.until(time.Second, func() bool { return read.Known })
		assert.Equal(t, len(read.State.(ledger).taken), 21)
		s.until(time.Second, s.committedEverywhere)
		s.check()
	}
}

// All control processes become voters, one at a time, and the chain holds a majority of them.
func TestAllBecomeVoters(t *testing.T) {
	for _, count := range []int{1, 2, 4, 5, 9} {
		s := newSimulation(t, 7, count)
		s.startAll()
		s.write("a")
		took := s.until(20*time.Second, func() bool {
			view := s.processes[0].node.View()
			return len(view.Voters) == count && len(view.Chain) >= count/2+1
		})
		t.Logf("%d processes are voters after %v", count, took)
		s.until(time.Second, s.committedEverywhere)
		s.check()
	}
}
