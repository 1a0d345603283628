package config_test

import (
	"fmt"

	"wallflow/internal/config"
)

func ExampleParse() {
	_, err := config.Parse([]byte(`{"generation":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"lazy","timeoutMs":10}],"backends":[]}`))
	fmt.Println(err)
	// Output: /routes/0/kind: "lazy": value must be one of 'safe', 'unsafe', 'streaming'
}

func ExampleDocument_Validate() {
	document, err := config.Parse([]byte(`{"generation":1,"routes":[{"name":"r","host":"h","pathPrefix":"/","kind":"safe","timeoutMs":10,"backend":"nobody"}],"backends":[]}`))
	fmt.Println(err)
	fmt.Println(document.Validate())
	// Output:
	// <nil>
	// /routes/0/backend: "nobody": no such service
}

func ExampleCompiled_Route() {
	document := &config.Document{Routes: []config.Route{
		{Name: "all", Host: "quiz.example", PathPrefix: "/"},
		{Name: "rounds", Host: "quiz.example", PathPrefix: "/rounds/"},
	}}
	compiled := config.Compile(document)
	for _, path := range []string{"/rounds/7", "/roundsman"} {
		route, _ := compiled.Route("Quiz.example:8161", path)
		fmt.Println(path, route.Name)
	}
	// Output:
	// /rounds/7 rounds
	// /roundsman all
}

func ExampleApplyPatch() {
	current := `{"generation":5,"routes":[{"name":"a"},{"name":"b","later":"kept"}],"backends":[]}`
	change := `{"generation":6,"upsert":{"backends":[{"name":"s"}]},"delete":{"routes":["a"]}}`
	next, err := config.ApplyPatch([]byte(current), []byte(change))
	fmt.Println(string(next), err)
	// Output: {"generation":6,"routes":[{"name":"b","later":"kept"}],"backends":[{"name":"s"}]} <nil>
}

func ExampleState_ApplyOrder() {
	body := []byte(`{"generation":3,"routes":[],"backends":[]}`)
	first := config.Order{Kind: config.Put, HasMatch: true, Match: 0, Body: body}
	state, verdict := config.EmptyState().ApplyOrder(first)
	fmt.Println(verdict.Status, verdict.Message)
	state, verdict = state.ApplyOrder(first) // repeated, as the acknowledgement was lost
	fmt.Println(verdict.Status, verdict.Message)
	other := config.Order{Kind: config.Put, HasMatch: true, Match: 0, Body: []byte(`{"generation":4,"routes":[],"backends":[]}`)}
	state, verdict = state.ApplyOrder(other)
	fmt.Println(verdict.Status, verdict.Message)
	fmt.Println(state.Generation())
	// Output:
	// 200 version 3
	// 200 taken before
	// 412 version 3 is current
	// 3
}
