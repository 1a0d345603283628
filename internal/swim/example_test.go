package swim_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"wallflow/internal/swim"
)

// exchange delivers the messages between the nodes, and the answers to them, until none is left. Virtual time does not advance.
func exchange(now time.Time, nodes map[string]*swim.Node, from string, output swim.Output) {
	for _, send := range append(output.Datagrams, output.Messages...) {
		if receiver := nodes[send.To]; receiver != nil {
			exchange(now, nodes, send.To, receiver.Receive(now, from, send.Message))
		}
	}
}

func newExampleNode(name, address string, now time.Time) *swim.Node {
	return swim.New(swim.Options{
		Self:         swim.Member{Name: name, Address: address, Meta: swim.Meta{Zone: "hall-a", Region: "tema"}},
		Seeds:        []string{"10.0.0.1:7000"},
		ContactBound: 4 * time.Second,
		Random:       rand.New(rand.NewPCG(1, 2)),
	}, now)
}

// Two processes find each other through a seed.
func ExampleNode_Tick() {
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	nodes := map[string]*swim.Node{
		"10.0.0.1:7000": newExampleNode("core-1", "10.0.0.1:7000", now),
		"10.0.0.2:7000": newExampleNode("edge-1", "10.0.0.2:7000", now),
	}
	exchange(now, nodes, "10.0.0.2:7000", nodes["10.0.0.2:7000"].Tick(now))
	for _, member := range nodes["10.0.0.2:7000"].Members() {
		fmt.Println(member.Name, member.Status)
	}
	// Output:
	// core-1 alive
	// edge-1 alive
}

// A process that stops announces its departure.
func ExampleNode_Leave() {
	now := time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)
	nodes := map[string]*swim.Node{
		"10.0.0.1:7000": newExampleNode("core-1", "10.0.0.1:7000", now),
		"10.0.0.2:7000": newExampleNode("edge-1", "10.0.0.2:7000", now),
	}
	leaver := nodes["10.0.0.2:7000"]
	exchange(now, nodes, "10.0.0.2:7000", leaver.Tick(now))
	exchange(now, nodes, "10.0.0.2:7000", leaver.Leave(now.Add(time.Second)))
	member, _ := nodes["10.0.0.1:7000"].Find("edge-1")
	fmt.Println(member.Status, len(nodes["10.0.0.1:7000"].Members()))
	// Output: left 1
}
