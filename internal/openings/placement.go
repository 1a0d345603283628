package openings

import (
	"math"
	"slices"
	"time"
)

// planner decides for the openings that this relay owns. Changes are damped: something else must be clearly better for a while, and
// an opening that has moved stays for a while.
type planner struct {
	options  PlacementOptions
	capacity map[string]RegionCapacity
	pending  map[Key]pending
	movedAt  map[Key]time.Time
}

// pending is a change that has been better since a time.
type pending struct {
	shares []Share
	since  time.Time
}

func newPlanner(options PlacementOptions) *planner {
	return &planner{options: options, pending: make(map[Key]pending), movedAt: make(map[Key]time.Time)}
}

func (p *planner) setCapacity(capacity []RegionCapacity) {
	p.capacity = make(map[string]RegionCapacity, len(capacity))
	for _, region := range capacity {
		p.capacity[region.Region] = region
	}
}

// next is the change of an opening's place that is due now, if any.
func (p *planner) next(now time.Time, entry *PictureEntry, loads map[string]float64) (shares []Share, due bool) {
	wanted := p.want(entry, loads)
	if slices.Equal(wanted, entry.Shares) {
		delete(p.pending, entry.Key)
		return nil, false
	}
	waiting, known := p.pending[entry.Key]
	if !known || !slices.Equal(waiting.shares, wanted) {
		waiting = pending{shares: wanted, since: now}
		p.pending[entry.Key] = waiting
	}
	if now.Sub(waiting.since) < p.options.HoldFor {
		return nil, false
	}
	if moved, before := p.movedAt[entry.Key]; before && now.Sub(moved) < p.options.RestFor {
		return nil, false
	}
	delete(p.pending, entry.Key)
	p.movedAt[entry.Key] = now
	return wanted, true
}

// keep forgets the openings that are not in the picture any more.
func (p *planner) keep(now time.Time, known func(Key) bool) {
	for key := range p.pending {
		if !known(key) {
			delete(p.pending, key)
		}
	}
	for key, moved := range p.movedAt {
		if now.Sub(moved) >= p.options.RestFor {
			delete(p.movedAt, key)
		}
	}
}

// want is where an opening is best kept, with what is in place given some advantage.
func (p *planner) want(entry *PictureEntry, loads map[string]float64) []Share {
	least := p.options.LeastRate
	if len(entry.Shares) > 0 {
		least /= 2
	}
	if entry.Rate-entry.Error < least {
		return nil
	}
	primary := p.primary(entry, loads)
	shares := []Share{{Region: primary}}
	elsewhere := entry.Rate
	for _, demand := range entry.Regions {
		if demand.Region == primary || !p.worthOwnCopy(entry, demand) {
			continue
		}
		replicas := p.replicas(entry, demand.Region, demand.Rate)
		shares = append(shares, Share{Region: demand.Region, Replicas: replicas})
		elsewhere -= demand.Rate
	}
	shares[0].Replicas = p.replicas(entry, primary, elsewhere)
	if len(shares) == 1 && primary == "" && shares[0].Replicas == 1 {
		return nil // as without a decision
	}
	return shares
}

// primary is the region that serves an opening for all that don't keep it themselves: the one with by far the most demand, if its
// endpoints can take it; else the one that does so now.
func (p *planner) primary(entry *PictureEntry, loads map[string]float64) string {
	present := ""
	if len(entry.Shares) > 0 {
		present = entry.Shares[0].Region
	}
	if p.capacity[present].Endpoints == 0 {
		present = ""
	}
	var best, second RegionDemand
	for _, demand := range entry.Regions {
		switch {
		case demand.Rate > best.Rate:
			best, second = demand, best
		case demand.Rate > second.Rate:
			second = demand
		}
	}
	if best.Region == present || !p.hasRoom(entry, best.Region, loads) {
		return present
	}
	beaten := second.Rate
	if present != "" {
		beaten = entry.rate(present)
	}
	if best.Rate < p.options.Advantage*beaten {
		return present
	}
	return best.Region
}

// hasRoom tells whether the endpoints of a region can take the requests of one more opening.
func (p *planner) hasRoom(entry *PictureEntry, region string, loads map[string]float64) bool {
	const share = 0.5 // the rest is for openings that nothing is decided for
	capacity := p.capacity[region]
	return loads[region]+entry.Rate <= share*p.options.EndpointRate*float64(capacity.Endpoints)
}

// worthOwnCopy tells whether a region other than the primary should read the opening itself: the crossings saved while a copy
// lasts must cost more than reading it once.
func (p *planner) worthOwnCopy(entry *PictureEntry, demand RegionDemand) bool {
	if p.capacity[demand.Region].Endpoints == 0 || p.fits(entry, demand.Region) == 0 {
		return false
	}
	advantage := p.options.Advantage
	if slices.ContainsFunc(entry.Shares, func(share Share) bool { return share.Region == demand.Region }) {
		advantage = 1
	}
	saved := demand.Rate * p.options.KeepFor.Seconds() * p.options.CrossingTokens
	return saved > advantage*float64(entry.Tokens)
}

// replicas is how many endpoints of a region an opening needs for a rate. One that is there goes only when it is clearly too many.
func (p *planner) replicas(entry *PictureEntry, region string, rate float64) int {
	const reluctance = 0.7
	present := 0
	for _, share := range entry.Shares {
		if share.Region == region {
			present = share.Replicas
		}
	}
	needed := int(math.Ceil(rate / p.options.EndpointRate))
	if needed < present {
		needed = min(present, int(math.Ceil(rate/(reluctance*p.options.EndpointRate))))
	}
	if region != "" {
		needed = min(needed, p.fits(entry, region))
	}
	return max(1, needed)
}

// fits is how many copies of an opening the memory of a region allows.
func (p *planner) fits(entry *PictureEntry, region string) int {
	capacity := p.capacity[region]
	if capacity.Memory <= 0 || entry.Tokens <= 0 {
		return capacity.Endpoints
	}
	copies := int(p.options.MemoryShare * float64(capacity.Memory) / float64(entry.Tokens))
	return min(copies, capacity.Endpoints)
}
