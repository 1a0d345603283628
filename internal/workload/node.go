package workload

import (
	"maps"
	"slices"
	"time"

	"wallflow/internal/distribution"
	"wallflow/internal/workload/workloadpb"
)

const (
	// LocalInterval is the minimum time between two messages to a relay of the own zone, where bandwidth is cheap.
	LocalInterval = 40 * time.Millisecond
	// ZoneInterval is the minimum time between two updates to another zone. It is multiplied if there are more than zonesPerInterval other
	// zones; see Node.zoneInterval.
	ZoneInterval     = 60 * time.Millisecond
	zonesPerInterval = 8
	// repeatInterval is the time after which a message is sent although nothing has changed. senderExpiry is the time after which the loads
	// of a silent relay no longer count; it allows for two lost messages in a row.
	repeatInterval = 500 * time.Millisecond
	senderExpiry   = 1600 * time.Millisecond
	// entryRepeatInterval is the time after which an unchanged load is sent again. entryExpiry is the time after which a load that was not
	// sent again no longer counts.
	entryRepeatInterval = time.Second
	entryExpiry         = 4 * time.Second
	// updateWindow bounds the size of an update to what the link, at linkFraction of its bandwidth, carries in that time.
	updateWindow = 100 * time.Millisecond
	// minChange and minZoneChange are the smallest changes of a load, in requests, that are sent before the load is due for repetition,
	// within the zone and to other zones.
	minChange     = 1
	minZoneChange = 2

	// sumsInterval is the minimum time between two messages with sums to a receiver; sums change slowly.
	sumsInterval = 500 * time.Millisecond

	// minZoneRequests and minZonePrefillTokens are the smallest loads that are sent to other zones; smaller ones delay no request there.
	minZoneRequests      = 2
	minZonePrefillTokens = 1024
	// maxZoneEntries is the maximum number of endpoints in an update to another zone.
	maxZoneEntries = 512
	// maxEntries and maxLoadValue bound the number of endpoints in a message and each part of a load.
	maxEntries   = 1 << 15
	maxLoadValue = 1 << 28

	// linkFraction is the fraction of a machine's link that updates may use within the zone; those between zones may use as much again.
	linkFraction = 0.25
	// messageOverheadBytes is the approximate size of a message on the wire without its loads, and bytesPerEntry that of each endpoint.
	messageOverheadBytes = 80
	bytesPerEntry        = 12
	// minEntries is the number of endpoints that an update may contain even if the link is slow.
	minEntries = 8

	// hubKey is the rendezvous hashing key by which the hub of a zone is chosen among its relays.
	hubKey = "workload"
)

// Member is a relay of the fleet.
type Member struct {
	Address string // internal address
	Zone    string
}

// Send is a message to be sent to another relay.
type Send struct {
	To      string // internal address
	Message *workloadpb.Message
}

// Report is a relay's own load and observations.
type Report struct {
	Loads    Loads     // of its unfinished requests
	Sums     Sums      // over the answers that it received
	Prefills []Prefill // since the previous report
}

// Options are the settings of a Node.
type Options struct {
	Self Member
	// Life is a random number that identifies this run of the process; it differs after a restart.
	Life uint64
	// LinkBytesPerSecond is the bandwidth of the machine's link in bytes per second; 0 means unlimited.
	LinkBytesPerSecond float64
}

// Node is the state of one relay. It is not safe for concurrent use.
type Node struct {
	self               Member
	linkBytesPerSecond float64 // 0: unlimited
	life               uint64
	sequence           uint64 // of the last message sent

	hub       string            // address of the hub of the own zone
	zonePeers []string          // addresses of the other relays of the own zone, sorted
	zoneByHub map[string]string // other zones, by address of their hub

	ownReport        Report
	queuedPrefills   prefillQueue
	receivedPrefills []Prefill             // from other relays, since the last TakePrefills
	relayStates      map[string]*peerState // on a hub: by address of the relay, of the own zone
	hubStates        map[string]*peerState // on a hub: by address of the hub, of the other zones
	othersState      *peerState            // on other relays: the loads sent by the hub without the own part; nil before the first message

	receiverStates map[string]*receiverState // by address of the receiver
	zoneBroadcast  deltaBroadcast            // on a hub: to the relays of the own zone
	hubBroadcast   deltaBroadcast            // on a hub: to the other hubs

	sentReports  []sentReport // to the hub, the oldest first
	lastReportAt time.Time
	nextReportAt time.Time // earliest time of the next report
}

// New returns a Node that does not know of any other relay.
func New(options Options) *Node {
	self := options.Self
	n := &Node{
		self: self, life: options.Life, linkBytesPerSecond: options.LinkBytesPerSecond,
		relayStates: make(map[string]*peerState), hubStates: make(map[string]*peerState), receiverStates: make(map[string]*receiverState),
	}
	n.resetSendState()
	n.SetMembers([]Member{self})
	return n
}

