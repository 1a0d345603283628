package distribution

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestHintsReachAPeerThatReturns(t *testing.T) {
	sim, relay := newTwoControlSimulation()
	hints := NewHints(HintOptions{})
	sim.down["r1"] = true
	changed := instanceList(instanceOf("1", draining, 5), instanceOf("2", ready, 6))
	assert.Assert(t, hints.Store(sim.now, "r1", changed, 3))
	assert.Assert(t, hints.Store(sim.now, "r1", instanceList(instanceOf("1", gone, 7)), 2))
	assert.Assert(t, hints.Store(sim.now, "r1", instanceList(instanceOf("1", draining, 6)), 0))
	message := hints.TakeHandoff(sim.now, "r1")
	assert.Equal(t, len(message.GetHandoff().GetInstances()), 1, "ready instances need no hint")
	assert.Equal(t, message.GetHandoff().GetRevision(), uint64(3))
	sim.down["r1"] = false
	output := relay.Receive(sim.now, "h9", message)
	assert.Equal(t, stateAt(relay, "1"), gone)
	assert.Equal(t, len(output.InstancesChanged), 1)
	assert.Equal(t, output.Sends[0].To, "c1", "a revision was missed: it is requested from the source")
	assert.Assert(t, hints.TakeHandoff(sim.now, "r1") == nil)
}

func TestHintsAreBounded(t *testing.T) {
	hints := NewHints(HintOptions{MaxPerPeer: 2, MaxPeers: 1})
	for index := range 5 {
		assert.Assert(t, hints.Store(start, "r1", instanceList(instanceOf(fmt.Sprint(index), draining, 1)), 0))
	}
	assert.Assert(t, !hints.Store(start, "r2", nil, 1), "the limit of peers is reached")
	handoff := hints.TakeHandoff(start, "r1").GetHandoff()
	assert.Equal(t, len(handoff.GetInstances()), 2)
	assert.Assert(t, handoff.GetOverflowed())
}

func TestHintsExpire(t *testing.T) {
	hints := NewHints(HintOptions{})
	hints.Store(start, "r1", nil, 1)
	hints.Tick(start.Add(119 * time.Second))
	assert.Equal(t, hints.PeerCount(), 1)
	hints.Tick(start.Add(120 * time.Second))
	assert.Equal(t, hints.PeerCount(), 0)
}

func TestHandoffOfAnUnknownDepartureIsRemembered(t *testing.T) {
	sim, relay := newTwoControlSimulation()
	hints := NewHints(HintOptions{})
	hints.Store(sim.now, "r1", instanceList(instanceOf("9", gone, 5)), 0)
	output := relay.Receive(sim.now, "h9", hints.TakeHandoff(sim.now, "r1"))
	assert.Equal(t, len(output.InstancesChanged), 0)
	sim.setInstances(instanceList(instanceOf("9", ready, 4)), "c1")
	sim.run(time.Second)
	assert.Equal(t, stateAt(relay, "9"), gone)
}

func ExampleHintHolder() {
	relays := []string{"10.1.0.10:7720", "10.1.0.11:7720", "10.1.0.12:7720"}
	holder := HintHolder(relays[0], relays)
	fmt.Println(holder != relays[0], holder != "", HintHolder("a", []string{"a"}) == "")
	// Output: true true true
}
