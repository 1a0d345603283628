package daydraw

import (
	"math/rand/v2"

	"github.com/pelletier/go-toml/v2"
)

// Vary returns the text of a site file for another deployment of the same kind: 3 to 9 core machines, other speeds of disk and network,
// other engines (speed of reading and of steps, places, memory, some unlike), and requests of other worths, aims, sizes and shares.
// Two machines are to be borne at once where half of the core machines of each zone, rounded up, are enough. Equal seeds give equal sites.
func Vary(text []byte, seed uint64) ([]byte, error) {
	site := make(map[string]any)
	if err := toml.Unmarshal(text, &site); err != nil {
		return nil, &SiteError{Reason: err.Error()}
	}
	random := rand.New(rand.NewPCG(seed, 1))
	if varyCore(site, random) >= enoughForTwo && random.IntN(2) == 0 {
		setIn(site, "tolerate", "machines", int64(2))
	}
	scaleIn(site, random, "net", "cross_region_ms", 0.3, 2)
	scaleIn(site, random, "net", "cross_zone_ms", 0.5, 2)
	load := rand.New(rand.NewPCG(seed, 2)) // apart, so that earlier seeds keep their core, disks and network
	varyEngines(site, load)
	varyRequests(site, load)
	return toml.Marshal(site)
}

// enoughForTwo is how many control processes bear the loss of two.
const enoughForTwo = 5

// varyCore spreads another number of core machines over the zones that have any. It returns how many run a control process if half of
// each zone's do, rounded up.
func varyCore(site map[string]any, random *rand.Rand) int {
	const least, most = 3, 9
	wanted := least + random.IntN(most-least+1)
	var groups []map[string]any
	machines, _ := site["machines"].([]any)
	for _, each := range machines {
		if group, ok := each.(map[string]any); ok && group["class"] == "core" {
			groups = append(groups, group)
		}
	}
	processes := 0
	syncs := []float64{0.5, 2, 5, 12}
	syncMs := syncs[random.IntN(len(syncs))]
	for index, group := range groups {
		count := wanted / len(groups)
		if index < wanted%len(groups) {
			count++
		}
		count = max(1, count)
		processes += (count + 1) / 2
		group["count"] = int64(count)
		if disk, ok := group["disk"].(map[string]any); ok {
			disk["sync_ms"] = syncMs
		}
	}
	return processes
}

func setIn(site map[string]any, table, key string, value any) {
	if inside, ok := site[table].(map[string]any); ok {
		inside[key] = value
	}
}

func scaleIn(site map[string]any, random *rand.Rand, table, key string, from, to float64) {
	inside, _ := site[table].(map[string]any)
	if value, ok := inside[key].(float64); ok {
		inside[key] = rounded(value * (from + random.Float64()*(to-from)))
	}
}
