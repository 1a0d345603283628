package selector

import "time"

// Openings is the fleet's picture of which prompt openings are in demand. It is called under the lock of the Selector, for each
// request that has a large opening.
type Openings interface {
	// Count counts a request for an opening; homes are the regions that may serve it, none: all.
	Count(now time.Time, part PromptPart, homes []string)
	// Home is the region that keeps an opening and how many of its endpoints do. An empty region stands for the one that the
	// ranking gives. Not ok: the picture says nothing.
	Home(part uint64) (region string, replicas int, ok bool)
}

// countOpening tells the picture of a request, once.
func (s *Selector) countOpening(now time.Time, request *Request) {
	if _, affine := request.affinity(); affine && s.options.Openings != nil && request.service().engine() != nil {
		s.options.Openings.Count(now, request.Parts[0], request.Route.HomeRegions)
	}
}

// placedHome is the index of the tier where the picture keeps a request's opening, and below zero if it says nothing or names a
// region that the request's service has no warm endpoint in. The request learns how many endpoints keep it.
func (s *Selector) placedHome(request *Request, order []*tier) int {
	request.replicas = 1
	if s.options.Openings == nil {
		return noTier
	}
	region, replicas, ok := s.options.Openings.Home(request.Parts[0].ID)
	if !ok {
		return noTier
	}
	request.replicas = max(1, replicas)
	for index, tier := range order {
		if tier.region == region && tier.service == request.service() && len(tier.warm()) > 0 {
			return index
		}
	}
	return noTier
}

const noTier = -1

// credit is the part of the reading saved that an endpoint of the prompt's ranking is credited with: in full if it is one of those
// that keep the opening.
func (r *Request) credit(rank int) float64 {
	if rank < r.replicas {
		return preference[0]
	}
	return preference[rank]
}

// EngineCapacity is what the warm model engines of a region have.
type EngineCapacity struct {
	Region    string
	Endpoints int
	Memory    int64 // tokens, of all together
}

// EngineCapacity lists what each region has for keeping prompts.
func (s *Selector) EngineCapacity() []EngineCapacity {
	capacity := make([]EngineCapacity, 0, len(s.regions))
	for _, region := range s.regions {
		sum := EngineCapacity{Region: region}
		for _, service := range s.services {
			tier, engine := service.tiers[region], service.engine()
			if tier == nil || engine == nil {
				continue
			}
			sum.Endpoints += len(tier.warm())
			sum.Memory += int64(len(tier.warm())) * engine.KVCapacity
		}
		capacity = append(capacity, sum)
	}
	return capacity
}
