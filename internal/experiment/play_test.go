package experiment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/emulator"
)

func playOptions(seed uint64, load float64) Options {
	const engines = 12
	return Options{
		Regions: 3,
		Relays:  6,
		Engines: engines,
		Engine:  emulator.EngineOptions{ChunkTokens: 4096},
		Load:    DefaultLoad(engines, load),
		For:     10 * time.Second,
		Seed:    seed,
	}
}

func TestEqualSeedsGiveEqualPlays(t *testing.T) {
	for _, policy := range Policies() {
		first, err := Play(policy, playOptions(1, 1))
		assert.NilError(t, err)
		second, err := Play(policy, playOptions(1, 1))
		assert.NilError(t, err)
		assert.DeepEqual(t, first, second)
		assert.Assert(t, first.Requests > 500 && first.Served > 0, "%+v", first)
	}
}

// The selector serves more in time than taking turns, and reads less than counting outstanding requests does, at a load that neither
// bears. What the oracle serves shows the room that is left.
func TestSelectorIsBetterThanSimpleWays(t *testing.T) {
	goodput, read := map[string]float64{}, map[string]uint64{}
	const seeds = 3
	for _, policy := range Policies() {
		for seed := range uint64(seeds) {
			figures, err := Play(policy, playOptions(seed, 1.2))
			assert.NilError(t, err)
			goodput[policy] += figures.Goodput / seeds
			read[policy] += figures.Read / seeds
		}
	}
	t.Logf("%v", goodput)
	assert.Assert(t, goodput[PolicySelector] > goodput[PolicyTurns])
	assert.Assert(t, read[PolicySelector] < read[PolicyLeast])
	assert.Assert(t, goodput[PolicyOracle] > goodput[PolicySelector])
}

func TestOptionsThatCannotBePlayed(t *testing.T) {
	for want, change := range map[string]func(*Options){
		"regions: at least 1":                 func(o *Options) { o.Regions = 0 },
		"relays: at least one in each region": func(o *Options) { o.Relays = 1 },
		"engines: at least":                   func(o *Options) { o.Engines = 2 },
		"for: a time":                         func(o *Options) { o.For = 0 },
		"load: at least":                      func(o *Options) { o.Load = nil },
	} {
		options := playOptions(1, 1)
		change(&options)
		_, err := Play(PolicySelector, options)
		assert.ErrorContains(t, err, want)
	}
	_, err := Play("fastest", playOptions(1, 1))
	assert.ErrorContains(t, err, "policy: one of")
}
