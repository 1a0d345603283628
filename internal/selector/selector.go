package selector

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"wallflow/internal/budget"
	"wallflow/internal/config"
	"wallflow/internal/registry"
	"wallflow/internal/workload"
)

// Selector chooses endpoints for the requests of one relay. It is not safe for concurrent use: the caller holds a
// lock.
type Selector struct {
	options         Options
	disabled        mechanismSet
	random          *rand.Rand
	compiled        *config.Compiled
	services        map[string]*service
	endpoints       map[string]*endpoint // by instance id
	endpointList    []*endpoint          // the same in order of arrival, so that equal inputs give equal decisions; may contain removed ones
	plans           map[*config.Route]*routePlan
	regions         []string // this relay's region first, then the others in a fixed order
	evacuated       map[string]bool
	zoneRelays      int                          // number of relays in this zone, including this one
	ownsCold        func(instanceID string) bool // whether this relay owns a cold endpoint, so that it may send to it
	coldLimiter     *budget.ColdLimiter
	isolatedRelays  int                   // see SetIsolated
	ruleMatches     map[RuleName]uint64   // how often each failure rule has matched
	zoneWatches     map[string]*zoneWatch // by zone
	lastDecisionAt  time.Time             // when Choose was last called
	activeSince     time.Time             // since when Choose has been called without a long pause
	timers          timerHeap             // when endpoints may have to move to another list of their tier
	woken           []*Request            // requests that Woken returns next
	listVersion     uint64                // version of the last complete instance list
	candidateBuffer []candidate           // reused between decisions

	byKey          map[workload.Key]*endpoint // all endpoints, by their key in messages between relays
	ownBusy        []*endpoint                // engines at which this relay has requests in flight
	othersBusy     []*endpoint                // endpoints at which other relays have any
	holders        prefixHolders              // endpoints by the prompt prefixes that they cache
	unsentPrefills []workload.Prefill         // prompt prefixes to report to the other relays
	otherLoadsAt   time.Time                  // when the loads of other relays were last set

	tierBuffer []*tier // reused between decisions
}

// endpointList is compacted when it is longer than compactFactor times the number of endpoints plus compactSlack.
const (
	compactFactor = 2
	compactSlack  = 16
)

// New returns a Selector without a configuration and without endpoints.
func New(options Options) *Selector {
	options.complete()
	return &Selector{
		options:     options,
		disabled:    newMechanismSet(options.Disabled),
		random:      options.Random,
		services:    map[string]*service{},
		endpoints:   map[string]*endpoint{},
		plans:       map[*config.Route]*routePlan{},
		regions:     regionOrder(options),
		evacuated:   map[string]bool{},
		zoneWatches: map[string]*zoneWatch{},
		zoneRelays:  1,
		ruleMatches: map[RuleName]uint64{},
		coldLimiter: budget.NewColdLimiter(),
		byKey:       map[workload.Key]*endpoint{},
		holders:     prefixHolders{},
	}
}

// SetConfig sets the configuration. Requests that began under an older one keep their routes.
func (s *Selector) SetConfig(now time.Time, compiled *config.Compiled) {
	s.compiled = compiled
	clear(s.plans)
	for _, service := range s.sortedServices() {
		service.backend, _ = compiled.Backend(service.name)
		if service.backend == nil && service.empty() {
			delete(s.services, service.name)
			continue
		}
		s.refreshCold(now, service)
	}
	s.updateUrgency(compiled.Document())
	if s.options.Budget != nil {
		s.options.Budget.Retain(func(name string) bool {
			_, configured := compiled.Backend(name)
			return configured || s.services[name] != nil
		})
	}
	s.wakeAll()
}

// SetInstances sets the complete list of instances. What is known about instances that remain is kept.
func (s *Selector) SetInstances(now time.Time, instances []registry.Instance) {
	s.listVersion++
	for index := range instances {
		s.upsert(now, &instances[index])
	}
	for _, endpoint := range s.endpointList {
		if !endpoint.removed && endpoint.listVersion != s.listVersion {
			s.remove(endpoint)
		}
	}
	s.compactEndpoints()
	s.wakeAll()
}

// SetInstance adds, updates or removes one instance.
func (s *Selector) SetInstance(now time.Time, instance registry.Instance) {
	s.upsert(now, &instance)
	s.compactEndpoints()
	s.wakeService(s.service(instance.Backend))
}

