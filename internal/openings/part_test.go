package openings

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func somePart(scope string, token, sequence uint64, rate float64) Part {
	return Part{
		Scope:   scope,
		Version: Version{Token: token, Owner: "o", Sequence: sequence},
		AsOf:    worldStart,
		Demand:  Demand{Entries: []Entry{{Key: Key{Part: 7}, Rate: rate, Recent: rate}}},
	}
}

func someFading() fading {
	options := Options{}
	options.complete()
	return options.fading()
}

func TestMergingIsTheSameInEveryOrderAndWithRepeats(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		said := []Part{
			somePart("a", 1, 1, 5), somePart("a", 1, 2, 6), somePart("a", 2, 1, 7),
			somePart("b", 4, 9, 11), somePart("b", 5, 1, 13), somePart("c", 1, 1, 17),
		}
		order := rapid.SliceOfN(rapid.IntRange(0, len(said)-1), 0, 30).Draw(t, "order")
		var faults Faults
		merged := newParts(someFading(), &faults, noMistake)
		newest := map[string]Part{}
		for _, index := range order {
			part := said[index]
			merged.take(part)
			if part.Version.Newer(newest[part.Scope].Version) {
				newest[part.Scope] = part
			}
		}
		want := 0.0
		for _, part := range newest {
			want += part.Demand.Entries[0].Rate
		}
		total := merged.merged(worldStart, noScope, partMost)
		if math.Abs(total.total()-want) > roundingError || faults.Any() {
			t.Fatalf("%v instead of %v, %v", total.total(), want, faults)
		}
	})
}

func TestErrorsAddUpWithTheFloorsOfThoseThatDoNotNameAnOpening(t *testing.T) {
	named := Demand{Entries: []Entry{{Key: Key{Part: 1}, Rate: 10, Recent: 10, Error: 1}}, Floor: 2}
	other := Demand{Entries: []Entry{{Key: Key{Part: 2}, Rate: 4, Recent: 4, Error: 0.5}}, Floor: 3}
	total := sum([]Demand{named, other}, []float64{1, 1})
	assert.DeepEqual(t, total.Entries, []Entry{
		{Key: Key{Part: 1}, Rate: 10, Recent: 10, Error: 4},
		{Key: Key{Part: 2}, Rate: 4, Recent: 4, Error: 2.5},
	})
	assert.Equal(t, total.Floor, 5.0)
}

func TestWhatIsNotRenewedFadesAndIsForgotten(t *testing.T) {
	fading := someFading()
	assert.Equal(t, fading.weight(fading.freshFor), 1.0)
	assert.Equal(t, fading.weight(fading.freshFor+fading.halfLife), 0.5)
	assert.Equal(t, fading.weight(fading.forget), 0.0)
	var faults Faults
	merged := newParts(fading, &faults, noMistake)
	merged.take(somePart("a", 1, 1, 5))
	merged.drop(worldStart.Add(fading.forget - time.Second))
	assert.Equal(t, len(merged.byScope), 1)
	merged.drop(worldStart.Add(fading.forget))
	assert.Equal(t, len(merged.byScope), 0)
}

func TestAClaimIsNotOutbidForLongNorOften(t *testing.T) {
	var held claim
	rest := 6 * time.Second
	assert.Assert(t, held.hold(worldStart, rest))
	first := held.token
	held.see(first + 5)
	assert.Assert(t, !held.hold(worldStart.Add(time.Second), rest))
	assert.Assert(t, held.hold(worldStart.Add(rest), rest))
	assert.Assert(t, held.token > first+5)
	second := held.token
	held.release()
	assert.Assert(t, held.hold(worldStart.Add(rest), rest))
	assert.Assert(t, held.token > second, "a token is not used twice")
}
