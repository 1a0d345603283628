package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/registry"
	"wallflow/internal/workload"
)

// An engine that prefills for other relays is avoided. Once the reported loads are too old, the relay estimates from
// its own requests again.
func TestLoadOfOtherRelaysCounts(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 2)
	loaded := f.s.endpoints[f.list[0].ID]
	reported := workload.Loads{loaded.key(): {Requests: 3, PrefillTokens: 40_000, CacheTokens: 40_000}, 12345: {Requests: 9}}
	f.s.SetOtherLoads(f.now, reported, true)
	for range 20 {
		d := f.mustSend(f.request("query"))
		assert.Assert(t, d.Instance.ID != f.list[0].ID)
		f.finish(d, Success)
	}
	assert.Equal(t, f.s.requests(f.now, loaded), 3.0)
	f.s.SetOtherLoads(f.now, nil, false)
	f.now = f.now.Add(otherLoadsTTL + time.Millisecond)
	assert.Equal(t, f.s.requests(f.now, loaded), 0.0)
}

// The prefill backlog of an engine drains with time, and never exceeds what was reported and sent.
func TestPrefillBacklogOfOthersDrains(t *testing.T) {
	var l load
	now := time.Unix(0, 0)
	l.setOthers(now, othersLoad{unansweredPrefill: 4000}, 40)
	assert.Equal(t, l.prefillAhead(now, 40), 4000.0)
	assert.Equal(t, l.prefillAhead(now.Add(50*time.Millisecond), 40), 2000.0)
	l.setOthers(now.Add(50*time.Millisecond), othersLoad{unansweredPrefill: 5000}, 40) // 1,000 more than was reported before
	assert.Equal(t, l.prefillAhead(now.Add(50*time.Millisecond), 40), 3000.0)
	l.setOthers(now.Add(60*time.Millisecond), othersLoad{unansweredPrefill: 1000}, 40) // the rest has been prefilled
	assert.Equal(t, l.prefillAhead(now.Add(60*time.Millisecond), 40), 1000.0)
	l.setOthers(now.Add(60*time.Millisecond), othersLoad{}, 40)
	assert.Equal(t, l.prefillAhead(now.Add(60*time.Millisecond), 40), 0.0)
}

// A relay reports its load at engines, each prefix that it sent to one once, and nothing of requests that have ended.
func TestTakeReport(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 2)
	r := f.request("dossier")
	r.Parts = []PromptPart{{ID: 5, Tokens: 9000}, {ID: 6, Tokens: 500}}
	r.TokensIn = 9500
	d := f.mustSend(r)
	report := f.s.TakeReport(f.now)
	assert.Equal(t, len(report.Loads), 1)
	for _, load := range report.Loads {
		assert.Equal(t, load.Requests, 1)
		assert.Equal(t, load.PrefillTokens, 9500)
	}
	assert.Equal(t, len(report.Prefills), 1)
	assert.Equal(t, report.Prefills[0].PrefixID, uint64(5))
	f.finish(d, Success)
	report = f.s.TakeReport(f.now)
	assert.Equal(t, len(report.Loads), 0)
	assert.Equal(t, len(report.Prefills), 0)
}

// A prompt is sent to the endpoint where another relay sent its prefix, whatever the ranking says.
func TestPromptsGoToPrefixHoldersOfOtherRelays(t *testing.T) {
	for _, engines := range []int{4, 80} { // a tier that is searched completely, and one of which a part is
		f := newFleet(t)
		f.engines(homeZone, engines)
		for index := range f.list {
			holder := f.s.endpoints[f.list[index].ID]
			prefix := uint64(1000 + index)
			f.s.RecordPrefills(f.now, []workload.Prefill{{PrefixID: prefix, Tokens: 20_000, Endpoint: holder.key()}})
			r := f.request("dossier")
			r.Parts = []PromptPart{{ID: prefix, Tokens: 20_000}, {ID: 6, Tokens: 500}}
			r.TokensIn = 20_500
			d := f.mustSend(r)
			assert.Equal(t, d.Instance.ID, f.list[index].ID, "of %d", engines)
			assert.Equal(t, d.Forecast.PrefillTokens, 500)
			f.finish(d, Success)
		}
	}
}

