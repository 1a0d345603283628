package distribution

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/distribution/feedpb"
)

// An update advances the position of its source, or shows a gap.
func TestSourceAdvances(t *testing.T) {
	for _, c := range []struct {
		name         string
		held         source
		update       *feedpb.Update
		noGap        bool // the update shows no gap
		sequence     uint64
		wantGap      bool
		wantPosition bool
	}{
		{"the next one", source{positionKnown: true, sequence: 4}, &feedpb.Update{Base: 4, Sequence: 5}, true, 5, false, true},
		{"an overlapping one", source{positionKnown: true, sequence: 4}, &feedpb.Update{Base: 2, Sequence: 6}, true, 6, false, true},
		{"an old one", source{positionKnown: true, sequence: 4}, &feedpb.Update{Base: 1, Sequence: 3}, true, 4, false, true},
		{"one that fills a gap", source{positionKnown: true, hasGap: true, sequence: 4},
			&feedpb.Update{Base: 4, Sequence: 5}, true, 5, false, true},
		{"one after a lost one", source{positionKnown: true, sequence: 4}, &feedpb.Update{Base: 5, Sequence: 6}, false, 4, false, true},
		{"one before any listing", source{}, &feedpb.Update{Base: 0, Sequence: 1}, false, 0, false, false},
		{"a listing", source{hasGap: true}, &feedpb.Update{Listing: true, Sequence: 9}, true, 9, false, true},
		{"an older listing", source{positionKnown: true, sequence: 10}, &feedpb.Update{Listing: true, Sequence: 9}, true, 10, false, true},
		{"a listing of another run", source{sequence: 10}, &feedpb.Update{Listing: true, Sequence: 9}, true, 9, false, true},
		{"the first part of a listing", source{hasGap: true}, &feedpb.Update{Listing: true, Sequence: 9, More: true}, true, 0, true, false},
		{"a later part alone", source{positionKnown: true, sequence: 4},
			&feedpb.Update{Base: 4, Sequence: 5, Part: 1}, false, 4, false, true},
		{"a later part of an old one", source{positionKnown: true, sequence: 4},
			&feedpb.Update{Base: 3, Sequence: 4, Part: 1}, true, 4, false, true},
		{"a later part before any listing", source{}, &feedpb.Update{Listing: true, Part: 1}, false, 0, false, false},
	} {
		held := c.held
		assert.Equal(t, held.advance(c.update), c.noGap, c.name)
		assert.Equal(t, held.sequence, c.sequence, c.name)
		assert.Equal(t, held.hasGap, c.wantGap, c.name)
		assert.Equal(t, held.positionKnown, c.wantPosition, c.name)
	}
}

// A subscriber requests missing instances or configuration, and sends nothing if nothing is missing.
func TestSubscriberRequestsOnlyWhatIsMissing(t *testing.T) {
	sim, subscriber := newTwoControlSimulation()
	for _, c := range []struct{ hasGap, fullDocument, requests bool }{
		{false, false, false}, {true, false, true}, {false, true, true}, {true, true, true},
	} {
		var output Output
		current := &source{address: "c1", hasGap: c.hasGap}
		subscriber.wantsFullDocument = c.fullDocument
		subscriber.requestMissing(sim.now, current, &output)
		assert.Equal(t, len(output.Sends) > 0, c.requests, "%+v", c)
		output = Output{}
		subscriber.requestMissing(sim.now.Add(time.Millisecond), current, &output)
		assert.Equal(t, len(output.Sends), 0, "%+v: too soon", c)
	}
}

// A newer state with the same document, but without steps, is published as an empty step. The first state is no step.
func TestUnchangedDocumentIsAStep(t *testing.T) {
	now := time.Unix(1000, 0)
	history := historyOf(fullUpdate(5, "same"))
	assert.Equal(t, len(history.steps), 0)
	assert.Assert(t, history.add(fullUpdate(7, "same")))
	update := history.updateSince(now, 5)
	assert.Assert(t, !update.GetWhole())
	assert.Equal(t, len(update.GetSteps()), 1)
	assert.Assert(t, history.updateSince(now, 4).GetWhole())
	assert.Assert(t, history.add(fullUpdate(8, "other")))
	assert.Assert(t, history.updateSince(now, 7).GetWhole())
	assert.Assert(t, !history.add(fullUpdate(8, "newer?")))
	assert.Assert(t, !history.add(fullUpdate(7, "older")))
	assert.Equal(t, string(history.state.Document), "other")
	empty := historyOf(fullUpdate(5, ""))
	assert.Equal(t, len(empty.steps), 0)
}
