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
	assert.Assert(t, moved > 20 && moved < 100, "%d of 500 keys were at one of 10 members", moved)
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

// homeWorld has two control processes, a home and a relay that is fed by it.
func homeWorld() (*world, relayHome, *Subscriber) {
	w := newWorld()
	w.addControl("c1")
	w.addControl("c2")
	w.setConfig(wholeUpdate(1, "one"), "c1", "c2")
	w.setInstances(list(instanceOf("1", ready, 1)), "c1", "c2")
	home := w.addHome("h1", "c1", "c2")
	w.run(time.Second)
	relay := w.addRelay("r1", "h1", "c1", "c2")
	w.run(time.Second)
	return w, home, relay
}

func TestHomePassesOn(t *testing.T) {
	w, _, relay := homeWorld()
	assert.Equal(t, relay.Source(), "h1")
	assert.Assert(t, relay.Fresh(w.now))
	assert.Equal(t, string(relay.Config().Document), "one")
	w.setInstances(list(instanceOf("1", draining, 2)), "c1")
	w.setConfig(patchUpdate(1, 2, "one", "+two"), "c1", "c2")
	w.run(2 * testLatency)
	assert.Equal(t, stateAt(relay, "1"), draining)
	assert.Equal(t, string(relay.Config().Document), "one+two")
}

func TestRelayFallsBackToControlWhenItsHomeIsLost(t *testing.T) {
	w, _, relay := homeWorld()
	w.down["h1"] = true
	w.run(2 * time.Second)
	assert.Equal(t, relay.Source(), "c1")
	assert.Assert(t, relay.Fresh(w.now))
}

func TestHomeWithoutAFreshSourceIsNotFresh(t *testing.T) {
	w, home, relay := homeWorld()
	w.fate = func(from, to string) []time.Duration {
		if from == "h1" && to[0] == 'c' || to == "h1" && from[0] == 'c' {
			return nil // the home is cut off from control
		}
		return []time.Duration{testLatency}
	}
	w.run(4 * time.Second)
	assert.Assert(t, !home.subscriber.Fresh(w.now))
	assert.Equal(t, relay.Source(), "c1")
	assert.Assert(t, relay.Fresh(w.now))
}

func TestOlderTokenIsIgnoredAfterANewerOne(t *testing.T) {
	w, home, relay := homeWorld()
	w.addHome("h2", "c1", "c2")
	w.run(time.Second)
	w.take("r1", relay.SetSources(w.now, []string{"h2", "c1", "c2"})) // the home moved
	w.run(time.Second)
	assert.Equal(t, relay.Source(), "h2")
	newer := w.publishers["h2"].Token()
	assert.Assert(t, newer > home.publisher.Token(), "%d after %d", newer, home.publisher.Token())
	stale := home.publisher.newMessage()
	stale.Update = home.publisher.split(w.now, nil)[0]
	stale.Update.Config = wholeHistory(wholeUpdate(9, "of the old home")).since(w.now, 0)
	relay.Receive(w.now, "h1", stale)
	assert.Equal(t, relay.Config().Revision, uint64(1))
}

func TestHomeThatKeepsItsSubscriberKeepsItsToken(t *testing.T) {
	w, home, _ := homeWorld()
	token := home.publisher.Token()
	w.run(10 * time.Second)
	assert.Equal(t, home.publisher.Token(), token)
	home.publisher.TakeOver()
	assert.Equal(t, home.publisher.Token(), token+1)
}

func wholeHistory(update Update) *configHistory {
	history := &configHistory{}
	history.take(update)
	return history
}