// The number of prefixes, and of holders for each, is bounded.
func TestPrefixHoldersAreBounded(t *testing.T) {
	now := time.Unix(0, 0)
	holders := prefixHolders{}
	var endpoints []*endpoint
	for range 2 * maxHoldersPerPrefix {
		endpoints = append(endpoints, &endpoint{})
	}
	for _, endpoint := range endpoints {
		holders.record(now, 1, endpoint)
		holders.record(now, 1, endpoint)
	}
	assert.Equal(t, len(holders[1]), maxHoldersPerPrefix)
	assert.Equal(t, holders[1][maxHoldersPerPrefix-1], endpoints[len(endpoints)-1])
	for prefix := range uint64(2 * maxTrackedPrefixes) {
		holders.record(now, prefix, endpoints[0])
	}
	assert.Assert(t, len(holders) <= maxTrackedPrefixes)
}

// The round trip to a zone is learned from connect times: a shorter one counts at once, a longer one gradually.
func TestRoundTripIsLearned(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	endpoint := f.s.endpoints[f.list[0].ID]
	for range 3 {
		f.s.RecordConnectTime(f.list[0].ID, 90*time.Millisecond)
	}
	assert.Equal(t, f.s.networkMs(endpoint), 90.0)
	f.s.RecordConnectTime(f.list[0].ID, 70*time.Millisecond)
	f.s.RecordConnectTime(f.list[0].ID, 900*time.Millisecond) // an endpoint that was slow to accept
	f.s.RecordConnectTime("unknown", time.Millisecond)
	assert.Assert(t, f.s.networkMs(endpoint) > 70 && f.s.networkMs(endpoint) < 120)
}

// Each mechanism is listed once and has a description.
func TestMechanismsAreNamed(t *testing.T) {
	seen := map[Mechanism]bool{}
	for _, description := range mechanismDescriptions {
		assert.Assert(t, !seen[description.Mechanism] && description.without != "", description.Mechanism)
		seen[description.Mechanism] = true
	}
	parsed, err := ParseMechanisms([]string{"pace", "skips"})
	assert.NilError(t, err)
	assert.DeepEqual(t, parsed, []Mechanism{Pacing, Skips})
	_, err = ParseMechanisms([]string{"paces"})
	assert.ErrorContains(t, err, `unknown mechanism "paces"`)
}

// An endpoint with overdue answers to other relays is avoided while nothing was received from it here lately, and no
// longer once something was.
func TestOverdueRequestsOfOthersCount(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 2)
	suspected := f.s.endpoints[f.list[0].ID]
	f.s.SetOtherLoads(f.now, workload.Loads{suspected.key(): {Requests: 1, Overdue: 1}}, true)
	for range 20 {
		d := f.mustSend(f.request("query"))
		assert.Assert(t, d.Instance.ID != f.list[0].ID)
		f.finish(d, Success)
	}
	suspected.recordReceived(f.now)
	assert.Assert(t, !f.s.suspectedByOthers(f.now, suspected))
}

// A relay reports its overdue requests, but not just after it was stalled.
func TestOverdueRequestsAreReported(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	f.mustSend(f.request("query"))
	for range 30 {
		f.advance(100 * time.Millisecond)
		f.s.detectStall(f.now)
	}
	reported := func() (overdue int) {
		for _, load := range f.s.TakeReport(f.now).Loads {
			overdue += load.Overdue
		}
		return overdue
	}
	assert.Equal(t, reported(), 1)
	f.advance(time.Second)
	f.s.detectStall(f.now)
	assert.Equal(t, reported(), 0)
}

