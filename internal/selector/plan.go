package selector

import (
	"cmp"
	"slices"
	"strings"

	"wallflow/internal/config"
)

// maxBodyBytesPerPrefixToken is the maximum size of a body, in bytes for each token of its prompt prefix, with which
// it is sent to another region because the prefix is cached there.
const maxBodyBytesPerPrefixToken = 8

// weightedService is one service of a route's split.
type weightedService struct {
	service *service
	weight  float64
}

// routePlan holds what a route allows: its services by weight and, for each service that may be drawn, the order in
// which tiers are tried.
type routePlan struct {
	services    []weightedService
	totalWeight float64
	tierOrders  [][]*tier // for each index of services that may be drawn
}

// planOf returns the plan of a route, and builds it at the first use.
func (s *Selector) planOf(route *config.Route) *routePlan {
	plan := s.plans[route]
	if plan == nil {
		plan = s.buildPlan(route)
		s.plans[route] = plan
	}
	return plan
}

// buildPlan returns the plan of a route.
func (s *Selector) buildPlan(route *config.Route) *routePlan {
	built := &routePlan{services: s.weightedServices(route)}
	for chosen, entry := range built.services {
		built.totalWeight += entry.weight
		built.tierOrders = append(built.tierOrders, s.tierOrder(route, built.services, chosen))
	}
	return built
}

// weightedServices lists the services of a route that may get requests, ordered by descending weight and then by
// name.
func (s *Selector) weightedServices(route *config.Route) []weightedService {
	if len(route.Split) == 0 {
		return []weightedService{{service: s.service(route.Backend), weight: 1}}
	}
	var services []weightedService
	for _, entry := range route.Split {
		if entry.Weight > 0 {
			services = append(services, weightedService{service: s.service(entry.Backend), weight: entry.Weight})
		}
	}
	slices.SortFunc(services, func(a, b weightedService) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), strings.Compare(a.service.name, b.service.name))
	})
	return services
}

// tierOrder lists the tiers of a request in the order in which they are tried, for the service that was drawn: the
// regions of that service first, then those of the other services.
func (s *Selector) tierOrder(route *config.Route, services []weightedService, chosen int) []*tier {
	regions := s.allowedRegions(route)
	var tiers []*tier
	for _, region := range regions {
		tiers = append(tiers, services[chosen].service.tier(region))
	}
	for index, other := range services {
		if index == chosen {
			continue
		}
		for _, region := range regions {
			tiers = append(tiers, other.service.tier(region))
		}
	}
	return tiers
}

// tiersFor lists a request's tiers in the order in which they are tried. A prompt with a large prefix is first tried
// in the region where the prefix is cached, so that the fleet prefills it only once; the other tiers follow in their
// fixed order.
func (s *Selector) tiersFor(request *Request) []*tier {
	order := request.plan.tierOrders[request.serviceIndex]
	prefixHash, hasAffinity := request.affinityHash()
	if !hasAffinity || !s.enabled(PrefixHomes) || request.Parts[0].Tokens*maxBodyBytesPerPrefixToken < request.BodyBytes {
		return order
	}
	home := s.holderTier(request, order)
	if home < 0 && !s.mayPrefillAnywhere(request) {
		home = hashedHome(prefixHash, order, request.service())
	}
	if home <= 0 {
		return order
	}
	s.tierBuffer = append(s.tierBuffer[:0], order[home])
	s.tierBuffer = append(s.tierBuffer, order[:home]...)
	return append(s.tierBuffer, order[home+1:]...)
}

// hashedHome returns the index of the tier that is the home of a prefix, by rendezvous hashing over the regions of
// the drawn service, each weighted by its number of warm endpoints. So all relays agree without shared state. The
// index is negative if no tier has warm endpoints.
func hashedHome(prefixHash uint64, order []*tier, chosen *service) int {
	home, highest := -1, 0.0
	for index, tier := range order {
		count := len(tier.warm())
		if tier.service != chosen || count == 0 {
			continue
		}
		if score := weightedRendezvousScore(prefixHash, hashText(tier.region), count); home < 0 || score > highest {
			home, highest = index, score
		}
	}
	return home
}

// allowedRegions lists the regions that may serve a route, this relay's own first. The home regions of a route are
// never left.
func (s *Selector) allowedRegions(route *config.Route) []string {
	if len(route.HomeRegions) == 0 {
		return s.regions
	}
	var allowed []string
	for _, region := range s.regions {
		if slices.Contains(route.HomeRegions, region) {
			allowed = append(allowed, region)
		}
	}
	return allowed
}

// pick returns the index of a service, drawn by weight. draw must be uniformly distributed over all its values.
func (p *routePlan) pick(draw uint64) int {
	const scale = 1 << 53
	point := float64(draw>>11) / scale * p.totalWeight
	for index, entry := range p.services {
		if point < entry.weight {
			return index
		}
		point -= entry.weight
	}
	return len(p.services) - 1
}
