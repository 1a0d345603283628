package swim

import (
	"math/rand/v2"
	"slices"
	"time"

	"wallflow/internal/swim/swimpb"
)

// Node is the membership protocol of one process. It is not safe for concurrent use. Callers should pass times from
// time.Now: their monotonic clock reading keeps later steps of the wall clock from having an effect.
type Node struct {
	timing timing
	random *rand.Rand
	seeds  []string
	table  *table
	self   *peer
	output Output

	now         time.Time // time of the current call
	started     time.Time
	lastTick    time.Time
	healthScore int // local health as in Lifeguard: 0 is healthy; probe timeouts grow with it

	sequence      uint32
	probes        []*probe
	relayedProbes []*relayedProbe
	queuedProbes  []probeRequest
	suspects      []*peer // includes members that have refuted since the last Tick

	updates        updateQueue
	nextGossip     time.Time
	gossipPending  bool // queued updates are sent at the end of the current call
	inFullExchange bool // the states of a full exchange are being merged

	joined            bool
	nextJoin          time.Time
	seedIndex         int
	nextDigest        time.Time
	nextRandomProbe   time.Time
	nextRecontact     time.Time
	nextTriggeredSync time.Time
}

// New returns the membership of a process that knows no other members yet.
func New(options Options, now time.Time) *Node {
	times := newTiming(options.ContactBound)
	node := &Node{
		timing:          times,
		random:          options.Random,
		table:           newTable(),
		now:             now,
		started:         now,
		lastTick:        now,
		sequence:        options.Random.Uint32(),
		updates:         newUpdateQueue(),
		nextJoin:        now,
		seedIndex:       options.Random.IntN(1 << 16),
		nextDigest:      now.Add(times.initialDigestInterval),
		nextRandomProbe: now.Add(times.randomProbeInterval),
		nextRecontact:   now.Add(times.randomProbeInterval),
	}
	self := options.Self
	self.Incarnation = uint64(max(now.UnixMilli(), 1))
	self.Status = Alive
	node.self = &peer{Member: self, nameHash: hashName(self.Name), statusSince: now}
	node.table.byName[self.Name] = node.self
	node.table.indexAddress(node.self)
	node.table.insert(node.self)
	node.SetSeeds(options.Seeds)
	return node
}

// SetSeeds replaces the seeds. The address of this process is left out if it is among them.
func (n *Node) SetSeeds(seeds []string) {
	n.seeds = slices.DeleteFunc(slices.Clone(seeds), func(seed string) bool { return seed == n.self.Address })
}

// Tick performs all work that is due. The caller should call it every 50 to 100 ms.
func (n *Node) Tick(now time.Time) Output {
	n.detectPause(now)
	n.lastTick = now
	if n.self.Status == Left {
		n.gossip(now)
		return n.takeOutput()
	}
	n.join(now)
	n.advanceProbes(now)
	n.advanceRelayedProbes(now)
	n.expireSuspicions(now)
	n.startDueProbes(now)
	n.compareDigests(now)
	n.recontactAbsent(now)
	n.gossip(now)
	n.table.expireTombstones(now.Add(-n.timing.tombstoneLifetime))
	return n.takeOutput()
}

// detectPause detects that this process was paused, for example by a starved CPU. The probes in flight are dropped
// because answers may have gone unread, and suspicions are extended by the length of the pause.
func (n *Node) detectPause(now time.Time) {
	n.now = now
	gap := now.Sub(n.lastTick)
	if gap <= maxTickGap {
		return
	}
	n.lastTick = now
	n.healthScore = min(n.healthScore+1, maxHealthScore)
	n.probes = n.probes[:0]
	n.relayedProbes = n.relayedProbes[:0]
	for _, suspected := range n.suspects {
		if suspected.suspicion != nil {
			suspected.suspicion.started = suspected.suspicion.started.Add(gap)
		}
	}
}