// A zone becomes unreachable sooner if one request of this relay and several of others are overdue there. Reports of
// others alone are not enough.
func TestReportsOfOthersSpeedUpZoneDetection(t *testing.T) {
	overdue := &Attempt{sentAt: time.Unix(10, 0)}
	now := time.Unix(12, 0)
	alone := &zoneWatch{unanswered: []*Attempt{overdue}}
	assert.Assert(t, !alone.isSilent(now))
	reported := &zoneWatch{unanswered: []*Attempt{overdue}, othersOverdue: minOverdue - 1}
	assert.Assert(t, reported.isSilent(now))
	assert.Assert(t, !(&zoneWatch{othersOverdue: 50}).isSilent(now))
	recent := &zoneWatch{unanswered: []*Attempt{overdue}, othersOverdue: 50, lastReceivedAt: time.Unix(11, 0)}
	assert.Assert(t, !recent.isSilent(now))
}

// A prefix that is bound to home regions is not reported to other relays, and is placed by its hash.
func TestPrefixesBoundToHomeRegionsAreNotReported(t *testing.T) {
	f := newFleetAt(t, homeZone, 4)
	f.engines(homeZone, 4)
	f.s.SetOtherLoads(f.now, workload.Loads{}, true)
	free := f.dossier(1)
	f.serve(f.mustSend(free), time.Millisecond)
	assert.Equal(t, len(f.s.TakeReport(f.now).Prefills), 1)
	assert.Assert(t, f.s.mayPrefillAnywhere(free))
	for index := range f.document.Routes {
		f.document.Routes[index].HomeRegions = []string{home}
	}
	f.configure()
	bound := f.dossier(2)
	f.serve(f.mustSend(bound), time.Millisecond)
	assert.Equal(t, len(f.s.TakeReport(f.now).Prefills), 0)
	assert.Assert(t, !f.s.mayPrefillAnywhere(bound))
}

// Neither holders reported by other relays nor free placement lead to an endpoint outside the home regions.
func TestPrefixHoldersNeverOverrideHomeRegions(t *testing.T) {
	f := newFleetAt(t, nextZone, 5)
	f.engines(homeZone, 2)
	f.engines(nextZone, 8)
	for index := range f.document.Routes {
		f.document.Routes[index].HomeRegions = []string{home}
	}
	f.configure()
	f.s.SetOtherLoads(f.now, workload.Loads{}, true)
	for prefix := range uint64(40) {
		r := f.dossier(prefix)
		for index := range f.list {
			holder := f.s.endpoints[f.list[index].ID]
			reported := workload.Prefill{PrefixID: r.Parts[0].ID, Tokens: r.Parts[0].Tokens, Endpoint: holder.key()}
			f.s.RecordPrefills(f.now, []workload.Prefill{reported})
		}
		d := f.mustSend(r)
		assert.Equal(t, d.Instance.Zone, homeZone)
		f.serve(d, 300*time.Millisecond)
	}
}

// When the holders of a prefix are drained, its requests are sent elsewhere at once.
func TestDrainingPrefixHolderIsNotUsed(t *testing.T) {
	f := newFleetAt(t, homeZone, 6)
	f.engines(homeZone, 3)
	f.engines(nextZone, 3)
	f.s.SetOtherLoads(f.now, workload.Loads{}, true)
	r := f.dossier(1)
	for index := range f.list {
		if f.list[index].Zone == nextZone {
			holder := f.s.endpoints[f.list[index].ID]
			f.s.RecordPrefills(f.now, []workload.Prefill{{PrefixID: r.Parts[0].ID, Tokens: r.Parts[0].Tokens, Endpoint: holder.key()}})
		}
	}
	assert.Equal(t, f.mustSend(r).Instance.Zone, nextZone)
	f.change(nextZone, func(instance *registry.Instance) { instance.State = registry.StateDraining })
	assert.Equal(t, f.mustSend(f.dossier(1)).Instance.Zone, homeZone)
}
