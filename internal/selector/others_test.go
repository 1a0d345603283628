package selector

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/registry"
	"wallflow/internal/workload"
)

// An engine that reads for other relays is left for one that doesn't; once their word is old, the relay goes by its own requests again.
func TestWhatOthersHaveAtAnEngineCounts(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 2)
	loaded := f.s.endpoints[f.list[0].ID]
	told := workload.Loads{loaded.key(): {Requests: 3, Unread: 40_000, Held: 40_000}, 12345: {Requests: 9}}
	f.s.SetOthers(f.now, told, true)
	for range 20 {
		d := f.sent(f.request("query"))
		assert.Assert(t, d.Instance.ID != f.list[0].ID)
		f.done(d, Success)
	}
	assert.Equal(t, f.s.requests(f.now, loaded), 3.0)
	f.s.SetOthers(f.now, nil, false)
	f.now = f.now.Add(othersFresh + time.Millisecond)
	assert.Equal(t, f.s.requests(f.now, loaded), 0.0)
}

// What waits to be read at an engine drains with time, and never exceeds what was told and sent.
func TestReadingOfOthersDrains(t *testing.T) {
	var l load
	now := time.Unix(0, 0)
	l.setOthers(now, others{unread: 4000}, 40)
	assert.Equal(t, l.reading(now, 40), 4000.0)
	assert.Equal(t, l.reading(now.Add(50*time.Millisecond), 40), 2000.0)
	l.setOthers(now.Add(50*time.Millisecond), others{unread: 5000}, 40) // 1,000 more
	assert.Equal(t, l.reading(now.Add(50*time.Millisecond), 40), 3000.0)
	l.setOthers(now.Add(60*time.Millisecond), others{unread: 1000}, 40) // the rest has been read
	assert.Equal(t, l.reading(now.Add(60*time.Millisecond), 40), 1000.0)
	l.setOthers(now.Add(60*time.Millisecond), others{}, 40)
	assert.Equal(t, l.reading(now.Add(60*time.Millisecond), 40), 0.0)
}

// The relay tells what it has, each opening that it has read once, and nothing of what has ended.
func TestTakeReport(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 2)
	r := f.request("dossier")
	r.Parts = []PromptPart{{ID: 5, Tokens: 9000}, {ID: 6, Tokens: 500}}
	r.TokensIn = 9500
	d := f.sent(r)
	report := f.s.TakeReport(f.now)
	assert.Equal(t, len(report.Loads), 1)
	for _, load := range report.Loads {
		assert.Equal(t, load.Requests, 1)
		assert.Equal(t, load.Unread, 9500)
	}
	assert.Equal(t, len(report.Readings), 1)
	assert.Equal(t, report.Readings[0].Part, uint64(5))
	f.done(d, Success)
	report = f.s.TakeReport(f.now)
	assert.Equal(t, len(report.Loads), 0)
	assert.Equal(t, len(report.Readings), 0)
}

// A prompt goes where another relay had its opening read, whatever the ranking says, unless much waits there.
func TestPromptsGoWhereOthersHadTheirOpeningRead(t *testing.T) {
	for _, engines := range []int{4, 80} { // a tier that is looked through, and one of which a part is
		f := newFleet(t)
		f.engines(homeZone, engines)
		for index := range f.list {
			keeper := f.s.endpoints[f.list[index].ID]
			opening := uint64(1000 + index)
			f.s.NoteReadings(f.now, []workload.Reading{{Part: opening, Tokens: 20_000, Endpoint: keeper.key()}})
			r := f.request("dossier")
			r.Parts = []PromptPart{{ID: opening, Tokens: 20_000}, {ID: 6, Tokens: 500}}
			r.TokensIn = 20_500
			d := f.sent(r)
			assert.Equal(t, d.Instance.ID, f.list[index].ID, "of %d", engines)
			assert.Equal(t, d.Forecast.Reading, 500)
			f.done(d, Success)
		}
	}
}

// Where openings are kept is bounded.
func TestKeepersAreBounded(t *testing.T) {
	now := time.Unix(0, 0)
	known := keepers{}
	var endpoints []*endpoint
	for range 2 * keepersMost {
		endpoints = append(endpoints, &endpoint{})
	}
	for _, endpoint := range endpoints {
		known.note(now, 1, endpoint)
		known.note(now, 1, endpoint)
	}
	assert.Equal(t, len(known[1]), keepersMost)
	assert.Equal(t, known[1][keepersMost-1], endpoints[len(endpoints)-1])
	for opening := range uint64(2 * openingsMost) {
		known.note(now, opening, endpoints[0])
	}
	assert.Assert(t, len(known) <= openingsMost)
}

// The way to a zone is learned from connections: a short one counts at once, a long one little by little.
func TestDistanceIsLearned(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	endpoint := f.s.endpoints[f.list[0].ID]
	for range 3 {
		f.s.Connected(f.list[0].ID, 90*time.Millisecond)
	}
	assert.Equal(t, f.s.travel(endpoint), 90.0)
	f.s.Connected(f.list[0].ID, 70*time.Millisecond)
	f.s.Connected(f.list[0].ID, 900*time.Millisecond) // an endpoint that was slow to accept
	f.s.Connected("nobody", time.Millisecond)
	assert.Assert(t, f.s.travel(endpoint) > 70 && f.s.travel(endpoint) < 120)
}

