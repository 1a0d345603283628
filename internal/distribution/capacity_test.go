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

// targetInstances and targetRelays are the size for which the system is designed.
const (
	targetInstances = 12000
	targetRelays    = 860
)

// fleetInstances returns targetInstances instances, in 118 zones.
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

// listingSizes returns the total size of messages in bytes, plain and compressed.
func listingSizes(sends []Send) (plain, compressed int) {
	for _, send := range sends {
		encoded, _ := proto.Marshal(send.Message)
		var buffer bytes.Buffer
		writer, _ := flate.NewWriter(&buffer, flate.BestSpeed)
		_, _ = writer.Write(encoded)
		_ = writer.Close()
		plain += len(encoded)
		compressed += buffer.Len()
	}
	return plain, compressed
}

// BenchmarkListingAtTargetSize measures the time, the bytes and the memory by which a starting relay learns of all instances.
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
		subscription := subscriber.SetSources(now, []string{"control"})
		answer := publisher.Receive(now, "relay", subscription.Sends[0].Message)
		plain, compressed := listingSizes(answer.Sends)
		b.ReportMetric(float64(plain), "bytes")
		b.ReportMetric(float64(compressed), "bytes-compressed")
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

// BenchmarkOneChangeToAllRelays measures the cost of one change of an endpoint for a publisher that has all relays as subscribers.
func BenchmarkOneChangeToAllRelays(b *testing.B) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	publisher := NewPublisher("life", now)
	instances := fleetInstances()
	publisher.SetInstances(now, instances)
	publisher.Tick(now.Add(time.Second)) // flushes the batch while there are no subscribers
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
