package distribution

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wallflow/internal/registry"
)

// distributionWalk is a random walk through a world in which messages are lost, repeated and reordered.
type distributionWalk struct {
	*world
	t         *rapid.T
	revision  uint64
	document  string
	truth     map[string]registry.Instance
	controls  []string
	revisions map[string]uint64                    // newest revision seen at each relay
	reported  map[string]map[string]registry.State // furthest state seen of each instance at each relay
}

func newDistributionWalk(t *rapid.T) *distributionWalk {
	w := &distributionWalk{
		world:     newWorld(),
		t:         t,
		truth:     make(map[string]registry.Instance),
		controls:  []string{"c1", "c2", "c3"},
		revisions: make(map[string]uint64),
		reported:  make(map[string]map[string]registry.State),
	}
	for _, name := range w.controls {
		w.addControl(name)
	}
	w.addHome("h1", "c1", "c2", "c3")
	w.addHome("h2", "c2", "c3", "c1")
	w.addRelay("r1", "h1", "c1", "c2")
	w.addRelay("r2", "h2", "c3", "c1")
	for name := range w.subscribers {
		w.reported[name] = make(map[string]registry.State)
	}
	w.fate = w.lossy
	return w
}

// lossy loses one message in six, repeats one in ten, and delays all by up to 150 ms.
func (w *distributionWalk) lossy(_, _ string) []time.Duration {
	luck := rapid.IntRange(0, 29).Draw(w.t, "luck")
	if luck < 5 {
		return nil
	}
	delay := time.Duration(5*(1+luck)) * time.Millisecond
	if luck < 8 {
		return []time.Duration{delay, 3 * delay}
	}
	return []time.Duration{delay}
}

func (w *distributionWalk) act() {
	control := rapid.SampledFrom(w.controls).Draw(w.t, "control")
	switch rapid.IntRange(0, 9).Draw(w.t, "action") {
	case 0:
		w.patch()
	case 1:
		w.replace()
	case 2:
		w.publishers[control].SetFresh(rapid.Bool().Draw(w.t, "fresh"))
	case 3:
		w.down[control] = !w.down[control]
	case 4:
		w.restart(control)
	case 5:
		w.moveHome()
	default:
		w.changeInstance()
	}
}

func (w *distributionWalk) patch() {
	base := w.revision
	if base == 0 {
		w.replace()
		return
	}
	w.revision += uint64(rapid.IntRange(1, 3).Draw(w.t, "by"))
	patch := fmt.Sprint("+", w.revision)
	w.tellSome(patchUpdate(base, w.revision, w.document, patch))
	w.document += patch
}

func (w *distributionWalk) replace() {
	w.revision++
	w.document = fmt.Sprint("document ", w.revision)
	w.tellSome(wholeUpdate(w.revision, w.document))
}

// tellSome gives a state to some of the control processes; the others get it when the walk ends.
func (w *distributionWalk) tellSome(update Update) {
	for _, name := range w.controls {
		if rapid.IntRange(0, 3).Draw(w.t, "told") > 0 {
			w.setConfig(update, name)
		}
	}
}

func (w *distributionWalk) changeInstance() {
	id := fmt.Sprint(rapid.IntRange(1, 5).Draw(w.t, "instance"))
	known := w.truth[id]
	if known.ID == "" {
		known = instanceOf(id, ready, 0)
	}
	known.ChangedSeq++
	known.Seq = known.ChangedSeq
	known.Reported = registry.Furthest(known.Reported, rapid.SampledFrom([]registry.State{ready, ready, draining, gone}).Draw(w.t, "state"))
	known.State = known.Reported
	w.truth[id] = known
	for _, name := range w.controls {
		if rapid.IntRange(0, 3).Draw(w.t, "told") > 0 {
			told := known
			if told.Reported != gone && rapid.IntRange(0, 4).Draw(w.t, "silent") == 0 {
				told.State = silent
			}
			w.setInstances(list(told), name)
		}
	}
}

// restart starts a control process that knows nothing yet.
func (w *distributionWalk) restart(name string) {
	w.addControl(name).SetComplete(false)
}

func (w *distributionWalk) moveHome() {
	orders := [][]string{{"h1", "c1", "c2"}, {"h2", "c2", "c1"}, {"c3", "h1", "c1"}}
	sources := rapid.SampledFrom(orders).Draw(w.t, "sources")
	w.take("r1", w.subscribers["r1"].SetSources(w.now, sources))
}

// check holds that versions never go back.
func (w *distributionWalk) check() {
	for name, subscriber := range w.subscribers {
		revision := subscriber.Config().Revision
		assert.Assert(w.t, revision >= w.revisions[name], "%s went back from revision %d to %d", name, w.revisions[name], revision)
		w.revisions[name] = revision
		for id, known := range subscriber.instances {
			before := w.reported[name][id]
			furthest := registry.Furthest(known.Reported, before)
			assert.Equal(w.t, furthest, known.Reported, "instance %s at %s", id, name)
			w.reported[name][id] = known.Reported
		}
		checkSubscriberBuckets(w.t, subscriber)
	}
}

func checkSubscriberBuckets(t assert.TestingT, subscriber *Subscriber) {
	var want buckets
	for id, known := range subscriber.instances {
		want.replace(id, 0, registry.ContentHash(known.Instance, known.State))
	}
	assert.Equal(t, want, subscriber.buckets)
}

// settle makes all calm, and gives every control process what it missed.
func (w *distributionWalk) settle() {
	w.fate = nil
	for _, name := range w.controls {
		w.down[name] = false
		publisher := w.publishers[name]
		publisher.SetFresh(true)
		publisher.SetComplete(true)
		w.setConfig(wholeUpdate(w.revision, w.document), name)
		for _, id := range sortedNames(w.truth) {
			w.setInstances(list(w.truth[id]), name)
		}
	}
	for range 300 {
		w.run(100 * time.Millisecond)
		w.check()
	}
}

// TestWalkEveryRelayLearnsAll plays any order of changes, losses, restarts and moves, and then a calm time, after which every
// relay is fresh and knows what control knows.
func TestWalkEveryRelayLearnsAll(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newDistributionWalk(t)
		for range rapid.IntRange(5, 30).Draw(t, "steps") {
			w.act()
			w.run(100 * time.Millisecond)
			w.check()
		}
		w.settle()
		for name, subscriber := range w.subscribers {
			assert.Assert(t, subscriber.Fresh(w.now), "%s isn't fresh", name)
			assert.Equal(t, subscriber.Config().Revision, w.revision, "at %s", name)
			assert.Equal(t, string(subscriber.Config().Document), w.document, "at %s", name)
			for id, known := range w.truth {
				assert.Equal(t, stateAt(subscriber, id), known.State, "instance %s at %s", id, name)
			}
		}
	})
}
