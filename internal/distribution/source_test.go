package distribution

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/distribution/feedpb"
)

// An update moves the position of its source on, or shows that something is missing.
func TestSourceAdvances(t *testing.T) {
	for _, c := range []struct {
		name       string
		held       source
		update     *feedpb.Update
		whole      bool // no gap shows
		sequence   uint64
		stillAGap  bool
		stillPlace bool
	}{
		{"the next one", source{placed: true, sequence: 4}, &feedpb.Update{Base: 4, Sequence: 5}, true, 5, false, true},
		{"one that overlaps", source{placed: true, sequence: 4}, &feedpb.Update{Base: 2, Sequence: 6}, true, 6, false, true},
		{"an old one", source{placed: true, sequence: 4}, &feedpb.Update{Base: 1, Sequence: 3}, true, 4, false, true},
		{"one that fills a gap", source{placed: true, gap: true, sequence: 4}, &feedpb.Update{Base: 4, Sequence: 5}, true, 5, false, true},
		{"one after a lost one", source{placed: true, sequence: 4}, &feedpb.Update{Base: 5, Sequence: 6}, false, 4, false, true},
		{"one before any listing", source{}, &feedpb.Update{Base: 0, Sequence: 1}, false, 0, false, false},
		{"a listing", source{gap: true}, &feedpb.Update{Listing: true, Sequence: 9}, true, 9, false, true},
		{"an older listing", source{placed: true, sequence: 10}, &feedpb.Update{Listing: true, Sequence: 9}, true, 10, false, true},
		{"a listing of another life", source{sequence: 10}, &feedpb.Update{Listing: true, Sequence: 9}, true, 9, false, true},
		{"the first part of a listing", source{gap: true}, &feedpb.Update{Listing: true, Sequence: 9, More: true}, true, 0, true, false},
		{"a later part alone", source{placed: true, sequence: 4}, &feedpb.Update{Base: 4, Sequence: 5, Part: 1}, false, 4, false, true},
		{"a later part of an old one", source{placed: true, sequence: 4}, &feedpb.Update{Base: 3, Sequence: 4, Part: 1}, true, 4, false, true},
		{"a later part before any listing", source{}, &feedpb.Update{Listing: true, Part: 1}, false, 0, false, false},
	} {
		held := c.held
		assert.Equal(t, held.advance(c.update), c.whole, c.name)
		assert.Equal(t, held.sequence, c.sequence, c.name)
		assert.Equal(t, held.gap, c.stillAGap, c.name)
		assert.Equal(t, held.placed, c.stillPlace, c.name)
	}
}

// A subscriber asks again where something is missing, be it of the instances or of the configuration, and where nothing is it does not.
func TestSubscriberAsksForWhatIsMissingAlone(t *testing.T) {
	w, s := calmWorld()
	for _, c := range []struct{ gap, whole, asks bool }{
		{false, false, false}, {true, false, true}, {false, true, true}, {true, true, true},
	} {
		var output Output
		current := &source{address: "c1", gap: c.gap}
		s.wantWhole = c.whole
		s.mendGap(w.now, current, &output)
		assert.Equal(t, len(output.Sends) > 0, c.asks, "%+v", c)
		output = Output{}
		s.mendGap(w.now.Add(time.Millisecond), current, &output)
		assert.Equal(t, len(output.Sends), 0, "%+v: too soon", c)
	}
}

// A publisher that is handed the same document as a newer state, without the steps, passes it on as a step. Nothing precedes the first.
func TestUnchangedDocumentIsAStep(t *testing.T) {
	now := time.Unix(1000, 0)
	history := wholeHistory(wholeUpdate(5, "same"))
	assert.Equal(t, len(history.steps), 0)
	assert.Assert(t, history.take(wholeUpdate(7, "same")))
	told := history.since(now, 5)
	assert.Assert(t, !told.GetWhole())
	assert.Equal(t, len(told.GetSteps()), 1)
	assert.Assert(t, history.since(now, 4).GetWhole())
	assert.Assert(t, history.take(wholeUpdate(8, "other")))
	assert.Assert(t, history.since(now, 7).GetWhole())
	assert.Assert(t, !history.take(wholeUpdate(8, "newer?")))
	assert.Assert(t, !history.take(wholeUpdate(7, "older")))
	assert.Equal(t, string(history.state.Document), "other")
	empty := wholeHistory(wholeUpdate(5, ""))
	assert.Equal(t, len(empty.steps), 0)
}
