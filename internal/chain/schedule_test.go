package chain

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"wallflow/internal/testkit"
)

// The schedules of this file are exhaustive: each fault at each event of a small system, and each pair of faults at
// each pair of selected events. The random walks cover larger systems.

// faultKind is a fault of a process that is injected between two events.
type faultKind int

const (
	faultKill             faultKind = iota // written data stays on its disk
	faultPowerLoss                         // the write in flight is complete, missing or torn
	faultWipe                              // it restarts with an empty disk
	faultCut                               // it is cut off from all others
	faultSendsLost                         // its messages are lost, but it receives those of others
	faultReceivesLost                      // messages to it are lost
	faultHang                              // writes to its disk do not end
	faultFreeze                            // it is suspended
	faultWipeAndPowerLoss                  // it restarts with an empty disk, and all others lose power at the same moment
	faultLeave                             // it leaves the chain, stops and restarts
	faultKindCount
)

func (k faultKind) String() string {
	return [...]string{"kill", "power", "wipe", "cut", "mute", "deaf", "hang", "freeze", "wipe dark", "leave"}[k]
}

// losesDisk reports whether the fault loses the content of a disk.
func (k faultKind) losesDisk() bool { return k == faultWipe || k == faultWipeAndPowerLoss }

// scheduledFault is a fault at a position in the order of events.
type scheduledFault struct {
	step   int // number of events after the start of the fault window
	kind   faultKind
	number int // of the process
}

func (s scheduledFault) String() string {
	return fmt.Sprintf("%v %d at event %d", s.kind, s.number, s.step)
}

const (
	scheduleWarmUp = 4 * time.Second // until a view is in force and commands are accepted
	restartDelay   = 300 * time.Millisecond
	faultDuration  = 1200 * time.Millisecond // of a cut, a hanging disk or a freeze
	leaveDelay     = 700 * time.Millisecond  // until a leaving process ends, whether it is out of the chain or not
	faultWindow    = 1500 * time.Millisecond
)

// injectFault injects a fault and schedules its end.
func (w *randomWalk) injectFault(fault scheduledFault) {
	p := w.processes[fault.number]
	switch fault.kind {
	case faultKill, faultPowerLoss:
		p.kill(fault.kind == faultPowerLoss)
		w.schedule(restartDelay, func() { w.ensureRunning(p) })
	case faultWipe:
		p.kill(true)
		p.wipe()
		w.schedule(restartDelay, func() { w.ensureRunning(p) })
	case faultWipeAndPowerLoss:
		for _, each := range w.processes {
			each.kill(true)
			w.schedule(restartDelay, func() { w.ensureRunning(each) })
		}
		p.wipe()
	case faultLeave:
		if !p.running || p.frozen {
			return
		}
		incarnation := p.incarnation
		p.apply(p.node.Leave(w.now))
		w.schedule(leaveDelay, func() {
			if p.incarnation == incarnation {
				p.kill(false)
				w.schedule(restartDelay, func() { w.ensureRunning(p) })
			}
		})
	case faultHang:
		p.diskHanging = true
		w.schedule(faultDuration, func() { p.diskHanging = false })
	case faultFreeze:
		p.frozen = true
		w.schedule(faultDuration, func() { p.frozen = false })
	default:
		w.isolate(p, fault.kind != faultReceivesLost, fault.kind != faultSendsLost)
		w.schedule(faultDuration, func() { clear(w.network.cut) })
	}
}

// isolate cuts the links between a process and all others, in one or both directions.
func (w *randomWalk) isolate(p *process, blockSends, blockReceives bool) {
	for _, other := range w.processes {
		if other != p {
			w.network.cut[[2]int{p.number, other.number}] = blockSends
			w.network.cut[[2]int{other.number, p.number}] = blockReceives
		}
	}
}

