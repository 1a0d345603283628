package chain

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// settled is a system of so many voters that has taken some commands.
func settled(t *testing.T, seed int64, count int) *simulation {
	t.Helper()
	s := newSimulation(t, seed, count)
	s.startAll()
	s.write("first")
	s.until(20*time.Second, func() bool { return len(s.anyUp().node.View().Voters) == count })
	s.until(2*time.Second, s.active)
	s.write("second")
	s.run(time.Second)
	return s
}

func (s *simulation) anyUp() *process {
	for _, p := range s.processes {
		if p.up {
			return p
		}
	}
	s.t.Fatal("none is up")
	return nil
}

// newestView is the view of the highest epoch that a process has.
func (s *simulation) newestView() View {
	var newest View
	for _, p := range s.processes {
		if p.up && p.node.View().Epoch > newest.Epoch {
			newest = p.node.View()
		}
	}
	return newest
}

// active tells whether the head of the newest view knows the chain to work.
func (s *simulation) active() bool {
	head := s.byIdentity(s.newestView().Head())
	return head != nil && head.up && !head.node.activeSince.IsZero() && head.node.Fresh(s.now)
}

func (s *simulation) byIdentity(identity Identity) *process {
	for _, p := range s.processes {
		if p.node != nil && p.node.Identity() == identity {
			return p
		}
	}
	return nil
}

// finish lets everybody come back, and looks at what is there.
func (s *simulation) finish(commands ...string) {
	s.t.Helper()
	for _, p := range s.processes {
		if !p.up {
			p.start(false)
		}
	}
	s.run(3 * time.Second)
	s.write("last")
	s.until(2*time.Second, s.committedEverywhere)
	state, _ := s.processes[0].node.Committed()
	for _, command := range append(commands, "first", "second", "last") {
		count := 0
		for _, taken := range state.(ledger).taken {
			if taken == command {
				count++
			}
		}
		assert.Equal(s.t, count, 1, "command %q in %v", command, state)
	}
	s.check()
}

// A member of the chain dies while commands go through: nothing that was answered is lost, and the next is taken soon.
func TestMemberDies(t *testing.T) {
	worst := time.Duration(0)
	for _, count := range []int{3, 5} {
		for place := range count/2 + 1 {
			for seed := range int64(15) {
				s := settled(t, seed, count)
				victim := s.byIdentity(s.newestView().Chain[place])
				s.anyUp().submit("undecided", func(Answer) {})
				s.run(time.Duration(s.random.Int63n(int64(200 * time.Millisecond))))
				victim.kill(seed%2 == 0)
				epoch := s.newestView().Epoch
				told := s.now.Add(simulatedDeath)
				s.until(4*time.Second, func() bool { return s.newestView().Epoch > epoch && s.active() })
				worst = max(worst, s.now.Sub(told))
				s.write("after")
				s.finish("after")
			}
		}
	}
	t.Logf("a new chain worked at most %v after the death was told", worst)
	assert.Assert(t, worst < 1500*time.Millisecond, "%v", worst)
}

// All processes are killed at once and come back within a second, with their disks.
func TestAllKilledAtOnce(t *testing.T) {
	worst := time.Duration(0)
	for _, power := range []bool{false, true} {
		for seed := range int64(30) {
			s := settled(t, seed, 5)
			s.write("before")
			s.anyUp().submit("undecided", func(Answer) {})
			s.run(time.Duration(s.random.Int63n(int64(200 * time.Millisecond))))
			for _, p := range s.processes {
				p.kill(power)
			}
			for _, p := range s.processes {
				s.after(time.Duration(s.random.Int63n(int64(time.Second))), func() { p.start(false) })
			}
			s.run(time.Second)
			_, took := s.write("after")
			worst = max(worst, took)
			s.finish("before", "after")
		}
	}
	t.Logf("a command was taken at most %v after the last process was back", worst)
	assert.Assert(t, worst < 1500*time.Millisecond, "%v", worst)
}

// A majority comes back after all were killed; the rest stays away.
func TestMajorityComesBack(t *testing.T) {
	worst := time.Duration(0)
	for seed := range int64(30) {
		s := settled(t, seed, 5)
		s.write("before")
		for _, p := range s.processes {
			p.kill(true)
		}
		s.run(500 * time.Millisecond)
		for _, number := range s.random.Perm(5)[:3] {
			s.processes[number].start(false)
		}
		_, took := s.write("after")
		worst = max(worst, took)
		s.finish("before", "after")
	}
	t.Logf("a command was taken at most %v after a majority was back", worst)
}

