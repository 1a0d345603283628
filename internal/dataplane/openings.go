package dataplane

import (
	"slices"
	"sync/atomic"
	"time"

	"wallflow/internal/openings"
	"wallflow/internal/openings/openingspb"
	"wallflow/internal/selector"
	"wallflow/internal/settings"
	"wallflow/internal/swim"
	"wallflow/internal/transport"
)

// openingsPart joins the picture of openings in demand to the selector and to the other relays.
type openingsPart struct {
	region  string
	sketch  *openings.Sketch // guarded by selectorLock
	node    *openings.Node   // guarded by mu
	members []openings.Member
	places  atomic.Pointer[openings.Places]
}

func newOpeningsPart(set *settings.Settings, now time.Time) *openingsPart {
	self := openings.Member{
		Name:    set.Node,
		Address: set.InternalAddress(),
		Zone:    set.Zone,
		Region:  set.Region,
	}
	return &openingsPart{
		region: set.Region,
		sketch: openings.NewSketch(now, 0, 0),
		node:   openings.New(openings.Options{Self: self, Life: uint64(now.UnixNano())}, now),
	}
}

// forSelector is the picture as the selector uses it; nil where it is turned off.
func (o *openingsPart) forSelector() selector.Openings {
	if o == nil {
		return nil
	}
	return o
}

// Count implements selector.Openings. An opening that is bound to other regions is not counted here.
func (o *openingsPart) Count(now time.Time, part selector.PromptPart, homes []string) {
	key := openings.Key{Part: part.ID, Homes: openings.HomesOf(homes)}
	if key.Homes.Allows(o.region) {
		o.sketch.Count(now, key, part.Tokens)
	}
}

// Home implements selector.Openings.
func (o *openingsPart) Home(part uint64) (region string, replicas int, ok bool) {
	return o.places.Load().Home(part)
}

// tickOpenings reports what this relay counted, and does what the homes do. Callers hold mu.
func (p *Process) tickOpenings(now time.Time) {
	part := p.openings
	if part == nil || !part.node.Due(now) {
		return
	}
	members := relayMembers(p.members.Members())
	if !slices.Equal(members, part.members) {
		part.members = members
		part.node.SetMembers(members)
	}
	p.selectorLock.Lock()
	own := part.sketch.Demand(now, part.node.ReportSize())
	capacity := p.selector.EngineCapacity()
	p.selectorLock.Unlock()
	part.node.SetCapacity(regionCapacity(capacity))
	p.takeOpenings(part.node.Tick(now, own))
}

// relayMembers lists the relays among the members.
func relayMembers(all []swim.Member) []openings.Member {
	var relays []openings.Member
	for _, member := range all {
		if member.Meta.Front == "" {
			continue
		}
		relays = append(relays, openings.Member{
			Name:    member.Name,
			Address: member.Address,
			Zone:    member.Meta.Zone,
			Region:  member.Meta.Region,
		})
	}
	return relays
}

func regionCapacity(engines []selector.EngineCapacity) []openings.RegionCapacity {
	capacity := make([]openings.RegionCapacity, 0, len(engines))
	for _, region := range engines {
		capacity = append(capacity, openings.RegionCapacity{
			Region:    region.Region,
			Endpoints: region.Endpoints,
			Memory:    int(region.Memory),
		})
	}
	return capacity
}

// receiveOpenings takes what another relay says of openings.
func (p *Process) receiveOpenings(now time.Time, from string, payload []byte) {
	message := new(openingspb.Message)
	if p.openings == nil || !p.decode(from, payload, message) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.takeOpenings(p.openings.node.Receive(now, from, message))
}

// takeOpenings carries out what the picture wants. Callers hold mu.
func (p *Process) takeOpenings(output openings.Output) {
	for _, send := range output.Sends {
		p.mesh.Send(send.To, transport.KindOpenings, send.Message)
	}
	if output.PlacesChanged {
		places := p.openings.node.Places()
		p.openings.places.Store(places)
		p.log.Debug("places of openings", "openings", places.Len())
	}
}

// Openings is the picture as this relay knows it, empty where it is turned off.
func (p *Process) Openings(now time.Time) openings.Snapshot {
	if p.openings == nil {
		return openings.Snapshot{}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.openings.node.Picture().Snapshot(now)
}
