package daydraw

import (
	"bytes"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const sampleSite = `
name = "sample"
length_s = 34.0
zones = [{ name = "a", region = "r" }, { name = "b", region = "s" }]
machines = [
  { class = "front", zone = "a", count = 2 },
  { class = "core", zone = "a", count = 2, disk = { mb = 128, sync_ms = 5.0 } },
  { class = "core", zone = "b", count = 1, disk = { mb = 128, sync_ms = 5.0 } },
]
services = [{ name = "s" }]
classes = [{ name = "c" }]
[tolerate]
machines = 1
[net]
cross_region_ms = 50.0
`

func sample(t *testing.T) *Site {
	t.Helper()
	site, err := ReadSite([]byte(sampleSite))
	assert.NilError(t, err)
	return site
}

func TestEqualSeedsGiveEqualDays(t *testing.T) {
	site := sample(t)
	first, err := Draw(site, 7).Text()
	assert.NilError(t, err)
	again, err := Draw(site, 7).Text()
	assert.NilError(t, err)
	other, err := Draw(site, 8).Text()
	assert.NilError(t, err)
	assert.Assert(t, bytes.Equal(first, again))
	assert.Assert(t, !bytes.Equal(first, other))
}

// Over many days every kind with every variant is drawn, within the day and its bounds.
func TestEveryKindIsDrawn(t *testing.T) {
	site := sample(t)
	seen := make(map[string]bool)
	for seed := range uint64(4000) {
		day := Draw(site, seed)
		entries := slices.Concat(day.Plan, day.Faults)
		for _, entry := range entries {
			seen[entry.Kind+"/"+entry.On+"/"+entry.How] = true
			assert.Assert(t, entry.At >= firstPlanAt && entry.At <= site.LengthS-quietAtEnd, "at %v", entry.At)
		}
		assert.Assert(t, slices.IsSortedFunc(day.Faults, func(a, b Trouble) int { return int(100*a.At) - int(100*b.At) }))
	}
	for _, of := range slices.Concat(fitting(faultKinds(), site), planKinds()) {
		hows := of.hows
		if len(hows) == 0 {
			hows = []string{""}
		}
		for _, how := range hows {
			name := of.name + "/" + of.on + "/" + strings.TrimSpace(how)
			assert.Assert(t, seen[name], name)
		}
	}
}

func TestVariedSitesKeepTheirKind(t *testing.T) {
	for seed := range uint64(50) {
		text, err := Vary([]byte(sampleSite), seed)
		assert.NilError(t, err)
		site, err := ReadSite(text)
		assert.NilError(t, err)
		core := 0
		for _, group := range site.Machines {
			if group.Class == "core" {
				core += group.Count
			}
		}
		assert.Assert(t, core >= 3 && core <= 9, "%d", core)
	}
}

func TestSiteFilesThatCannotBeDrawnForAreRefused(t *testing.T) {
	for _, text := range []string{"", "length_s = [", `length_s = 34.0`, `length_s = 3.0
zones = [{ name = "a" }]
services = [{ name = "s" }]
classes = [{ name = "c" }]`} {
		_, err := ReadSite([]byte(text))
		var wrong *SiteError
		assert.Assert(t, err != nil)
		assert.ErrorType(t, err, wrong)
	}
}
