package workload

import (
	"maps"
	"slices"
	"time"

	"wallflow/internal/distribution"
	"wallflow/internal/workload/workloadpb"
)

const (
	// LocalEvery is the least time between two messages to a process of the own zone, where bytes are cheap.
	LocalEvery = 40 * time.Millisecond
	// ZoneEvery is the least time between two updates to another zone while there are no more than zonesUsual zones.
	ZoneEvery  = 60 * time.Millisecond
	zonesUsual = 8
	// repeatEvery is after how long a message is sent though nothing has changed, and forgetAfter when a sender that is silent counts no
	// more: after two messages that were lost.
	repeatEvery = 500 * time.Millisecond
	forgetAfter = 1600 * time.Millisecond
	// entryRepeat is after how long an endpoint is named again though its load has not changed, and entryExpiry when a load that was not
	// named again counts no more.
	entryRepeat = time.Second
	entryExpiry = 4 * time.Second
	// updateSpan bounds the updates: one names no more than that time's share of the link carries.
	updateSpan = 100 * time.Millisecond
	// leastChange and leastZoneChange are the changes, in requests, from which an endpoint is named at once.
	leastChange     = 1
	leastZoneChange = 2

	// sumsEvery is the least time between two messages with sums: they change slowly.
	sumsEvery = 500 * time.Millisecond

	// zoneRequests and zoneUnread are the loads of an endpoint from which other zones are sent them: a smaller one delays nobody there.
	zoneRequests = 2
	zoneUnread   = 1024
	// zoneEntries bounds the endpoints that an update to another zone names.
	zoneEntries = 512
	// entriesMost and loadMost bound what a message may claim.
	entriesMost = 1 << 15
	loadMost    = 1 << 28

	// linkShare is the share of a machine's link that its updates may take within the zone, and as much again between zones.
	linkShare = 0.25
	// messageOverhead is about what a message takes on the wire beside its loads, and entryBytes what an endpoint in it takes.
	messageOverhead = 80
	entryBytes      = 12
	// entriesLeast is how many endpoints an update may name however slow the link is.
	entriesLeast = 8

	// hubKey is the key by which the hub of a zone is chosen among its relays.
	hubKey = "workload"
)

// Member is one relay.
type Member struct {
	Address string // internal
	Zone    string
}

// Send is a message to the relay at an internal address.
type Send struct {
	To      string
	Message *workloadpb.Message
}

// Report is what a relay has itself.
type Report struct {
	Loads    Loads     // what it has at endpoints now
	Sums     Sums      // what the answers to it have shown
	Readings []Reading // since the report before
}

// Options are the settings of a Node.
type Options struct {
	Self Member
	// Life differs between lives of the process.
	Life uint64
	// LinkBytes is how many bytes the machine's link carries in a second; 0: as many as wanted.
	LinkBytes float64
}

// Node is one relay's part. It is not safe for use by several goroutines.
type Node struct {
	self     Member
	link     float64 // bytes a second
	life     uint64
	sequence uint64

	hub   string            // address of the own zone's hub
	peers []string          // the other relays of the own zone, in order
	hubs  map[string]string // zone by address of its hub, without the own

	own      Report
	queue    readingQueue
	received []Reading        // of other relays, since TakeReadings
	relays   map[string]*peer // hub: by relay of the zone
	zones    map[string]*peer // hub: by address of the other hubs
	others   *peer            // what the hub sent, less the own part; nil: nothing yet

	receivers map[string]*receiver // by address
	toPeers   broadcast            // hub: to the relays of the zone
	toHubs    broadcast            // hub: to the other hubs

	sentReports []sentReport // to the hub, the oldest first
	lastReport  time.Time
	nextReport  time.Time // nothing is reported before
}

// New returns a Node that knows no other relay.
func New(options Options) *Node {
	self := options.Self
	n := &Node{
		self: self, life: options.Life, link: options.LinkBytes,
		relays: make(map[string]*peer), zones: make(map[string]*peer), receivers: make(map[string]*receiver),
	}
	n.resetBroadcasts()
	n.SetMembers([]Member{self})
	return n
}

// SetMembers takes on the relays that are alive. This one always counts.
func (n *Node) SetMembers(members []Member) {
	zones := map[string][]string{n.self.Zone: {n.self.Address}}
	for _, member := range members {
		if member.Address != n.self.Address {
			zones[member.Zone] = append(zones[member.Zone], member.Address)
		}
	}
	n.hubs = make(map[string]string)
	for zone, addresses := range zones {
		if zone != n.self.Zone {
			n.hubs[distribution.Home(zone, addresses, hubKey)] = zone
		}
	}
	was := n.hub
	n.hub = distribution.Home(n.self.Zone, zones[n.self.Zone], hubKey)
	if n.hub != was {
		n.resetBroadcasts()
	}
	n.peers = slices.Sorted(slices.Values(zones[n.self.Zone][1:]))
	n.forgetAbsent()
}

