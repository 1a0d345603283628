package distribution

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestHintsReachAPeerThatReturns(t *testing.T) {
	w, relay := calmWorld()
	hints := NewHints(HintOptions{})
	w.down["r1"] = true
	changed := list(instanceOf("1", draining, 5), instanceOf("2", ready, 6))
	assert.Assert(t, hints.Keep(w.now, "r1", changed, 3))
	assert.Assert(t, hints.Keep(w.now, "r1", list(instanceOf("1", gone, 7)), 2))
	assert.Assert(t, hints.Keep(w.now, "r1", list(instanceOf("1", draining, 6)), 0))
	message := hints.HandOver(w.now, "r1")
	assert.Equal(t, len(message.GetHandoff().GetInstances()), 1, "ready instances can wait for the feed")
	assert.Equal(t, message.GetHandoff().GetRevision(), uint64(3))
	w.down["r1"] = false
	output := relay.Receive(w.now, "h9", message)
	assert.Equal(t, stateAt(relay, "1"), gone)
	assert.Equal(t, len(output.InstancesChanged), 1)
	assert.Equal(t, output.Sends[0].To, "c1", "a revision was missed: the source is asked")
	assert.Assert(t, hints.HandOver(w.now, "r1") == nil)
}

func TestHintsAreBounded(t *testing.T) {
	hints := NewHints(HintOptions{PerPeer: 2, Peers: 1})
	for index := range 5 {
		assert.Assert(t, hints.Keep(start, "r1", list(instanceOf(fmt.Sprint(index), draining, 1)), 0))
	}
	assert.Assert(t, !hints.Keep(start, "r2", nil, 1), "no room for another peer")
	handoff := hints.HandOver(start, "r1").GetHandoff()
	assert.Equal(t, len(handoff.GetInstances()), 2)
	assert.Assert(t, handoff.GetOverflowed())
}

func TestHintsGrowOld(t *testing.T) {
	hints := NewHints(HintOptions{})
	hints.Keep(start, "r1", nil, 1)
	hints.Tick(start.Add(119 * time.Second))
	assert.Equal(t, hints.Waiting(), 1)
	hints.Tick(start.Add(120 * time.Second))
	assert.Equal(t, hints.Waiting(), 0)
}

func TestHandoffOfAnUnknownDepartureIsRemembered(t *testing.T) {
	w, relay := calmWorld()
	hints := NewHints(HintOptions{})
	hints.Keep(w.now, "r1", list(instanceOf("9", gone, 5)), 0)
	output := relay.Receive(w.now, "h9", hints.HandOver(w.now, "r1"))
	assert.Equal(t, len(output.InstancesChanged), 0)
	w.setInstances(list(instanceOf("9", ready, 4)), "c1")
	w.run(time.Second)
	assert.Equal(t, stateAt(relay, "9"), gone)
}

func ExampleHintKeeper() {
	relays := []string{"10.1.0.10:7720", "10.1.0.11:7720", "10.1.0.12:7720"}
	keeper := HintKeeper(relays[0], relays)
	fmt.Println(keeper != relays[0], keeper != "", HintKeeper("a", []string{"a"}) == "")
	// Output: true true true
}
