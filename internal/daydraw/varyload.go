package daydraw

import (
	"math"
	"math/rand/v2"
)

// spread is a range of factors, drawn so that half and twice are alike.
type spread struct{ from, to float64 }

func (s spread) draw(random *rand.Rand) float64 {
	return s.from * math.Pow(s.to/s.from, random.Float64())
}

// The ranges in which engines and requests are varied, as factors of what the site file says.
var (
	engineSpeed  = spread{0.5, 2}
	engineMemory = spread{0.5, 1.5}
	requestWorth = spread{0.5, 2}
	requestAim   = spread{0.75, 1.5}
	promptSize   = spread{0.5, 1.5}
	requestShare = spread{0.6, 1.6}
)

// engineSlots are the requests that an engine runs at once, as factors.
var engineSlots = []float64{0.5, 1, 2}

// varyEngines gives the engines of each service another speed of reading and of steps, other places and memory, and on some sites
// endpoints of unlike speed.
func varyEngines(site map[string]any, random *rand.Rand) {
	for _, service := range tablesIn(site, "services") {
		engine, modelled := service["llm"].(map[string]any)
		if !modelled {
			continue
		}
		steps, reading := engineSpeed.draw(random), engineSpeed.draw(random)
		scale(engine, "step_ms", steps)
		scale(engine, "step_ms_per_slot", steps)
		scale(engine, "prefill_tokens_per_ms", reading)
		scale(engine, "pairs_ms_per_m", 1/reading)
		scale(engine, "kv_tokens", engineMemory.draw(random))
		slots := engineSlots[random.IntN(len(engineSlots))]
		scale(engine, "batch", slots)
		scale(service, "slots", slots)
		scale(service, "queue", slots)
		const unlikeIn = 3 // one site in so many has endpoints of unlike speed
		if random.IntN(unlikeIn) == 0 {
			service["speeds"] = []any{1.0, rounded(engineSpeed.draw(random)), rounded(engineSpeed.draw(random))}
		}
	}
}

// varyRequests gives each kind of request another worth, aim and size of its shared and its own parts, and another share of the traffic.
func varyRequests(site map[string]any, random *rand.Rand) {
	shares := make(map[string]float64)
	for _, class := range tablesIn(site, "classes") {
		worth := requestWorth.draw(random)
		scale(class, "worth", worth)
		scale(class, "late_worth", worth)
		scale(class, "aim_ms", requestAim.draw(random))
		if name, ok := class["name"].(string); ok {
			shares[name] = requestShare.draw(random)
		}
		stream, streams := class["stream"].(map[string]any)
		if !streams {
			continue
		}
		size := promptSize.draw(random)
		for _, part := range tablesIn(stream, "chain") {
			scaleSizes(part, "tokens", size)
		}
		scaleSizes(stream, "prompt_tokens", promptSize.draw(random))
	}
	for _, day := range tablesIn(site, "day") {
		for _, source := range tablesIn(day, "traffic") {
			mix, _ := source["mix"].(map[string]any)
			for name, factor := range shares {
				scale(mix, name, factor)
			}
		}
	}
}

func scaleSizes(table map[string]any, key string, factor float64) {
	sizes, _ := table[key].(map[string]any)
	scale(sizes, "mean", factor)
	scale(sizes, "max", factor)
}

// scale multiplies a figure, and keeps whole what is whole, at least 1.
func scale(table map[string]any, key string, factor float64) {
	switch value := table[key].(type) {
	case float64:
		table[key] = math.Round(value*factor*1e4) / 1e4
	case int64:
		table[key] = max(1, int64(math.Round(float64(value)*factor)))
	}
}

// tablesIn are the tables of a list.
func tablesIn(table map[string]any, key string) []map[string]any {
	var found []map[string]any
	list, _ := table[key].([]any)
	for _, each := range list {
		if inside, ok := each.(map[string]any); ok {
			found = append(found, inside)
		}
	}
	return found
}
