package workload

import (
	"maps"
	"slices"
	"time"

	"wallflow/internal/distribution"
	"wallflow/internal/workload/workloadpb"
)

const (
	// LocalEvery is the least time between two words to a process of the own zone, where bytes are cheap.
	LocalEvery = 40 * time.Millisecond
	// ZoneEvery is the least time between two words to another zone while there are no more than zonesUsual zones.
	ZoneEvery  = 60 * time.Millisecond
	zonesUsual = 8
	// repeatEvery is after how long a word is sent though nothing has changed, and forgetAfter when a sender that is silent counts no
	// more: after two words that were lost.
	repeatEvery = 500 * time.Millisecond
	forgetAfter = 1600 * time.Millisecond
	// entryRepeat is after how long an endpoint is named again though its load has not changed, and entryExpiry when a load that was not
	// named again counts no more.
	entryRepeat = time.Second
	entryExpiry = 4 * time.Second
	// wordSpan bounds the pause after a word: what does not fit into that time's share of the link waits for the next one.
	wordSpan = 100 * time.Millisecond
	// leastChange and leastZoneChange are the changes, in requests, from which an endpoint is named at once.
	leastChange     = 1
	leastZoneChange = 2

	// sumsEvery is the least time between two tellings of sums: they change slowly.
	sumsEvery = 500 * time.Millisecond

	// zoneRequests and zoneUnread are the loads of an endpoint from which other zones are told: a smaller one delays nobody there.
	zoneRequests = 2
	zoneUnread   = 1024
	// zoneEntries bounds the endpoints that a word to another zone names.
	zoneEntries = 512
	// entriesMost and loadMost bound what a word may claim.
	entriesMost = 1 << 15
	loadMost    = 1 << 28

	// linkShare is the share of a machine's link that its words may take within the zone, and as much again between zones.
	linkShare = 0.25
	// messageOverhead is about what a message takes on the wire beside its loads, and entryBytes what an endpoint in it takes.
	messageOverhead = 80
	entryBytes      = 12
	// entriesLeast is how many endpoints a word may name however slow the link is.
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

// told is what a receiver was told last.
type told struct {
	begun    bool   // it has a whole word
	sequence uint64 // of the last message
	sumsAt   time.Time
	readings uint64 // place in the queue
}

// spoken is an own word, kept so that a relay can tell what part of its zone's sum is its own.
type spoken struct {
	sequence uint64
	loads    Loads
}

// spokenKept bounds the own words that are kept: the hub's sum is no older than that.
const spokenKept = 64

// Word is what a relay tells of itself.
type Word struct {
	Loads    Loads     // what it has at endpoints now
	Sums     Sums      // what the answers that it got have told
	Readings []Reading // since the word before
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

	own    Word
	spoken []spoken // to the hub, the oldest first
	queue  readingQueue
	heard  []Reading        // of other relays, since TakeReadings
	relays map[string]*view // hub: by relay of the zone
	zones  map[string]*view // hub: by address of the other hubs
	others *view            // from the hub, less the own part; nil: nothing was heard
	told   map[string]*told // by receiver

	toPeers audience  // hub: the relays of the zone
	toHubs  audience  // hub: the other hubs
	toHub   time.Time // relay: when the hub was told last
	pauseTo time.Time // relay: until when the hub is told nothing
}

// New returns a Node that knows no other relay.
func New(options Options) *Node {
	self := options.Self
	n := &Node{
		self: self, life: options.Life, link: options.LinkBytes,
		relays: make(map[string]*view), zones: make(map[string]*view), told: make(map[string]*told),
	}
	n.beginAudiences()
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
		n.beginAudiences()
	}
	n.peers = slices.Sorted(slices.Values(zones[n.self.Zone][1:]))
	n.forgetAbsent()
}

// beginAudiences forgets what was told as the hub of the zone.
func (n *Node) beginAudiences() {
	n.toPeers = newAudience(leastChange, Load.isAny)
	n.toHubs = newAudience(leastZoneChange, Load.matters)
	clear(n.told)
	n.spoken = nil
}

// forgetAbsent drops what is known of, or was told to, relays that are no longer there.
func (n *Node) forgetAbsent() {
	maps.DeleteFunc(n.relays, func(address string, _ *view) bool { return !n.isHub() || !slices.Contains(n.peers, address) })
	maps.DeleteFunc(n.zones, func(address string, _ *view) bool { return !n.isHub() || n.hubs[address] == "" })
	maps.DeleteFunc(n.told, func(address string, _ *told) bool {
		return address != n.hub && !slices.Contains(n.peers, address) && n.hubs[address] == ""
	})
}

func (n *Node) isHub() bool { return n.hub == n.self.Address }

// Tick takes this relay's word, and says what is to be sent. It is to be called every LocalEvery or more often.
func (n *Node) Tick(now time.Time, own Word) []Send {
	n.own = own
	n.queue.add(n.self.Address, own.Readings)
	if !n.isHub() {
		return n.tellHub(now)
	}
	zone := n.sumOfZone(now)
	all := n.sumOfZones(now)
	all.add(zone)
	sends := n.tellAll(nil, now, telling{
		audience: &n.toPeers, receivers: n.peers, every: LocalEvery, loads: all, most: entriesMost,
		sums: func(to string) Sums { return n.sumsBut(now, to) },
		put: func(message *workloadpb.Message, to string, loads *workloadpb.Loads) {
			message.All, message.Heard = loads, n.heardOf(now, to)
		},
	})
	zoneSums := n.sumsOfZone(now)
	return n.tellAll(sends, now, telling{
		audience: &n.toHubs, receivers: slices.Sorted(maps.Keys(n.hubs)), every: n.zoneEvery(), loads: zone, most: zoneEntries,
		ownZone: true,
		sums:    func(string) Sums { return zoneSums },
		put: func(message *workloadpb.Message, to string, loads *workloadpb.Loads) {
			message.Zone, message.Again = loads, n.zones[to] != nil && n.zones[to].missed
		},
	})
}

// Others is what all other relays have at endpoints, and what their answers have told, as far as is known. Not ok: nothing is known, and
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
	for _, views := range []map[string]*view{n.relays, n.zones} {
		addFreshSums(sums, now, views)
	}
	addFresh(loads, now, n.relays)
	return loads, sums, true
}

// TakeReadings returns what other relays had endpoints read since the last call.
func (n *Node) TakeReadings() []Reading {
	heard := n.heard
	n.heard = nil
	return heard
}

// Figures are counts for logs.
type Figures struct {
	Hub    bool
	Known  bool // the loads of the other relays are known
	Relays int  // of the zone, that the hub hears
	Zones  int  // others, that the hub hears
}

// Figures tells how much is known.
func (n *Node) Figures(now time.Time) Figures {
	count := func(views map[string]*view) (fresh int) {
		for _, said := range views {
			if said.fresh(now) {
				fresh++
			}
		}
		return fresh
	}
	return Figures{Hub: n.isHub(), Known: n.isHub() || n.others.fresh(now), Relays: count(n.relays), Zones: count(n.zones)}
}