// Mechanisms have names, each once, and each is described.
func TestMechanismsAreNamed(t *testing.T) {
	seen := map[Mechanism]bool{}
	for _, use := range mechanismUses {
		assert.Assert(t, !seen[use.Mechanism] && use.without != "", use.Mechanism)
		seen[use.Mechanism] = true
	}
	parsed, err := ParseMechanisms([]string{"pace", "skips"})
	assert.NilError(t, err)
	assert.DeepEqual(t, parsed, []Mechanism{Pace, Skips})
	_, err = ParseMechanisms([]string{"paces"})
	assert.ErrorContains(t, err, `"paces" is no mechanism`)
}

// An endpoint that owes answers to other relays, and has said nothing here lately, is left for another; one that answers here is not.
func TestWhatIsOverdueAtOthersCounts(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 2)
	suspected := f.s.endpoints[f.list[0].ID]
	f.s.SetOthers(f.now, workload.Loads{suspected.key(): {Requests: 1, Overdue: 1}}, true)
	for range 20 {
		d := f.sent(f.request("query"))
		assert.Assert(t, d.Instance.ID != f.list[0].ID)
		f.done(d, Success)
	}
	suspected.heard(f.now)
	assert.Assert(t, !f.s.suspectedByOthers(f.now, suspected))
}

// A relay tells of its own overdue requests, and not just after it has stood still.
func TestOverdueRequestsAreTold(t *testing.T) {
	f := newFleet(t)
	f.engines(homeZone, 1)
	f.sent(f.request("query"))
	for range 30 {
		f.after(100 * time.Millisecond)
		f.s.noteAwake(f.now)
	}
	told := func() (overdue int) {
		for _, load := range f.s.TakeReport(f.now).Loads {
			overdue += load.Overdue
		}
		return overdue
	}
	assert.Equal(t, told(), 1)
	f.after(time.Second)
	f.s.noteAwake(f.now)
	assert.Equal(t, told(), 0)
}

// A zone from which one answer is overdue here, and several elsewhere, is left at once; what others say alone is not enough.
func TestZoneIsLeftSoonerWithWhatOthersSay(t *testing.T) {
	overdue := &Attempt{sentAt: time.Unix(10, 0)}
	now := time.Unix(12, 0)
	alone := &zoneWatch{unanswered: []*Attempt{overdue}}
	assert.Assert(t, !alone.silent(now))
	told := &zoneWatch{unanswered: []*Attempt{overdue}, othersOverdue: darkAfter - 1}
	assert.Assert(t, told.silent(now))
	assert.Assert(t, !(&zoneWatch{othersOverdue: 50}).silent(now))
	heard := &zoneWatch{unanswered: []*Attempt{overdue}, othersOverdue: 50, heardAt: time.Unix(11, 0)}
	assert.Assert(t, !heard.silent(now))
}

// An opening that is bound to home regions is named to no other relay, and is placed by its ranking.
func TestOpeningsBoundToHomesAreNotTold(t *testing.T) {
	f := newFleetAt(t, homeZone, 4)
	f.engines(homeZone, 4)
	f.s.SetOthers(f.now, workload.Loads{}, true)
	free := f.dossier(1)
	f.served(f.sent(free), time.Millisecond)
	assert.Equal(t, len(f.s.TakeReport(f.now).Readings), 1)
	assert.Assert(t, f.s.placesFreely(free))
	for index := range f.document.Routes {
		f.document.Routes[index].HomeRegions = []string{home}
	}
	f.configure()
	bound := f.dossier(2)
	f.served(f.sent(bound), time.Millisecond)
	assert.Equal(t, len(f.s.TakeReport(f.now).Readings), 0)
	assert.Assert(t, !f.s.placesFreely(bound))
}

// What other relays say of keepers never leads out of the homes, and neither does placing freely.
func TestKeepersNeverLeadOutOfTheHomes(t *testing.T) {
	f := newFleetAt(t, nextZone, 5)
	f.engines(homeZone, 2)
	f.engines(nextZone, 8)
	for index := range f.document.Routes {
		f.document.Routes[index].HomeRegions = []string{home}
	}
	f.configure()
	f.s.SetOthers(f.now, workload.Loads{}, true)
	for opening := range uint64(40) {
		r := f.dossier(opening)
		for index := range f.list {
			keeper := f.s.endpoints[f.list[index].ID]
			told := workload.Reading{Part: r.Parts[0].ID, Tokens: r.Parts[0].Tokens, Endpoint: keeper.key()}
			f.s.NoteReadings(f.now, []workload.Reading{told})
		}
		d := f.sent(r)
		assert.Equal(t, d.Instance.Zone, homeZone)
		f.served(d, 300*time.Millisecond)
	}
}

// A keeper that leaves is not waited for: the prompt goes elsewhere at once.
func TestKeeperThatLeavesIsNotWaitedFor(t *testing.T) {
	f := newFleetAt(t, homeZone, 6)
	f.engines(homeZone, 3)
	f.engines(nextZone, 3)
	f.s.SetOthers(f.now, workload.Loads{}, true)
	r := f.dossier(1)
	for index := range f.list {
		if f.list[index].Zone == nextZone {
			keeper := f.s.endpoints[f.list[index].ID]
			f.s.NoteReadings(f.now, []workload.Reading{{Part: r.Parts[0].ID, Tokens: r.Parts[0].Tokens, Endpoint: keeper.key()}})
		}
	}
	assert.Equal(t, f.sent(r).Instance.Zone, nextZone)
	f.change(nextZone, func(instance *registry.Instance) { instance.State = registry.StateDraining })
	assert.Equal(t, f.sent(f.dossier(1)).Instance.Zone, homeZone)
}
