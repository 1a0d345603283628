package chain

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"wallflow/internal/testkit"
)

// The schedules of this file are all there are: each fault at each event of a small world, and each pair of faults at each pair of some
// of its events. Walks draw from larger worlds.

// faultKind is what can befall a process between two events.
type faultKind int

const (
	faultKill     faultKind = iota // its disk has what was written
	faultPower                     // the write that is out is there, missing or torn
	faultWipe                      // it comes back with an empty disk
	faultCut                       // from all others
	faultMute                      // its messages are lost, it hears the others
	faultDeaf                      // it hears nobody
	faultHang                      // its disk answers nothing
	faultFreeze                    // it stands still
	faultWipeDark                  // it comes back with an empty disk, and all others lose power at the same moment
	faultLeave                     // it is told to stop, leaves the chain and ends, and comes back
	faultKinds
)

func (k faultKind) String() string {
	return [...]string{"kill", "power", "wipe", "cut", "mute", "deaf", "hang", "freeze", "wipe dark", "leave"}[k]
}

// wipes tells of the faults that take a disk away.
func (k faultKind) wipes() bool { return k == faultWipe || k == faultWipeDark }

// scheduled is a fault at a place in the order of events.
type scheduled struct {
	step   int // events after the window's begin
	kind   faultKind
	number int // of the process
}

func (s scheduled) String() string { return fmt.Sprintf("%v %d at event %d", s.kind, s.number, s.step) }

const (
	scheduleWarm   = 4 * time.Second // until a view stands and commands go through
	scheduleAway   = 300 * time.Millisecond
	scheduleLasts  = 1200 * time.Millisecond // a cut, a hanging disk
	scheduleLeaves = 700 * time.Millisecond  // after which one that was told to stop ends, out of the chain or not
	scheduleWindow = 1500 * time.Millisecond
)

// befall lets a fault happen, and end later.
func (w *walk) befall(fault scheduled) {
	p := w.processes[fault.number]
	switch fault.kind {
	case faultKill, faultPower:
		p.kill(fault.kind == faultPower)
		w.after(scheduleAway, func() { w.startOne(p) })
	case faultWipe:
		p.kill(true)
		p.wipe()
		w.after(scheduleAway, func() { w.startOne(p) })
	case faultWipeDark:
		for _, each := range w.processes {
			each.kill(true)
			w.after(scheduleAway, func() { w.startOne(each) })
		}
		p.wipe()
	case faultLeave:
		if !p.up || p.frozen {
			return
		}
		life := p.life
		p.carryOut(p.node.Leave(w.now))
		w.after(scheduleLeaves, func() {
			if p.life == life {
				p.kill(false)
				w.after(scheduleAway, func() { w.startOne(p) })
			}
		})
	case faultHang:
		p.hanging = true
		w.after(scheduleLasts, func() { p.hanging = false })
	case faultFreeze:
		p.frozen = true
		w.after(scheduleLasts, func() { p.frozen = false })
	default:
		w.isolate(p, fault.kind != faultDeaf, fault.kind != faultMute)
		w.after(scheduleLasts, func() { clear(w.trouble.cut) })
	}
}

// isolate cuts a process off from all others.
func (w *walk) isolate(p *process, from, to bool) {
	for _, other := range w.processes {
		if other != p {
			w.trouble.cut[[2]int{p.number, other.number}] = from
			w.trouble.cut[[2]int{other.number, p.number}] = to
		}
	}
}

// playSchedule plays faults in a world of some voters in which two operators submit and a reader reads. It returns what broke, and how
// many events the window has.
func playSchedule(t *testing.T, voters int, planted mistakes, faults ...scheduled) (broken []string, events int) {
	w := newWalk(t, 7, voters, voters, seededChooser(7))
	w.retention = retentions[(voters/2)%2] // with five as little as possible is kept
	for _, p := range w.processes {
		p.mistakes = planted
	}
	w.run(scheduleWarm)
	begin := w.executed
	w.before = func(step int) {
		for _, fault := range faults {
			if step == begin+fault.step {
				w.befall(fault)
			}
		}
	}
	w.run(scheduleWindow)
	events = w.executed - begin
	w.end()
	return w.broken, events
}

// playAll plays schedules side by side and reports those in which something broke.
func playAll(t *testing.T, voters int, schedules [][]scheduled) {
	t.Helper()
	testkit.Each(len(schedules), func(index int) {
		if broken, _ := playSchedule(t, voters, mistakes{}, schedules[index]...); len(broken) > 0 {
			t.Errorf("%v: %s", schedules[index], broken[0])
		}
	})
	t.Logf("%d schedules", len(schedules))
}

var (
	singleStride = flag.Int("chain.singles", 20, "every so many events get each single fault; 1: all")
	pairPlaces   = flag.Int("chain.pairs", 1, "so many events get each pair of faults")
)

// commandSpan is about the number of events between two answered commands: faults in one such span meet every moment of a command.
const commandSpan = 240

func TestEachFaultAtEachEvent(t *testing.T) {
	for _, voters := range []int{3, 5} {
		t.Run(fmt.Sprintf("%d voters", voters), func(t *testing.T) {
			var schedules [][]scheduled
			for step := 0; step < commandSpan; step += *singleStride {
				for kind := range faultKinds {
					for number := range voters {
						schedules = append(schedules, []scheduled{{step, kind, number}})
					}
				}
			}
			playAll(t, voters, schedules)
		})
	}
}

// Two disks lost at once are outside of what a chain of two bears.
func TestEachPairOfFaults(t *testing.T) {
	const voters = 3
	places := make([]int, *pairPlaces)
	for index := range places {
		places[index] = index * commandSpan / len(places)
	}
	var schedules [][]scheduled
	for first := range places {
		for _, second := range places[first:] {
			schedules = append(schedules, pairs(voters, places[first], second)...)
		}
	}
	playAll(t, voters, schedules)
}

func pairs(voters, firstStep, secondStep int) [][]scheduled {
	var all [][]scheduled
	for first := range faultKinds {
		for second := range faultKinds {
			for a := range voters {
				for b := range voters {
					if a == b || first.wipes() && second.wipes() {
						continue
					}
					all = append(all, []scheduled{{firstStep, first, a}, {secondStep, second, b}})
				}
			}
		}
	}
	return all
}

// The window holds at least one command's whole way.
func TestScheduleWindowIsLongEnough(t *testing.T) {
	for _, voters := range []int{3, 5} {
		broken, events := playSchedule(t, voters, mistakes{})
		if len(broken) > 0 || events < commandSpan {
			t.Errorf("%d voters: %d events, %v", voters, events, broken)
		}
	}
}

// The schedules find a chain that is too short: what was answered is gone with one disk, where the others have heard of it and not written
// it. (Since followers ask the tail all the while, they hear of each command at once, so that the loss of the disk alone shows nothing.)
func TestSchedulesFindAShortChain(t *testing.T) {
	const voters = 3
	for step := 0; step < commandSpan; step += *singleStride {
		for number := range voters {
			if broken, _ := playSchedule(t, voters, mistakes{chainOfOne: true}, scheduled{step, faultWipeDark, number}); len(broken) > 0 {
				t.Logf("found: %s", broken[0])
				return
			}
		}
	}
	t.Error("not found")
}
