package chain

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestSecondDiskLossRightAfterReplacement wipes a disk and, as soon as its replacement is a voter, the disk of another
// process. The system continues.
func TestSecondDiskLossRightAfterReplacement(t *testing.T) {
	for _, voters := range []int{3, 5} {
		for seed := range int64(2 * voters) {
			s := newSettledSimulation(t, seed, voters)
			first := s.processes[seed%int64(voters)]
			second := s.processes[(seed+1+seed/int64(voters))%int64(voters)]
			if first == second {
				continue
			}
			identity := first.node.Identity()
			first.kill(true)
			first.wipe()
			s.run(300 * time.Millisecond)
			first.start(false)
			s.runUntil(8*time.Second, func() bool {
				_, votes := s.newestView().Voter(first.node.Identity())
				return votes
			})
			_, oldVotes := s.newestView().Voter(identity)
			assert.Assert(t, !oldVotes, "the lost store is still a voter beside its replacement")
			s.submitAndWait("between")
			second.kill(true)
			second.wipe()
			_, took := s.submitAndWait("after")
			assert.Assert(t, took < 3*time.Second, "voters %d, seed %d: %v", voters, seed, took)
			second.start(false)
			s.verifyFinalState("first", "second", "between", "after")
		}
	}
}

// TestCrashDuringSnapshotInstall kills a process repeatedly, with and without power loss, while it installs a snapshot
// because the entries that it lacks are no longer retained.
func TestCrashDuringSnapshotInstall(t *testing.T) {
	for seed := range int64(6) {
		s := newSettledSimulation(t, seed, 3)
		lagging := s.processes[seed%3]
		s.makeLag(lagging)
		for try := range 20 {
			lagging.start(false)
			s.run(time.Duration(s.random.Int63n(int64(400 * time.Millisecond))))
			lagging.kill(try%2 == 0)
		}
		lagging.start(false)
		s.runUntil(4*time.Second, s.committedEverywhere)
		s.run(200 * time.Millisecond)
		_, revision := lagging.node.Committed()
		assert.Assert(t, revision >= 2*retainedEntries)
		s.restart(lagging) // the installed snapshot is on disk and need not be sent again
		_, again := lagging.node.Committed()
		assert.Assert(t, again+retainedEntries >= revision, "%d of %d after a restart", again, revision)
		s.verifyFinalState()
	}
}

// TestDiskLostWhileAllOthersLosePower wipes the disk of one process while all others lose power, with changes in
// flight.
func TestDiskLostWhileAllOthersLosePower(t *testing.T) {
	for _, voters := range []int{3, 5, 7} {
		for seed := range int64(6) {
			s := newSettledSimulation(t, seed, voters)
			var answered []string
			for number := range 8 {
				command := fmt.Sprintf("c%d", number)
				s.processes[s.random.Intn(voters)].submit(command, func(answer Answer) {
					if answer.OutcomeKnown && answer.Reply.Accepted {
						answered = append(answered, command)
					}
				})
				s.run(time.Duration(s.random.Int63n(int64(60 * time.Millisecond))))
			}
			for _, p := range s.processes {
				p.kill(true)
			}
			s.processes[s.random.Intn(voters)].wipe()
			for _, p := range s.processes {
				p.start(false)
			}
			s.verifyFinalState(answered...)
		}
	}
}

// TestTooFewVotersContinueAfterLoss configures three voters to tolerate the loss of two. All three store every change.
// After the loss of one the others continue, and the chain is complete again once its replacement is a voter.
func TestTooFewVotersContinueAfterLoss(t *testing.T) {
	for seed := range int64(9) {
		s := newSimulation(t, seed, 3)
		s.chainLength = 3
		s.startAll()
		s.submitAndWait("first")
		s.submitAndWait("second")
		s.runUntil(6*time.Second, func() bool { return len(s.newestView().Chain) == 3 && s.active() })
		lost := s.processes[seed%3]
		lost.kill(true)
		lost.wipe()
		s.submitAndWait("short")
		assert.Equal(t, len(s.newestView().Chain), 2)
		lost.start(false)
		s.runUntil(10*time.Second, func() bool { return len(s.newestView().Chain) == 3 && s.active() })
		epoch := s.newestView().Epoch
		s.run(5 * time.Second)
		assert.Equal(t, s.newestView().Epoch, epoch, "the view keeps changing")
		s.verifyFinalState("first", "short")
	}
}
