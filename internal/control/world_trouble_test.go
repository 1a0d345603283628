package control

import (
	"errors"
	"fmt"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"time"
)

var errWorldDisk = errors.New("disk trouble")

// anyControl draws a control machine that is not gone for good.
func (w *world) anyControl() *controlMachine {
	for {
		if c := w.controls[w.random.Intn(len(w.controls))]; !c.gone {
			return c
		}
	}
}

// isolate cuts machines off from those for which apart is true, in one or both directions.
func (w *world) isolate(m *machine, from, to bool, apart func(*machine) bool) {
	for _, other := range w.machines {
		if other == m || !apart(other) {
			continue
		}
		if from {
			w.cut[[2]int{m.number, other.number}] = true
		}
		if to {
			w.cut[[2]int{other.number, m.number}] = true
		}
		w.disturb(other)
	}
	w.disturb(m)
}

func (w *world) isControl(m *machine) bool {
	for _, c := range w.controls {
		if c.machine == m {
			return true
		}
	}
	return false
}

func everyone(*machine) bool { return true }

// split cuts the core into two halves; all others reach both.
func (w *world) split(time.Duration) {
	side := make(map[*machine]bool)
	for _, c := range w.controls {
		side[c.machine] = w.random.Intn(2) == 0
	}
	for _, c := range w.controls {
		w.isolate(c.machine, true, true, func(other *machine) bool { return w.isControl(other) && side[other] != side[c.machine] })
	}
	w.wholeCoreUntil = w.now.Add(time.Hour)
	w.halved = true
}

// calm tells whether the core had the time to get over the last loss.
func (w *world) calm() bool {
	if w.now.Sub(w.calmSince) < time.Duration(w.bounds.SyncS*float64(time.Second)) {
		return false
	}
	for _, c := range w.controls {
		if !c.gone && (!c.up || c.frozen || c.hanging) {
			return false
		}
	}
	return len(w.cut) == 0
}

// replace takes a control machine away for good; an empty one comes at another address, before it or after it.
func (w *world) replace(planned bool) {
	former := w.anyControl()
	w.replaced++
	if !planned {
		w.loseForGood(former)
		return
	}
	w.addControl(former.zone).start(false)
	w.after(2*time.Second+w.within(3*time.Second), func() {
		former.kill(false)
		former.gone, former.lostAt = true, w.now
	})
}

// loseForGood takes a machine away. The one that comes in its place counts as lost until it is there.
func (w *world) loseForGood(former *controlMachine) {
	former.kill(true)
	former.gone = true
	successor := w.addControl(former.zone)
	successor.wiped = true
	w.after(w.within(3*time.Second), func() { successor.start(false) })
}

// replaceTogether replaces two control machines at once. Where two are to be borne they are lost at times; as planned, both successors
// come first, and both that go are told to stop at the same moment. One that could not leave in order stays.
func (w *world) replaceTogether() {
	first, second := w.anyControl(), w.anyControl()
	if first == second {
		return
	}
	w.replaced += 2
	if w.lossesBorne() > 1 && w.random.Intn(2) == 0 {
		w.loseForGood(first)
		w.loseForGood(second)
		return
	}
	w.addControl(first.zone).start(false)
	w.addControl(second.zone).start(false)
	w.after(2*time.Second+w.within(3*time.Second), func() {
		for _, c := range []*controlMachine{first, second} {
			w.stop(c, func(left bool) {
				if c.gone = left; !left {
					c.start(false)
				}
				first.lostAt = w.now // both left in order, and count as one until they are dropped
			})
		}
	})
}

// troubleName is the name of the function that brings a trouble about.
func troubleName(happen func(time.Duration)) string {
	name := runtime.FuncForPC(reflect.ValueOf(happen).Pointer()).Name()
	return strings.TrimSuffix(name[strings.LastIndex(name, ".")+1:], "-fm")
}

// step lets something happen.
func (w *world) step() {
	troubles := []func(back time.Duration){
		w.killOne, w.killOne, w.losePowerOfOne, w.stopOne, w.stopOne,
		w.cutOne, w.cutOne, w.cutOne, w.cutOne, w.cutOne, w.split, w.join, w.join, w.join, w.join,
		w.loseDisks, w.loseDisks, w.loseDisksAndPower, w.strikeAtAcknowledgement, w.leaveBehind, w.relieve, w.everythingDown,
		w.hangDisk, w.failDisk, w.freezeOne, w.slowLinks, w.resetConnections, w.replaceOne, w.replaceTwo,
		w.killRelay, w.cutRelay, w.drainEndpoint, w.addEndpointLater, w.loseDatagrams,
	}
	happen := troubles[w.random.Intn(len(troubles))]
	w.happened = append(w.happened, fmt.Sprintf("%v %s", w.now.Sub(worldEpoch), troubleName(happen)))
	happen(w.within(4 * time.Second))
	const ms = time.Millisecond
	contact := w.bounds.Contact()
	pauses := []time.Duration{50 * ms, 200 * ms, 700 * ms, 2000 * ms, contact + 100*ms, contact + 1500*ms}
	w.run(pauses[w.random.Intn(len(pauses))])
	w.askDirectory()
}