// A disk is lost right after a command was answered. The store comes back as another one and takes the old one's place.
func TestWiped(t *testing.T) {
	worst := time.Duration(0)
	for _, count := range []int{3, 5} {
		for number := range count {
			for seed := range int64(6) {
				s := settled(t, seed, count)
				s.write("before")
				victim := s.processes[number]
				former := victim.node.Identity()
				victim.kill(true)
				victim.wipe()
				s.run(time.Duration(s.random.Int63n(int64(2 * time.Second))))
				victim.start(false)
				took := s.until(8*time.Second, func() bool {
					_, stays := s.newestView().Voter(former)
					_, votes := s.newestView().Voter(victim.node.Identity())
					return votes && !stays && s.active()
				})
				worst = max(worst, took)
				s.write("after")
				s.finish("before", "after")
			}
		}
	}
	t.Logf("the new store was a voter at most %v after its start", worst)
	assert.Assert(t, worst < 4*time.Second, "%v", worst)
}

// All are killed while one loses its disk.
func TestAllKilledOneWiped(t *testing.T) {
	for seed := range int64(30) {
		s := settled(t, seed, 5)
		s.write("before")
		for _, p := range s.processes {
			p.kill(true)
		}
		s.processes[seed%5].wipe()
		for _, p := range s.processes {
			s.after(time.Duration(s.random.Int63n(int64(time.Second))), func() { p.start(false) })
		}
		s.run(time.Second)
		s.write("after")
		s.until(8*time.Second, func() bool {
			_, votes := s.newestView().Voter(s.processes[seed%5].node.Identity())
			return votes
		})
		s.finish("before", "after")
	}
}

// A machine is gone for good and another takes its place at another address.
func TestReplacedElsewhere(t *testing.T) {
	for seed := range int64(10) {
		s := settled(t, seed, 5)
		victim := s.processes[1]
		former := victim.node.Identity()
		victim.kill(false)
		s.run(time.Second)
		successor := s.addProcess(6)
		successor.self.Zone, successor.self.Region = victim.self.Zone, victim.self.Region
		successor.start(false)
		took := s.until(8*time.Second, func() bool {
			_, stays := s.newestView().Voter(former)
			_, votes := s.newestView().Voter(successor.node.Identity())
			return votes && !stays
		})
		if seed == 0 {
			t.Logf("the replacement was a voter after %v", took)
		}
		assert.Equal(t, len(s.newestView().Voters), 5)
		s.processes = append(s.processes[:1], s.processes[2:]...)
		s.finish()
	}
}

// The core is cut: the smaller side neither takes commands nor reads, nor calls itself fresh; the larger one goes on.
func TestCutInTwo(t *testing.T) {
	for seed := range int64(20) {
		s := settled(t, seed, 5)
		sides := s.random.Perm(5)
		small, large := sides[:2], sides[2:]
		for _, a := range small {
			for _, b := range large {
				s.trouble.cut[[2]int{a, b}] = true
				s.trouble.cut[[2]int{b, a}] = true
			}
		}
		s.run(2500 * time.Millisecond)
		for _, number := range small {
			p := s.processes[number]
			assert.Assert(t, !p.node.Fresh(s.now))
			p.submit(fmt.Sprintf("cut-%d", number), func(answer Answer) { assert.Assert(t, !answer.Known) })
			p.read(func(answer Answer) { assert.Assert(t, !answer.Known) })
		}
		taken := false
		s.processes[large[0]].submit("large", func(answer Answer) { taken = answer.Known })
		longest := s.longestNotFresh(6*time.Second, large)
		assert.Assert(t, taken)
		assert.Assert(t, longest <= 500*time.Millisecond, "seed %d: %v", seed, longest)
		assert.Equal(t, len(s.newestView().Voters), len(large), "those cut off are no voters any more")
		for _, number := range small {
			assert.Assert(t, !s.processes[number].node.Fresh(s.now))
		}
		clear(s.trouble.cut)
		s.run(8 * time.Second)
		assert.Equal(t, len(s.newestView().Voters), 5, "they vote again")
		s.finish("large")
	}
}

// longestNotFresh lets time pass, and returns for how long at most one of some processes did not hold its epoch for confirmed.
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

