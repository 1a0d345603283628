package control

import (
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/chain"
	"wallflow/internal/config"
	"wallflow/internal/registry"
)

var cutRuns = flag.Int64("world.cuts", 1, "runs of each way to cut a process off")

// cutKind is a way to cut a control process off.
type cutKind struct {
	name  string
	apply func(sim *simulation, c *controlMachine)
}

func cutKinds() []cutKind {
	otherZones := func(c *controlMachine) func(*machine) bool {
		return func(other *machine) bool { return other.zone != c.zone }
	}
	return []cutKind{
		{"from the core", func(sim *simulation, c *controlMachine) { sim.isolate(c.machine, true, true, sim.isControl) }},
		{"from all", func(sim *simulation, c *controlMachine) { sim.isolate(c.machine, true, true, anyMachine) }},
		{"with its zone", func(sim *simulation, c *controlMachine) {
			for _, m := range sim.machines {
				if m.zone == c.zone {
					sim.isolate(m, true, true, otherZones(c))
				}
			}
		}},
		{"sending but not receiving", func(sim *simulation, c *controlMachine) { sim.isolate(c.machine, false, true, anyMachine) }},
		{"receiving but not sending", func(sim *simulation, c *controlMachine) { sim.isolate(c.machine, true, false, anyMachine) }},
		{"receiving from the core but not sending to it", func(sim *simulation, c *controlMachine) {
			sim.isolate(c.machine, true, false, sim.isControl)
		}},
	}
}

// chainRole is the role of a process in a view.
type chainRole int

const (
	roleHead chainRole = iota
	roleTail
	roleVoter // a voter outside the chain
	roleCount // number of roles
)

func (r chainRole) String() string { return [...]string{"head", "tail", "voter outside the chain"}[r] }

// machineWithRole returns a control machine that has the role in the newest view.
func (sim *simulation) machineWithRole(role chainRole) *controlMachine {
	view := chain.View{}
	for _, c := range sim.controls {
		if known := c.process.chain.View(); known.Epoch > view.Epoch {
			view = known
		}
	}
	for _, c := range sim.controls {
		identity := c.process.chain.Identity()
		inChain := view.ChainIndex(identity) >= 0
		switch {
		case role == roleHead && view.Head() == identity, role == roleTail && view.Tail() == identity, role == roleVoter && !inChain:
			return c
		}
	}
	sim.t.Fatalf("no %v", role)
	return nil
}

// readAt reads the configuration at a process, and returns the status and the version of the answer. It advances the simulation until
// there is an answer.
func (sim *simulation) readAt(c *controlMachine) (status int, generation uint64) {
	status = -1
	sim.callChain(c, c.process.chain.Read, func(answer chain.Answer) {
		var body []byte
		status, body = readResponse(answer)
		if document, err := config.Parse(body); err == nil {
			generation = document.Generation
		}
	})
	for status < 0 {
		sim.advance(5 * time.Millisecond)
	}
	return status, generation
}

// lacksMajority reports whether a process cannot exchange messages with a majority.
func (sim *simulation) lacksMajority(c *controlMachine) bool {
	return !slices.Contains(sim.majority(), c)
}

// A control process is cut off for twenty seconds, in each way and in each role. Meanwhile it must not answer reads, accept or reject
// orders, acknowledge departures or present its feed to relays as fresh, while the others continue. Its first answer after the cut must be
// up to date.
func TestControlProcessIsolatedForTwentySeconds(t *testing.T) {
	t.Parallel()
	var toRefusal, toFresh []time.Duration
	for index, kind := range cutKinds() {
		for role := range roleCount {
			for seed := range *cutRuns {
				sim := newSimulation(t, 100*seed+int64(index), simulationOptions{controls: 5, zones: 3, relays: 3, endpoints: 4, tolerated: 1})
				sim.advance(12 * time.Second)
				c := sim.machineWithRole(role)
				name := fmt.Sprintf("%v cut off %s, seed %d", role, kind.name, seed)
				kind.apply(sim, c)
				isolated := sim.lacksMajority(c)
				began := sim.now
				acked := sim.ackedOrders
				if isolated {
					toRefusal = append(toRefusal, sim.advanceUntilRefused(c, began, name))
					sim.checkWithoutMajority(c, name)
				}
				sim.advance(20*time.Second - sim.now.Sub(began))
				assert.Assert(t, sim.ackedOrders > acked+5, "%s: %d orders acknowledged", name, sim.ackedOrders-acked)
				newestAcked := sim.history.newestAckedBy(sim.now)
				clear(sim.cuts)
				for _, m := range sim.machines {
					sim.recordDisturbance(m)
				}
				if isolated {
					toFresh = append(toFresh, sim.advanceUntilFresh(c, newestAcked, name))
				}
				sim.advance(8 * time.Second)
				assert.Equal(t, len(sim.violations), 0, "%s: %v", name, sim.violations)
			}
		}
	}
	t.Logf("from the cut to the first 503: %s", summarize(toRefusal))
	t.Logf("from the end of the cut to the first answer, which was up to date: %s", summarize(toFresh))
}

