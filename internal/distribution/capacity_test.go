package distribution

import (
	"bytes"
	"compress/flate"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wallflow/internal/registry"
)

// targetInstances and targetRelays are the size that the system is to grow to.
const (
	targetInstances = 12000
	targetRelays    = 860
)

// fleetInstances lists as many endpoints as the target has, in 118 zones.
func fleetInstances() []registry.Instance {
	instances := make([]registry.Instance, 0, targetInstances)
	for index := range targetInstances {
		instances = append(instances, registry.Instance{
			ID:         fmt.Sprintf("i-%010x", registry.IDHash(fmt.Sprint(index))>>24),
			Backend:    fmt.Sprintf("huvo%02da", index%8),
			Address:    fmt.Sprintf("10.%d.%d.%d:8080", index%118, index/118, index%200),
			Zone:       fmt.Sprintf("zone-%03d-hall-a", index%118),
			Generation: "v1",
			Slots:      64,
			State:      registry.StateReady,
			Reported:   registry.StateReady,
			Seq:        100,
			Phase:      "dual",
			Models:     []string{"m"},
		})
	}
	return instances
}

// listingSizes returns the bytes of messages, plain and compressed.
func listingSizes(sends []Send) (plain, small int) {
	for _, send := range sends {
		encoded, _ := proto.Marshal(send.Message)
		var out bytes.Buffer
		writer, _ := flate.NewWriter(&out, flate.BestSpeed)
		_, _ = writer.Write(encoded)
		_ = writer.Close()
		plain += len(encoded)
		small += out.Len()
	}
	return plain, small
}

// BenchmarkListingAtTargetSize is what a relay that starts takes in: time, bytes and memory for all instances.
func BenchmarkListingAtTargetSize(b *testing.B) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	publisher := NewPublisher("life", now)
	publisher.SetFresh(true)
	publisher.SetComplete(true)
	publisher.SetInstances(now, fleetInstances())
	var before, after runtime.MemStats
	var subscriber *Subscriber
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		subscriber = NewSubscriber(SubscriberOptions{Self: "relay"}, now)
		asked := subscriber.SetSources(now, []string{"control"})
		answer := publisher.Receive(now, "relay", asked.Sends[0].Message)
		plain, small := listingSizes(answer.Sends)
		b.ReportMetric(float64(plain), "bytes")
		b.ReportMetric(float64(small), "bytes-compressed")
		for _, send := range answer.Sends {
			subscriber.Receive(now, "control", send.Message)
		}
		answer = Output{}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "bytes-held")
	}
	runtime.KeepAlive(subscriber)
}

// BenchmarkOneChangeToAllRelays is what one change of an endpoint costs a publisher that feeds every relay itself.
func BenchmarkOneChangeToAllRelays(b *testing.B) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	publisher := NewPublisher("life", now)
	instances := fleetInstances()
	publisher.SetInstances(now, instances)
	publisher.Tick(now.Add(time.Second)) // sends what was gathered, to nobody yet
	for relay := range targetRelays {
		publisher.subscribers[fmt.Sprint("relay-", relay)] = now
	}
	now = now.Add(time.Second)
	for index := 0; b.Loop(); index++ {
		now = now.Add(time.Second)
		changed := &instances[index%len(instances)]
		changed.Slots++
		output := publisher.SetInstances(now, []registry.Instance{*changed})
		if len(output.Sends) != targetRelays {
			b.Fatalf("%d sends", len(output.Sends))
		}
		b.ReportMetric(float64(proto.Size(output.Sends[0].Message)), "bytes-each")
	}
}
