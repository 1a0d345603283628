package smallsystem

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var (
	zoneOrderSeeds = flag.Int("zone.seeds", 2, "seeds of the troubles beside orders about zones, in real processes")
	zoneOrderTime  = flag.Duration("zone.time", 20*time.Second, "how long the troubles of one seed go on")
)

const (
	// The troubles may leave no majority for several orderBounds, so that only their end shows whether an order is answered and in force.
	troubleBound = time.Minute
	zoneHold     = 500 * time.Millisecond // at most, from a look at a zone until the next one
	longestStop  = 5 * time.Second        // of a process that stands still
	// A process that goes on is soon up to date where few changes were made meanwhile, so that an old order looks new to it.
	betweenVersions = time.Second
	troublePause    = 900 * time.Millisecond // at most, between two troubles
)

// zoneOperator evacuates one zone and takes that back, in turn, until told to end. What was acknowledged has to stay in force until it orders
// otherwise.
type zoneOperator struct {
	core      *core
	zone      string
	evacuated bool // as last acknowledged
	orders    int
}

// order has the zone evacuated or taken back, whichever it isn't.
func (o *zoneOperator) order() error {
	method := http.MethodPost
	if o.evacuated {
		method = http.MethodDelete
	}
	status := o.core.order(method, "/drain/"+o.zone, "", "")
	if status != http.StatusOK {
		return fmt.Errorf("%s of %s after %d orders: status %d", method, o.zone, o.orders, status)
	}
	o.evacuated = !o.evacuated
	o.orders++
	return nil
}

// look waits until a process that is up to date shows the zone as ordered. An order that was undone is never shown again.
func (o *zoneOperator) look() error {
	for begun := time.Now(); time.Since(begun) < o.core.orderWithin; wait(operatorPause) {
		for _, machine := range o.core.called {
			status, err := o.core.status(machine)
			if err == nil && status.Fresh && slices.Contains(status.Evacuated, o.zone) == o.evacuated {
				return nil
			}
		}
	}
	return fmt.Errorf("zone %s after %d orders: evacuated %t was acknowledged, and no process shows it", o.zone, o.orders, o.evacuated)
}

func (o *zoneOperator) run(end <-chan struct{}, pause func()) error {
	for {
		select {
		case <-end:
			return o.look()
		default:
		}
		if err := o.order(); err != nil {
			return err
		}
		if err := o.look(); err != nil {
			return err
		}
		pause()
		if err := o.look(); err != nil {
			return err
		}
	}
}

// overlappingTroubles has processes stand still, be killed, end by SIGTERM and get SIGHUP, one on top of the other. Two at most are away at
// a time for longer than a restart.
func (c *core) overlappingTroubles(duration time.Duration) {
	c.t.Helper()
	goOn := make(map[string]time.Time) // of processes that stand still
	for end := time.Now().Add(duration); time.Now().Before(end); c.pause(0, troublePause) {
		c.continueDue(goOn)
		victim := c.anyMachine()
		process := c.running[victim.name]
		_, still := goOn[victim.name]
		switch trouble := c.random.IntN(10); {
		case trouble < 5 && !still && len(goOn) < 2:
			assert.NilError(c.t, process.Signal(syscall.SIGSTOP))
			goOn[victim.name] = time.Now().Add(time.Duration(c.random.Int64N(int64(longestStop))))
		case trouble < 7:
			delete(goOn, victim.name)
			c.kill(victim)
			c.pause(0, 300*time.Millisecond)
			c.start(victim, false)
		case trouble < 8 && !still:
			assert.NilError(c.t, process.Signal(syscall.SIGTERM))
			<-process.Done()
			delete(c.running, victim.name)
			c.start(victim, false)
		case trouble < 9:
			assert.NilError(c.t, process.Signal(syscall.SIGHUP))
		}
	}
	for name := range goOn {
		goOn[name] = time.Time{}
	}
	c.continueDue(goOn)
}

// continueDue lets the processes go on that have stood still for long enough.
func (c *core) continueDue(goOn map[string]time.Time) {
	c.t.Helper()
	for name, at := range goOn {
		if time.Now().Before(at) {
			continue
		}
		assert.NilError(c.t, c.running[name].Signal(syscall.SIGCONT))
		delete(goOn, name)
	}
}

// Whatever befalls the processes, one on top of the other, what was acknowledged of a zone stays in force until the next order about it. An
// order that waited at a process that stood still must not undo it.
func TestAcknowledgedZoneOrdersOutliveOverlappingTroubles(t *testing.T) {
	programs := buildControl(t)
	for seed := range *zoneOrderSeeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			c := prepareCore(t, programs, uint64(seed))
			c.betweenChanges, c.orderWithin = betweenVersions, troubleBound
			c.startAll()
			c.playZoneOrders(*zoneOrderTime)
		})
	}
}

func (c *core) playZoneOrders(duration time.Duration) {
	c.t.Helper()
	end := make(chan struct{})
	configured := c.operate(end)
	for begun := time.Now(); c.acked.Load() < 1; wait(operatorPause) {
		assert.Assert(c.t, time.Since(begun) < orderBound, "the core takes no orders")
	}
	ended := make(chan error, len(places))
	orders := make([]*zoneOperator, len(places))
	for index, place := range places {
		orders[index] = &zoneOperator{core: c, zone: place.zone}
		holds := c.holds()
		go func() { ended <- orders[index].run(end, holds) }()
	}
	c.overlappingTroubles(duration)
	close(end)
	total := 0
	for range places {
		assert.NilError(c.t, <-ended)
	}
	for _, operator := range orders {
		total += operator.orders
	}
	assert.NilError(c.t, <-configured)
	assert.Assert(c.t, total >= len(places), "%d orders", total)
	c.t.Logf("%d orders about zones, %d configurations", total, c.acked.Load())
}

// holds returns a function that waits for a time, drawn from a source of its own.
func (c *core) holds() func() {
	random := c.ownRandom()
	return func() { wait(time.Duration(random.Int64N(int64(zoneHold)))) }
}

// ownRandom returns a source of random numbers for another goroutine.
func (c *core) ownRandom() *rand.Rand { return rand.New(rand.NewPCG(c.random.Uint64(), 1)) }
