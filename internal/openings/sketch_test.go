package openings

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestSketchCountsAreWithinTheirError(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		counters := rapid.IntRange(2, 24).Draw(t, "counters")
		openings := rapid.IntRange(1, 80).Draw(t, "openings")
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		now := worldStart
		sketch := NewSketch(now, counters, 0)
		exact := make([]float64, openings)
		total := 0.0
		for range 3000 {
			step := time.Duration(random.Int64N(int64(30 * time.Millisecond)))
			now = now.Add(step)
			factor := math.Exp2(-float64(step) / float64(defaultHalfLife))
			for index := range exact {
				exact[index] *= factor
			}
			total = total*factor + 1
			opening := min(random.IntN(openings), random.IntN(openings))
			exact[opening]++
			sketch.Count(now, Key{Part: uint64(opening)}, 100)
		}
		toNow := math.Exp2(-sketch.halvings(now))
		for _, counter := range sketch.counters {
			count, wrong := counter.count*toNow, counter.error*toNow
			truth := exact[counter.key.Part]
			if truth > count+roundingError || truth < count-wrong-roundingError {
				t.Fatalf("opening %d: counted %v with an error of %v, true %v", counter.key.Part, count, wrong, truth)
			}
			if wrong > total/float64(counters)+roundingError {
				t.Fatalf("an error of %v with %v in %d counters", wrong, total, counters)
			}
		}
		if len(sketch.counters) > counters {
			t.Fatalf("%d counters", len(sketch.counters))
		}
	})
}

func TestSketchNamesEveryOpeningAboveItsFloor(t *testing.T) {
	random := rand.New(rand.NewPCG(5, 5))
	now := worldStart
	sketch := NewSketch(now, 20, 0)
	for range 20_000 {
		now = now.Add(2 * time.Millisecond)
		sketch.Count(now, Key{Part: uint64(random.ExpFloat64() * 10)}, 100)
	}
	demand := sketch.Demand(now, 20)
	named := keysOf(demand.Entries)
	for part := range uint64(200) {
		rate := 500 * (math.Exp(-float64(part)/10) - math.Exp(-float64(part+1)/10))
		if rate > 1.3*demand.Floor {
			assert.Assert(t, named[Key{Part: part}], "opening %d with a rate of %v over %v", part, rate, demand.Floor)
		}
	}
}

func TestSketchHalvesWhatIsNotRenewed(t *testing.T) {
	sketch := NewSketch(worldStart, 0, 0)
	now := worldStart
	for range 2000 {
		now = now.Add(50 * time.Millisecond)
		sketch.Count(now, Key{Part: 1}, 100)
	}
	steady := sketch.Demand(now, 1).Entries[0]
	assert.Assert(t, math.Abs(steady.Rate-20) < 1, "%v", steady)
	assert.Assert(t, math.Abs(steady.Recent-20) < 1, "%v", steady)
	later := sketch.Demand(now.Add(defaultHalfLife), 1).Entries[0]
	assert.Assert(t, math.Abs(later.Rate/steady.Rate-0.5) < 0.01, "%v", later)
	assert.Assert(t, later.Estimate() < 1, "the recent rate tells first: %v", later)
}

func TestSketchSurvivesALongPause(t *testing.T) {
	sketch := NewSketch(worldStart, 0, 0)
	sketch.Count(worldStart, Key{Part: 1}, 100)
	later := worldStart.Add(1000 * time.Hour)
	sketch.Count(later, Key{Part: 2}, 100)
	demand := sketch.Demand(later, 2)
	assert.Equal(t, demand.Entries[0].Key.Part, uint64(2))
	assert.Assert(t, demand.Entries[1].Rate < 1e-9)
	assert.Assert(t, !math.IsNaN(demand.Entries[0].Rate))
}

func TestHomesAreASet(t *testing.T) {
	homes := HomesOf([]string{"b", "a", "b"})
	assert.Equal(t, homes, Homes("a,b"))
	assert.Assert(t, homes.Allows("a") && homes.Allows("b") && !homes.Allows("c") && !homes.Allows(""))
	assert.Assert(t, HomesOf(nil).Allows("c"))
	assert.Assert(t, !HomesOf([]string{"tema"}).Allows("te"))
}

func BenchmarkSketchCount(b *testing.B) {
	sketch := NewSketch(worldStart, 0, 0)
	random := rand.New(rand.NewPCG(1, 1))
	now := worldStart
	for b.Loop() {
		now = now.Add(time.Millisecond)
		sketch.Count(now, Key{Part: random.Uint64N(300)}, 100)
	}
}