// upsert adds or updates the endpoint of an instance, or removes it if the instance is gone.
func (s *Selector) upsert(now time.Time, instance *registry.Instance) {
	known := s.endpoints[instance.ID]
	if instance.State == registry.StateGone {
		if known != nil {
			s.remove(known)
		}
		return
	}
	if known != nil && known.instance.Backend != instance.Backend {
		s.remove(known)
		known = nil
	}
	if known == nil {
		known = newEndpoint(s.service(instance.Backend), instance)
		s.endpoints[instance.ID] = known
		s.byKey[known.key()] = known
		s.endpointList = append(s.endpointList, known)
	}
	known.instance, known.listVersion = *instance, s.listVersion
	known.watch = s.zoneWatchFor(instance.Zone)
	s.assignTier(known)
	s.refreshList(now, known)
}

// assignTier assigns an endpoint to the tier of its service and region.
func (s *Selector) assignTier(endpoint *endpoint) {
	region := s.options.Zones[endpoint.instance.Zone]
	tier := endpoint.service.tier(region)
	if endpoint.tier == tier {
		return
	}
	if endpoint.tier != nil {
		endpoint.tier.moveTo(endpoint, listNone)
	}
	endpoint.tier = tier
}

func (s *Selector) remove(endpoint *endpoint) {
	endpoint.tier.moveTo(endpoint, listNone)
	endpoint.removed = true
	delete(s.endpoints, endpoint.instance.ID)
	if s.byKey[endpoint.key()] == endpoint {
		delete(s.byKey, endpoint.key())
	}
}

// compactEndpoints drops the removed endpoints from endpointList once there are many of them.
func (s *Selector) compactEndpoints() {
	if len(s.endpointList) <= compactFactor*len(s.endpoints)+compactSlack {
		return
	}
	s.endpointList = slices.DeleteFunc(s.endpointList, func(e *endpoint) bool { return e.removed })
}

// SetEvacuated sets the list of evacuated zones, to whose endpoints nothing is sent. When a zone is no longer
// evacuated, its endpoints count as cold from then on.
func (s *Selector) SetEvacuated(now time.Time, zones []string) {
	evacuated := make(map[string]bool, len(zones))
	for _, zone := range zones {
		evacuated[zone] = true
	}
	before := s.evacuated
	s.evacuated = evacuated
	for _, endpoint := range s.endpointList {
		if endpoint.removed {
			continue
		}
		zone := endpoint.instance.Zone
		if before[zone] == evacuated[zone] {
			continue
		}
		if before[zone] {
			endpoint.markCold(now)
		}
		s.refreshList(now, endpoint)
	}
	s.wakeAll()
}

// SetPeers sets the number of relays in this zone, including this one, and the function that reports whether this
// relay owns a cold endpoint.
func (s *Selector) SetPeers(now time.Time, relaysInZone int, owns func(instanceID string) bool) {
	s.zoneRelays = max(1, relaysInZone)
	s.ownsCold = owns
	for _, service := range s.sortedServices() {
		s.refreshCold(now, service)
	}
	s.wakeAll()
}

// refreshCold determines the lists of a service's cold endpoints again.
func (s *Selector) refreshCold(now time.Time, service *service) {
	for _, region := range s.regions {
		tier := service.tiers[region]
		if tier == nil {
			continue
		}
		cold := slices.Concat(tier.lists[listColdOwned], tier.lists[listColdForeign])
		for _, endpoint := range cold {
			s.refreshList(now, endpoint)
		}
	}
}

// Report records an endpoint's report of its load.
func (s *Selector) Report(now time.Time, instanceID string, report EngineReport) {
	endpoint := s.endpoints[instanceID]
	if endpoint == nil {
		return
	}
	endpoint.load.setReport(now, report)
}

// sortedServices lists the services in a fixed order.
func (s *Selector) sortedServices() []*service {
	return slices.SortedFunc(maps.Values(s.services), func(a, b *service) int { return strings.Compare(a.name, b.name) })
}

// service returns the record of a service, and creates it if there is none.
func (s *Selector) service(name string) *service {
	known := s.services[name]
	if known == nil {
		known = newService(name, newPrefillSpeed(&s.options.EnginePrior))
		if s.compiled != nil {
			known.backend, _ = s.compiled.Backend(name)
		}
		s.services[name] = known
		if s.compiled != nil {
			s.updateUrgency(s.compiled.Document())
		}
	}
	return known
}

// regionOrder lists this relay's region first, then the others by name, beginning after the own one and wrapping
// around. So relays of different regions send their overflow to different regions first.
func regionOrder(options Options) []string {
	var regions []string
	for _, region := range options.Zones {
		regions = append(regions, region)
	}
	regions = append(regions, options.Region)
	slices.Sort(regions)
	regions = slices.Compact(regions)
	own := slices.Index(regions, options.Region)
	return slices.Concat(regions[own:], regions[:own])
}
