package experiment_test

import (
	"fmt"
	"time"

	"wallflow/internal/experiment"
)

// An oracle, which sees into every engine, answers all requests of a light load in time.
func ExamplePlay() {
	const engines = 6
	figures, err := experiment.Play(experiment.PolicyOracle, experiment.Options{
		Regions: 3,
		Relays:  3,
		Engines: engines,
		Load:    experiment.DefaultLoad(engines, 0.3),
		For:     5 * time.Second,
		Seed:    1,
	})
	fmt.Println(err, figures.Policy, figures.InTime == figures.Requests)
	// Output: <nil> oracle true
}
