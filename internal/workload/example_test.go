package workload_test

import (
	"fmt"
	"time"

	"wallflow/internal/workload"
)

func ExampleNode() {
	now := time.Unix(0, 0)
	one := workload.Member{Address: "10.0.0.1:7720", Zone: "a"}
	two := workload.Member{Address: "10.0.0.2:7720", Zone: "a"}
	nodes := map[string]*workload.Node{
		one.Address: workload.New(workload.Options{Self: one, Life: 1}),
		two.Address: workload.New(workload.Options{Self: two, Life: 2}),
	}
	for _, node := range nodes {
		node.SetMembers([]workload.Member{one, two})
	}
	busy := workload.Report{Loads: workload.Loads{7: {Requests: 3, PrefillTokens: 12_000}}}
	for _, send := range nodes[one.Address].Tick(now, busy) {
		nodes[send.To].Receive(now, one.Address, send.Message)
	}
	for _, send := range nodes[two.Address].Tick(now, workload.Report{}) {
		nodes[send.To].Receive(now, two.Address, send.Message)
	}
	loads, _, known := nodes[two.Address].Others(now)
	fmt.Println(known, loads[7].Requests, loads[7].PrefillTokens)
	// Output: true 3 12000
}
