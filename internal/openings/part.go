package openings

import (
	"cmp"
	"math"
	"time"
)

// Version orders what is said of one relay, zone or region. For a relay, Token is its life; for a zone or region it is the fencing
// token of the home that merged the part.
type Version struct {
	Token    uint64
	Owner    string // breaks a tie between two that took the same token
	Sequence uint64
}

// Newer tells whether a version replaces another one.
func (v Version) Newer(other Version) bool {
	return cmp.Or(
		cmp.Compare(v.Token, other.Token),
		cmp.Compare(v.Owner, other.Owner),
		cmp.Compare(v.Sequence, other.Sequence),
	) > 0
}

// Part is the demand of one relay, zone or region, as it was at a time.
type Part struct {
	Scope   string
	Version Version
	AsOf    time.Time
	Demand  Demand
	Covered []RegionStatus // of restScope: the regions in it
}

// restScope names the part that adds up all regions but the own one: what a relay is told where the regions are many.
const restScope = ""

// fading is how what was said loses weight when it is not renewed.
type fading struct {
	freshFor time.Duration // it counts in full for that long
	halfLife time.Duration // then it halves
	forget   time.Duration // and is dropped at that age
}

// weight is what a part of that age counts.
func (f fading) weight(age time.Duration) float64 {
	if age >= f.forget {
		return 0
	}
	if age <= f.freshFor {
		return 1
	}
	return math.Exp2(-float64(age-f.freshFor) / float64(f.halfLife))
}

// parts holds the newest part of each scope.
type parts struct {
	fading  fading
	byScope map[string]Part
	faults  *Faults
	mistake mistake
}

func newParts(fading fading, faults *Faults, mistake mistake) *parts {
	return &parts{fading: fading, byScope: make(map[string]Part), faults: faults, mistake: mistake}
}

// take keeps a part if it is newer than what is known of its scope.
func (p *parts) take(part Part) bool {
	known, found := p.byScope[part.Scope]
	newer := !found || part.Version.Newer(known.Version)
	kept := part
	switch {
	case newer:
	case p.mistake == mistakeOlderWins:
	case p.mistake == mistakeRepeatsCount:
		kept.Demand = sum([]Demand{known.Demand, part.Demand}, []float64{1, 1})
	default:
		return false
	}
	p.check(known, part, kept)
	p.byScope[part.Scope] = kept
	return true
}

// check notes when what is kept of a scope is older than before, or more than the scope has said.
func (p *parts) check(known, said, kept Part) {
	if known.Version.Newer(kept.Version) {
		p.faults.VersionsFell++
	}
	if kept.Demand.total() > said.Demand.total()+roundingError {
		p.faults.CountedTwice++
	}
}

const roundingError = 1e-6

func (d *Demand) total() float64 {
	total := 0.0
	for _, entry := range d.Entries {
		total += entry.Rate
	}
	return total
}

// drop forgets what is too old.
func (p *parts) drop(now time.Time) {
	for scope, part := range p.byScope {
		if p.weight(now, part) == 0 {
			delete(p.byScope, scope)
		}
	}
}

func (p *parts) weight(now time.Time, part Part) float64 {
	if p.mistake == mistakeLastWordStands {
		return 1
	}
	return p.fading.weight(now.Sub(part.AsOf))
}

// keepOnly drops all parts but that of one scope and the rest.
func (p *parts) keepOnly(scope string) {
	for other := range p.byScope {
		if other != scope && other != restScope {
			delete(p.byScope, other)
		}
	}
}

// merged adds up the parts but those of one scope, each faded by its age.
func (p *parts) merged(now time.Time, except string, most int) Demand {
	demands := make([]Demand, 0, len(p.byScope))
	weights := make([]float64, 0, len(p.byScope))
	for _, scope := range sortedKeys(p.byScope) {
		if scope == except {
			continue
		}
		part := p.byScope[scope]
		demands = append(demands, part.Demand)
		weights = append(weights, p.weight(now, part))
	}
	total := sum(demands, weights)
	total.cut(most)
	return total
}

// sum adds demands. The rate of an opening that a demand doesn't list may be up to its floor there.
func sum(demands []Demand, weights []float64) Demand {
	var total Demand
	at := make(map[Key]int)
	floors := 0.0
	for index, demand := range demands {
		floors += demand.Floor * weights[index]
	}
	for index, demand := range demands {
		weight := weights[index]
		for _, entry := range demand.Entries {
			where, known := at[entry.Key]
			if !known {
				where = len(total.Entries)
				at[entry.Key] = where
				total.Entries = append(total.Entries, Entry{Key: entry.Key, Error: floors})
			}
			sum := &total.Entries[where]
			sum.Tokens = max(sum.Tokens, entry.Tokens)
			sum.Rate += entry.Rate * weight
			sum.Recent += entry.Recent * weight
			sum.Error += (entry.Error - demand.Floor) * weight
		}
	}
	for index := range total.Entries {
		total.Entries[index].Error = max(0, total.Entries[index].Error)
	}
	total.Floor = floors
	return total
}