// A disk hangs, fails or is slow: the member leaves the chain in less than a third of the bound for answers, and comes back when the
// disk works again.
func TestDiskTrouble(t *testing.T) {
	for _, kind := range []string{"hangs", "fails", "slow"} {
		for place := range 3 {
			for seed := range int64(6) {
				s := settled(t, seed, 5)
				victim := s.byIdentity(s.newestView().Chain[place])
				switch kind {
				case "hangs":
					victim.hanging = true
				case "fails":
					victim.disk.SyncError = errDisk
				case "slow":
					victim.syncTime *= 30
				}
				_, took := s.write("trouble")
				assert.Assert(t, took < simulatedBound/3, "%s at place %d: %v", kind, place, took)
				s.write("more")
				victim.hanging, victim.disk.SyncError, victim.syncTime = false, nil, simulatedSync
				s.run(4 * time.Second)
				assert.Assert(t, !victim.node.Status().Impaired)
				s.finish("trouble", "more")
			}
		}
	}
}

// Two operators build on the same version: one of them wins, and whoever sends its own command again has it taken.
func TestRace(t *testing.T) {
	for seed := range int64(20) {
		s := settled(t, seed, 3)
		statuses := make(map[string]int)
		for number, command := range []string{"x@2", "y@2"} {
			s.processes[number].submit(command, func(answer Answer) {
				assert.Assert(t, answer.Known)
				statuses[command] = answer.Reply.Status
			})
		}
		s.until(time.Second, func() bool { return len(statuses) == 2 })
		assert.Equal(t, statuses["x@2"]+statuses["y@2"], statusTaken+statusConflict)
		for command, status := range statuses {
			reply, _ := s.write(command)
			assert.Equal(t, reply.Status, status)
		}
		s.finish()
	}
}

// A wiped voter is replaced while hundreds of changes a second go through, whose newest it always lacks when its word arrives.
func TestWipedUnderManyChanges(t *testing.T) {
	for seed := range int64(6) {
		s := settled(t, seed, 3)
		_, rest := (&walk{simulation: s}).chainAndRest()
		victim := rest[0]
		former := victim.node.Identity()
		s.trouble.minimumDelay = 100 * time.Millisecond
		s.manyChanges(time.Millisecond)
		s.run(200 * time.Millisecond)
		victim.kill(true)
		victim.wipe()
		s.run(150 * time.Millisecond)
		victim.start(false)
		took := s.until(4*time.Second, func() bool {
			_, stays := s.newestView().Voter(former)
			_, votes := s.newestView().Voter(victim.node.Identity())
			return votes && !stays
		})
		t.Logf("a voter after %v", took)
	}
}

// manyChanges has the head take a change each so often.
func (s *simulation) manyChanges(interval time.Duration) {
	number := 0
	var next func()
	next = func() {
		number++
		if head := s.byIdentity(s.newestView().Head()); head != nil && head.up {
			head.submit(fmt.Sprint("many-", number), func(Answer) {})
		}
		s.after(interval, next)
	}
	next()
}

// A member whose membership has lost all others, and that all others hold for gone, can still talk to them. It stops nothing: they go on
// without it, and support no view that it proposes.
func TestMemberThatMembershipLostStopsNothing(t *testing.T) {
	for seed := range int64(40) {
		s := settled(t, seed, 5)
		members, _ := (&walk{simulation: s}).chainAndRest()
		lost := members[int(seed)%len(members)]
		began := s.newestView().Epoch
		lost.unseen = true
		s.until(4*time.Second, func() bool {
			return s.newestView().Place(lost.node.Identity()) < 0 && s.active()
		})
		epoch := s.newestView().Epoch
		assert.Equal(t, epoch, began+1, "seed %d: the view that left it out", seed)
		s.write("without it")
		s.run(5 * time.Second)
		assert.Assert(t, s.newestView().Epoch <= epoch+1, "seed %d: from view %d to %d", seed, epoch, s.newestView().Epoch)
		lost.unseen = false
		s.run(2 * time.Second)
		s.finish("without it")
	}
}

// Two members that membership holds for gone, each at the other, as it may for a moment after a cut, are all that is left. They go on: nobody
// else would.
func TestMembersThatMembershipLostGoOnIfNobodyElseDoes(t *testing.T) {
	for seed := range int64(12) {
		s := settled(t, seed, 3)
		left := []*process{s.processes[(seed+1)%3], s.processes[(seed+2)%3]}
		s.processes[seed%3].kill(false)
		for _, p := range left {
			p.unseen = true
		}
		s.run(simulatedDeath)
		took := s.until(6*time.Second, s.active)
		assert.Assert(t, took < 4*time.Second, "seed %d: %v", seed, took)
		s.write("by the two")
		s.check()
	}
}
