package daydraw

import (
	"math/rand/v2"

	"github.com/pelletier/go-toml/v2"
)

// Vary returns the text of a site file for another deployment of the same kind: 3 to 9 core machines, other speeds of disk and network.
// What is to be borne at once stays, since it hangs on the number of zones. Equal seeds give equal sites.
func Vary(text []byte, seed uint64) ([]byte, error) {
	site := make(map[string]any)
	if err := toml.Unmarshal(text, &site); err != nil {
		return nil, &SiteError{Reason: err.Error()}
	}
	random := rand.New(rand.NewPCG(seed, 1))
	varyCore(site, random)
	scaleIn(site, random, "net", "cross_region_ms", 0.3, 2)
	scaleIn(site, random, "net", "cross_zone_ms", 0.5, 2)
	return toml.Marshal(site)
}

// varyCore spreads another number of core machines over the zones that have any.
func varyCore(site map[string]any, random *rand.Rand) {
	const least, most = 3, 9
	wanted := least + random.IntN(most-least+1)
	var groups []map[string]any
	machines, _ := site["machines"].([]any)
	for _, each := range machines {
		if group, ok := each.(map[string]any); ok && group["class"] == "core" {
			groups = append(groups, group)
		}
	}
	if len(groups) == 0 {
		return
	}
	syncs := []float64{0.5, 2, 5, 12}
	syncMs := syncs[random.IntN(len(syncs))]
	for index, group := range groups {
		count := wanted / len(groups)
		if index < wanted%len(groups) {
			count++
		}
		group["count"] = int64(max(1, count))
		if disk, ok := group["disk"].(map[string]any); ok {
			disk["sync_ms"] = syncMs
		}
	}
}

func scaleIn(site map[string]any, random *rand.Rand, table, key string, from, to float64) {
	inside, _ := site[table].(map[string]any)
	if value, ok := inside[key].(float64); ok {
		inside[key] = rounded(value * (from + random.Float64()*(to-from)))
	}
}
