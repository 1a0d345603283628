package chain

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newSettledSimulation returns a simulation in which all processes are voters and some commands are committed.
func newSettledSimulation(t *testing.T, seed int64, count int) *simulation {
	t.Helper()
	s := newSimulation(t, seed, count)
	s.startAll()
	s.submitAndWait("first")
	s.runUntil(20*time.Second, func() bool { return len(s.anyRunning().node.View().Voters) == count })
	s.runUntil(2*time.Second, s.active)
	s.submitAndWait("second")
	s.run(time.Second)
	return s
}

func (s *simulation) anyRunning() *process {
	for _, p := range s.processes {
		if p.running {
			return p
		}
	}
	s.t.Fatal("no process is running")
	return nil
}

// newestView returns the view of the highest epoch that a running process knows.
func (s *simulation) newestView() View {
	var newest View
	for _, p := range s.processes {
		if p.running && p.node.View().Epoch > newest.Epoch {
			newest = p.node.View()
		}
	}
	return newest
}

// active reports whether the head of the newest view knows that the chain works.
func (s *simulation) active() bool {
	head := s.byIdentity(s.newestView().Head())
	return head != nil && head.running && !head.node.activeSince.IsZero() && head.node.Fresh(s.now)
}

func (s *simulation) byIdentity(identity Identity) *process {
	for _, p := range s.processes {
		if p.node != nil && p.node.Identity() == identity {
			return p
		}
	}
	return nil
}

// verifyFinalState restarts all processes and verifies that each expected command is committed exactly once.
func (s *simulation) verifyFinalState(expected ...string) {
	s.t.Helper()
	for _, p := range s.processes {
		if !p.running {
			p.start(false)
		}
	}
	s.run(3 * time.Second)
	s.submitAndWait("last")
	s.runUntil(2*time.Second, s.committedEverywhere)
	state, _ := s.processes[0].node.Committed()
	for _, command := range append(expected, "first", "second", "last") {
		count := 0
		for _, committed := range state.(ledger).commands {
			if committed == command {
				count++
			}
		}
		assert.Equal(s.t, count, 1, "command %q in %v", command, state)
	}
	s.checkInvariants()
}

// TestChainMemberCrash crashes a chain member while commands are in flight, and verifies that no answered command is
// lost and that commands are soon accepted again.
func TestChainMemberCrash(t *testing.T) {
	worst := time.Duration(0)
	for _, count := range []int{3, 5} {
		for index := range count/2 + 1 {
			for seed := range int64(15) {
				s := newSettledSimulation(t, seed, count)
				victim := s.byIdentity(s.newestView().Chain[index])
				s.anyRunning().submit("undecided", func(Answer) {})
				s.run(time.Duration(s.random.Int63n(int64(200 * time.Millisecond))))
				victim.kill(seed%2 == 0)
				epoch := s.newestView().Epoch
				detectedAt := s.now.Add(livenessTimeout)
				s.runUntil(4*time.Second, func() bool { return s.newestView().Epoch > epoch && s.active() })
				worst = max(worst, s.now.Sub(detectedAt))
				s.submitAndWait("after")
				s.verifyFinalState("after")
			}
		}
	}
	t.Logf("a new chain worked at most %v after the crash was detected", worst)
	assert.Assert(t, worst < 1500*time.Millisecond, "%v", worst)
}

// TestAllKilledAtOnce kills all processes at once and restarts them with their disks within a second.
func TestAllKilledAtOnce(t *testing.T) {
	worst := time.Duration(0)
	for _, powerLoss := range []bool{false, true} {
		for seed := range int64(30) {
			s := newSettledSimulation(t, seed, 5)
			s.submitAndWait("before")
			s.anyRunning().submit("undecided", func(Answer) {})
			s.run(time.Duration(s.random.Int63n(int64(200 * time.Millisecond))))
			for _, p := range s.processes {
				p.kill(powerLoss)
			}
			for _, p := range s.processes {
				s.schedule(time.Duration(s.random.Int63n(int64(time.Second))), func() { p.start(false) })
			}
			s.run(time.Second)
			_, took := s.submitAndWait("after")
			worst = max(worst, took)
			s.verifyFinalState("before", "after")
		}
	}
	t.Logf("a command was accepted at most %v after the last process restarted", worst)
	assert.Assert(t, worst < 1500*time.Millisecond, "%v", worst)
}

