package selector

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/registry"
)

func TestOpeningsMeetAtTheSameEndpointOnEveryRelay(t *testing.T) {
	one, two := newFleet(t), newFleet(t)
	one.engines(homeZone, 8)
	two.engines(homeZone, 8)
	two.s.random = rand.New(rand.NewPCG(7, 7))
	places := map[string]int{}
	for opening := range uint64(100) {
		a := one.sent(one.dossier(opening))
		b := two.sent(two.dossier(opening))
		assert.Equal(t, a.Instance.ID, b.Instance.ID, "opening %d", opening)
		places[a.Instance.ID]++
		one.served(a, 500*time.Millisecond)
		two.served(b, 500*time.Millisecond)
	}
	assert.Equal(t, len(places), 8, "openings spread over the endpoints: %v", places)
}

func TestOpeningsKeepTheirEndpointWhenOthersComeAndGo(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 9)
	before := map[uint64]string{}
	for opening := range uint64(60) {
		d := f.sent(f.dossier(opening))
		before[opening] = d.Instance.ID
		f.served(d, 500*time.Millisecond)
	}
	left := f.list[4].ID
	f.list[4].State = registry.StateDraining
	f.tell()
	f.now = f.now.Add(2 * keptFor) // by the ranking alone: what was kept is forgotten
	moved := 0
	for opening := range uint64(60) {
		d := f.sent(f.dossier(opening))
		if before[opening] == left {
			moved++
		} else {
			assert.Equal(t, d.Instance.ID, before[opening], "opening %d", opening)
		}
		f.served(d, 500*time.Millisecond)
	}
	assert.Assert(t, moved > 0 && moved < 20)
}

func TestOpeningInDemandGetsMoreThanOneEndpoint(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 8)
	places := map[string]int{}
	for range 40 { // 40 at once: far more than one engine reads within the aim
		places[f.sent(f.dossier(1)).Instance.ID]++
		f.after(5 * time.Millisecond)
	}
	assert.Assert(t, len(places) >= 3, "%v", places)
	quiet := map[string]int{}
	for range 20 { // one after the other: one endpoint is enough
		f.after(700 * time.Millisecond)
		d := f.sent(f.dossier(2))
		quiet[d.Instance.ID]++
		f.served(d, 300*time.Millisecond)
	}
	assert.Assert(t, len(quiet) <= 2, "%v", quiet)
}

func TestSmallPromptsGoToTheLeastLoaded(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 8)
	for range 160 {
		r := f.request("query")
		r.Parts = []PromptPart{{ID: 9, Tokens: 55}, {ID: 10, Tokens: 37}, {ID: 11, Tokens: 291}}
		f.sent(r)
	}
	for _, endpoint := range f.s.endpoints {
		assert.Assert(t, endpoint.load.outstanding >= 14 && endpoint.load.outstanding <= 26, "%d", endpoint.load.outstanding)
	}
}

func TestReportsSteerAway(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 2)
	busy := f.list[0].ID
	f.s.Report(f.now, busy, EngineReport{Running: 64, Queued: 40, KVUsed: 200_000, KVTotal: 316_082})
	for range 20 {
		d := f.sent(f.request("query"))
		assert.Assert(t, d.Instance.ID != busy)
		f.served(d, 40*time.Millisecond)
	}
	f.s.Report(f.now, "i-unknown", EngineReport{})
}

func TestLateAnswersAreLearnedAndForgotten(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 2)
	d := f.sent(f.request("query"))
	slow := f.endpoint(d.Instance.ID)
	f.served(d, 2*time.Second)
	assert.Assert(t, slow.load.late(f.now) > 300)
	other := f.sent(f.request("query"))
	assert.Assert(t, other.Instance.ID != slow.instance.ID)
	assert.Assert(t, slow.load.late(f.now.Add(30*time.Second)) < 2)
}

func TestOverflowGoesToAnotherRegionOnlyWhenHomeIsLate(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	f.engines(lastZone, 1)
	for range 30 {
		assert.Equal(t, f.sent(f.request("query")).Instance.Zone, homeZone, "home while it is in time")
	}
	f.s.Report(f.now, f.list[0].ID, EngineReport{Running: 64, Queued: 150, KVUsed: 300_000, KVTotal: 316_082})
	assert.Equal(t, f.sent(f.request("query")).Instance.Zone, lastZone)
	d := f.sent(f.dossier(1))
	assert.Equal(t, d.Instance.Zone, lastZone, "late at home earns less than the bytes cost")
}

func TestMovingALargeBodyIsDearerThanAShortWait(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	f.engines(lastZone, 1)
	near, far := f.endpoint(f.list[0].ID), f.endpoint(f.list[1].ID)
	large, small := f.dossier(1), f.request("dossier")
	added := func(r *Request) float64 { return f.s.prices(r, far) - f.s.prices(r, near) }
	assert.Assert(t, added(large) > 300 && added(large) < 500, "a third of the aim: %f", added(large))
	assert.Assert(t, added(small) < 20, "next to nothing: %f", added(small))
}

func TestRankingIsTheSameForLargeTiers(t *testing.T) {
	one, two := newFleet(t), newFleet(t)
	one.engines(homeZone, 500)
	two.engines(homeZone, 500)
	two.s.random = rand.New(rand.NewPCG(7, 7))
	same := 0
	for opening := range uint64(200) {
		a, b := one.sent(one.dossier(opening)), two.sent(two.dossier(opening))
		if a.Instance.ID == b.Instance.ID {
			same++
		}
		one.served(a, 500*time.Millisecond)
		two.served(b, 500*time.Millisecond)
	}
	assert.Assert(t, same >= 190, "%d", same)
}

func TestKeptPartsGiveWayInOrder(t *testing.T) {
	var c partCache
	part := func(id uint64) PromptPart { return PromptPart{ID: id, Tokens: 400} }
	c.use(start, []PromptPart{part(1), part(2)}, 1000)
	c.use(start.Add(time.Second), []PromptPart{part(1), part(3)}, 1000)
	count, tokens := c.kept(start.Add(time.Second), []PromptPart{part(1), part(3), part(4)})
	assert.Equal(t, count, 2)
	assert.Equal(t, tokens, 800)
	count, _ = c.kept(start.Add(time.Second), []PromptPart{part(1), part(2)})
	assert.Equal(t, count, 1, "the part unused the longest gave way")
	count, _ = c.kept(start.Add(time.Second), []PromptPart{part(9), part(1)})
	assert.Equal(t, count, 0, "a part counts only if all before it are kept")
	count, _ = c.kept(start.Add(2*keptFor), []PromptPart{part(1)})
	assert.Equal(t, count, 0, "too long ago")
	c.forget([]PromptPart{part(1), part(3)})
	assert.Equal(t, c.tokens, 0)
	assert.Assert(t, c.oldest == nil && c.newest == nil)
}

func TestPromptThatWasNotReadIsNotKept(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	d := f.sent(f.dossier(1))
	f.done(d, Full)
	assert.Equal(t, len(f.endpoint(d.Instance.ID).cache.parts), 0)
}
