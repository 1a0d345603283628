package openings

import (
	"cmp"
	"slices"
	"time"
)

// RegionDemand is what one region asks of an opening.
type RegionDemand struct {
	Region string  // empty: all regions but the own one together
	Rate   float64 // faded
	Error  float64
	Age    time.Duration // since the region's home merged it
}

// PictureEntry is one opening of the picture.
type PictureEntry struct {
	Key     Key
	Tokens  int
	Rate    float64 // of all regions together, faded
	Error   float64
	Age     time.Duration  // of the oldest part in it
	Regions []RegionDemand // the regions that name it
	Shares  []Share        // where it is kept, if that was decided
}

// RegionStatus is how well a region is covered.
type RegionStatus struct {
	Region string
	Age    time.Duration
	Weight float64 // what its last word still counts, from 0 to 1
}

// Snapshot is the picture at a time, the openings most in demand first.
type Snapshot struct {
	Regions []RegionStatus
	Entries []PictureEntry
	Floor   float64 // the most that the rate of an opening which is not listed may be
}

// head is the first few entries.
func (s Snapshot) head(most int) []PictureEntry { return s.Entries[:min(most, len(s.Entries))] }

// Picture is what a relay knows of the demand of all regions.
type Picture struct {
	own       string // region
	regions   *parts
	decisions *decisions
}

// Snapshot lists the picture as it is at a time.
func (p *Picture) Snapshot(now time.Time) Snapshot {
	snapshot := Snapshot{Regions: p.coverage(now)}
	entries := make(map[Key]*PictureEntry)
	sums := make(map[Key]Entry)
	for _, region := range p.counted() {
		part := p.regions.byScope[region]
		status := p.status(now, part)
		if status.Weight == 0 {
			continue
		}
		snapshot.Floor += part.Demand.Floor * status.Weight
		for _, entry := range part.Demand.Entries {
			known := entries[entry.Key]
			if known == nil {
				known = &PictureEntry{Key: entry.Key, Shares: p.decisions.shares(entry.Key)}
				entries[entry.Key] = known
			}
			known.add(entry, status, part.Demand.Floor)
			sum := sums[entry.Key]
			sum.Rate += entry.Rate * status.Weight
			sum.Recent += entry.Recent * status.Weight
			sums[entry.Key] = sum
		}
	}
	for _, entry := range entries {
		sum := sums[entry.Key]
		entry.Rate = sum.Estimate()
		entry.Error += snapshot.Floor
		snapshot.Entries = append(snapshot.Entries, *entry)
	}
	slices.SortFunc(snapshot.Entries, func(a, b PictureEntry) int {
		return cmp.Or(cmp.Compare(b.Rate, a.Rate), compareKeys(a.Key, b.Key))
	})
	return snapshot
}

// status is how well a region is known.
func (p *Picture) status(now time.Time, part Part) RegionStatus {
	return RegionStatus{Region: part.Scope, Age: now.Sub(part.AsOf), Weight: p.regions.weight(now, part)}
}

// counted are the scopes that count: where there is a rest, no region that is in it.
func (p *Picture) counted() []string {
	if _, summed := p.regions.byScope[restScope]; !summed {
		return sortedKeys(p.regions.byScope)
	}
	scopes := []string{restScope}
	if _, known := p.regions.byScope[p.own]; known {
		scopes = append(scopes, p.own)
	}
	return scopes
}

// coverage tells how well each region is known, those in the rest included.
func (p *Picture) coverage(now time.Time) []RegionStatus {
	var covered []RegionStatus
	for _, scope := range p.counted() {
		part := p.regions.byScope[scope]
		status := p.status(now, part)
		if scope != restScope {
			covered = append(covered, status)
			continue
		}
		for _, inside := range part.Covered {
			covered = append(covered, RegionStatus{
				Region: inside.Region,
				Age:    inside.Age + status.Age,
				Weight: inside.Weight * status.Weight,
			})
		}
	}
	return covered
}

// add adds what one region says. The floors of the regions that don't name the opening are added at the end.
func (e *PictureEntry) add(entry Entry, status RegionStatus, floor float64) {
	demand := RegionDemand{
		Region: status.Region,
		Rate:   entry.Estimate() * status.Weight,
		Error:  entry.Error * status.Weight,
		Age:    status.Age,
	}
	e.Tokens = max(e.Tokens, entry.Tokens)
	e.Error += demand.Error - floor*status.Weight
	e.Age = max(e.Age, status.Age)
	e.Regions = append(e.Regions, demand)
}

// rate is what a region asks of the opening.
func (e *PictureEntry) rate(region string) float64 {
	for _, demand := range e.Regions {
		if demand.Region == region {
			return demand.Rate
		}
	}
	return 0
}