// TestMajorityRestarts kills all processes and restarts only a majority.
func TestMajorityRestarts(t *testing.T) {
	worst := time.Duration(0)
	for seed := range int64(30) {
		s := newSettledSimulation(t, seed, 5)
		s.submitAndWait("before")
		for _, p := range s.processes {
			p.kill(true)
		}
		s.run(500 * time.Millisecond)
		for _, number := range s.random.Perm(5)[:3] {
			s.processes[number].start(false)
		}
		_, took := s.submitAndWait("after")
		worst = max(worst, took)
		s.verifyFinalState("before", "after")
	}
	t.Logf("a command was accepted at most %v after a majority restarted", worst)
}

// TestWipedDiskIsReplaced wipes a disk right after a command was answered. The process returns with a new store that
// replaces the old one as a voter.
func TestWipedDiskIsReplaced(t *testing.T) {
	worst := time.Duration(0)
	for _, count := range []int{3, 5} {
		for number := range count {
			for seed := range int64(6) {
				s := newSettledSimulation(t, seed, count)
				s.submitAndWait("before")
				victim := s.processes[number]
				oldIdentity := victim.node.Identity()
				victim.kill(true)
				victim.wipe()
				s.run(time.Duration(s.random.Int63n(int64(2 * time.Second))))
				victim.start(false)
				took := s.runUntil(8*time.Second, func() bool {
					_, oldVotes := s.newestView().Voter(oldIdentity)
					_, votes := s.newestView().Voter(victim.node.Identity())
					return votes && !oldVotes && s.active()
				})
				worst = max(worst, took)
				s.submitAndWait("after")
				s.verifyFinalState("before", "after")
			}
		}
	}
	t.Logf("the new store was a voter at most %v after its start", worst)
	assert.Assert(t, worst < 4*time.Second, "%v", worst)
}

// TestAllKilledOneWiped kills all processes and wipes the disk of one of them.
func TestAllKilledOneWiped(t *testing.T) {
	for seed := range int64(30) {
		s := newSettledSimulation(t, seed, 5)
		s.submitAndWait("before")
		for _, p := range s.processes {
			p.kill(true)
		}
		s.processes[seed%5].wipe()
		for _, p := range s.processes {
			s.schedule(time.Duration(s.random.Int63n(int64(time.Second))), func() { p.start(false) })
		}
		s.run(time.Second)
		s.submitAndWait("after")
		s.runUntil(8*time.Second, func() bool {
			_, votes := s.newestView().Voter(s.processes[seed%5].node.Identity())
			return votes
		})
		s.verifyFinalState("before", "after")
	}
}

// TestVoterReplacedAtAnotherAddress removes a machine for good, and another machine replaces it at another address.
func TestVoterReplacedAtAnotherAddress(t *testing.T) {
	for seed := range int64(10) {
		s := newSettledSimulation(t, seed, 5)
		victim := s.processes[1]
		oldIdentity := victim.node.Identity()
		victim.kill(false)
		s.run(time.Second)
		replacement := s.addProcess(6)
		replacement.self.Zone, replacement.self.Region = victim.self.Zone, victim.self.Region
		replacement.start(false)
		took := s.runUntil(8*time.Second, func() bool {
			_, oldVotes := s.newestView().Voter(oldIdentity)
			_, votes := s.newestView().Voter(replacement.node.Identity())
			return votes && !oldVotes
		})
		if seed == 0 {
			t.Logf("the replacement was a voter after %v", took)
		}
		assert.Equal(t, len(s.newestView().Voters), 5)
		s.processes = append(s.processes[:1], s.processes[2:]...)
		s.verifyFinalState()
	}
}

