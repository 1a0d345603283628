package dataplane

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/openings"
	"wallflow/internal/selector"
	"wallflow/internal/settings"
	"wallflow/internal/swim"
)

func TestOpeningsBoundElsewhereAreNotCounted(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	part := newOpeningsPart(&settings.Settings{Node: "edge-1", Zone: "hall-a", Region: "tema"}, now)
	part.Count(now, selector.PromptPart{ID: 1, Tokens: 900}, nil)
	part.Count(now, selector.PromptPart{ID: 2, Tokens: 900}, []string{"kumasi"})
	part.Count(now, selector.PromptPart{ID: 3, Tokens: 900}, []string{"tema", "kumasi"})
	var counted []openings.Key
	for _, entry := range part.sketch.Demand(now, 10).Entries {
		counted = append(counted, entry.Key)
	}
	assert.DeepEqual(t, counted, []openings.Key{{Part: 1}, {Part: 3, Homes: "kumasi,tema"}})
	_, _, ok := part.Home(1)
	assert.Assert(t, !ok)
}

func TestNoPictureIsNoInterface(t *testing.T) {
	var none *openingsPart
	assert.Assert(t, none.forSelector() == nil)
}

func TestOnlyRelaysShareThePicture(t *testing.T) {
	members := []swim.Member{
		{Name: "core-1", Address: "10.0.0.1:1", Meta: swim.Meta{Control: "10.0.0.1:2"}},
		{Name: "edge-1", Address: "10.0.0.2:1", Meta: swim.Meta{Front: "10.0.0.2:2", Zone: "hall-a", Region: "tema"}},
	}
	want := []openings.Member{{Name: "edge-1", Address: "10.0.0.2:1", Zone: "hall-a", Region: "tema"}}
	assert.DeepEqual(t, relayMembers(members), want)
}
