package selector_test

import (
	"fmt"
	"time"

	"wallflow/internal/config"
	"wallflow/internal/registry"
	"wallflow/internal/selector"
)

// A request is sent to the endpoint of this relay's region. When no connection can be made, it is sent to the next
// region's.
func Example() {
	now := time.Unix(1_000_000, 0)
	zones := map[string]string{"sve-hall-a": "svealand", "got-hall-b": "gotaland"}
	s := selector.New(selector.Options{Zone: "sve-hall-a", Region: "svealand", Zones: zones})
	document := &config.Document{
		Backends: []config.Backend{{Name: "tavla", MaxConns: 110}},
		Routes:   []config.Route{{Name: "push", Kind: config.KindUnsafe, TimeoutMs: 5000, TargetMs: 500, Backend: "tavla", Retries: 1}},
	}
	s.SetConfig(now, config.Compile(document))
	s.SetInstances(now, []registry.Instance{
		{ID: "i-1", Backend: "tavla", Zone: "sve-hall-a", Slots: 6, State: registry.StateReady},
		{ID: "i-2", Backend: "tavla", Zone: "got-hall-b", Slots: 6, State: registry.StateReady},
	})

	request := &selector.Request{Route: &document.Routes[0], ID: "9c41d07be2a35f68", Arrived: now, Deadline: now.Add(5 * time.Second)}
	first := s.Choose(now, request)
	fmt.Println(first.Kind, first.Instance.ID)
	s.Done(now, first.Attempt, selector.Outcome{Kind: selector.ConnectFailed})
	second := s.Choose(now, request)
	fmt.Println(second.Kind, second.Instance.ID)
	s.Done(now, second.Attempt, selector.Outcome{Kind: selector.Reset, MayHaveRun: true})
	fmt.Println(s.Choose(now, request).Kind) // it may have run and must not run twice
	// Output:
	// send i-1
	// send i-2
	// fail
}

// ParsePrompt returns the parts of a prompt, in order, and the sizes of the prompt and its answer.
func ExampleParsePrompt() {
	parts, in, out := selector.ParsePrompt("5c1e07a2:800,91bd3f06:410,e4402b7d:250", "1460,80")
	fmt.Println(len(parts), parts[0].Tokens, in, out)
	// Output: 3 800 1460 80
}
