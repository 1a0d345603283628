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

var errInjectedDisk = errors.New("injected disk error")

// randomControl returns a random control machine that has not been removed.
func (sim *simulation) randomControl() *controlMachine {
	for {
		if c := sim.controls[sim.random.Intn(len(sim.controls))]; !c.removed {
			return c
		}
	}
}

// isolate cuts a machine off from those for which isCut is true, in one or both directions.
func (sim *simulation) isolate(m *machine, outgoing, incoming bool, isCut func(*machine) bool) {
	for _, other := range sim.machines {
		if other == m || !isCut(other) {
			continue
		}
		if outgoing {
			sim.cuts[[2]int{m.number, other.number}] = true
		}
		if incoming {
			sim.cuts[[2]int{other.number, m.number}] = true
		}
		sim.recordDisturbance(other)
	}
	sim.recordDisturbance(m)
}

func (sim *simulation) isControl(m *machine) bool {
	for _, c := range sim.controls {
		if c.machine == m {
			return true
		}
	}
	return false
}

func anyMachine(*machine) bool { return true }

// splitCore splits the control machines at random into two sides that cannot reach each other. Relays reach both sides.
func (sim *simulation) splitCore(time.Duration) {
	side := make(map[*machine]bool)
	for _, c := range sim.controls {
		side[c.machine] = sim.random.Intn(2) == 0
	}
	for _, c := range sim.controls {
		sim.isolate(c.machine, true, true, func(other *machine) bool { return sim.isControl(other) && side[other] != side[c.machine] })
	}
	sim.coreOutageUntil = sim.now.Add(time.Hour)
	sim.partitioned = true
}

// coreRecovered reports whether all control machines are up and connected, and have been undisturbed for syncS.
func (sim *simulation) coreRecovered() bool {
	if sim.now.Sub(sim.coreDisturbedAt) < time.Duration(sim.bounds.SyncS*float64(time.Second)) {
		return false
	}
	for _, c := range sim.controls {
		if !c.removed && (!c.up || c.frozen || c.diskHangs) {
			return false
		}
	}
	return len(sim.cuts) == 0
}

// replaceControl replaces a control machine by an empty one at another address. In a planned replacement the new machine starts first;
// otherwise the old one is lost first.
func (sim *simulation) replaceControl(planned bool) {
	former := sim.randomControl()
	sim.replacements++
	if !planned {
		sim.replaceLost(former)
		return
	}
	sim.addControl(former.zone).start(false)
	sim.schedule(2*time.Second+sim.randomDuration(3*time.Second), func() {
		former.kill(false)
		former.removed, former.lostAt = true, sim.now
	})
}

// replaceLost removes a machine without warning. Its replacement counts as lost until it has started.
func (sim *simulation) replaceLost(former *controlMachine) {
	former.kill(true)
	former.removed = true
	successor := sim.addControl(former.zone)
	successor.wiped = true
	sim.schedule(sim.randomDuration(3*time.Second), func() { successor.start(false) })
}

// replaceTwoControls replaces two control machines at once. If two losses are tolerated, the machines are lost without warning in half of
// the cases. Otherwise both replacements start first, and both old machines are told to stop at the same moment. A machine that could not
// leave the chain in time is restarted and stays.
func (sim *simulation) replaceTwoControls() {
	first, second := sim.randomControl(), sim.randomControl()
	if first == second {
		return
	}
	sim.replacements += 2
	if sim.maxLosses() > 1 && sim.random.Intn(2) == 0 {
		sim.replaceLost(first)
		sim.replaceLost(second)
		return
	}
	sim.addControl(first.zone).start(false)
	sim.addControl(second.zone).start(false)
	sim.schedule(2*time.Second+sim.randomDuration(3*time.Second), func() {
		for _, c := range []*controlMachine{first, second} {
			sim.stop(c, func(left bool) {
				if c.removed = left; !left {
					c.start(false)
				}
				first.lostAt = sim.now // both left the chain, and count as one loss until they are no longer voters
			})
		}
	})
}

