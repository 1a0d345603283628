package openings

import (
	"math"
	"slices"
	"strings"
)

// Homes is the set of regions that an opening is bound to, in order and joined by commas. Empty: any region may keep it.
type Homes string

// HomesOf makes the set of a list of regions.
func HomesOf(regions []string) Homes {
	switch len(regions) {
	case 0:
		return ""
	case 1:
		return Homes(regions[0])
	}
	ordered := slices.Clone(regions)
	slices.Sort(ordered)
	return Homes(strings.Join(slices.Compact(ordered), ","))
}

// Allows tells whether a region may keep the opening and know it by name.
func (h Homes) Allows(region string) bool {
	if h == "" {
		return true
	}
	rest := string(h)
	for {
		home, more, found := strings.Cut(rest, ",")
		if home == region {
			return true
		}
		if !found {
			return false
		}
		rest = more
	}
}

// Key names an opening. The same text under other homes is another opening.
type Key struct {
	Part  uint64 // the hash that clients send
	Homes Homes
}

// Entry is the demand for one opening.
type Entry struct {
	Key    Key
	Tokens int
	Rate   float64 // requests a second
	Recent float64 // the same of the last few seconds alone
	Error  float64 // the true rate is within Rate-Error and Rate+Error, as far as counting goes
}

// Estimate is the rate now: the steady one, unless the recent one differs by more than chance would have it.
func (e *Entry) Estimate() float64 {
	const deviations = 3
	likely := deviations * math.Sqrt(recentVariance*max(e.Rate, e.Recent))
	if math.Abs(e.Recent-e.Rate) > likely {
		return e.Recent
	}
	return e.Rate
}

// Demand is the openings most in demand somewhere, the largest first.
type Demand struct {
	Entries []Entry
	// Floor is the most that the rate of an opening which is not listed may be.
	Floor float64
}
