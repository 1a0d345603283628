package openings_test

import (
	"fmt"
	"time"

	"wallflow/internal/openings"
)

// Two relays of one zone report to its home, and each then knows the demand of both.
func ExampleNode() {
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	members := []openings.Member{
		{Name: "edge-1", Address: "10.0.0.1:7000", Zone: "hall-a", Region: "tema"},
		{Name: "edge-2", Address: "10.0.0.2:7000", Zone: "hall-a", Region: "tema"},
	}
	nodes := map[string]*openings.Node{}
	sketches := map[string]*openings.Sketch{}
	for _, member := range members {
		node := openings.New(openings.Options{Self: member, Life: 1}, now)
		node.SetMembers(members)
		nodes[member.Address] = node
		sketches[member.Address] = openings.NewSketch(now, 0, 0)
	}
	for range 600 { // a minute
		now = now.Add(100 * time.Millisecond)
		for _, member := range members {
			sketch, node := sketches[member.Address], nodes[member.Address]
			sketch.Count(now, openings.Key{Part: 0x5c1e07a2}, 800)
			if !node.Due(now) {
				continue
			}
			output := node.Tick(now, sketch.Demand(now, node.ReportSize()))
			for _, send := range output.Sends {
				nodes[send.To].Receive(now, member.Address, send.Message)
			}
		}
	}
	for _, member := range members {
		snapshot := nodes[member.Address].Picture().Snapshot(now)
		entry := snapshot.Entries[0]
		fmt.Printf("%s: opening %x of %d tokens, %.0f a second\n", member.Name, entry.Key.Part, entry.Tokens, entry.Rate)
	}
	// Output:
	// edge-1: opening 5c1e07a2 of 800 tokens, 20 a second
	// edge-2: opening 5c1e07a2 of 800 tokens, 20 a second
}