func (w *world) killOne(back time.Duration) { w.endOne(w.anyControl(), false, back) }

func (w *world) losePowerOfOne(back time.Duration) { w.endOne(w.anyControl(), true, back) }

func (w *world) endOne(c *controlMachine, power bool, back time.Duration) {
	c.kill(power)
	w.after(back, func() { c.start(false) })
}

// stopOne tells a process to end, which leaves the chain in order first, and starts it again.
func (w *world) stopOne(back time.Duration) {
	c := w.anyControl()
	w.stop(c, func(bool) { w.after(back, func() { c.start(false) }) })
}

// stop tells a process that is up to end, and calls ended once it has: whether it was out of the chain by then.
func (w *world) stop(c *controlMachine, ended func(left bool)) {
	if !c.up || c.frozen {
		return
	}
	w.disturb(c.machine)
	life := c.life
	c.process.carryOut(c.process.chain.Leave(w.now))
	end := func(left bool) {
		if c.life == life {
			c.kill(false)
			ended(left)
		}
	}
	w.poll(retireWithin, func() bool {
		if c.life == life && c.process.chain.InChain() {
			return false
		}
		end(true)
		return true
	}, func() { end(false) })
}

// cutOne cuts a control process off in one of the ways that there are.
func (w *world) cutOne(time.Duration) {
	c := w.anyControl()
	ways := []func(){
		func() { w.isolate(c.machine, true, true, w.isControl) },
		func() { w.isolate(c.machine, true, true, everyone) },
		func() { w.isolate(c.machine, true, false, everyone) },
		func() { w.isolate(c.machine, false, true, w.isControl) },
		func() { w.isolate(c.machine, true, true, func(other *machine) bool { return other.zone != c.zone }) },
	}
	ways[w.random.Intn(len(ways))]()
}

// join ends all cuts.
func (w *world) join(time.Duration) {
	clear(w.cut)
	w.wholeCoreUntil = w.now
	w.halved = false
	for _, m := range w.machines {
		w.disturb(m)
	}
}

// lossesAllowed draws how many disks may be lost at once.
func (w *world) lossesAllowed() int { return 1 + w.random.Intn(w.lossesBorne()) }

// lossesBorne is how many machines may be lost at once: as many as are to be borne, where a majority stays.
func (w *world) lossesBorne() int {
	present := 0
	for _, c := range w.controls {
		if !c.gone {
			present++
		}
	}
	return min(w.tolerate, max(1, (present-1)/2))
}

// wipeSome takes the disks of so many control machines away.
func (w *world) wipeSome(count int) (wiped []*controlMachine) {
	for len(wiped) < count {
		if c := w.anyControl(); !slices.Contains(wiped, c) {
			wiped = append(wiped, c)
			c.wipe()
		}
	}
	return wiped
}

// loseDisks has as many disks lost as may be, if the last loss is over.
func (w *world) loseDisks(back time.Duration) {
	if !w.calm() {
		return
	}
	for _, c := range w.wipeSome(w.lossesAllowed()) {
		w.after(back, func() { c.start(false) })
	}
}

// loseDisksAndPower has disks lost, and all other machines without power at the same moment, those that do not count as well.
func (w *world) loseDisksAndPower(back time.Duration) {
	if w.calm() {
		w.wipeSome(w.lossesAllowed())
		w.allDown(true, back)
	}
}

// strikeAtAcknowledgement has that happen at the moment at which the next order is acknowledged.
func (w *world) strikeAtAcknowledgement(back time.Duration) {
	power, delay := w.random.Intn(2) == 0, w.within(5*time.Millisecond)
	w.atAcknowledgement = func() {
		w.after(delay, func() {
			if !w.calm() {
				return
			}
			wiped := w.wipeSome(w.lossesAllowed())
			if power {
				w.allDown(true, back)
				return
			}
			for _, c := range wiped {
				w.after(back, func() { c.start(false) })
			}
		})
	}
}