// SetMembers sets the relays that are alive. This relay is always one of them.
func (n *Node) SetMembers(members []Member) {
	zones := map[string][]string{n.self.Zone: {n.self.Address}}
	for _, member := range members {
		if member.Address != n.self.Address {
			zones[member.Zone] = append(zones[member.Zone], member.Address)
		}
	}
	n.zoneByHub = make(map[string]string)
	for zone, addresses := range zones {
		if zone != n.self.Zone {
			n.zoneByHub[distribution.Home(zone, addresses, hubKey)] = zone
		}
	}
	previousHub := n.hub
	n.hub = distribution.Home(n.self.Zone, zones[n.self.Zone], hubKey)
	if n.hub != previousHub {
		n.resetSendState()
	}
	n.zonePeers = slices.Sorted(slices.Values(zones[n.self.Zone][1:]))
	n.dropAbsent()
}

// resetSendState forgets everything sent so far. It is called when the hub of the zone changes.
func (n *Node) resetSendState() {
	n.zoneBroadcast = newBroadcast(minChange, Load.isNonzero)
	n.hubBroadcast = newBroadcast(minZoneChange, Load.isRelevantToOtherZones)
	clear(n.receiverStates)
	n.sentReports = nil
}

// dropAbsent drops the state of relays that are gone, and of those from which this relay no longer expects messages.
func (n *Node) dropAbsent() {
	maps.DeleteFunc(n.relayStates, func(address string, _ *peerState) bool { return !n.isHub() || !slices.Contains(n.zonePeers, address) })
	maps.DeleteFunc(n.hubStates, func(address string, _ *peerState) bool { return !n.isHub() || n.zoneByHub[address] == "" })
	maps.DeleteFunc(n.receiverStates, func(address string, _ *receiverState) bool {
		return address != n.hub && !slices.Contains(n.zonePeers, address) && n.zoneByHub[address] == ""
	})
}

func (n *Node) isHub() bool { return n.hub == n.self.Address }

// Tick sets the current report of this relay and returns the messages that are due. It must be called at least every LocalInterval.
func (n *Node) Tick(now time.Time, ownReport Report) []Send {
	n.ownReport = ownReport
	n.queuedPrefills.add(n.self.Address, ownReport.Prefills)
	if !n.isHub() {
		return n.sendReport(now)
	}
	zoneLoads := n.ownZoneLoads(now)
	allLoads := n.otherZoneLoads(now)
	allLoads.add(zoneLoads)
	sends := n.sendToGroup(nil, now, groupUpdate{
		broadcast: &n.zoneBroadcast, receivers: n.zonePeers, minInterval: LocalInterval, loads: allLoads, maxEntries: maxEntries,
		sumsFor: func(receiver string) Sums { return n.sumsExcept(now, receiver) },
		setLoads: func(message *workloadpb.Message, receiver string, loads *workloadpb.Loads) {
			message.All, message.IncludedReport = loads, n.includedReport(now, receiver)
		},
	})
	return n.sendToGroup(sends, now, groupUpdate{
		broadcast: &n.hubBroadcast, receivers: slices.Sorted(maps.Keys(n.zoneByHub)), minInterval: n.zoneInterval(), loads: zoneLoads,
		maxEntries:          maxZoneEntries,
		ownZonePrefillsOnly: true,
		sumsFor:             func(string) Sums { return n.ownZoneSums(now) },
		setLoads: func(message *workloadpb.Message, receiver string, loads *workloadpb.Loads) {
			message.Zone, message.SnapshotWanted = loads, n.hubStates[receiver].hasGap(now)
		},
	})
}

// zoneInterval returns the minimum time between two updates to other zones. It grows with the number of zones, so that the bandwidth
// used by a hub stays bounded.
func (n *Node) zoneInterval() time.Duration {
	return ZoneInterval * time.Duration(max(1, (len(n.zoneByHub)+zonesPerInterval-1)/zonesPerInterval))
}

// Others returns the loads and sums of all other relays, as far as they are known. If ok is false, nothing is known and the caller has to
// estimate them.
func (n *Node) Others(now time.Time) (loads Loads, sums Sums, ok bool) {
	if !n.isHub() {
		if !n.othersState.isFresh(now) {
			return nil, nil, false
		}
		loads = make(Loads, len(n.othersState.loads))
		n.othersState.addTo(loads, now)
		return loads, n.othersState.sums, true
	}
	loads, sums = n.otherZoneLoads(now), make(Sums)
	for _, peers := range []map[string]*peerState{n.relayStates, n.hubStates} {
		addFreshSums(sums, now, peers)
	}
	addFreshLoads(loads, now, n.relayStates)
	return loads, sums, true
}

// TakePrefills returns the prefills that other relays have reported since the last call.
func (n *Node) TakePrefills() []Prefill {
	receivedPrefills := n.receivedPrefills
	n.receivedPrefills = nil
	return receivedPrefills
}

// Stats describes how much a relay knows of the loads of others, for metrics.
type Stats struct {
	Hub    bool // this relay is the hub of its zone
	Known  bool // the loads of the other relays are known
	Relays int  // on a hub: relays of the own zone whose loads are current
	Zones  int  // on a hub: other zones whose loads are current
}

// Stats returns how much is known of the loads of other relays.
func (n *Node) Stats(now time.Time) Stats {
	count := func(peers map[string]*peerState) (fresh int) {
		for _, peer := range peers {
			if peer.isFresh(now) {
				fresh++
			}
		}
		return fresh
	}
	return Stats{Hub: n.isHub(), Known: n.isHub() || n.othersState.isFresh(now), Relays: count(n.relayStates), Zones: count(n.hubStates)}
}
