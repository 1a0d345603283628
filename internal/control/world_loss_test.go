package control

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The layout of the deployments with hundreds of machines: a control process in each of six zones, two zones to a region, and the loss
// of two disks, a zone or a region is to be borne at once.
const (
	layoutControls  = 6
	layoutTolerate  = 2
	layoutPerRegion = 2
)

// loss is control processes that are struck together.
type loss struct {
	name   string
	struck []int // numbers of the control processes
	disks  bool  // their disks are lost; else their power alone
	others bool  // all others lose power as well
}

// lossesOfTheLayout are all losses that are to be borne: each pair of disks, alone and with the power of all others, each zone, each
// region.
func lossesOfTheLayout() []loss {
	var losses []loss
	for first := range layoutControls {
		losses = append(losses, loss{name: fmt.Sprintf("zone %d", first), struck: []int{first}})
		for second := first + 1; second < layoutControls; second++ {
			pair := []int{first, second}
			losses = append(losses,
				loss{name: fmt.Sprintf("disks %d and %d", first, second), struck: pair, disks: true},
				loss{name: fmt.Sprintf("disks %d and %d with the power of all others", first, second), struck: pair, disks: true, others: true},
			)
		}
	}
	for first := 0; first < layoutControls; first += layoutPerRegion {
		losses = append(losses, loss{name: fmt.Sprintf("region %d", first/layoutPerRegion), struck: []int{first, first + 1}})
	}
	return losses
}

// strike brings a loss about. The processes come back after a while, those with a lost disk empty.
func (l loss) strike(w *world, back time.Duration) {
	for _, number := range l.struck {
		c := w.controls[number]
		if l.disks {
			c.wipe()
		} else {
			c.kill(true)
		}
		if !l.others {
			w.after(back, func() { c.start(false) })
		}
	}
	if l.others {
		w.allDown(true, back)
	}
}

// What was acknowledged a moment before a loss is there after it, at every process, and changes go on.
func TestEachLossOfTheLayoutIsBorne(t *testing.T) {
	t.Parallel()
	for index, loss := range lossesOfTheLayout() {
		t.Run(loss.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 7000+int64(index), worldOptions{controls: layoutControls, zones: layoutControls, relays: 2, endpoints: 3, tolerate: layoutTolerate})
			w.run(12 * time.Second)
			view := w.controls[0].process.chain.View()
			assert.Assert(t, len(view.Voters) >= 2*layoutTolerate+1, "%d voters", len(view.Voters))
			assert.Assert(t, len(view.Chain) > layoutTolerate, "a chain of %d", len(view.Chain))
			struck := false
			var newest uint64
			w.atAcknowledgement = func() {
				w.after(w.within(4*time.Millisecond), func() {
					struck = true
					newest = w.ledger.mustHold(w.now)
					loss.strike(w, time.Second)
				})
			}
			for waited := time.Duration(0); !struck; waited += 10 * time.Millisecond {
				assert.Assert(t, waited < 20*time.Second, "nothing was acknowledged")
				w.run(10 * time.Millisecond)
			}
			acked := w.acked
			w.run(15 * time.Second)
			assert.Assert(t, w.acked > acked+5, "%d orders were acknowledged in 15 s", w.acked-acked)
			for _, c := range w.controls {
				status, generation := w.readAt(c)
				assert.Equal(t, status, http.StatusOK, c.address)
				assert.Assert(t, generation >= newest, "%s reads %d, %d was acknowledged before", c.address, generation, newest)
			}
			assert.Equal(t, len(w.broken), 0, "%v", w.broken)
		})
	}
}

// Where there are fewer voters than bear the losses that are to be borne, all of them hold each change while all live.
func TestAllOfTooFewVotersHoldEachChange(t *testing.T) {
	t.Parallel()
	for seed := range int64(5) {
		w := newWorld(t, 7100+seed, worldOptions{controls: 3, zones: 3, relays: 1, endpoints: 1, tolerate: 2})
		w.run(12 * time.Second)
		for _, c := range w.controls {
			assert.Equal(t, len(c.process.chain.View().Chain), 3, "seed %d", seed)
		}
		assert.Equal(t, len(w.broken), 0, "%v", w.broken)
	}
}
