package openings

import (
	"time"

	"wallflow/internal/openings/openingspb"
)

// Send is a message to the relay at an internal address.
type Send struct {
	To      string
	Message *openingspb.Message
}

// Output is what a Node wants done.
type Output struct {
	Sends []Send
	// PlacesChanged tells that Places returns something else than before.
	PlacesChanged bool
}

// Node is one relay's part in the picture: it reports its demand, merges that of others where it is their home, and decides where
// openings are kept where it owns them. It has no clock and no sockets, and is not safe for use by several goroutines.
type Node struct {
	options  Options
	topology topology
	fading   fading
	due      time.Time
	sequence uint64

	reports *parts // of the zone's relays, at the home of the zone
	zones   *parts // of the region's zones, at the home of the region
	picture Picture
	planner *planner

	zoneClaim   claim
	regionClaim claim
	reported    bool // the last report had entries
	told        bool // the last picture that was sent had entries
	faults      Faults
}

// New returns a Node that knows no other relay.
func New(options Options, now time.Time) *Node {
	options.complete()
	n := &Node{options: options, fading: options.fading(), due: now.Add(options.Every)}
	n.topology = newTopology(options.Self, nil)
	n.reports = newParts(n.fading, &n.faults, options.mistake)
	n.zones = newParts(n.fading, &n.faults, options.mistake)
	n.picture.own = options.Self.Region
	n.picture.regions = newParts(n.fading, &n.faults, options.mistake)
	n.picture.decisions = &decisions{byKey: make(map[Key]*Decision)}
	n.planner = newPlanner(options.Placement)
	return n
}

// SetMembers takes on the relays that are alive.
func (n *Node) SetMembers(members []Member) {
	n.topology = newTopology(n.options.Self, members)
	if !n.topology.isZoneHome() {
		n.zoneClaim.release()
	}
	if !n.topology.isRegionHome() {
		n.regionClaim.release()
	}
}

// SetCapacity takes on what the regions have for keeping openings.
func (n *Node) SetCapacity(capacity []RegionCapacity) { n.planner.setCapacity(capacity) }

// Picture is what this relay knows. It is read under the same lock as the Node.
func (n *Node) Picture() *Picture { return &n.picture }

// Places is where openings are kept, for the requests of this relay.
func (n *Node) Places() *Places { return n.picture.decisions.places(n.options.Self.Region) }

// Faults is what was found wrong since the start.
func (n *Node) Faults() Faults { return n.faults }

// ReportSize is how many openings of the sketch a Tick takes.
func (n *Node) ReportSize() int { return reportMost }

// Due tells whether Tick has something to do.
func (n *Node) Due(now time.Time) bool { return !now.Before(n.due) }

// Tick reports this relay's own demand and does what the homes do. It is called when Due says so.
func (n *Node) Tick(now time.Time, own Demand) Output {
	var output Output
	n.due = now.Add(n.options.Every)
	n.report(now, own, &output)
	if n.topology.isZoneHome() {
		n.mergeZone(now, &output)
	}
	n.picture.regions.drop(now)
	if n.topology.isRegionHome() {
		n.mergeRegion(now, &output)
	}
	if n.picture.decisions.drop(now, n.fading.forget) {
		output.PlacesChanged = true
	}
	return output
}

// report tells the home of the zone what this relay counted.
func (n *Node) report(now time.Time, own Demand, output *Output) {
	n.sequence++
	version := Version{Token: n.options.Life, Sequence: n.sequence}
	if n.topology.isZoneHome() {
		n.reports.take(Part{Scope: n.options.Self.Name, Version: version, AsOf: now, Demand: own})
		return
	}
	if len(own.Entries) == 0 && !n.reported {
		return
	}
	n.reported = len(own.Entries) > 0
	encoder := n.encoder(now, n.options.Self.Region)
	encoder.message.Report = &openingspb.Report{
		Relay:    n.options.Self.Name,
		Life:     version.Token,
		Sequence: version.Sequence,
		Demand:   encoder.demand(own, reportMost),
	}
	output.send(n.topology.zoneHome, encoder)
}

func (n *Node) encoder(now time.Time, region string) *encoder {
	return &encoder{message: &openingspb.Message{}, region: region, now: now, mistake: n.options.mistake}
}

func (o *Output) send(to Member, encoder *encoder) {
	o.Sends = append(o.Sends, Send{To: to.Address, Message: encoder.message})
}

// Receive takes a message of another relay.
func (n *Node) Receive(now time.Time, from string, message *openingspb.Message) Output {
	var output Output
	decoder := &decoder{message: message, region: n.options.Self.Region, now: now, faults: &n.faults}
	if message.Report != nil {
		n.reports.take(decoder.report(message.Report))
	}
	if message.Zone != nil {
		n.zones.take(decoder.part(message.Zone))
	}
	for _, encoded := range message.Regions {
		n.takeRegion(decoder.part(encoded))
	}
	for _, encoded := range message.Decisions {
		decision, known := decoder.decision(encoded)
		if known && n.picture.decisions.take(decision) {
			output.PlacesChanged = true
		}
	}
	if from == n.topology.regionHome.Address {
		n.zoneClaim.see(message.SeenToken)
		n.forward(now, message, &output)
	} else {
		n.regionClaim.see(message.SeenToken)
	}
	return output
}

// takeRegion takes on the part of a region. One of the own region that someone else merged tells his token.
func (n *Node) takeRegion(part Part) {
	own := part.Scope == n.options.Self.Region
	if own && part.Version.Owner != n.options.Self.Name {
		n.regionClaim.see(part.Version.Token)
	}
	if part.Scope == restScope {
		if n.regionClaim.settled {
			return
		}
		if n.picture.regions.take(part) {
			n.picture.regions.keepOnly(n.options.Self.Region)
		}
		return
	}
	n.picture.regions.take(part)
}

// forward passes the picture on to the relays of the zone, at the home of the zone.
func (n *Node) forward(now time.Time, message *openingspb.Message, output *Output) {
	if len(message.Regions) == 0 || !n.topology.isZoneHome() || n.topology.isRegionHome() {
		return
	}
	n.tell(now, n.topology.zonePeers, output)
}
