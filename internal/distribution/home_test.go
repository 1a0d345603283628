package distribution

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func members(count int) []string {
	var names []string
	for index := range count {
		names = append(names, fmt.Sprintf("10.1.0.%d:7720", index))
	}
	return names
}

func TestHomeMovesOnlyWithItsMember(t *testing.T) {
	all := members(10)
	fewer := all[:9]
	moved := 0
	for key := range 500 {
		name := fmt.Sprint("service", key)
		before, after := Home("hall-a", all, name), Home("hall-a", fewer, name)
		if before == all[9] {
			moved++
			continue
		}
		assert.Equal(t, before, after)
	}
	assert.Assert(t, moved > 20 && moved < 100, "%d of 500 keys had one of 10 members as their home", moved)
}

func TestHomeDoesNotDependOnTheOrder(t *testing.T) {
	assert.Equal(t, Home("z", []string{"a", "b", "c"}, "k"), Home("z", []string{"c", "a", "b"}, "k"))
	assert.Equal(t, Home("z", nil, "k"), "")
}

func ExampleHome() {
	relays := []string{"10.1.0.10:7720", "10.1.0.11:7720", "10.1.0.12:7720"}
	home := Home("hall-a", relays, "config")
	var others []string
	for _, relay := range relays {
		if relay != home {
			others = append(others, relay)
		}
	}
	fmt.Println(home != "", len(others), Home("hall-a", others, "config") != home)
	// Output: true 2 true
}

// newHomeSimulation returns a simulation with two control processes, a home and a relay that subscribes to the home.
func newHomeSimulation() (*simulation, relayHome, *Subscriber) {
	sim := newSimulation()
	sim.addControl("c1")
	sim.addControl("c2")
	sim.setConfig(fullUpdate(1, "one"), "c1", "c2")
	sim.setInstances(instanceList(instanceOf("1", ready, 1)), "c1", "c2")
	home := sim.addHome("h1", "c1", "c2")
	sim.run(time.Second)
	relay := sim.addRelay("r1", "h1", "c1", "c2")
	sim.run(time.Second)
	return sim, home, relay
}

func TestHomeForwardsUpdates(t *testing.T) {
	sim, _, relay := newHomeSimulation()
	assert.Equal(t, relay.Source(), "h1")
	assert.Assert(t, relay.Fresh(sim.now))
	assert.Equal(t, string(relay.Config().Document), "one")
	sim.setInstances(instanceList(instanceOf("1", draining, 2)), "c1")
	sim.setConfig(patchUpdate(1, 2, "one", "+two"), "c1", "c2")
	sim.run(2 * testLatency)
	assert.Equal(t, stateAt(relay, "1"), draining)
	assert.Equal(t, string(relay.Config().Document), "one+two")
}

func TestRelayFallsBackToControlWhenItsHomeIsLost(t *testing.T) {
	sim, _, relay := newHomeSimulation()
	sim.down["h1"] = true
	sim.run(2 * time.Second)
	assert.Equal(t, relay.Source(), "c1")
	assert.Assert(t, relay.Fresh(sim.now))
}

func TestHomeWithoutAFreshSourceIsNotFresh(t *testing.T) {
	sim, home, relay := newHomeSimulation()
	sim.deliveryDelays = func(from, to string) []time.Duration {
		if from == "h1" && to[0] == 'c' || to == "h1" && from[0] == 'c' {
			return nil // the home has no contact with the control processes
		}
		return []time.Duration{testLatency}
	}
	sim.run(4 * time.Second)
	assert.Assert(t, !home.subscriber.Fresh(sim.now))
	assert.Equal(t, relay.Source(), "c1")
	assert.Assert(t, relay.Fresh(sim.now))
}

func TestOlderTokenIsIgnoredAfterANewerOne(t *testing.T) {
	sim, home, relay := newHomeSimulation()
	sim.addHome("h2", "c1", "c2")
	sim.run(time.Second)
	sim.handleOutput("r1", relay.SetSources(sim.now, []string{"h2", "c1", "c2"})) // the home moves from h1 to h2
	sim.run(time.Second)
	assert.Equal(t, relay.Source(), "h2")
	newer := sim.publishers["h2"].Token()
	assert.Assert(t, newer > home.publisher.Token(), "%d after %d", newer, home.publisher.Token())
	stale := home.publisher.newMessage()
	stale.Update = home.publisher.splitUpdate(sim.now, nil)[0]
	stale.Update.Config = historyOf(fullUpdate(9, "from the old home")).updateSince(sim.now, 0)
	relay.Receive(sim.now, "h1", stale)
	assert.Equal(t, relay.Config().Revision, uint64(1))
}

func TestHomeThatKeepsItsSubscriberKeepsItsToken(t *testing.T) {
	sim, home, _ := newHomeSimulation()
	token := home.publisher.Token()
	sim.run(10 * time.Second)
	assert.Equal(t, home.publisher.Token(), token)
	home.publisher.BecomeHome()
	assert.Equal(t, home.publisher.Token(), token+1)
}

// historyOf returns a history with one state.
func historyOf(update Update) *configHistory {
	history := &configHistory{}
	history.add(update)
	return history
}
