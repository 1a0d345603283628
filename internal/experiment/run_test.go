package experiment

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/emulator"
)

// runOptions returns the options of a ten-second run of twelve engines at a multiple of the default load.
func runOptions(seed uint64, loadFactor float64) Options {
	const engines = 12
	return Options{
		Regions:  3,
		Relays:   6,
		Engines:  engines,
		Engine:   emulator.EngineOptions{ChunkTokens: 4096},
		Load:     DefaultLoad(engines, loadFactor),
		Duration: 10 * time.Second,
		Seed:     seed,
	}
}

func TestEqualSeedsGiveEqualResults(t *testing.T) {
	for _, policy := range Policies() {
		first, err := Run(policy, runOptions(1, 1))
		assert.NilError(t, err)
		second, err := Run(policy, runOptions(1, 1))
		assert.NilError(t, err)
		assert.DeepEqual(t, first, second)
		assert.Assert(t, first.Requests > 500 && first.Served > 0, "%+v", first)
	}
}

// At a load that overloads both round-robin and least-outstanding, the selector has a higher goodput than round-robin and prefills fewer
// tokens than least-outstanding. The goodput of the oracle is an upper reference for the selector.
func TestSelectorBeatsBaselinePolicies(t *testing.T) {
	goodput, prefilled := map[string]float64{}, map[string]uint64{}
	const seeds = 3
	for _, policy := range Policies() {
		for seed := range uint64(seeds) {
			result, err := Run(policy, runOptions(seed, 1.2))
			assert.NilError(t, err)
			goodput[policy] += result.Goodput / seeds
			prefilled[policy] += result.PrefilledTokens / seeds
		}
	}
	t.Logf("%v", goodput)
	assert.Assert(t, goodput[PolicySelector] > goodput[PolicyRoundRobin])
	assert.Assert(t, prefilled[PolicySelector] < prefilled[PolicyLeastOutstanding])
	assert.Assert(t, goodput[PolicyOracle] > goodput[PolicySelector])
}

func TestInvalidOptionsAreRejected(t *testing.T) {
	for want, change := range map[string]func(*Options){
		"regions: at least 1":                 func(o *Options) { o.Regions = 0 },
		"relays: at least one in each region": func(o *Options) { o.Relays = 1 },
		"engines: at least":                   func(o *Options) { o.Engines = 2 },
		"for: a time":                         func(o *Options) { o.Duration = 0 },
		"load: at least":                      func(o *Options) { o.Load = nil },
	} {
		options := runOptions(1, 1)
		change(&options)
		_, err := Run(PolicySelector, options)
		assert.ErrorContains(t, err, want)
	}
	_, err := Run("fastest", runOptions(1, 1))
	assert.ErrorContains(t, err, "policy: one of")
}
