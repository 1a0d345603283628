package experiment

import "github.com/gravitational/trace"

// Run simulates one policy, given by name, until all requests have ended.
func Run(name string, options Options) (Result, error) {
	if err := options.Check(); err != nil {
		return Result{}, trace.Wrap(err)
	}
	newPolicy, err := lookupPolicy(name)
	if err != nil {
		return Result{}, trace.Wrap(err)
	}
	options.Engine = options.Engine.WithDefaults()
	sim := newSimulation(&options, newPolicy)
	sim.run()
	return sim.recorder.finalResult(name, sim.engines), nil
}
