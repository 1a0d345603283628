package distribution_test

import (
	"fmt"
	"time"

	"wallflow/internal/distribution"
	"wallflow/internal/registry"
)

// A relay subscribes to a control process and learns immediately that an instance is draining.
func Example() {
	now := time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)
	control := distribution.NewPublisher("life-1", now)
	control.SetFresh(true)
	document := distribution.ConfigState{Revision: 1, Generation: 5, Document: []byte(`{"generation":5}`)}
	control.SetConfig(now, distribution.Update{ConfigState: document})

	relay := distribution.NewSubscriber(distribution.SubscriberOptions{Self: "10.1.0.10:7720"}, now)
	asked := relay.SetSources(now, []string{"10.0.0.4:7720"})
	answered := control.Receive(now, "10.1.0.10:7720", asked.Sends[0].Message)
	relay.Receive(now, asked.Sends[0].To, answered.Sends[0].Message)
	fmt.Println(relay.Config().Revision, relay.Fresh(now))

	leaving := registry.Instance{
		ID: "i-1", Backend: "quiz", Address: "10.128.0.9:80",
		State: registry.StateDraining, Reported: registry.StateDraining, Seq: 2, ChangedSeq: 2,
	}
	pushed := control.SetInstances(now, []registry.Instance{leaving})
	output := relay.Receive(now, "10.0.0.4:7720", pushed.Sends[0].Message)
	fmt.Println(output.InstancesChanged[0].ID, output.InstancesChanged[0].State)
	// Output:
	// 1 true
	// i-1 draining
}