// TestNetworkPartition partitions the control processes. The minority accepts neither commands nor reads and does not
// report itself fresh, while the majority continues.
func TestNetworkPartition(t *testing.T) {
	for seed := range int64(20) {
		s := newSettledSimulation(t, seed, 5)
		order := s.random.Perm(5)
		minority, majority := order[:2], order[2:]
		for _, a := range minority {
			for _, b := range majority {
				s.network.cut[[2]int{a, b}] = true
				s.network.cut[[2]int{b, a}] = true
			}
		}
		s.run(2500 * time.Millisecond)
		for _, number := range minority {
			p := s.processes[number]
			assert.Assert(t, !p.node.Fresh(s.now))
			p.submit(fmt.Sprintf("cut-%d", number), func(answer Answer) { assert.Assert(t, !answer.OutcomeKnown) })
			p.read(func(answer Answer) { assert.Assert(t, !answer.OutcomeKnown) })
		}
		accepted := false
		s.processes[majority[0]].submit("large", func(answer Answer) { accepted = answer.OutcomeKnown })
		longest := s.longestNotFresh(6*time.Second, majority)
		assert.Assert(t, accepted)
		assert.Assert(t, longest <= 500*time.Millisecond, "seed %d: %v", seed, longest)
		assert.Equal(t, len(s.newestView().Voters), len(majority), "the isolated processes are no longer voters")
		for _, number := range minority {
			assert.Assert(t, !s.processes[number].node.Fresh(s.now))
		}
		clear(s.network.cut)
		s.run(8 * time.Second)
		assert.Equal(t, len(s.newestView().Voters), 5, "all processes are voters again")
		s.verifyFinalState("large")
	}
}

// longestNotFresh advances the time and returns the longest time for which one of the processes was not fresh.
func (s *simulation) longestNotFresh(duration time.Duration, numbers []int) time.Duration {
	longest, freshAt := time.Duration(0), make(map[int]time.Time)
	for _, number := range numbers {
		freshAt[number] = s.now
	}
	for end := s.now.Add(duration); s.now.Before(end); s.run(5 * time.Millisecond) {
		for _, number := range numbers {
			if s.processes[number].node.Fresh(s.now) {
				freshAt[number] = s.now
			}
			longest = max(longest, s.now.Sub(freshAt[number]))
		}
	}
	return longest
}

// TestDiskFaults makes a disk hang, fail or slow down. The member leaves the chain within a third of the ack bound and
// returns once the disk works again.
func TestDiskFaults(t *testing.T) {
	for _, kind := range []string{"hangs", "fails", "slow"} {
		for index := range 3 {
			for seed := range int64(6) {
				s := newSettledSimulation(t, seed, 5)
				victim := s.byIdentity(s.newestView().Chain[index])
				switch kind {
				case "hangs":
					victim.diskHanging = true
				case "fails":
					victim.disk.SyncError = errDisk
				case "slow":
					victim.syncTime *= 30
				}
				_, took := s.submitAndWait("trouble")
				assert.Assert(t, took < simulatedAckBound/3, "%s at index %d: %v", kind, index, took)
				s.submitAndWait("more")
				victim.diskHanging, victim.disk.SyncError, victim.syncTime = false, nil, normalSyncTime
				s.run(4 * time.Second)
				assert.Assert(t, !victim.node.Status().Impaired)
				s.verifyFinalState("trouble", "more")
			}
		}
	}
}

