package experiment_test

import (
	"fmt"
	"time"

	"wallflow/internal/experiment"
)

// The oracle policy, which knows the state of every engine, answers all requests of a light load in time.
func ExampleRun() {
	const engines = 6
	result, err := experiment.Run(experiment.PolicyOracle, experiment.Options{
		Regions:  3,
		Relays:   3,
		Engines:  engines,
		Load:     experiment.DefaultLoad(engines, 0.3),
		Duration: 5 * time.Second,
		Seed:     1,
	})
	fmt.Println(err, result.Policy, result.InTime == result.Requests)
	// Output: <nil> oracle true
}
