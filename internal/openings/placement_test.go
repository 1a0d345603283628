package openings

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var halls = []RegionCapacity{
	{Region: "tema", Endpoints: 8, Memory: 8 * 316_082},
	{Region: "kumasi", Endpoints: 4, Memory: 4 * 316_082},
}

func wantedBy(tema, kumasi float64, shares ...Share) *PictureEntry {
	return &PictureEntry{
		Key:     Key{Part: 9},
		Tokens:  13_300,
		Rate:    tema + kumasi,
		Regions: []RegionDemand{{Region: "tema", Rate: tema}, {Region: "kumasi", Rate: kumasi}},
		Shares:  shares,
	}
}

func newHalls() *planner {
	options := PlacementOptions{}
	options.complete()
	planner := newPlanner(options)
	planner.setCapacity(halls)
	return planner
}

func TestAnOpeningThatIsSeldomAskedForStaysWithTheRanking(t *testing.T) {
	assert.Assert(t, newHalls().want(wantedBy(0.05, 0.08), nil) == nil)
	large := wantedBy(0.3, 0.3)
	large.Tokens = 30_000
	assert.Assert(t, newHalls().want(large, nil) == nil, "no region asks for it much more, or often enough for its own")
}

func TestAnOpeningIsKeptWhereItIsAskedForMost(t *testing.T) {
	assert.DeepEqual(t, newHalls().want(wantedBy(0.1, 2), nil), []Share{{Region: "kumasi", Replicas: 1}})
	assert.DeepEqual(t, newHalls().want(wantedBy(12, 0.1), nil), []Share{{Region: "tema", Replicas: 3}})
}

func TestARegionThatAsksOftenKeepsACopyOfItsOwn(t *testing.T) {
	assert.DeepEqual(t, newHalls().want(wantedBy(6, 2), nil),
		[]Share{{Region: "tema", Replicas: 2}, {Region: "kumasi", Replicas: 1}})
}

func TestAFullRegionGetsNoFurtherOpenings(t *testing.T) {
	got := newHalls().want(wantedBy(0.1, 2), map[string]float64{"kumasi": 9})
	assert.Assert(t, len(got) == 0 || got[0].Region != "kumasi", "%v", got)
}

func TestCopiesAreBoundedByMemory(t *testing.T) {
	entry := wantedBy(200, 0)
	entry.Tokens = 300_000
	got := newHalls().want(entry, nil)
	assert.Assert(t, got[0].Replicas <= 2 || got[0].Region == "", "%v", got)
	assert.Equal(t, newHalls().fits(entry, "tema"), 2)
}

func TestWhatIsInPlaceStaysUntilOtherwiseIsClearlyBetter(t *testing.T) {
	present := Share{Region: "tema", Replicas: 1}
	little := wantedBy(0.5, 0.6, present)
	little.Tokens = 50_000
	assert.DeepEqual(t, newHalls().want(little, nil), []Share{present})
	assert.DeepEqual(t, newHalls().want(wantedBy(0.1, 0.6, present), nil), []Share{{Region: "kumasi", Replicas: 1}})
	three := Share{Region: "tema", Replicas: 3}
	assert.DeepEqual(t, newHalls().want(wantedBy(9, 0, three), nil), []Share{three})
	assert.DeepEqual(t, newHalls().want(wantedBy(6, 0, three), nil), []Share{{Region: "tema", Replicas: 2}})
}

func TestChangesWaitUntilTheyHaveHeldForAWhile(t *testing.T) {
	planner := newHalls()
	now := worldStart
	entry := wantedBy(0.1, 2)
	_, due := planner.next(now, entry, nil)
	assert.Assert(t, !due)
	_, due = planner.next(now.Add(planner.options.HoldFor), entry, nil)
	assert.Assert(t, due)
	moved := now.Add(planner.options.HoldFor)
	back := wantedBy(2, 0.1, Share{Region: "kumasi", Replicas: 1})
	for at := moved; at.Before(moved.Add(planner.options.RestFor)); at = at.Add(2 * time.Second) {
		_, due = planner.next(at, back, nil)
		assert.Assert(t, !due, "it moved again after %v", at.Sub(moved))
	}
	_, due = planner.next(moved.Add(planner.options.RestFor), back, nil)
	assert.Assert(t, due)
}

func TestTheNewestDecisionHolds(t *testing.T) {
	known := &decisions{byKey: map[Key]*Decision{}}
	key := Key{Part: 9}
	decided := func(token uint64, owner, region string) bool {
		return known.take(Decision{Key: key, Token: token, Owner: owner, Shares: []Share{{region, 2}}, AsOf: worldStart})
	}
	assert.Assert(t, decided(2, "a", "tema"))
	assert.Assert(t, !decided(1, "z", "kumasi"))
	assert.Assert(t, !decided(2, "a", "kumasi"), "one token, one decision")
	assert.Assert(t, decided(2, "b", "kumasi"), "of two with one token the higher owner's holds, everywhere")
	assert.Assert(t, !decided(2, "a", "tema"))
	region, replicas, ok := known.places("tema").Home(9)
	assert.Assert(t, ok && region == "kumasi" && replicas == 2)
	assert.Assert(t, known.drop(worldStart.Add(time.Minute), time.Minute))
	_, _, ok = known.places("tema").Home(9)
	assert.Assert(t, !ok)
}

func TestARegionWithACopyUsesItsOwn(t *testing.T) {
	known := &decisions{byKey: map[Key]*Decision{}}
	known.take(Decision{Key: Key{Part: 9}, Token: 1, Shares: []Share{{"tema", 2}, {"kumasi", 1}}, AsOf: worldStart})
	region, replicas, _ := known.places("kumasi").Home(9)
	assert.Assert(t, region == "kumasi" && replicas == 1)
	region, replicas, _ = known.places("takoradi").Home(9)
	assert.Assert(t, region == "tema" && replicas == 2)
}

func TestNoPlacesSayNothing(t *testing.T) {
	var none *Places
	_, _, ok := none.Home(9)
	assert.Assert(t, !ok)
}