// TestConcurrentConditionalCommands submits two commands that expect the same version. One is accepted and the other is
// rejected, and resubmitting each of them gives the same result.
func TestConcurrentConditionalCommands(t *testing.T) {
	for seed := range int64(20) {
		s := newSettledSimulation(t, seed, 3)
		statuses := make(map[string]int)
		for number, command := range []string{"x@2", "y@2"} {
			s.processes[number].submit(command, func(answer Answer) {
				assert.Assert(t, answer.OutcomeKnown)
				statuses[command] = answer.Reply.Status
			})
		}
		s.runUntil(time.Second, func() bool { return len(statuses) == 2 })
		assert.Equal(t, statuses["x@2"]+statuses["y@2"], statusAccepted+statusConflict)
		for command, status := range statuses {
			reply, _ := s.submitAndWait(command)
			assert.Equal(t, reply.Status, status)
		}
		s.verifyFinalState()
	}
}

// TestWipedVoterIsReplacedDuringContinuousChanges verifies that a wiped voter is replaced during hundreds of changes
// per second, although it always lacks the newest changes when its join request arrives.
func TestWipedVoterIsReplacedDuringContinuousChanges(t *testing.T) {
	for seed := range int64(6) {
		s := newSettledSimulation(t, seed, 3)
		_, rest := (&randomWalk{simulation: s}).chainAndRest()
		victim := rest[0]
		oldIdentity := victim.node.Identity()
		s.network.minDelay = 100 * time.Millisecond
		s.submitContinuously(time.Millisecond)
		s.run(200 * time.Millisecond)
		victim.kill(true)
		victim.wipe()
		s.run(150 * time.Millisecond)
		victim.start(false)
		took := s.runUntil(4*time.Second, func() bool {
			_, oldVotes := s.newestView().Voter(oldIdentity)
			_, votes := s.newestView().Voter(victim.node.Identity())
			return votes && !oldVotes
		})
		t.Logf("a voter after %v", took)
	}
}

// submitContinuously submits a change to the head at each interval.
func (s *simulation) submitContinuously(interval time.Duration) {
	number := 0
	var next func()
	next = func() {
		number++
		if head := s.byIdentity(s.newestView().Head()); head != nil && head.running {
			head.submit(fmt.Sprint("many-", number), func(Answer) {})
		}
		s.schedule(interval, next)
	}
	next()
}

// TestMemberReportedDownDoesNotDisruptChain covers a member that still exchanges messages, while its membership reports
// all others as down and theirs report it as down. The others continue without it and do not support the views that it
// proposes.
func TestMemberReportedDownDoesNotDisruptChain(t *testing.T) {
	for seed := range int64(40) {
		s := newSettledSimulation(t, seed, 5)
		members, _ := (&randomWalk{simulation: s}).chainAndRest()
		reported := members[int(seed)%len(members)]
		firstEpoch := s.newestView().Epoch
		reported.reportedDown = true
		s.runUntil(4*time.Second, func() bool {
			return s.newestView().ChainIndex(reported.node.Identity()) < 0 && s.active()
		})
		epoch := s.newestView().Epoch
		assert.Equal(t, epoch, firstEpoch+1, "seed %d: a single view removed the member", seed)
		s.submitAndWait("without it")
		s.run(5 * time.Second)
		assert.Assert(t, s.newestView().Epoch <= epoch+1, "seed %d: went from view %d to %d", seed, epoch, s.newestView().Epoch)
		reported.reportedDown = false
		s.run(2 * time.Second)
		s.verifyFinalState("without it")
	}
}

// TestMembersReportedDownContinueIfNoOthersRemain covers two remaining members that each consider the other one down,
// as may happen briefly after a partition. They continue, because no other process would.
func TestMembersReportedDownContinueIfNoOthersRemain(t *testing.T) {
	for seed := range int64(12) {
		s := newSettledSimulation(t, seed, 3)
		remaining := []*process{s.processes[(seed+1)%3], s.processes[(seed+2)%3]}
		s.processes[seed%3].kill(false)
		for _, p := range remaining {
			p.reportedDown = true
		}
		s.run(livenessTimeout)
		took := s.runUntil(6*time.Second, s.active)
		assert.Assert(t, took < 4*time.Second, "seed %d: %v", seed, took)
		s.submitAndWait("by the two")
		s.checkInvariants()
	}
}