// summarize formats the median and the maximum of durations.
func summarize(times []time.Duration) string {
	slices.Sort(times)
	return fmt.Sprintf("p50 %v, max %v of %d", times[len(times)/2], times[len(times)-1], len(times))
}

// advanceUntilRefused reads at a process until it refuses, and returns the time since began. Until then no answer may be older than what
// was acknowledged.
func (sim *simulation) advanceUntilRefused(c *controlMachine, began time.Time, name string) time.Duration {
	for {
		minVersion := sim.history.newestAckedBy(sim.now)
		status, generation := sim.readAt(c)
		if status == http.StatusServiceUnavailable {
			return sim.now.Sub(began)
		}
		assert.Assert(sim.t, generation >= minVersion, name)
		assert.Assert(sim.t, sim.now.Sub(began) < 3*time.Second, "%s: still answers", name)
	}
}

// checkWithoutMajority checks that a process without a majority, once it has had time to notice, answers 503 to every order and
// acknowledges no departure.
func (sim *simulation) checkWithoutMajority(c *controlMachine, name string) {
	sim.advance(2 * time.Second)
	assert.Assert(sim.t, !c.process.hasQuorum(), "%s: has a quorum", name)
	_, before := c.process.chain.Committed()
	for _, order := range []config.Order{
		{Kind: config.Put, HasMatch: true, Match: sim.history.currentVersion, Body: documentOf(sim.history.currentVersion+1, "cut off")},
		{Kind: config.Put, HasMatch: true, Match: 0, Body: documentOf(1, "on an old version")},
		{Kind: config.Put, HasMatch: true, Match: sim.history.currentVersion, Body: []byte("{")},
		{Kind: config.Evacuate, Zone: sim.zones[0]},
	} {
		status := -1
		sim.callChain(c, c.process.submission(order), func(answer chain.Answer) { status, _ = orderResponse(answer) })
		for status < 0 {
			sim.advance(5 * time.Millisecond)
		}
		assert.Equal(sim.t, status, http.StatusServiceUnavailable, "%s: %v", name, order.Kind)
	}
	_, after := c.process.chain.Committed()
	assert.Assert(sim.t, after >= before)
	heartbeat := registry.Heartbeat{ID: "cut off", Backend: "b", Address: "10.9.9.9:80", Zone: c.zone, Slots: 4,
		State: registry.StateDraining, Seq: 1}
	replicated, _ := c.process.propagateChange(func(now time.Time) registry.Change { return c.process.instances.Heartbeat(now, heartbeat) })
	assert.Assert(sim.t, replicated != nil)
	sim.advance(replicationTimeout)
	select {
	case <-replicated:
		sim.t.Fatalf("%s: a departure is acknowledged", name)
	default:
	}
}

// advanceUntilFresh reads at a process until it answers, and returns how long that took. The answer must not be older than minVersion.
func (sim *simulation) advanceUntilFresh(c *controlMachine, minVersion uint64, name string) time.Duration {
	began := sim.now
	for {
		status, generation := sim.readAt(c)
		if status == http.StatusOK {
			assert.Assert(sim.t, generation >= minVersion, "%s: version %d, %d was acknowledged before the end of the cut",
				name, generation, minVersion)
			return sim.now.Sub(began)
		}
		assert.Assert(sim.t, sim.now.Sub(began) < 5*time.Second, "%s: does not answer again", name)
	}
}

