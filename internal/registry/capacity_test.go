package registry

import (
	"fmt"
	"testing"
	"time"

	"wallflow/internal/distribution/feedpb"
)

// Size of the largest supported system: endpoints, control processes, and the time between heartbeats.
const (
	targetInstances = 12000
	targetControls  = 28
	targetHeartbeat = 1200 * time.Millisecond
)

func targetTable(now time.Time) (*Table, []Heartbeat) {
	table := NewTable(Options{HeartbeatInterval: targetHeartbeat, Self: "c0", Zone: "z"}, now)
	heartbeats := make([]Heartbeat, 0, targetInstances)
	for index := range targetInstances {
		heartbeat := Heartbeat{
			ID:      fmt.Sprintf("i-%010x", IDHash(fmt.Sprint(index))>>24),
			Backend: "b",
			Address: fmt.Sprintf("10.%d.%d.1:8080", index/256, index%256),
			Zone:    "z",
			State:   StateReady,
			Slots:   64,
			Seq:     1,
		}
		table.Heartbeat(now, heartbeat)
		heartbeats = append(heartbeats, heartbeat)
	}
	return table, heartbeats
}

// BenchmarkOneSecondOfDigestsAtTargetSize measures the work of one control process for the digests that all others
// send in one second.
func BenchmarkOneSecondOfDigestsAtTargetSize(b *testing.B) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table, heartbeats := targetTable(now)
	perDigest := int(float64(targetInstances) / targetHeartbeat.Seconds() / targetControls / 2)
	next := 0
	for seq := uint64(2); b.Loop(); seq++ {
		now = now.Add(time.Second)
		for digest := range 2 * (targetControls - 1) {
			message := &feedpb.RegistryMessage{Source: fmt.Sprint("c", 1+digest/2), Digest: &feedpb.RegistryDigest{TableHash: table.hash()}}
			for range perDigest {
				next = (next + 1) % len(heartbeats)
				message.Digest.Fingerprints = append(message.Digest.Fingerprints, fingerprintOf(heartbeats[next].ID))
				message.Digest.Seqs = append(message.Digest.Seqs, seq)
				message.Digest.AgesMs = append(message.Digest.AgesMs, 250)
			}
			table.Merge(now, message)
		}
	}
}

// BenchmarkScanAtTargetSize measures one scan for silent instances. A process performs four of them in a second.
func BenchmarkScanAtTargetSize(b *testing.B) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	table, _ := targetTable(now)
	for b.Loop() {
		table.scan(now, nil)
	}
}