// resetBroadcasts forgets what was sent while another relay was the hub of the zone.
func (n *Node) resetBroadcasts() {
	n.toPeers = newBroadcast(leastChange, Load.isAny)
	n.toHubs = newBroadcast(leastZoneChange, Load.matters)
	clear(n.receivers)
	n.sentReports = nil
}

// forgetAbsent drops what is known of, or was sent to, relays that are no longer there.
func (n *Node) forgetAbsent() {
	maps.DeleteFunc(n.relays, func(address string, _ *peer) bool { return !n.isHub() || !slices.Contains(n.peers, address) })
	maps.DeleteFunc(n.zones, func(address string, _ *peer) bool { return !n.isHub() || n.hubs[address] == "" })
	maps.DeleteFunc(n.receivers, func(address string, _ *receiver) bool {
		return address != n.hub && !slices.Contains(n.peers, address) && n.hubs[address] == ""
	})
}

func (n *Node) isHub() bool { return n.hub == n.self.Address }

// Tick takes what this relay has now, and returns what is to be sent. It is to be called every LocalEvery or more often.
func (n *Node) Tick(now time.Time, own Report) []Send {
	n.own = own
	n.queue.add(n.self.Address, own.Readings)
	if !n.isHub() {
		return n.sendReport(now)
	}
	zone := n.sumOfZone(now)
	all := n.sumOfZones(now)
	all.add(zone)
	sends := n.sendUpdate(nil, now, update{
		to: &n.toPeers, receivers: n.peers, interval: LocalEvery, loads: all, entriesMost: entriesMost,
		sums: func(receiver string) Sums { return n.sumsBut(now, receiver) },
		fill: func(message *workloadpb.Message, receiver string, loads *workloadpb.Loads) {
			message.All, message.IncludedReport = loads, n.includedReport(now, receiver)
		},
	})
	return n.sendUpdate(sends, now, update{
		to: &n.toHubs, receivers: slices.Sorted(maps.Keys(n.hubs)), interval: n.zoneEvery(), loads: zone, entriesMost: zoneEntries,
		ownZoneOnly: true,
		sums:        func(string) Sums { return n.sumsOfZone(now) },
		fill: func(message *workloadpb.Message, receiver string, loads *workloadpb.Loads) {
			message.Zone, message.SnapshotWanted = loads, n.zones[receiver].hasGap(now)
		},
	})
}

// zoneEvery grows with the number of zones, so that what a hub sends stays bounded.
func (n *Node) zoneEvery() time.Duration {
	return ZoneEvery * time.Duration(max(1, (len(n.hubs)+zonesUsual-1)/zonesUsual))
}

// Others is what all other relays have at endpoints, and what their answers have shown, as far as is known. Not ok: nothing is known, and
// the caller has to guess.
func (n *Node) Others(now time.Time) (loads Loads, sums Sums, ok bool) {
	if !n.isHub() {
		if !n.others.fresh(now) {
			return nil, nil, false
		}
		loads = make(Loads, len(n.others.loads))
		n.others.addTo(loads, now)
		return loads, n.others.sums, true
	}
	loads, sums = n.sumOfZones(now), make(Sums)
	for _, peers := range []map[string]*peer{n.relays, n.zones} {
		addFreshSums(sums, now, peers)
	}
	addFresh(loads, now, n.relays)
	return loads, sums, true
}

// TakeReadings returns what other relays had endpoints read since the last call.
func (n *Node) TakeReadings() []Reading {
	received := n.received
	n.received = nil
	return received
}

// Figures are counts for logs.
type Figures struct {
	Hub    bool
	Known  bool // the loads of the other relays are known
	Relays int  // of the zone, that the hub has fresh loads of
	Zones  int  // others, that the hub has fresh loads of
}

// Figures tells how much is known.
func (n *Node) Figures(now time.Time) Figures {
	count := func(peers map[string]*peer) (fresh int) {
		for _, peer := range peers {
			if peer.fresh(now) {
				fresh++
			}
		}
		return fresh
	}
	return Figures{Hub: n.isHub(), Known: n.isHub() || n.others.fresh(now), Relays: count(n.relays), Zones: count(n.zones)}
}
