package distribution

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// newCutOffSimulation returns a simulation with three control processes. The one that the relay prefers has lost contact with the majority.
func newCutOffSimulation() (*simulation, *Subscriber) {
	sim := newSimulation()
	for _, name := range []string{"c1", "c2", "c3"} {
		sim.addControl(name)
	}
	sim.setConfig(fullUpdate(1, "one"), "c1", "c2", "c3")
	relay := sim.addRelay("r1", "c1", "c2", "c3")
	sim.run(time.Second)
	sim.publishers["c1"].SetFresh(false)
	return sim, relay
}

// loseMajority leaves no source fresh for a time, as happens while the control processes change their view.
func (sim *simulation) loseMajority(duration time.Duration) {
	sim.publishers["c2"].SetFresh(false)
	sim.publishers["c3"].SetFresh(false)
	sim.run(duration)
	sim.publishers["c2"].SetFresh(true)
	sim.publishers["c3"].SetFresh(true)
}

func TestFailedSourcesAreRetriedSoonAfterAnOutage(t *testing.T) {
	for _, duration := range []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second, 20 * time.Second} {
		t.Run(duration.String(), func(t *testing.T) {
			sim, relay := newCutOffSimulation()
			sim.loseMajority(duration)
			sim.setConfig(fullUpdate(2, "two"), "c2", "c3")
			sim.run(1200 * time.Millisecond)
			assert.Assert(t, relay.Fresh(sim.now))
			assert.Equal(t, relay.Config().Revision, uint64(2))
		})
	}
}

func TestRelayIsFreshSoonAfterRepeatedOutages(t *testing.T) {
	sim, relay := newCutOffSimulation()
	for range 6 {
		sim.loseMajority(time.Second)
		sim.run(1200 * time.Millisecond)
		assert.Assert(t, relay.Fresh(sim.now))
	}
}

// All sources except the last one are down. The relay must still find the one that responds.
func TestSilentSourcesDoNotHideAResponsiveOne(t *testing.T) {
	sim := newSimulation()
	names := []string{"c1", "c2", "c3", "c4", "c5", "c6"}
	for _, name := range names {
		sim.addControl(name)
		sim.down[name] = true
	}
	relay := sim.addRelay("r1", names...)
	sim.run(20 * time.Second)
	sim.down["c6"] = false
	sim.run(4 * time.Second)
	assert.Equal(t, relay.Source(), "c6")
}

// A new relay has first subscribed to a control process that has just restarted and does not know all instances. It must not wait for it
// when another source does.
func TestNewRelayDoesNotWaitForAnIncompleteSource(t *testing.T) {
	sim := newSimulation()
	sim.addControl("c1")
	sim.addControl("c2").SetComplete(false)
	sim.setConfig(fullUpdate(1, "one"), "c1", "c2")
	relay := sim.addRelay("r1", "c2")
	sim.run(300 * time.Millisecond)
	assert.Equal(t, relay.Source(), "c2")
	assert.Assert(t, !relay.Complete())
	sim.handleOutput("r1", relay.SetSources(sim.now, []string{"c1", "c2"}))
	sim.run(time.Second)
	assert.Equal(t, relay.Source(), "c1")
	assert.Assert(t, relay.Complete())
}

// No control process knows all instances, as after a power loss of all of them. The relay keeps its source.
func TestIncompleteSourceIsKeptIfNoneIsComplete(t *testing.T) {
	sim, relay := newTwoControlSimulation()
	sim.publishers["c1"].SetComplete(false)
	sim.publishers["c2"].SetComplete(false)
	sim.run(5 * time.Second)
	assert.Equal(t, relay.Source(), "c1")
	assert.Assert(t, relay.Fresh(sim.now))
}

// A relay learns of an instance from its previous source while the answer of the new one, which does not know the instance, is in flight.
// The bucket was the same when the relay subscribed, and no longer is when the answer arrives. The instance must still be dropped.
func TestInstanceAddedDuringAListingIsDropped(t *testing.T) {
	sim, relay := newTwoControlSimulation()
	var output Output
	relay.applyInstance(sim.now, instanceOf("9", ready, 1), true, &output)
	assert.Equal(t, stateAt(relay, "9"), ready)
	sim.run(15 * time.Second)
	assert.Equal(t, stateAt(relay, "9"), gone)
	assert.Equal(t, stateAt(relay, "1"), ready)
}

// The backoff of a source doubles if it fails again soon after its backoff, and starts anew if it fails long after it.
func TestBackoffDoublesOnlyAfterARecentFailure(t *testing.T) {
	sim, relay := newTwoControlSimulation()
	relay.recordFailure(sim.now, "c2")
	assert.Equal(t, relay.failures["c2"].backoff, initialBackoff)
	sim.now = sim.now.Add(initialBackoff * 3 / 2)
	relay.recordFailure(sim.now, "c2")
	assert.Equal(t, relay.failures["c2"].backoff, 2*initialBackoff)
	sim.now = sim.now.Add(4 * initialBackoff)
	relay.recordFailure(sim.now, "c2")
	assert.Equal(t, relay.failures["c2"].backoff, initialBackoff)
}

// A candidate is compared with a current source that is usable.
func TestIsBetter(t *testing.T) {
	sim, relay := newTwoControlSimulation()
	relay.sources = []string{"c1", "c2"}
	for _, each := range []struct {
		name                                  string
		current, answered                     string
		currentIncomplete, answeredIncomplete bool
		better                                bool
	}{
		{"preferred and complete", "c2", "c1", false, false, true},
		{"preferred and incomplete", "c2", "c1", false, true, false},
		{"less preferred and complete", "c1", "c2", false, false, false},
		{"the same source", "c1", "c1", false, false, false},
		{"less preferred and complete, current one incomplete", "c1", "c2", true, false, true},
		{"less preferred and incomplete, current one incomplete", "c1", "c2", true, true, false},
	} {
		relay.current = &source{address: each.current, fresh: true, lastReceivedAt: sim.now, complete: !each.currentIncomplete}
		answered := &source{address: each.answered, fresh: true, lastReceivedAt: sim.now, complete: !each.answeredIncomplete}
		assert.Equal(t, relay.isBetter(sim.now, answered), each.better, each.name)
	}
}

// A message from the current source clears its failures, and no others.
func TestContactClearsTheFailuresOfTheSource(t *testing.T) {
	sim, relay := newTwoControlSimulation()
	current := relay.current.address
	relay.recordFailure(sim.now, current)
	relay.recordFailure(sim.now, "other")
	sim.run(time.Second)
	_, failed := relay.failures[current]
	assert.Assert(t, !failed)
	_, failed = relay.failures["other"]
	assert.Assert(t, failed)
}
