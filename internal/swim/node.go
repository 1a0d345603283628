package swim

import (
	"math/rand/v2"
	"slices"
	"time"

	"wallflow/internal/swim/swimpb"
)

// Node is the membership of one process. It is not safe for concurrent use. The times that it is given should come from
// time.Now, so that steps of the wall clock do not matter after the start.
type Node struct {
	timing timing
	random *rand.Rand
	seeds  []string
	table  *table
	self   *peer
	output Output

	now      time.Time // of the present call
	started  time.Time
	lastTick time.Time
	health   int // 0 is well; waits grow with it

	sequence      uint32
	probes        []*probe
	relayedProbes []*relayedProbe
	urgent        []check
	suspects      []*peer // those that were suspect after the last Tick, and newer ones

	updates      updateQueue
	nextGossip   time.Time
	spreadWanted bool // updates are to be sent at the end of this call
	inExchange   bool // the states of a full exchange are being taken in

	joined         bool
	nextJoin       time.Time
	nextSeed       int
	nextCompare    time.Time
	nextRandom     time.Time
	nextStranger   time.Time
	nextAnswerSync time.Time
}

// New starts the membership of a process that knows nobody yet.
func New(options Options, now time.Time) *Node {
	times := newTiming(options.ContactBound)
	node := &Node{
		timing:       times,
		random:       options.Random,
		table:        newTable(),
		now:          now,
		started:      now,
		lastTick:     now,
		sequence:     options.Random.Uint32(),
		updates:      newUpdateQueue(),
		nextJoin:     now,
		nextSeed:     options.Random.IntN(1 << 16),
		nextCompare:  now.Add(times.compareEarly),
		nextRandom:   now.Add(times.random),
		nextStranger: now.Add(times.random),
	}
	self := options.Self
	self.Incarnation = uint64(max(now.UnixMilli(), 1))
	self.Status = Alive
	node.self = &peer{Member: self, nameHash: hashName(self.Name), since: now}
	node.table.byName[self.Name] = node.self
	node.table.place(node.self)
	node.table.enter(node.self)
	node.SetSeeds(options.Seeds)
	return node
}

// SetSeeds replaces the seeds; the own address among them is left out.
func (n *Node) SetSeeds(seeds []string) {
	n.seeds = slices.DeleteFunc(slices.Clone(seeds), func(seed string) bool { return seed == n.self.Address })
}

// Tick does what is due. The owner calls it every 50 to 100 ms.
func (n *Node) Tick(now time.Time) Output {
	n.observe(now)
	n.lastTick = now
	if n.self.Status == Left {
		n.gossip(now)
		return n.take()
	}
	n.join(now)
	n.settleProbes(now)
	n.settleRelayedProbes(now)
	n.settleSuspicions(now)
	n.startProbes(now)
	n.compare(now)
	n.contactStranger(now)
	n.gossip(now)
	n.table.forgetBefore(now.Add(-n.timing.graveLifetime))
	return n.take()
}

// observe notices that this process did not run for a while: its open probes prove nothing then.
func (n *Node) observe(now time.Time) {
	n.now = now
	gap := now.Sub(n.lastTick)
	if gap <= maxTickGap {
		return
	}
	n.lastTick = now
	n.health = min(n.health+1, maxHealth)
	n.probes = n.probes[:0]
	n.relayedProbes = n.relayedProbes[:0]
	for _, suspect := range n.suspects {
		if suspect.suspicion != nil {
			suspect.suspicion.started = suspect.suspicion.started.Add(gap)
		}
	}
}

// Receive takes a message that came from an internal address.
func (n *Node) Receive(now time.Time, from string, message *swimpb.Message) Output {
	n.observe(now)
	if from == n.self.Address {
		return n.take()
	}
	n.mergeAll(now, message)
	n.correct(from, message)
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
	return n.take()
}

// mergeAll takes in the states that a message carries.
func (n *Node) mergeAll(now time.Time, message *swimpb.Message) {
	n.inExchange = message.GetType() == swimpb.Type_TYPE_STATES
	for _, state := range message.GetStates() {
		if told, ok := decodeState(state); ok {
			n.merge(now, told)
		}
	}
	n.inExchange = false
}

// correct tells a sender that still suspects members that they have refuted since: it may be the one that the refutation missed, and
// would declare them dead.
func (n *Node) correct(from string, message *swimpb.Message) {
	var newer []*swimpb.State
	for _, state := range message.GetStates() {
		known := n.table.byName[state.GetName()]
		if state.GetStatus() == swimpb.Status_STATUS_SUSPECT && known != nil && known.Status == Alive && known.Incarnation > state.GetIncarnation() {
			newer = append(newer, encodeMember(known.Member, "", true))
		}
	}
	if len(newer) > 0 {
		n.datagram(from, &swimpb.Message{Type: swimpb.Type_TYPE_GOSSIP, States: trim(newer)})
	}
}

// Heard tells that a message came from a process over a connection, which counts as an acknowledgement: a connection needs
// both directions.
func (n *Node) Heard(now time.Time, address string) {
	if known := n.table.byAddress[address]; known != nil && known != n.self {
		known.heard = now
	}
}

// SetMeta changes what this process tells of itself, with a new incarnation.
func (n *Node) SetMeta(now time.Time, meta Meta) Output {
	n.now = now
	if n.self.Status == Left || n.self.Meta.Equal(meta) {
		return n.take()
	}
	n.table.withdraw(n.self)
	n.self.Meta = meta
	n.self.Incarnation++
	n.table.enter(n.self)
	n.announceSelf()
	n.changed(n.self)
	return n.take()
}

// announceSelf spreads the own state at once.
func (n *Node) announceSelf() {
	n.tell(n.self, "")
	n.spreadWanted = true
}

// Leave tells the others that this process goes. It probes nobody from then on, but passes updates on.
func (n *Node) Leave(now time.Time) Output {
	n.now = now
	if n.self.Status == Left {
		return n.take()
	}
	n.self.Status = Left
	n.table.withdraw(n.self)
	n.probes, n.relayedProbes, n.urgent = nil, nil, nil
	n.announceSelf()
	n.spread(now)
	n.changed(n.self)
	return n.take()
}

// Members returns all members that are not dead or left, this process included, sorted by name. The slice stays valid but
// must not be written to.
func (n *Node) Members() []Member { return n.table.list() }

// Find returns a member by name, also one that is dead or left as long as it is remembered.
func (n *Node) Find(name string) (Member, bool) {
	known, ok := n.table.byName[name]
	if !ok {
		return Member{}, false
	}
	return known.Member, true
}
