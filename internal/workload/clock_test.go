package workload

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/testkit"
)

// A step of the wall clock has no effect: received loads stay current, and updates continue without delay.
func TestLoadsSurviveWallClockSteps(t *testing.T) {
	for _, step := range []time.Duration{-10 * time.Second, 10 * time.Second} {
		members := []Member{{Address: "a", Zone: "z"}, {Address: "b", Zone: "z"}}
		nodes := map[string]*Node{}
		for index, member := range members {
			nodes[member.Address] = New(Options{Self: member, Life: uint64(index) + 1, LinkBytesPerSecond: 1.25e6})
			nodes[member.Address].SetMembers(members)
		}
		relay, hub := nodes["a"], nodes["b"]
		if relay.isHub() {
			relay, hub = hub, relay
		}
		start := time.Now()
		at := func(after time.Duration) time.Time { return start.Add(after) }
		exchange := func(now time.Time, requests int) {
			for _, send := range hub.Tick(now, Report{Loads: Loads{7: {Requests: requests, PrefillTokens: 5000 * requests}}}) {
				relay.Receive(now, hub.self.Address, send.Message)
			}
		}
		exchange(at(0), 1)
		steppedAt := func(after time.Duration) time.Time { return testkit.StepTimeOfDay(t, at(after), step) }
		loads, _, known := relay.Others(steppedAt(time.Second))
		assert.Assert(t, known, "%v", step)
		assert.Equal(t, loads[7].Requests, 1)
		exchange(steppedAt(time.Second), 3)
		loads, _, known = relay.Others(steppedAt(time.Second))
		assert.Assert(t, known)
		assert.Equal(t, loads[7].Requests, 3)
		_, _, known = relay.Others(steppedAt(time.Second + senderExpiry))
		assert.Assert(t, !known)
	}
}
