package daydraw

import (
	"math"
	"math/rand/v2"
	"slices"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Trouble is an entry of a day: a fault or a piece of planned work. At and the like are seconds.
type Trouble struct {
	At      float64  `toml:"at"`
	Kind    string   `toml:"kind"`
	On      string   `toml:"on,omitempty"`
	How     string   `toml:"how,omitempty"`
	Zone    string   `toml:"zone,omitempty"`
	ToZone  string   `toml:"to_zone,omitempty"`
	Service string   `toml:"service,omitempty"`
	Class   string   `toml:"class,omitempty"`
	Count   int      `toml:"count,omitempty"`
	Share   *float64 `toml:"share,omitempty"`
	X       *float64 `toml:"x,omitempty"`
	GapS    *float64 `toml:"gap_s,omitempty"`
	ForS    *float64 `toml:"for_s,omitempty"`
}

// Closing is the fault at the end of a day.
type Closing struct {
	Kind  string  `toml:"kind"`
	DownS float64 `toml:"down_s"`
	How   string  `toml:"how,omitempty"`
}

// Day is a day of a deployment.
type Day struct {
	Name    string             `toml:"name"`
	Slot    string             `toml:"slot"`
	Seed    uint64             `toml:"seed"`
	One     float64            `toml:"one"`
	Zero    float64            `toml:"zero"`
	Goal    map[string]float64 `toml:"goal"`
	Labels  []string           `toml:"labels"`
	Closing *Closing           `toml:"closing,omitempty"`
	Plan    []Trouble          `toml:"plan"`
	Faults  []Trouble          `toml:"faults"`
}

// Text is the day as a file.
func (d *Day) Text() ([]byte, error) { return toml.Marshal(d) }

// The bounds of what a day holds.
const (
	leastFaults, mostFaults = 3, 9
	leastPlans, mostPlans   = 2, 6
	firstFaultAt            = 3.0 // seconds
	firstPlanAt             = 1.0
	quietAtEnd              = 4.0 // no trouble begins in the last seconds
	bunchWidth              = 4.0 // troubles of a bunch begin within so many seconds
)

// drawer draws one day.
type drawer struct {
	*rand.Rand
	site *Site
}

// Draw draws the day of a seed for a site.
func Draw(site *Site, seed uint64) *Day {
	d := drawer{Rand: rand.New(rand.NewPCG(seed, uint64(len(site.Zones)))), site: site}
	day := &Day{
		Name:   "own-" + site.Name,
		Slot:   "trouble",
		Seed:   seed,
		One:    0.9,
		Zero:   0.4,
		Goal:   map[string]float64{"floor": 0.01},
		Labels: []string{},
	}
	day.Plan = d.troubles(planKinds(), leastPlans+d.IntN(mostPlans-leastPlans+1), firstPlanAt)
	day.Faults = d.troubles(fitting(faultKinds(), site), leastFaults+d.IntN(mostFaults-leastFaults+1), firstFaultAt)
	const withoutClosing = 5 // one day in so many ends without a fault
	if d.IntN(withoutClosing) > 0 {
		day.Closing = d.closing()
	}
	return day
}

// troubles draws entries over a day. Half of the days have them in a bunch, where they overlap, and some repeat one kind.
func (d drawer) troubles(kinds []kind, count int, first float64) []Trouble {
	last := d.site.LengthS - quietAtEnd
	bunch := first + d.Float64()*(last-bunchWidth-first)
	bunched := d.IntN(2) == 0
	var drawn []Trouble
	for range count {
		at := first + d.Float64()*(last-first)
		if bunched {
			at = bunch + d.Float64()*bunchWidth
		}
		drawn = append(drawn, d.trouble(d.pick(kinds), at))
	}
	const repeats = 3 // on one day in so many the first entry comes again
	if d.IntN(repeats) == 0 {
		again := drawn[0]
		again.At = rounded(min(last, again.At+2+d.Float64()*6))
		drawn = append(drawn, again)
	}
	slices.SortStableFunc(drawn, func(a, b Trouble) int {
		switch {
		case a.At < b.At:
			return -1
		case a.At > b.At:
			return 1
		}
		return 0
	})
	return drawn
}

// pick draws a kind by weight.
func (d drawer) pick(kinds []kind) kind {
	total := 0
	for _, each := range kinds {
		total += each.weight
	}
	at := d.IntN(total)
	for _, each := range kinds {
		if at -= each.weight; at < 0 {
			return each
		}
	}
	return kinds[len(kinds)-1]
}

func (d drawer) how(of kind) string {
	if len(of.hows) == 0 {
		return ""
	}
	return strings.TrimSpace(of.hows[d.IntN(len(of.hows))])
}

func (d drawer) trouble(of kind, at float64) Trouble {
	drawn := Trouble{At: rounded(at), Kind: of.name, On: of.on, How: d.how(of)}
	for _, each := range of.fields {
		value := rounded(each.from + d.Float64()*(each.to-each.from))
		switch each.name {
		case "for_s":
			drawn.ForS = &value
		case "share":
			drawn.Share = &value
		case "x":
			drawn.X = &value
		case "gap_s":
			drawn.GapS = &value
		case "count":
			drawn.Count = int(math.Round(value))
		}
	}
	d.placeAt(&drawn, of.place)
	return drawn
}

func (d drawer) placeAt(drawn *Trouble, at place) {
	switch at {
	case placeZone:
		drawn.Zone = d.site.Zones[d.IntN(len(d.site.Zones))].Name
	case placeService:
		drawn.Service = d.site.Services[d.IntN(len(d.site.Services))].Name
	case placeClass:
		drawn.Class = d.site.Classes[d.IntN(len(d.site.Classes))].Name
	case placeBetweenZones:
		first := d.IntN(len(d.site.Zones))
		second := (first + 1 + d.IntN(max(1, len(d.site.Zones)-1))) % len(d.site.Zones)
		drawn.Zone, drawn.ToZone = d.site.Zones[first].Name, d.site.Zones[second].Name
	}
}

func (d drawer) closing() *Closing {
	of := d.pick(closings())
	down := of.fields[0]
	return &Closing{Kind: of.name, DownS: rounded(down.from + d.Float64()*(down.to-down.from)), How: d.how(of)}
}

// rounded keeps two digits behind the point.
func rounded(value float64) float64 { return math.Round(value*100) / 100 }