// A process is restarted while it is cut off, so that it knows only what is on its disk. It must not answer reads or orders until the cut
// ends.
func TestProcessRestartedWhileIsolatedDoesNotAnswer(t *testing.T) {
	t.Parallel()
	for role := range roleCount {
		for seed := range *cutRuns {
			sim := newSimulation(t, seed, simulationOptions{controls: 5, zones: 3, relays: 3, endpoints: 4, tolerated: 1})
			sim.advance(12 * time.Second)
			c := sim.machineWithRole(role)
			name := fmt.Sprintf("%v, seed %d", role, seed)
			sim.isolate(c.machine, true, true, anyMachine)
			c.kill(true)
			sim.advance(time.Second)
			c.start(false)
			sim.advance(time.Second)
			status, _ := sim.readAt(c)
			assert.Equal(t, status, http.StatusServiceUnavailable, name)
			sim.checkWithoutMajority(c, name)
			sim.advance(15 * time.Second)
			newestAcked := sim.history.newestAckedBy(sim.now)
			clear(sim.cuts)
			sim.advanceUntilFresh(c, newestAcked, name)
			sim.advance(8 * time.Second)
			assert.Equal(t, len(sim.violations), 0, "%s: %v", name, sim.violations)
		}
	}
}

// All control processes restart with seeds that name only themselves. They must find each other by the voters in their stores.
func TestProcessesFindEachOtherByStoredVoters(t *testing.T) {
	t.Parallel()
	for _, options := range []simulationOptions{
		{controls: 3, zones: 3, relays: 3, endpoints: 4, tolerated: 1},
		{controls: 6, zones: 6, relays: 6, endpoints: 4, tolerated: 2},
	} {
		sim := newSimulation(t, 1, options)
		sim.advance(12 * time.Second)
		sim.restartSeeds = func(c *controlMachine) []string { return []string{c.controlAddress()} }
		sim.restartAll(true, time.Second)
		sim.advance(time.Duration(sim.bounds.RecoveryS * float64(time.Second)))
		acked := sim.ackedOrders
		sim.advance(3 * time.Second)
		assert.Assert(t, sim.ackedOrders > acked, "no order is acknowledged")
		sim.finish()
		assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
	}
}

// This tests the simulation. If a second machine is lost before the first has been back for syncS, and the control plane tolerates one
// loss, service may be interrupted until recoveryS after both are back, but not longer. A later second loss is within the tolerance, and
// the time bounds keep applying.
func TestExcessLossLastsUntilAllMachinesAreBack(t *testing.T) {
	for _, late := range []bool{false, true} {
		sim := newSimulation(t, 4, simulationOptions{controls: 3, zones: 3, relays: 2, endpoints: 2, tolerated: 1})
		sim.advance(6 * time.Second)
		first, second := sim.controls[0], sim.controls[1]
		first.wipe()
		sim.schedule(time.Second, func() { first.start(false) })
		syncTime := time.Duration(sim.bounds.SyncS * float64(time.Second))
		delay := 2 * time.Second
		if late {
			delay = time.Second + syncTime + time.Second
		}
		sim.advance(delay)
		sim.isolate(second.machine, true, true, anyMachine)
		sim.advance(sim.bounds.Contact() + syncTime)
		assert.Equal(t, sim.excessLoss, !late)
		assert.Equal(t, sim.timeBoundsApply(sim.relays[0].machine), late)
		sim.healCuts(0)
		sim.advance(sim.bounds.Contact() + time.Second)
		assert.Assert(t, !sim.excessLoss)
		sim.advance(time.Duration(sim.bounds.RecoveryS * float64(time.Second)))
		assert.Assert(t, sim.timeBoundsApply(sim.relays[0].machine))
		assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
	}
}

// An endpoint whose heartbeats go to an isolated control process must be refused, so that it switches to another one: the other processes
// receive none of its heartbeats, and would mark it silent and then gone. The refused heartbeat is recorded all the same.
func TestIsolatedProcessDoesNotAcknowledgeAHeartbeat(t *testing.T) {
	sim := newSimulation(t, 1, simulationOptions{controls: 3, zones: 3, relays: 2, endpoints: 2, tolerated: 1})
	sim.advance(8 * time.Second)
	call := func(c *controlMachine, seq int) int {
		body := fmt.Sprintf(`{"backend":"b","address":"10.9.9.9:80","zone":%q,"state":"ready","slots":4,"seq":%d}`, c.zone, seq)
		recorder := httptest.NewRecorder()
		c.process.ControlHandler().ServeHTTP(recorder, httptest.NewRequest(http.MethodPut, "/instances/extra", strings.NewReader(body)))
		return recorder.Code
	}
	cutOff, other := sim.controls[0], sim.controls[1]
	assert.Equal(t, call(cutOff, 1), http.StatusOK)
	sim.isolate(cutOff.machine, true, true, sim.isControl)
	sim.advance(5 * time.Second)
	_, recorded := cutOff.process.instances.Instance("extra")
	assert.Assert(t, recorded)
	assert.Equal(t, call(other, 2), http.StatusOK)
	assert.Equal(t, call(cutOff, 3), http.StatusServiceUnavailable)
}