// faultName returns the name of a function that injects a fault.
func faultName(inject func(time.Duration)) string {
	name := runtime.FuncForPC(reflect.ValueOf(inject).Pointer()).Name()
	return strings.TrimSuffix(name[strings.LastIndex(name, ".")+1:], "-fm")
}

// injectFault injects a random fault, advances the simulation by a random pause and checks the directory.
func (sim *simulation) injectFault() {
	faults := []func(back time.Duration){
		sim.killOne, sim.killOne, sim.losePowerOfOne, sim.stopOne, sim.stopOne,
		sim.cutOne, sim.cutOne, sim.cutOne, sim.cutOne, sim.cutOne, sim.splitCore, sim.healCuts, sim.healCuts, sim.healCuts, sim.healCuts,
		sim.loseDisks, sim.loseDisks, sim.loseDisksAndPower, sim.loseDisksAfterAck, sim.loseDiskWhileOneIsBehind,
		sim.killOthersAfterCut, sim.killAll,
		sim.hangDisk, sim.failDisk, sim.freezeOne, sim.slowLinks, sim.resetConnections, sim.replaceOne, sim.replaceTwo,
		sim.killRelay, sim.cutRelay, sim.drainEndpoint, sim.addOneEndpoint, sim.loseMessages,
	}
	inject := faults[sim.random.Intn(len(faults))]
	sim.injectedFaults = append(sim.injectedFaults, fmt.Sprintf("%v %s", sim.now.Sub(simulationStart), faultName(inject)))
	inject(sim.randomDuration(4 * time.Second))
	const ms = time.Millisecond
	contact := sim.bounds.Contact()
	pauses := []time.Duration{50 * ms, 200 * ms, 700 * ms, 2000 * ms, contact + 100*ms, contact + 1500*ms}
	sim.advance(pauses[sim.random.Intn(len(pauses))])
	sim.checkDirectory()
}

func (sim *simulation) killOne(restartDelay time.Duration) {
	sim.restartOne(sim.randomControl(), false, restartDelay)
}

func (sim *simulation) losePowerOfOne(restartDelay time.Duration) {
	sim.restartOne(sim.randomControl(), true, restartDelay)
}

func (sim *simulation) restartOne(c *controlMachine, power bool, restartDelay time.Duration) {
	c.kill(power)
	sim.schedule(restartDelay, func() { c.start(false) })
}

// stopOne stops a process, which leaves the chain first, and restarts it.
func (sim *simulation) stopOne(restartDelay time.Duration) {
	c := sim.randomControl()
	sim.stop(c, func(bool) { sim.schedule(restartDelay, func() { c.start(false) }) })
}

// stop makes a running process leave the chain and end, and then calls onEnd with whether it had left the chain by then. It does nothing
// if the process is not running.
func (sim *simulation) stop(c *controlMachine, onEnd func(left bool)) {
	if !c.up || c.frozen {
		return
	}
	sim.recordDisturbance(c.machine)
	incarnation := c.incarnation
	c.process.applyChainOutput(c.process.chain.Leave(sim.now))
	end := func(left bool) {
		if c.incarnation == incarnation {
			c.kill(false)
			onEnd(left)
		}
	}
	sim.poll(retireTimeout, func() bool {
		if c.incarnation == incarnation && c.process.chain.InChain() {
			return false
		}
		end(true)
		return true
	}, func() { end(false) })
}

// cutOne cuts a random control process off in a random way.
func (sim *simulation) cutOne(time.Duration) {
	c := sim.randomControl()
	variants := []func(){
		func() { sim.isolate(c.machine, true, true, sim.isControl) },
		func() { sim.isolate(c.machine, true, true, anyMachine) },
		func() { sim.isolate(c.machine, true, false, anyMachine) },
		func() { sim.isolate(c.machine, false, true, sim.isControl) },
		func() { sim.isolate(c.machine, true, true, func(other *machine) bool { return other.zone != c.zone }) },
	}
	variants[sim.random.Intn(len(variants))]()
}

// healCuts restores all links.
func (sim *simulation) healCuts(time.Duration) {
	clear(sim.cuts)
	sim.coreOutageUntil = sim.now
	sim.partitioned = false
	for _, m := range sim.machines {
		sim.recordDisturbance(m)
	}
}

