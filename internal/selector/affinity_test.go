package selector

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/registry"
)

func TestRelaysAgreeOnEndpointForPrefix(t *testing.T) {
	one, two := newFleet(t), newFleet(t)
	one.engines(homeZone, 8)
	two.engines(homeZone, 8)
	two.s.random = rand.New(rand.NewPCG(7, 7))
	endpoints := map[string]int{}
	for prefix := range uint64(100) {
		a := one.mustSend(one.dossier(prefix))
		b := two.mustSend(two.dossier(prefix))
		assert.Equal(t, a.Instance.ID, b.Instance.ID, "prefix %d", prefix)
		endpoints[a.Instance.ID]++
		one.serve(a, 500*time.Millisecond)
		two.serve(b, 500*time.Millisecond)
	}
	assert.Equal(t, len(endpoints), 8, "prefixes spread over all endpoints: %v", endpoints)
}

func TestPrefixesKeepTheirEndpointWhenOthersLeave(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 9)
	before := map[uint64]string{}
	for prefix := range uint64(60) {
		d := f.mustSend(f.dossier(prefix))
		before[prefix] = d.Instance.ID
		f.serve(d, 500*time.Millisecond)
	}
	drained := f.list[4].ID
	f.list[4].State = registry.StateDraining
	f.publish()
	f.now = f.now.Add(2 * cachedPartTTL) // cached prefixes are forgotten, only the ranking counts
	moved := 0
	for prefix := range uint64(60) {
		d := f.mustSend(f.dossier(prefix))
		if before[prefix] == drained {
			moved++
		} else {
			assert.Equal(t, d.Instance.ID, before[prefix], "prefix %d", prefix)
		}
		f.serve(d, 500*time.Millisecond)
	}
	assert.Assert(t, moved > 0 && moved < 20)
}

func TestHotPrefixGetsSeveralEndpoints(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 8)
	hot := map[string]int{}
	for range 40 { // 40 at once: far more than one engine can prefill within the target
		hot[f.mustSend(f.dossier(1)).Instance.ID]++
		f.advance(5 * time.Millisecond)
	}
	assert.Assert(t, len(hot) >= 3, "%v", hot)
	quiet := map[string]int{}
	for range 20 { // one after the other: one endpoint is enough
		f.advance(700 * time.Millisecond)
		d := f.mustSend(f.dossier(2))
		quiet[d.Instance.ID]++
		f.serve(d, 300*time.Millisecond)
	}
	assert.Assert(t, len(quiet) <= 2, "%v", quiet)
}

func TestSmallPromptsGoToTheLeastLoaded(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 8)
	for range 160 {
		r := f.request("query")
		r.Parts = []PromptPart{{ID: 9, Tokens: 55}, {ID: 10, Tokens: 37}, {ID: 11, Tokens: 291}}
		f.mustSend(r)
	}
	for _, endpoint := range f.s.endpoints {
		assert.Assert(t, endpoint.load.inFlight >= 14 && endpoint.load.inFlight <= 26, "%d", endpoint.load.inFlight)
	}
}

func TestReportedLoadIsAvoided(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 2)
	busy := f.list[0].ID
	f.s.Report(f.now, busy, EngineReport{Running: 64, Queued: 40, KVUsed: 200_000, KVTotal: 316_082})
	for range 20 {
		d := f.mustSend(f.request("query"))
		assert.Assert(t, d.Instance.ID != busy)
		f.serve(d, 40*time.Millisecond)
	}
	f.s.Report(f.now, "i-unknown", EngineReport{})
}

func TestLatenessIsLearnedAndDecays(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 2)
	d := f.mustSend(f.request("query"))
	slow := f.endpoint(d.Instance.ID)
	f.serve(d, 2*time.Second)
	assert.Assert(t, slow.load.decayedLatenessMs(f.now) > 300)
	other := f.mustSend(f.request("query"))
	assert.Assert(t, other.Instance.ID != slow.instance.ID)
	assert.Assert(t, slow.load.decayedLatenessMs(f.now.Add(30*time.Second)) < 2)
}

func TestOtherRegionIsUsedOnlyWhenLocalMissesTarget(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	f.engines(lastZone, 1)
	for range 30 {
		assert.Equal(t, f.mustSend(f.request("query")).Instance.Zone, homeZone, "local while that is within target")
	}
	f.s.Report(f.now, f.list[0].ID, EngineReport{Running: 64, Queued: 150, KVUsed: 300_000, KVTotal: 316_082})
	assert.Equal(t, f.mustSend(f.request("query")).Instance.Zone, lastZone)
	d := f.mustSend(f.dossier(1))
	assert.Equal(t, d.Instance.Zone, lastZone, "missing the target locally costs more than moving the bytes")
}

func TestLargeBodyTransferCostsMoreThanShortWait(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	f.engines(lastZone, 1)
	near, far := f.endpoint(f.list[0].ID), f.endpoint(f.list[1].ID)
	large, small := f.dossier(1), f.request("dossier")
	added := func(r *Request) float64 { return f.s.placementCostMs(r, far) - f.s.placementCostMs(r, near) }
	assert.Assert(t, added(large) > 300 && added(large) < 500, "about a third of the target: %f", added(large))
	assert.Assert(t, added(small) < 20, "almost nothing: %f", added(small))
}

func TestRankingIsTheSameForLargeTiers(t *testing.T) {
	one, two := newFleet(t), newFleet(t)
	one.engines(homeZone, 500)
	two.engines(homeZone, 500)
	two.s.random = rand.New(rand.NewPCG(7, 7))
	same := 0
	for prefix := range uint64(200) {
		a, b := one.mustSend(one.dossier(prefix)), two.mustSend(two.dossier(prefix))
		if a.Instance.ID == b.Instance.ID {
			same++
		}
		one.serve(a, 500*time.Millisecond)
		two.serve(b, 500*time.Millisecond)
	}
	assert.Assert(t, same >= 190, "%d", same)
}

func TestCachedPartsAreEvictedInLRUOrder(t *testing.T) {
	var c prefixCache
	part := func(id uint64) PromptPart { return PromptPart{ID: id, Tokens: 400} }
	c.add(start, []PromptPart{part(1), part(2)}, 1000)
	c.add(start.Add(time.Second), []PromptPart{part(1), part(3)}, 1000)
	count, tokens := c.cachedPrefix(start.Add(time.Second), []PromptPart{part(1), part(3), part(4)})
	assert.Equal(t, count, 2)
	assert.Equal(t, tokens, 800)
	count, _ = c.cachedPrefix(start.Add(time.Second), []PromptPart{part(1), part(2)})
	assert.Equal(t, count, 1, "the least recently used part was evicted")
	count, _ = c.cachedPrefix(start.Add(time.Second), []PromptPart{part(9), part(1)})
	assert.Equal(t, count, 0, "a part counts only if all parts before it are cached")
	count, _ = c.cachedPrefix(start.Add(2*cachedPartTTL), []PromptPart{part(1)})
	assert.Equal(t, count, 0, "expired")
	c.remove([]PromptPart{part(1), part(3)})
	assert.Equal(t, c.tokens, 0)
	assert.Assert(t, c.leastRecent == nil && c.mostRecent == nil)
}

func TestRejectedPromptIsNotCached(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	d := f.mustSend(f.dossier(1))
	f.finish(d, Full)
	assert.Equal(t, len(f.endpoint(d.Instance.ID).cache.parts), 0)
}
