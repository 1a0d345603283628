package control

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The layout of deployments with hundreds of machines: one control process in each of six zones, and two zones in each region. It must
// tolerate the simultaneous loss of two disks, of a zone or of a region.
const (
	layoutControlCount      = 6
	layoutTolerated         = 2
	layoutControlsPerRegion = 2
)

// machineLoss describes control machines that fail at the same moment.
type machineLoss struct {
	name           string
	affected       []int // indexes of the control machines
	loseDisks      bool  // they lose their disks; otherwise only power
	powerOffOthers bool  // all other control machines lose power as well
}

// layoutLosses returns all losses that the layout must tolerate: each pair of disks, alone and together with the power of all other
// machines, each zone and each region.
func layoutLosses() []machineLoss {
	var losses []machineLoss
	for first := range layoutControlCount {
		losses = append(losses, machineLoss{name: fmt.Sprintf("zone %d", first), affected: []int{first}})
		for second := first + 1; second < layoutControlCount; second++ {
			pair := []int{first, second}
			losses = append(losses,
				machineLoss{name: fmt.Sprintf("disks %d and %d", first, second), affected: pair, loseDisks: true},
				machineLoss{name: fmt.Sprintf("disks %d and %d with the power of all others", first, second),
					affected: pair, loseDisks: true, powerOffOthers: true},
			)
		}
	}
	for first := 0; first < layoutControlCount; first += layoutControlsPerRegion {
		losses = append(losses, machineLoss{name: fmt.Sprintf("region %d", first/layoutControlsPerRegion), affected: []int{first, first + 1}})
	}
	return losses
}

// apply injects the loss. The machines restart after the delay, those that lost their disks with empty ones.
func (l machineLoss) apply(sim *simulation, restartDelay time.Duration) {
	for _, number := range l.affected {
		c := sim.controls[number]
		if l.loseDisks {
			c.wipe()
		} else {
			c.kill(true)
		}
		if !l.powerOffOthers {
			sim.schedule(restartDelay, func() { c.start(false) })
		}
	}
	if l.powerOffOthers {
		sim.restartAll(true, restartDelay)
	}
}

// A change that was acknowledged just before a loss must be present at every process after it, and further changes must be accepted.
func TestEachLossOfTheLayoutIsTolerated(t *testing.T) {
	t.Parallel()
	for index, loss := range layoutLosses() {
		t.Run(loss.name, func(t *testing.T) {
			t.Parallel()
			sim := newSimulation(t, 7000+int64(index), simulationOptions{controls: layoutControlCount, zones: layoutControlCount,
				relays: 2, endpoints: 3, tolerated: layoutTolerated})
			sim.advance(12 * time.Second)
			view := sim.controls[0].process.chain.View()
			assert.Assert(t, len(view.Voters) >= 2*layoutTolerated+1, "%d voters", len(view.Voters))
			assert.Assert(t, len(view.Chain) > layoutTolerated, "a chain of %d", len(view.Chain))
			applied := false
			var newest uint64
			sim.onNextAck = func() {
				sim.schedule(sim.randomDuration(4*time.Millisecond), func() {
					applied = true
					newest = sim.history.newestAckedBy(sim.now)
					loss.apply(sim, time.Second)
				})
			}
			for waited := time.Duration(0); !applied; waited += 10 * time.Millisecond {
				assert.Assert(t, waited < 20*time.Second, "nothing was acknowledged")
				sim.advance(10 * time.Millisecond)
			}
			acked := sim.ackedOrders
			sim.advance(15 * time.Second)
			assert.Assert(t, sim.ackedOrders > acked+5, "%d orders were acknowledged in 15 s", sim.ackedOrders-acked)
			for _, c := range sim.controls {
				status, generation := sim.readAt(c)
				assert.Equal(t, status, http.StatusOK, c.address)
				assert.Assert(t, generation >= newest, "%s reads %d, %d was acknowledged before", c.address, generation, newest)
			}
			assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
		})
	}
}

// With fewer voters than the configured tolerance needs, the chain must contain all of them while all are alive.
func TestAllVotersReplicateWhenTooFewForTheTolerance(t *testing.T) {
	t.Parallel()
	for seed := range int64(5) {
		sim := newSimulation(t, 7100+seed, simulationOptions{controls: 3, zones: 3, relays: 1, endpoints: 1, tolerated: 2})
		sim.advance(12 * time.Second)
		for _, c := range sim.controls {
			assert.Equal(t, len(c.process.chain.View().Chain), 3, "seed %d", seed)
		}
		assert.Equal(t, len(sim.violations), 0, "%v", sim.violations)
	}
}