// randomLossCount returns a random number of simultaneous disk losses, at most maxLosses.
func (sim *simulation) randomLossCount() int { return 1 + sim.random.Intn(sim.maxLosses()) }

// maxLosses returns how many machines may be lost at once: the tolerated number, but not so many that no majority is left.
func (sim *simulation) maxLosses() int {
	present := 0
	for _, c := range sim.controls {
		if !c.removed {
			present++
		}
	}
	return min(sim.tolerated, max(1, (present-1)/2))
}

// wipeSome wipes the disks of a number of random control machines.
func (sim *simulation) wipeSome(count int) (wiped []*controlMachine) {
	for len(wiped) < count {
		if c := sim.randomControl(); !slices.Contains(wiped, c) {
			wiped = append(wiped, c)
			c.wipe()
		}
	}
	return wiped
}

// loseDisks wipes a tolerated number of disks, if the core has recovered from the last fault.
func (sim *simulation) loseDisks(restartDelay time.Duration) {
	if !sim.coreRecovered() {
		return
	}
	for _, c := range sim.wipeSome(sim.randomLossCount()) {
		sim.schedule(restartDelay, func() { c.start(false) })
	}
}

// loseDisksAndPower wipes a tolerated number of disks and cuts the power of all control machines at the same moment.
func (sim *simulation) loseDisksAndPower(restartDelay time.Duration) {
	if sim.coreRecovered() {
		sim.wipeSome(sim.randomLossCount())
		sim.restartAll(true, restartDelay)
	}
}

// loseDisksAfterAck wipes disks, in half of the cases together with a power cut of all machines, just after the next order is
// acknowledged.
func (sim *simulation) loseDisksAfterAck(restartDelay time.Duration) {
	power, delay := sim.random.Intn(2) == 0, sim.randomDuration(5*time.Millisecond)
	sim.onNextAck = func() {
		sim.schedule(delay, func() {
			if !sim.coreRecovered() {
				return
			}
			wiped := sim.wipeSome(sim.randomLossCount())
			if power {
				sim.restartAll(true, restartDelay)
				return
			}
			for _, c := range wiped {
				sim.schedule(restartDelay, func() { c.start(false) })
			}
		})
	}
}

// loseDiskWhileOneIsBehind cuts one process off while changes are made. Then one of the others loses its disk, the rest lose power, and
// the cut ends.
func (sim *simulation) loseDiskWhileOneIsBehind(restartDelay time.Duration) {
	if !sim.coreRecovered() {
		return
	}
	behind := sim.randomControl()
	sim.isolate(behind.machine, true, true, sim.isControl)
	sim.schedule(sim.randomIsolation(), func() {
		wiped := sim.randomControl()
		if wiped == behind || sim.anyDown() {
			return
		}
		wiped.wipe()
		for _, c := range sim.controls {
			if c != behind && c != wiped {
				sim.restartOne(c, true, restartDelay+time.Second)
			}
		}
		sim.schedule(sim.randomDuration(500*time.Millisecond), func() { wiped.start(false) })
		sim.healCuts(0)
	})
}

// killOthersAfterCut cuts one process off while changes are made. Just after the cut has ended, all others are killed.
func (sim *simulation) killOthersAfterCut(restartDelay time.Duration) {
	behind := sim.randomControl()
	sim.isolate(behind.machine, true, true, sim.isControl)
	sim.schedule(sim.randomIsolation(), func() {
		sim.healCuts(0)
		sim.schedule(sim.randomDuration(100*time.Millisecond), func() {
			for _, c := range sim.controls {
				if c != behind {
					sim.restartOne(c, false, restartDelay)
				}
			}
		})
	})
}

// randomIsolation returns a random duration for which a process misses changes.
func (sim *simulation) randomIsolation() time.Duration {
	return 500*time.Millisecond + sim.randomDuration(5*time.Second)
}

func (sim *simulation) anyDown() bool {
	return slices.ContainsFunc(sim.controls, func(c *controlMachine) bool { return !c.removed && !c.up })
}