// Receive processes a message that came from the internal address from.
func (n *Node) Receive(now time.Time, from string, message *swimpb.Message) Output {
	n.detectPause(now)
	if from == n.self.Address {
		return n.takeOutput()
	}
	n.mergeStates(now, message)
	n.sendRefutations(from, message)
	switch message.GetType() {
	case swimpb.Type_TYPE_PING:
		n.onPing(from, message)
	case swimpb.Type_TYPE_ACK:
		n.onAck(now, from, message)
	case swimpb.Type_TYPE_PING_REQUEST:
		n.onPingRequest(now, from, message)
	case swimpb.Type_TYPE_NACK:
		n.onNack(message)
	case swimpb.Type_TYPE_JOIN:
		n.onJoin(from)
	case swimpb.Type_TYPE_DIGEST:
		n.onDigest(from, message)
	case swimpb.Type_TYPE_SUMMARY:
		n.onSummary(from, message)
	case swimpb.Type_TYPE_STATES:
		n.onStates(from, message)
	}
	return n.takeOutput()
}

// mergeStates applies the states that a message carries.
func (n *Node) mergeStates(now time.Time, message *swimpb.Message) {
	n.inFullExchange = message.GetType() == swimpb.Type_TYPE_STATES
	for _, state := range message.GetStates() {
		if reported, ok := decodeState(state); ok {
			n.merge(now, reported)
		}
	}
	n.inFullExchange = false
}

// sendRefutations sends newer states to a sender that still suspects members that have refuted. The sender may have
// missed the refutation and would otherwise declare them dead.
func (n *Node) sendRefutations(from string, message *swimpb.Message) {
	var newer []*swimpb.State
	for _, state := range message.GetStates() {
		known := n.table.byName[state.GetName()]
		if state.GetStatus() == swimpb.Status_STATUS_SUSPECT && known != nil &&
			known.Status == Alive && known.Incarnation > state.GetIncarnation() {
			newer = append(newer, encodeMember(known.Member, "", true))
		}
	}
	if len(newer) > 0 {
		n.datagram(from, &swimpb.Message{Type: swimpb.Type_TYPE_GOSSIP, States: trimToDatagram(newer)})
	}
}

// RecordContact records that a message came from a process over a connection. It counts as an acknowledgement, because a
// connection works only if messages pass in both directions.
func (n *Node) RecordContact(now time.Time, address string) {
	if known := n.table.byAddress[address]; known != nil && known != n.self {
		known.lastContact = now
	}
}

// SetMeta replaces the metadata of this process and raises its incarnation.
func (n *Node) SetMeta(now time.Time, meta Meta) Output {
	n.now = now
	if n.self.Status == Left || n.self.Meta.Equal(meta) {
		return n.takeOutput()
	}
	n.table.remove(n.self)
	n.self.Meta = meta
	n.self.Incarnation++
	n.table.insert(n.self)
	n.announceSelf()
	n.changed(n.self)
	return n.takeOutput()
}

// announceSelf queues the state of this process and sends it at the end of the current call.
func (n *Node) announceSelf() {
	n.queueUpdate(n.self, "")
	n.gossipPending = true
}

// Leave announces that this process stops. From then on it starts no probes, but still passes updates on.
func (n *Node) Leave(now time.Time) Output {
	n.now = now
	if n.self.Status == Left {
		return n.takeOutput()
	}
	n.self.Status = Left
	n.table.remove(n.self)
	n.probes, n.relayedProbes, n.queuedProbes = nil, nil, nil
	n.announceSelf()
	n.sendGossip(now)
	n.changed(n.self)
	return n.takeOutput()
}

// Members returns all members that are alive or suspected, including this process, sorted by name. The slice stays
// valid but must not be modified.
func (n *Node) Members() []Member { return n.table.liveMembers() }

// Find returns a member by name. Members that are dead or have left are found as long as they are remembered.
func (n *Node) Find(name string) (Member, bool) {
	known, ok := n.table.byName[name]
	if !ok {
		return Member{}, false
	}
	return known.Member, true
}
