package dataplane

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testStart = time.Unix(1_000_000, 0)

func TestNewRelayOwnsNoColdEndpoint(t *testing.T) {
	var o ownership
	assert.Assert(t, !o.update(testStart, false))
	assert.Assert(t, !o.update(testStart.Add(time.Second), true))
	assert.Assert(t, !o.update(testStart.Add(2*time.Second), true))
	assert.Assert(t, o.update(testStart.Add(2500*time.Millisecond), true))
}

func TestIsolatedRelayOwnsNoColdEndpoint(t *testing.T) {
	o := ownership{freshSince: testStart}
	now := testStart.Add(time.Minute)
	assert.Assert(t, o.update(now, true))
	assert.Assert(t, !o.update(now.Add(time.Second), false))
	assert.Assert(t, !o.update(now.Add(2*time.Second), true), "the delay starts again")
	assert.Assert(t, o.update(now.Add(4*time.Second), true))
}

func TestRelaysWithEqualViewsAgreeOnTheOwner(t *testing.T) {
	view := peerView{
		mayOwn: true,
		byZone: map[string][]string{"a": {"edge-1", "edge-2", "edge-3"}, "b": {"edge-4"}},
		names:  []string{"edge-1", "edge-2", "edge-3", "edge-4"},
	}
	owners := map[string]int{}
	for number := range 300 {
		owners[view.owner("a", fmt.Sprintf("i-%d", number))]++
	}
	assert.Equal(t, len(owners), 3)
	for relay, count := range owners {
		assert.Assert(t, count > 60, "%s owns %d", relay, count)
	}
	assert.Equal(t, view.owner("b", "i-1"), "edge-4")
	assert.Assert(t, view.owner("c", "i-1") != "", "a zone without relays has an owner elsewhere")
	view.mayOwn = false
	assert.Equal(t, view.owner("b", "i-1"), "")
}
