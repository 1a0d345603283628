package swim

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"wallflow/internal/virtualtime"
)

const (
	simTick          = 75 * time.Millisecond
	simContactBound  = 4 * time.Second
	zoneDelay        = 900 * time.Microsecond
	regionDelay      = 35 * time.Millisecond
	maxDatagramBytes = 1199 // 1,200 bytes less one that the transport adds
	ipUDPHeaderBytes = 28   // sizes of the IPv4 and UDP headers
)

var simEpoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// machine is one process in the simulated network.
type machine struct {
	self            Member
	node            *Node
	incarnation     int // counts starts and stops, so that events of an earlier run are ignored
	clockOffset     time.Duration
	frozenUntil     time.Time
	delayedMessages []func()             // arrived while frozen
	deathsSeen      map[string]time.Time // by name: when this machine learned that another one is dead
}

// network is a simulated network of processes in virtual time.
type network struct {
	t        testing.TB
	random   *rand.Rand
	now      time.Time
	events   virtualtime.Queue
	machines map[string]*machine // by address
	all      []*machine          // in the order of their creation
	seeds    []string
	loss     float64 // probability that a datagram is lost
	blocked  func(from, to *machine) bool

	crossRegionBytes, datagramBytes, datagrams, exchangeBytes int // traffic counters
}

func newNetwork(t testing.TB, seed uint64) *network {
	return &network{
		t:        t,
		random:   rand.New(rand.NewPCG(seed, 7)),
		now:      simEpoch,
		machines: map[string]*machine{},
		blocked:  func(_, _ *machine) bool { return false },
	}
}

func (n *network) at(when time.Time, run func()) { n.events.At(when, run) }

// run executes the events of a span of virtual time.
func (n *network) run(span time.Duration) {
	end := n.now.Add(span)
	for {
		at, execute, due := n.events.PopDue(end)
		if !due {
			break
		}
		n.now = at
		execute()
	}
	n.now = end
}

// runUntil executes events until the condition holds. It returns the virtual time that passed and whether the
// condition holds.
func (n *network) runUntil(limit time.Duration, condition func() bool) (time.Duration, bool) {
	start := n.now
	for n.now.Sub(start) < limit {
		if condition() {
			return n.now.Sub(start), true
		}
		n.run(10 * time.Millisecond)
	}
	return limit, condition()
}

// add adds a machine to a region with a single zone, without starting it.
func (n *network) add(region string) *machine { return n.addIn(region, region+"-hall-a") }

// addIn adds a machine to a zone, without starting it.
func (n *network) addIn(region, zone string) *machine {
	index := len(n.all)
	added := &machine{self: Member{
		Name:    fmt.Sprintf("%s-%03d", region, index),
		Address: fmt.Sprintf("10.0.%d.%d:7000", index/200, index%200+1),
		Meta: Meta{
			Class: "edge", Role: "proxy", Zone: zone, Region: region,
			Front: fmt.Sprintf("10.0.%d.%d:8161", index/200, index%200+1),
			Ready: fmt.Sprintf("10.0.%d.%d:8167", index/200, index%200+1), Serving: true,
		},
	}}
	n.machines[added.self.Address] = added
	n.all = append(n.all, added)
	return added
}

// start starts a machine with no stored state.
func (n *network) start(started *machine) {
	started.incarnation++
	started.deathsSeen = map[string]time.Time{}
	started.delayedMessages = nil
	started.frozenUntil = time.Time{}
	started.node = New(Options{
		Self:         started.self,
		Seeds:        n.seeds,
		ContactBound: simContactBound,
		Random:       rand.New(rand.NewPCG(n.random.Uint64(), 1)),
	}, n.clock(started))
	incarnation := started.incarnation
	n.at(n.now.Add(time.Duration(n.random.Int64N(int64(simTick)))), func() { n.tick(started, incarnation) })
}

// clock returns the time on the wall clock of a machine.
func (n *network) clock(owner *machine) time.Time { return n.now.Add(owner.clockOffset) }

func (n *network) tick(ticked *machine, incarnation int) {
	if ticked.incarnation != incarnation || ticked.node == nil {
		return
	}
	if ticked.frozenUntil.After(n.now) {
		n.at(ticked.frozenUntil, func() { n.tick(ticked, incarnation) })
		return
	}
	n.deliver(ticked, ticked.node.Tick(n.clock(ticked)))
	n.at(n.now.Add(simTick), func() { n.tick(ticked, incarnation) })
}

// kill stops a machine without an announcement.
func (n *network) kill(killed *machine) {
	killed.node = nil
	killed.incarnation++
}

// freeze pauses a machine for a span. Messages that arrive meanwhile are processed afterwards.
func (n *network) freeze(frozen *machine, span time.Duration) {
	frozen.frozenUntil = n.now.Add(span)
	incarnation := frozen.incarnation
	n.at(frozen.frozenUntil, func() {
		if frozen.incarnation != incarnation {
			return
		}
		delayed := frozen.delayedMessages
		frozen.delayedMessages = nil
		for _, run := range delayed {
			run()
		}
	})
}

