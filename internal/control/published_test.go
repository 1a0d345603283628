package control

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/config"
	"wallflow/internal/distribution"
	"wallflow/internal/distribution/feedpb"
)

const firstDocument = `{"generation":1,"routes":[{"name":"r","host":"h","pathPrefix":"/a/","kind":"safe","timeoutMs":10,"backend":"b"}],"backends":[{"name":"b"}]}`

// applyOrders applies orders to a state, which must accept them.
func applyOrders(t *testing.T, state *config.State, orders ...config.Order) *config.State {
	t.Helper()
	for _, order := range orders {
		next, verdict := state.ApplyOrder(order)
		assert.Assert(t, verdict.Accepted, verdict.Message)
		state = next
	}
	return state
}

func putOrder(match uint64, body string) config.Order {
	return config.Order{Kind: config.Put, HasMatch: true, Match: match, Body: []byte(body)}
}

func TestConfigChangeIsPublishedAsAPatch(t *testing.T) {
	first := applyOrders(t, config.EmptyState(), putOrder(0, firstDocument))
	moved := strings.Replace(strings.Replace(firstDocument, "/a/", "/moved/", 1), `"generation":1`, `"generation":2`, 1)
	second := applyOrders(t, first, putOrder(1, moved))
	known := published{state: first, revision: 4}
	steps := known.stepsTo(second, 6)
	assert.Equal(t, len(steps), 1)
	assert.Equal(t, steps[0].Base, uint64(4))
	assert.Equal(t, steps[0].Revision, uint64(6))
	assert.Equal(t, steps[0].Generation, uint64(2))
	after, err := config.ApplyPatch(first.Document(), steps[0].Patch)
	assert.NilError(t, err)
	assert.Equal(t, string(after), moved)
}

func TestFirstConfigurationIsPublishedWhole(t *testing.T) {
	first := applyOrders(t, config.EmptyState(), putOrder(0, firstDocument))
	assert.Equal(t, len(new(published).stepsTo(first, 1)), 0)
	empty := published{state: config.EmptyState(), revision: 1}
	assert.Equal(t, len(empty.stepsTo(first, 2)), 0)
}

func TestEvacuationIsPublishedWithoutTheDocument(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	first := applyOrders(t, config.EmptyState(), putOrder(0, firstDocument))
	feed := distribution.NewPublisher("life", now)
	feed.Receive(now, "relay", &feedpb.FeedMessage{Subscribe: &feedpb.Subscribe{}})
	var restored restorationTimes
	feed.SetConfig(now, restored.feedUpdate(now, first, 1))
	evacuated := applyOrders(t, first, config.Order{Kind: config.Evacuate, Zone: "z"})
	known := published{state: first, revision: 1}
	update := restored.feedUpdate(now, evacuated, 2)
	update.Steps = known.stepsTo(evacuated, 2)
	output := feed.SetConfig(now, update)
	assert.Equal(t, len(output.Sends), 1)
	sent := output.Sends[0].Message.GetUpdate().GetConfig()
	assert.Assert(t, !sent.GetWhole())
	assert.Equal(t, len(sent.GetDocument()), 0)
	assert.Equal(t, sent.GetEvacuated()[0].GetZone(), "z")
}
