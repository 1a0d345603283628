package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/chain"
	"wallflow/internal/operator"
	"wallflow/internal/registry"
	"wallflow/internal/swim"
)

func TestStatusCountsEndpointsByServiceAndState(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	services := countServices(now, []registry.Instance{
		{ID: "1", Backend: "b", State: registry.StateReady},
		{ID: "2", Backend: "b", State: registry.StateReady, ColdUntil: now.Add(time.Second)},
		{ID: "3", Backend: "b", State: registry.StateDraining, ColdUntil: now.Add(time.Second)},
		{ID: "4", Backend: "a", State: registry.StateSilent},
		{ID: "5", Backend: "a", State: registry.StateGone},
	})
	assert.DeepEqual(t, services, []operator.Service{
		{Name: "a", Silent: 1, Gone: 1},
		{Name: "b", Ready: 2, Cold: 1, Draining: 1},
	})
}

func TestStatusListsTheChainInOrder(t *testing.T) {
	view := describeView(chain.View{
		Epoch:  3,
		Voters: []chain.Member{{Identity: "i1", Name: "one"}, {Identity: "i2", Name: "two"}},
		Chain:  []chain.Identity{"i2", "i1", "i9"},
	})
	assert.DeepEqual(t, view, operator.View{Epoch: 3, Voters: []string{"one", "two"}, Chain: []string{"two", "one", "i9"}})
}

func TestStatusListsMembersByName(t *testing.T) {
	members := describeMembers([]swim.Member{
		{Name: "relay", Address: "127.0.0.2:1", Status: swim.Suspect,
			Meta: swim.Meta{Role: "proxy", Zone: "z", Region: "r", Front: "127.0.0.2:2", Serving: true}},
		{Name: "core", Address: "127.0.0.1:1", Meta: swim.Meta{Control: "127.0.0.1:3"}},
	})
	assert.DeepEqual(t, members, []operator.Member{
		{Name: "core", Address: "127.0.0.1:1", Status: "alive", APIAddress: "127.0.0.1:3"},
		{Name: "relay", Role: "proxy", Zone: "z", Region: "r", Address: "127.0.0.2:1", Status: "suspect", Serving: true, ClientAddress: "127.0.0.2:2"},
	})
}
