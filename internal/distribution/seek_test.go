package distribution

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// cutOffWorld has a relay that prefers a control process which is cut off, and two others.
func cutOffWorld() (*world, *Subscriber) {
	w := newWorld()
	for _, name := range []string{"c1", "c2", "c3"} {
		w.addControl(name)
	}
	w.setConfig(wholeUpdate(1, "one"), "c1", "c2", "c3")
	relay := w.addRelay("r1", "c1", "c2", "c3")
	w.run(time.Second)
	w.publishers["c1"].SetFresh(false)
	return w, relay
}

// trouble has no source fresh for a while: the control processes agree on a new view.
func (w *world) trouble(span time.Duration) {
	w.publishers["c2"].SetFresh(false)
	w.publishers["c3"].SetFresh(false)
	w.run(span)
	w.publishers["c2"].SetFresh(true)
	w.publishers["c3"].SetFresh(true)
}

func TestSourcesThatFailedBeforeAreTriedSoonAfterATrouble(t *testing.T) {
	for _, span := range []time.Duration{600 * time.Millisecond, 1500 * time.Millisecond, 5 * time.Second, 20 * time.Second} {
		t.Run(span.String(), func(t *testing.T) {
			w, relay := cutOffWorld()
			w.trouble(span)
			w.setConfig(wholeUpdate(2, "two"), "c2", "c3")
			w.run(1200 * time.Millisecond)
			assert.Assert(t, relay.Fresh(w.now))
			assert.Equal(t, relay.Config().Revision, uint64(2))
		})
	}
}

func TestTroublesInARowDoNotAddUp(t *testing.T) {
	w, relay := cutOffWorld()
	for range 6 {
		w.trouble(time.Second)
		w.run(1200 * time.Millisecond)
		assert.Assert(t, relay.Fresh(w.now))
	}
}

// TestSilentSourcesDoNotHideTheOneThatAnswers has all sources but the last one down.
func TestSilentSourcesDoNotHideTheOneThatAnswers(t *testing.T) {
	w := newWorld()
	names := []string{"c1", "c2", "c3", "c4", "c5", "c6"}
	for _, name := range names {
		w.addControl(name)
		w.down[name] = true
	}
	relay := w.addRelay("r1", names...)
	w.run(20 * time.Second)
	w.down["c6"] = false
	w.run(4 * time.Second)
	assert.Equal(t, relay.Source(), "c6")
}

// TestNewRelayDoesNotWaitForASourceThatIsStillFilling has a relay that met a control process first which has just returned.
func TestNewRelayDoesNotWaitForASourceThatIsStillFilling(t *testing.T) {
	w := newWorld()
	w.addControl("c1")
	w.addControl("c2").SetComplete(false)
	w.setConfig(wholeUpdate(1, "one"), "c1", "c2")
	relay := w.addRelay("r1", "c2")
	w.run(300 * time.Millisecond)
	assert.Equal(t, relay.Source(), "c2")
	assert.Assert(t, !relay.Complete())
	w.take("r1", relay.SetSources(w.now, []string{"c1", "c2"}))
	w.run(time.Second)
	assert.Equal(t, relay.Source(), "c1")
	assert.Assert(t, relay.Complete())
}

// TestSourceThatFillsIsKeptWhereNoOtherKnowsAll has nobody know all instances, as after the loss of power everywhere.
func TestSourceThatFillsIsKeptWhereNoOtherKnowsAll(t *testing.T) {
	w, relay := calmWorld()
	w.publishers["c1"].SetComplete(false)
	w.publishers["c2"].SetComplete(false)
	w.run(5 * time.Second)
	assert.Equal(t, relay.Source(), "c1")
	assert.Assert(t, relay.Fresh(w.now))
}

// TestInstanceThatCrossedWithAListingIsDropped has a relay learn of an instance from its former source while the answer of the new
// one, which does not know it, is under way: the bucket that was the same when the relay asked is not the same any more.
func TestInstanceThatCrossedWithAListingIsDropped(t *testing.T) {
	w, relay := calmWorld()
	var output Output
	relay.applyInstance(w.now, instanceOf("9", ready, 1), true, &output)
	assert.Equal(t, stateAt(relay, "9"), ready)
	w.run(15 * time.Second)
	assert.Equal(t, stateAt(relay, "9"), gone)
	assert.Equal(t, stateAt(relay, "1"), ready)
}

// TestOnlyAFailureOfTheSameTroubleCountsTwice has a source fail again soon after its back-off, and long after it.
func TestOnlyAFailureOfTheSameTroubleCountsTwice(t *testing.T) {
	w, relay := calmWorld()
	relay.fail(w.now, "c2")
	assert.Equal(t, relay.failures["c2"].backOff, firstBackOff)
	w.now = w.now.Add(firstBackOff * 3 / 2)
	relay.fail(w.now, "c2")
	assert.Equal(t, relay.failures["c2"].backOff, 2*firstBackOff)
	w.now = w.now.Add(4 * firstBackOff)
	relay.fail(w.now, "c2")
	assert.Equal(t, relay.failures["c2"].backOff, firstBackOff)
}

// TestBetterSource compares a source that has answered with a current one that is sound.
func TestBetterSource(t *testing.T) {
	w, relay := calmWorld()
	relay.ordered = []string{"c1", "c2"}
	for _, each := range []struct {
		name                     string
		current, answered        string
		currentFills, answerFill bool
		better                   bool
	}{
		{"nearer and whole", "c2", "c1", false, false, true},
		{"nearer and still filling", "c2", "c1", false, true, false},
		{"farther and whole", "c1", "c2", false, false, false},
		{"the same once more", "c1", "c1", false, false, false},
		{"farther and whole, where the current one fills", "c1", "c2", true, false, true},
		{"farther and filling, where the current one fills", "c1", "c2", true, true, false},
	} {
		relay.current = &source{address: each.current, fresh: true, heardAt: w.now, complete: !each.currentFills}
		answered := &source{address: each.answered, fresh: true, heardAt: w.now, complete: !each.answerFill}
		assert.Equal(t, relay.isBetter(w.now, answered), each.better, each.name)
	}
}

// TestWordOfTheSourceEndsItsFailures has a source that failed before speak again.
func TestWordOfTheSourceEndsItsFailures(t *testing.T) {
	w, relay := calmWorld()
	current := relay.current.address
	relay.fail(w.now, current)
	relay.fail(w.now, "other")
	w.run(time.Second)
	_, failed := relay.failures[current]
	assert.Assert(t, !failed)
	_, failed = relay.failures["other"]
	assert.Assert(t, failed)
}