// leaveBehind cuts one process off while changes are made; then one of the others loses its disk, the rest lose power, and the cut ends.
func (w *world) leaveBehind(back time.Duration) {
	if !w.calm() {
		return
	}
	behind := w.anyControl()
	w.isolate(behind.machine, true, true, w.isControl)
	w.after(w.missedFor(), func() {
		wiped := w.anyControl()
		if wiped == behind || w.anyDown() {
			return
		}
		wiped.wipe()
		for _, c := range w.controls {
			if c != behind && c != wiped {
				w.endOne(c, true, back+time.Second)
			}
		}
		w.after(w.within(500*time.Millisecond), func() { wiped.start(false) })
		w.join(0)
	})
}

// relieve cuts a process off while changes are made; just after the cut has ended the others are killed.
func (w *world) relieve(back time.Duration) {
	behind := w.anyControl()
	w.isolate(behind.machine, true, true, w.isControl)
	w.after(w.missedFor(), func() {
		w.join(0)
		w.after(w.within(100*time.Millisecond), func() {
			for _, c := range w.controls {
				if c != behind {
					w.endOne(c, false, back)
				}
			}
		})
	})
}

// missedFor draws for how long a process misses changes.
func (w *world) missedFor() time.Duration { return 500*time.Millisecond + w.within(5*time.Second) }

func (w *world) anyDown() bool {
	return slices.ContainsFunc(w.controls, func(c *controlMachine) bool { return !c.gone && !c.up })
}

func (w *world) everythingDown(back time.Duration) { w.allDown(w.random.Intn(2) == 0, back) }

// allDown ends every control process at once. Where power is lost the relays go too, at times.
func (w *world) allDown(power bool, back time.Duration) {
	const startWithin = 300 * time.Millisecond
	w.wholeCoreUntil = w.now.Add(back + startWithin)
	for _, c := range w.controls {
		c.kill(power)
		w.after(back+w.within(startWithin), func() { c.start(false) })
	}
	if !power || w.random.Intn(2) == 0 {
		return
	}
	for _, r := range w.relays {
		r.kill()
		w.after(back+w.within(startWithin), r.start)
	}
}

func (w *world) hangDisk(back time.Duration) {
	c := w.anyControl()
	c.hanging = true
	w.disturb(c.machine)
	w.after(back, func() { c.hanging = false; w.disturb(c.machine) })
}

func (w *world) failDisk(back time.Duration) {
	c := w.anyControl()
	c.disk.SyncError = errWorldDisk
	w.disturb(c.machine)
	disk := c.disk
	w.after(back, func() { disk.SyncError = nil; w.disturb(c.machine) })
}

func (w *world) freezeOne(back time.Duration) {
	c := w.anyControl()
	c.frozen = true
	w.disturb(c.machine)
	w.after(back, func() { c.frozen = false; w.disturb(c.machine) })
}

// slowLinks delays what goes to a control process, from it, or both, by the same time.
func (w *world) slowLinks(back time.Duration) {
	c, delay, ways := w.anyControl(), w.within(4*time.Second), 1+w.random.Intn(3)
	change := func(delay time.Duration) {
		for _, other := range w.machines {
			if ways&1 != 0 {
				w.linkOf(other, c.machine).delay = delay
			}
			if ways&2 != 0 {
				w.linkOf(c.machine, other).delay = delay
			}
			w.disturb(other)
		}
	}
	c.slow = true
	change(delay)
	w.after(back, func() { c.slow = false; change(0) })
}

// resetConnections loses what is under way to and from a control process.
func (w *world) resetConnections(time.Duration) {
	c := w.anyControl()
	for _, other := range w.machines {
		w.linkOf(other, c.machine).resets++
		w.linkOf(c.machine, other).resets++
	}
	w.disturb(c.machine)
}

func (w *world) replaceOne(time.Duration) {
	if w.calm() && w.replaced < 3 {
		w.replace(w.random.Intn(2) == 0)
	}
}

func (w *world) replaceTwo(time.Duration) {
	if w.calm() && w.replaced < 2 {
		w.replaceTogether()
	}
}

func (w *world) anyRelay() *relayMachine { return w.relays[w.random.Intn(len(w.relays))] }

func (w *world) killRelay(back time.Duration) {
	r := w.anyRelay()
	r.kill()
	w.after(back, r.start)
}

func (w *world) cutRelay(time.Duration) { w.isolate(w.anyRelay().machine, true, true, everyone) }

func (w *world) drainEndpoint(time.Duration) { w.endpoints[w.random.Intn(len(w.endpoints))].drain() }

func (w *world) addEndpointLater(time.Duration) { w.addEndpoint() }

func (w *world) loseDatagrams(time.Duration) {
	w.loss = 0.02 * float64(w.random.Intn(2))
	w.calmSince = w.now
}
