package distribution

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wallflow/internal/registry"
)

// randomWalk is a random walk test in a simulation in which messages are lost, duplicated and reordered.
type randomWalk struct {
	*simulation
	t         *rapid.T
	revision  uint64
	document  string
	instances map[string]registry.Instance // actual state by ID
	controls  []string
	revisions map[string]uint64                    // newest revision seen at each relay
	reported  map[string]map[string]registry.State // furthest reported state seen of each instance at each relay
}

func newRandomWalk(t *rapid.T) *randomWalk {
	walk := &randomWalk{
		simulation: newSimulation(),
		t:          t,
		instances:  make(map[string]registry.Instance),
		controls:   []string{"c1", "c2", "c3"},
		revisions:  make(map[string]uint64),
		reported:   make(map[string]map[string]registry.State),
	}
	for _, name := range walk.controls {
		walk.addControl(name)
	}
	walk.addHome("h1", "c1", "c2", "c3")
	walk.addHome("h2", "c2", "c3", "c1")
	walk.addRelay("r1", "h1", "c1", "c2")
	walk.addRelay("r2", "h2", "c3", "c1")
	for name := range walk.subscribers {
		walk.reported[name] = make(map[string]registry.State)
	}
	walk.deliveryDelays = walk.lossyDelays
	return walk
}

// lossyDelays loses one message in six and duplicates one in ten. The delays are up to 150 ms.
func (walk *randomWalk) lossyDelays(_, _ string) []time.Duration {
	draw := rapid.IntRange(0, 29).Draw(walk.t, "outcome")
	if draw < 5 {
		return nil
	}
	delay := time.Duration(5*(1+draw)) * time.Millisecond
	if draw < 8 {
		return []time.Duration{delay, 3 * delay}
	}
	return []time.Duration{delay}
}

func (walk *randomWalk) step() {
	control := rapid.SampledFrom(walk.controls).Draw(walk.t, "control")
	switch rapid.IntRange(0, 9).Draw(walk.t, "action") {
	case 0:
		walk.patchDocument()
	case 1:
		walk.replaceDocument()
	case 2:
		walk.publishers[control].SetFresh(rapid.Bool().Draw(walk.t, "fresh"))
	case 3:
		walk.down[control] = !walk.down[control]
	case 4:
		walk.restart(control)
	case 5:
		walk.moveHome()
	default:
		walk.changeInstance()
	}
}

func (walk *randomWalk) patchDocument() {
	base := walk.revision
	if base == 0 {
		walk.replaceDocument()
		return
	}
	walk.revision += uint64(rapid.IntRange(1, 3).Draw(walk.t, "increment"))
	patch := fmt.Sprint("+", walk.revision)
	walk.setConfigAtSome(patchUpdate(base, walk.revision, walk.document, patch))
	walk.document += patch
}

func (walk *randomWalk) replaceDocument() {
	walk.revision++
	walk.document = fmt.Sprint("document ", walk.revision)
	walk.setConfigAtSome(fullUpdate(walk.revision, walk.document))
}

// setConfigAtSome sets a configuration state at some of the control processes; the others get it from heal.
func (walk *randomWalk) setConfigAtSome(update Update) {
	for _, name := range walk.controls {
		if rapid.IntRange(0, 3).Draw(walk.t, "receives") > 0 {
			walk.setConfig(update, name)
		}
	}
}

func (walk *randomWalk) changeInstance() {
	id := fmt.Sprint(rapid.IntRange(1, 5).Draw(walk.t, "instance"))
	known := walk.instances[id]
	if known.ID == "" {
		known = instanceOf(id, ready, 0)
	}
	known.ChangedSeq++
	known.Seq = known.ChangedSeq
	known.Reported = registry.FurthestState(known.Reported,
		rapid.SampledFrom([]registry.State{ready, ready, draining, gone}).Draw(walk.t, "state"))
	known.State = known.Reported
	walk.instances[id] = known
	for _, name := range walk.controls {
		if rapid.IntRange(0, 3).Draw(walk.t, "receives") > 0 {
			update := known
			if update.Reported != gone && rapid.IntRange(0, 4).Draw(walk.t, "silent") == 0 {
				update.State = silent
			}
			walk.setInstances(instanceList(update), name)
		}
	}
}

// restart replaces a control process by a new one without state.
func (walk *randomWalk) restart(name string) {
	walk.addControl(name).SetComplete(false)
}

func (walk *randomWalk) moveHome() {
	orders := [][]string{{"h1", "c1", "c2"}, {"h2", "c2", "c1"}, {"c3", "h1", "c1"}}
	sources := rapid.SampledFrom(orders).Draw(walk.t, "sources")
	walk.handleOutput("r1", walk.subscribers["r1"].SetSources(walk.now, sources))
}

// checkVersions checks that revisions and reported states never go back, and that the digests match the instances.
func (walk *randomWalk) checkVersions() {
	for name, subscriber := range walk.subscribers {
		revision := subscriber.Config().Revision
		assert.Assert(walk.t, revision >= walk.revisions[name], "%s went back from revision %d to %d", name, walk.revisions[name], revision)
		walk.revisions[name] = revision
		for id, known := range subscriber.instances {
			previous := walk.reported[name][id]
			furthest := registry.FurthestState(known.Reported, previous)
			assert.Equal(walk.t, furthest, known.Reported, "instance %s at %s", id, name)
			walk.reported[name][id] = known.Reported
		}
		checkSubscriberBuckets(walk.t, subscriber)
	}
}

func checkSubscriberBuckets(t assert.TestingT, subscriber *Subscriber) {
	var want buckets
	for id, known := range subscriber.instances {
		want.replace(id, 0, registry.ContentHash(known.Instance, known.State))
	}
	assert.Equal(t, want, subscriber.buckets)
}

// heal ends all faults, gives every control process the current state, and runs for 30 s.
func (walk *randomWalk) heal() {
	walk.deliveryDelays = nil
	for _, name := range walk.controls {
		walk.down[name] = false
		publisher := walk.publishers[name]
		publisher.SetFresh(true)
		publisher.SetComplete(true)
		walk.setConfig(fullUpdate(walk.revision, walk.document), name)
		for _, id := range sortedNames(walk.instances) {
			walk.setInstances(instanceList(walk.instances[id]), name)
		}
	}
	for range 300 {
		walk.run(100 * time.Millisecond)
		walk.checkVersions()
	}
}

// TestWalkEveryRelayLearnsAll runs random sequences of changes, losses, restarts and moves, and then a time without faults, after which
// every relay is fresh and has the same state as the control processes.
func TestWalkEveryRelayLearnsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		walk := newRandomWalk(t)
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			walk.step()
			walk.run(100 * time.Millisecond)
			walk.checkVersions()
		}
		walk.heal()
		for name, subscriber := range walk.subscribers {
			assert.Assert(t, subscriber.Fresh(walk.now), "%s isn't fresh", name)
			assert.Equal(t, subscriber.Config().Revision, walk.revision, "at %s", name)
			assert.Equal(t, string(subscriber.Config().Document), walk.document, "at %s", name)
			for id, known := range walk.instances {
				assert.Equal(t, stateAt(subscriber, id), known.State, "instance %s at %s", id, name)
			}
		}
	})
}