// runSchedule injects scheduled faults in a system with two operators and reads. It returns the violations and the
// number of events in the fault window.
func runSchedule(t *testing.T, voters int, injected injectedFaults, faults ...scheduledFault) (violations []string, events int) {
	w := newRandomWalk(t, 7, voters, voters, seededChooser(7))
	w.retention = retentions[(voters/2)%2] // with five voters, the smallest retention
	for _, p := range w.processes {
		p.injectedFaults = injected
	}
	w.run(scheduleWarmUp)
	start := w.executedEvents
	w.beforeEvent = func(step int) {
		for _, fault := range faults {
			if step == start+fault.step {
				w.injectFault(fault)
			}
		}
	}
	w.run(faultWindow)
	events = w.executedEvents - start
	w.healAndCheck()
	return w.violations, events
}

// runSchedules runs schedules concurrently and reports those with violations.
func runSchedules(t *testing.T, voters int, schedules [][]scheduledFault) {
	t.Helper()
	testkit.Each(len(schedules), func(index int) {
		if violations, _ := runSchedule(t, voters, injectedFaults{}, schedules[index]...); len(violations) > 0 {
			t.Errorf("%v: %s", schedules[index], violations[0])
		}
	})
	t.Logf("%d schedules", len(schedules))
}

var (
	singleFaultStride  = flag.Int("chain.singles", 20, "inject each single fault at every n-th event; 1: at all events")
	faultPairPositions = flag.Int("chain.pairs", 1, "number of events at which each pair of faults is injected")
)

// eventsPerCommand is the approximate number of events between two answered commands. Faults at all positions in such a
// span cover every stage of a command.
const eventsPerCommand = 240

// TestEachFaultAtEachEvent injects each single fault at each selected event.
func TestEachFaultAtEachEvent(t *testing.T) {
	for _, voters := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d voters", voters), func(t *testing.T) {
			var schedules [][]scheduledFault
			for step := 0; step < eventsPerCommand; step += *singleFaultStride {
				for kind := range faultKindCount {
					for number := range voters {
						schedules = append(schedules, []scheduledFault{{step, kind, number}})
					}
				}
			}
			runSchedules(t, voters, schedules)
		})
	}
}

// TestEachPairOfFaults injects each pair of faults at each pair of selected events, except pairs that lose two disks,
// which a chain of two does not tolerate.
func TestEachPairOfFaults(t *testing.T) {
	const voters = 3
	positions := make([]int, *faultPairPositions)
	for index := range positions {
		positions[index] = index * eventsPerCommand / len(positions)
	}
	var schedules [][]scheduledFault
	for first := range positions {
		for _, second := range positions[first:] {
			schedules = append(schedules, faultPairs(voters, positions[first], second)...)
		}
	}
	runSchedules(t, voters, schedules)
}

func faultPairs(voters, firstStep, secondStep int) [][]scheduledFault {
	var all [][]scheduledFault
	for first := range faultKindCount {
		for second := range faultKindCount {
			for a := range voters {
				for b := range voters {
					if a == b || first.losesDisk() && second.losesDisk() {
						continue
					}
					all = append(all, []scheduledFault{{firstStep, first, a}, {secondStep, second, b}})
				}
			}
		}
	}
	return all
}

// TestScheduleWindowIsLongEnough verifies that the fault window covers at least one complete command.
func TestScheduleWindowIsLongEnough(t *testing.T) {
	for _, voters := range []int{3, 5} {
		violations, events := runSchedule(t, voters, injectedFaults{})
		if len(violations) > 0 || events < eventsPerCommand {
			t.Errorf("%d voters: %d events, %v", voters, events, violations)
		}
	}
}

// TestSchedulesDetectSingleMemberChain verifies that the schedules detect a chain that is too short. A single lost disk
// takes an answered command away if the others received the command but have not written it. The other processes lose
// power too, because followers fetch from the tail continuously and receive each command at once, so the loss of the
// disk alone would show nothing.
func TestSchedulesDetectSingleMemberChain(t *testing.T) {
	const voters = 3
	for step := 0; step < eventsPerCommand; step += *singleFaultStride {
		for number := range voters {
			if violations, _ := runSchedule(t, voters, injectedFaults{allowSingleMemberChain: true},
				scheduledFault{step, faultWipeAndPowerLoss, number}); len(violations) > 0 {
				t.Logf("detected: %s", violations[0])
				return
			}
		}
	}
	t.Error("not detected")
}
