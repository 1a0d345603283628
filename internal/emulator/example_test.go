package emulator_test

import (
	"fmt"
	"time"

	"wallflow/internal/emulator"
)

func ExampleEngine() {
	engine := emulator.NewEngine(emulator.DefaultEngine())
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	engine.Submit(now, emulator.Job{
		ID:     1,
		Parts:  []emulator.Part{{ID: "5c1e07a2", Tokens: 758}},
		Output: 10,
	})
	for {
		next, ok := engine.Next()
		if !ok {
			break
		}
		for _, event := range engine.Advance(next) {
			fmt.Println(event.At.Sub(now).Round(time.Millisecond), "event", event.Number, "last", event.Last)
		}
	}
	// Output:
	// 49ms event 1 last false
	// 73ms event 2 last true
}