// deliver sends the output of a machine, loses datagrams at random and counts the traffic.
func (n *network) deliver(sender *machine, output Output) {
	for _, member := range output.Changed {
		if member.Status == Dead {
			sender.deathsSeen[member.Name] = n.now
		}
	}
	for _, send := range output.Datagrams {
		size := proto.Size(send.Message)
		assert.Assert(n.t, size <= maxDatagramBytes, "datagram of %d bytes: %v", size, send.Message.GetType())
		n.datagrams++
		n.datagramBytes += size + ipUDPHeaderBytes
		if target := n.machines[send.To]; target != nil && target.self.Meta.Region != sender.self.Meta.Region {
			n.crossRegionBytes += size + ipUDPHeaderBytes
		}
		if n.random.Float64() < n.loss {
			continue
		}
		n.send(sender, send)
	}
	for _, send := range output.Messages {
		n.exchangeBytes += proto.Size(send.Message)
		n.send(sender, send)
	}
}

func (n *network) send(sender *machine, send Send) {
	target := n.machines[send.To]
	if target == nil || n.blocked(sender, target) {
		return
	}
	delay := zoneDelay
	if target.self.Meta.Region != sender.self.Meta.Region {
		delay = regionDelay
	}
	delay += time.Duration(n.random.Int64N(int64(4 * time.Millisecond)))
	from := sender.self.Address
	n.at(n.now.Add(delay), func() { n.arrive(target, from, send) })
}

func (n *network) arrive(target *machine, from string, send Send) {
	if target.node == nil {
		return
	}
	incarnation := target.incarnation
	receive := func() {
		if target.incarnation == incarnation {
			n.deliver(target, target.node.Receive(n.clock(target), from, send.Message))
		}
	}
	if target.frozenUntil.After(n.now) {
		target.delayedMessages = append(target.delayedMessages, receive)
		return
	}
	receive()
}

// startFleet creates members in three regions and starts them in random order within 0.3 s.
func startFleet(t testing.TB, seed uint64, members int) *network {
	t.Helper()
	n := newNetwork(t, seed)
	regions := []string{"tema", "takoradi", "kumasi"}
	for index := range members {
		n.add(regions[index%len(regions)])
	}
	for _, seedMachine := range n.all[:min(3, members)] {
		n.seeds = append(n.seeds, seedMachine.self.Address)
	}
	for _, index := range n.random.Perm(members) {
		started := n.all[index]
		n.at(n.now.Add(time.Duration(n.random.Int64N(int64(300*time.Millisecond)))), func() { n.start(started) })
	}
	n.run(300 * time.Millisecond)
	return n
}

// convergedFleet returns a fleet whose members know each other.
func convergedFleet(t testing.TB, seed uint64, members int) *network {
	t.Helper()
	n := startFleet(t, seed, members)
	_, ok := n.runUntil(20*time.Second, n.converged)
	assert.Assert(t, ok, "the members did not find each other")
	n.run(5 * time.Second)
	return n
}

// converged reports whether every running machine knows exactly the running machines, all of them alive.
func (n *network) converged() bool {
	running := n.running()
	for _, each := range running {
		if len(each.node.Members()) != len(running) {
			return false
		}
		for _, other := range running {
			member, ok := each.node.Find(other.self.Name)
			if !ok || member.Status != Alive || member.Address != other.self.Address {
				return false
			}
		}
	}
	return true
}

func (n *network) running() []*machine {
	var running []*machine
	for _, each := range n.all {
		if each.node != nil && each.node.self.Status != Left {
			running = append(running, each)
		}
	}
	return running
}

// allSeeStatus reports whether all of the given machines believe that another one has a status.
func allSeeStatus(among []*machine, subject *machine, status Status) bool {
	for _, each := range among {
		if member, ok := each.node.Find(subject.self.Name); each != subject && (!ok || member.Status != status) {
			return false
		}
	}
	return true
}

// announceNotServing makes a member announce that it no longer serves, and returns the time until all members know.
func (n *network) announceNotServing(changed *machine, limit time.Duration) time.Duration {
	n.t.Helper()
	meta := changed.self.Meta
	meta.Serving = false
	n.deliver(changed, changed.node.SetMeta(n.clock(changed), meta))
	took, ok := n.runUntil(limit, func() bool {
		for _, each := range n.running() {
			if member, _ := each.node.Find(changed.self.Name); member.Meta.Serving {
				return false
			}
		}
		return true
	})
	assert.Assert(n.t, ok)
	return took
}

// countDeaths counts how often the running machines declared others dead since they started.
func (n *network) countDeaths() int {
	count := 0
	for _, each := range n.running() {
		count += len(each.deathsSeen)
	}
	return count
}

func (n *network) inRegion(region string) []*machine {
	var found []*machine
	for _, each := range n.all {
		if each.self.Meta.Region == region && each.node != nil {
			found = append(found, each)
		}
	}
	return found
}

func (n *network) outsideRegion(region string) []*machine {
	var found []*machine
	for _, each := range n.all {
		if each.self.Meta.Region != region && each.node != nil {
			found = append(found, each)
		}
	}
	return found
}