// killAll ends all control processes at once, in half of the cases by a loss of power.
func (sim *simulation) killAll(restartDelay time.Duration) {
	sim.restartAll(sim.random.Intn(2) == 0, restartDelay)
}

// restartAll ends every control process at once and restarts them after a delay. In half of the power losses the relays go down too.
func (sim *simulation) restartAll(power bool, restartDelay time.Duration) {
	const maxStartDelay = 300 * time.Millisecond
	sim.coreOutageUntil = sim.now.Add(restartDelay + maxStartDelay)
	for _, c := range sim.controls {
		c.kill(power)
		sim.schedule(restartDelay+sim.randomDuration(maxStartDelay), func() { c.start(false) })
	}
	if !power || sim.random.Intn(2) == 0 {
		return
	}
	for _, r := range sim.relays {
		r.kill()
		sim.schedule(restartDelay+sim.randomDuration(maxStartDelay), r.start)
	}
}

func (sim *simulation) hangDisk(duration time.Duration) {
	c := sim.randomControl()
	c.diskHangs = true
	sim.recordDisturbance(c.machine)
	sim.schedule(duration, func() { c.diskHangs = false; sim.recordDisturbance(c.machine) })
}

func (sim *simulation) failDisk(duration time.Duration) {
	c := sim.randomControl()
	c.disk.SyncError = errInjectedDisk
	sim.recordDisturbance(c.machine)
	disk := c.disk
	sim.schedule(duration, func() { disk.SyncError = nil; sim.recordDisturbance(c.machine) })
}

func (sim *simulation) freezeOne(duration time.Duration) {
	c := sim.randomControl()
	c.frozen = true
	sim.recordDisturbance(c.machine)
	sim.schedule(duration, func() { c.frozen = false; sim.recordDisturbance(c.machine) })
}

// slowLinks delays the messages to a control process, from it, or both, by the same time.
func (sim *simulation) slowLinks(duration time.Duration) {
	c, delay, directions := sim.randomControl(), sim.randomDuration(4*time.Second), 1+sim.random.Intn(3)
	setDelay := func(delay time.Duration) {
		for _, other := range sim.machines {
			if directions&1 != 0 {
				sim.linkBetween(other, c.machine).delay = delay
			}
			if directions&2 != 0 {
				sim.linkBetween(c.machine, other).delay = delay
			}
			sim.recordDisturbance(other)
		}
	}
	c.slowLinks = true
	setDelay(delay)
	sim.schedule(duration, func() { c.slowLinks = false; setDelay(0) })
}

// resetConnections resets the connections of a control process, which loses or delays the messages in flight.
func (sim *simulation) resetConnections(time.Duration) {
	c := sim.randomControl()
	for _, other := range sim.machines {
		sim.linkBetween(other, c.machine).resets++
		sim.linkBetween(c.machine, other).resets++
	}
	sim.recordDisturbance(c.machine)
}

func (sim *simulation) replaceOne(time.Duration) {
	if sim.coreRecovered() && sim.replacements < 3 {
		sim.replaceControl(sim.random.Intn(2) == 0)
	}
}

func (sim *simulation) replaceTwo(time.Duration) {
	if sim.coreRecovered() && sim.replacements < 2 {
		sim.replaceTwoControls()
	}
}

func (sim *simulation) randomRelay() *relayMachine {
	return sim.relays[sim.random.Intn(len(sim.relays))]
}

func (sim *simulation) killRelay(restartDelay time.Duration) {
	r := sim.randomRelay()
	r.kill()
	sim.schedule(restartDelay, r.start)
}

func (sim *simulation) cutRelay(time.Duration) {
	sim.isolate(sim.randomRelay().machine, true, true, anyMachine)
}

func (sim *simulation) drainEndpoint(time.Duration) {
	sim.endpoints[sim.random.Intn(len(sim.endpoints))].drain()
}

func (sim *simulation) addOneEndpoint(time.Duration) { sim.addEndpoint() }

// loseMessages sets the rate of lost messages at random to 0 or 2 %.
func (sim *simulation) loseMessages(time.Duration) {
	sim.lossRate = 0.02 * float64(sim.random.Intn(2))
	sim.coreDisturbedAt = sim.now
}
