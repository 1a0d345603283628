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
	simTick       = 75 * time.Millisecond
	simBound      = 4 * time.Second
	zoneDelay     = 900 * time.Microsecond
	regionDelay   = 35 * time.Millisecond
	datagramLimit = 1199 // one byte is the transport's
	headerBytes   = 28   // of IP and UDP
)

var simEpoch = time.Date(2026, 3, 1, 8, 0, 0, 0, time.UTC)

// machine is one process in the virtual network.
type machine struct {
	self        Member
	node        *Node
	life        int
	clockOffset time.Duration
	frozenUntil time.Time
	waiting     []func()
	died        map[string]time.Time // when it took others for dead
}

// network is a virtual network of processes.
type network struct {
	t        testing.TB
	random   *rand.Rand
	now      time.Time
	events   virtualtime.Queue
	machines map[string]*machine // by address
	all      []*machine
	seeds    []string
	loss     float64
	blocked  func(from, to *machine) bool

	crossBytes, bytes, datagrams, messageBytes int
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

// run plays events for a span of virtual time.
func (n *network) run(span time.Duration) {
	end := n.now.Add(span)
	for {
		at, happen, due := n.events.Next(end)
		if !due {
			break
		}
		n.now = at
		happen()
	}
	n.now = end
}

// runUntil plays events until the condition holds, and returns how long that took.
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

// add puts a machine into a region that has one zone; it is not started.
func (n *network) add(region string) *machine { return n.addIn(region, region+"-hall-a") }

// addIn puts a machine into a zone; it is not started.
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

// start begins a life of a machine with an empty memory.
func (n *network) start(started *machine) {
	started.life++
	started.died = map[string]time.Time{}
	started.waiting = nil
	started.frozenUntil = time.Time{}
	started.node = New(Options{
		Self:         started.self,
		Seeds:        n.seeds,
		ContactBound: simBound,
		Random:       rand.New(rand.NewPCG(n.random.Uint64(), 1)),
	}, n.clock(started))
	life := started.life
	n.at(n.now.Add(time.Duration(n.random.Int64N(int64(simTick)))), func() { n.tick(started, life) })
}

func (n *network) clock(of *machine) time.Time { return n.now.Add(of.clockOffset) }

func (n *network) tick(ticked *machine, life int) {
	if ticked.life != life || ticked.node == nil {
		return
	}
	if ticked.frozenUntil.After(n.now) {
		n.at(ticked.frozenUntil, func() { n.tick(ticked, life) })
		return
	}
	n.deliver(ticked, ticked.node.Tick(n.clock(ticked)))
	n.at(n.now.Add(simTick), func() { n.tick(ticked, life) })
}

// kill ends a machine's life.
func (n *network) kill(killed *machine) {
	killed.node = nil
	killed.life++
}

// freeze stops a machine for a while; what arrives waits.
func (n *network) freeze(frozen *machine, span time.Duration) {
	frozen.frozenUntil = n.now.Add(span)
	life := frozen.life
	n.at(frozen.frozenUntil, func() {
		if frozen.life != life {
			return
		}
		waiting := frozen.waiting
		frozen.waiting = nil
		for _, run := range waiting {
			run()
		}
	})
}

func (n *network) deliver(sender *machine, output Output) {
	for _, member := range output.Changed {
		if member.Status == Dead {
			sender.died[member.Name] = n.now
		}
	}
	for _, send := range output.Datagrams {
		size := proto.Size(send.Message)
		assert.Assert(n.t, size <= datagramLimit, "datagram of %d bytes: %v", size, send.Message.GetType())
		n.datagrams++
		n.bytes += size + headerBytes
		if target := n.machines[send.To]; target != nil && target.self.Meta.Region != sender.self.Meta.Region {
			n.crossBytes += size + headerBytes
		}
		if n.random.Float64() < n.loss {
			continue
		}
		n.send(sender, send)
	}
	for _, send := range output.Messages {
		n.messageBytes += proto.Size(send.Message)
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
	life := target.life
	receive := func() {
		if target.life == life {
			n.deliver(target, target.node.Receive(n.clock(target), from, send.Message))
		}
	}
	if target.frozenUntil.After(n.now) {
		target.waiting = append(target.waiting, receive)
		return
	}
	receive()
}

// fleet builds and starts members spread over three regions, within 0.3 s in any order, and lets them find each other.
func fleet(t testing.TB, seed uint64, members int) *network {
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

// settled is a fleet whose members know each other.
func settled(t testing.TB, seed uint64, members int) *network {
	t.Helper()
	n := fleet(t, seed, members)
	_, ok := n.runUntil(20*time.Second, n.complete)
	assert.Assert(t, ok, "the members did not find each other")
	n.run(5 * time.Second)
	return n
}

// complete reports whether every running machine knows exactly the running ones, all of them alive.
func (n *network) complete() bool {
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

// agree reports whether all of the given machines see another one with a status.
func agree(among []*machine, about *machine, status Status) bool {
	for _, each := range among {
		if member, ok := each.node.Find(about.self.Name); each != about && (!ok || member.Status != status) {
			return false
		}
	}
	return true
}

// stopServing has a member tell that it does not serve any more, and returns how long it takes until all know.
func (n *network) stopServing(changed *machine, limit time.Duration) time.Duration {
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

// deaths counts how often running machines took each other for dead since their start.
func (n *network) deaths() int {
	count := 0
	for _, each := range n.running() {
		count += len(each.died)
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
