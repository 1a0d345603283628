package selector

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/budget"
	"wallflow/internal/registry"
)

// newFleetAt returns a fleet whose relay is in another zone.
func newFleetAt(t testing.TB, zone string, seed uint64) *fleet {
	f := newFleet(t)
	f.s = New(Options{
		Zone: zone, Region: zones[zone], Zones: zones,
		Random: rand.New(rand.NewPCG(seed, seed)),
		Budget: budget.NewRetryBudget(budget.Options{Ratio: 0.2, Window: 10 * time.Second}),
	})
	f.configure()
	return f
}

func TestRelaysOfAllRegionsAgreeOnEndpointForPrefix(t *testing.T) {
	relays := []*fleet{newFleetAt(t, homeZone, 3), newFleetAt(t, nextZone, 4), newFleetAt(t, lastZone, 5)}
	regions := map[string]int{}
	for _, relay := range relays {
		relay.engines(homeZone, 8)
		relay.engines(nextZone, 4)
		relay.engines(lastZone, 6)
	}
	for prefix := range uint64(180) {
		var chosen string
		for _, relay := range relays {
			d := relay.mustSend(relay.dossier(prefix))
			if chosen == "" {
				chosen = d.Instance.ID
				regions[zones[d.Instance.Zone]]++
			}
			assert.Equal(t, d.Instance.ID, chosen, "prefix %d from %s", prefix, relay.s.options.Zone)
			relay.serve(d, 300*time.Millisecond)
			relay.advance(200 * time.Millisecond)
		}
	}
	// 8, 4 and 6 of 18 endpoints
	assert.Assert(t, regions[home] > 60 && regions[home] < 100, "%v", regions)
	assert.Assert(t, regions[next] > 25 && regions[next] < 57, "%v", regions)
	assert.Assert(t, regions[last] > 40 && regions[last] < 80, "%v", regions)
}

func TestPrefixesStayInHomeRegions(t *testing.T) {
	f := newFleetAt(t, nextZone, 6)
	f.engines(homeZone, 2)
	f.engines(nextZone, 8)
	for index := range f.document.Routes {
		f.document.Routes[index].HomeRegions = []string{home}
	}
	f.configure()
	for prefix := range uint64(50) {
		d := f.mustSend(f.dossier(prefix))
		assert.Equal(t, d.Instance.Zone, homeZone)
		f.serve(d, 300*time.Millisecond)
		f.advance(200 * time.Millisecond)
	}
}

func TestLargeBodyStaysInItsRegion(t *testing.T) {
	f := newFleetAt(t, nextZone, 7)
	f.engines(homeZone, 8)
	f.engines(nextZone, 4)
	for prefix := range uint64(50) {
		r := f.dossier(prefix)
		r.BodyBytes = 13_300*maxBodyBytesPerPrefixToken + 1
		d := f.mustSend(r)
		assert.Equal(t, d.Instance.Zone, nextZone)
		f.serve(d, 300*time.Millisecond)
		f.advance(200 * time.Millisecond)
	}
}

func TestPrefixMovesWhenItsRegionDrains(t *testing.T) {
	f := newFleetAt(t, homeZone, 8)
	f.engines(homeZone, 4)
	f.engines(nextZone, 4)
	before := map[uint64]string{}
	for prefix := range uint64(60) {
		d := f.mustSend(f.dossier(prefix))
		before[prefix] = d.Instance.Zone
		f.serve(d, 300*time.Millisecond)
		f.advance(300 * time.Millisecond)
	}
	f.change(nextZone, func(instance *registry.Instance) { instance.State = registry.StateDraining })
	for prefix := range uint64(60) {
		d := f.mustSend(f.dossier(prefix))
		assert.Equal(t, d.Instance.Zone, homeZone)
		f.serve(d, 300*time.Millisecond)
		f.advance(300 * time.Millisecond)
	}
}

func TestRankingAppliesOnlyInPrefixHome(t *testing.T) {
	f := newFleetAt(t, homeZone, 9)
	f.engines(homeZone, 4)
	f.engines(nextZone, 4)
	for prefix := range uint64(200) {
		r := f.dossier(prefix)
		f.s.initRequest(f.now, r)
		order := f.s.tiersFor(r)
		if order[0].region == home {
			continue
		}
		var nextChange earliestChange
		own := f.s.bestInTier(f.now, r, order[1], searchOptions{}, &nextChange)
		assert.Equal(t, order[1].region, home)
		assert.Equal(t, own.estimate.savingMs, 0.0, "no other relay sends prefix %d here", prefix)
		atHome := f.s.bestInTier(f.now, r, order[0], searchOptions{prefixHome: true}, &nextChange)
		assert.Assert(t, atHome.estimate.savingMs > 300, "%f", atHome.estimate.savingMs)
		assert.Assert(t, atHome.costMs < own.costMs)
	}
}

func TestPrefixTooLargeForTargetStaysAtItsHome(t *testing.T) {
	relays := []*fleet{newFleetAt(t, homeZone, 10), newFleetAt(t, nextZone, 11), newFleetAt(t, lastZone, 12)}
	for _, relay := range relays {
		relay.engines(homeZone, 8)
		relay.engines(nextZone, 4)
		relay.engines(lastZone, 6)
	}
	for prefix := range uint64(60) {
		var chosen string
		for _, relay := range relays {
			r := relay.dossier(prefix)
			r.Parts[0].Tokens, r.TokensIn, r.BodyBytes = 39_900, 43_620, 88_000
			d := relay.mustSend(r)
			if chosen == "" {
				chosen = d.Instance.ID
			}
			assert.Equal(t, d.Instance.ID, chosen, "within target only where the prefix %d is cached", prefix)
			relay.serve(d, 300*time.Millisecond)
			relay.advance(500 * time.Millisecond)
		}
	}
}
