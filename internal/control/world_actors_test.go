package control

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"wallflow/internal/chain"
	"wallflow/internal/config"
	"wallflow/internal/distribution"
	"wallflow/internal/distribution/feedpb"
	"wallflow/internal/registry"
	"wallflow/internal/swim"
	"wallflow/internal/swim/swimpb"
	"wallflow/internal/transport"
)

// relayMachine is a machine with a relay, of which the subscriber and the membership are played.
type relayMachine struct {
	*machine
	world      *world
	members    *swim.Node
	subscriber *distribution.Subscriber
	sources    []string
	generation uint64 // the newest one in force in this life
	revision   uint64
	network    simulatedNetwork
}

func (w *world) addRelay(zone string) *relayMachine {
	r := &relayMachine{machine: w.addMachine(zone), world: w}
	w.relays = append(w.relays, r)
	return r
}

func (r *relayMachine) start() {
	if r.up {
		return
	}
	w := r.world
	w.disturb(r.machine)
	r.up, r.life, r.frozen, r.sources, r.generation, r.revision = true, r.life+1, false, nil, 0, 0
	r.network = simulatedNetwork{w, r.machine, r.life}
	set := w.settingsOf(r.machine, false)
	r.members = swim.New(swim.Options{
		Self: swim.Member{Name: set.Node, Address: r.address, Meta: swim.Meta{
			Class: "edge", Zone: r.zone, Region: r.zone, Front: r.front(), Serving: true,
		}},
		Seeds:        set.SeedInternalAddresses(),
		ContactBound: w.bounds.Contact(),
		Random:       rand.New(rand.NewPCG(w.random.Uint64(), 1)),
	}, w.now)
	r.subscriber = distribution.NewSubscriber(distribution.SubscriberOptions{
		Self: r.address, ApplyPatch: config.ApplyTrustedPatch,
	}, w.now)
	r.take = r.receive
	r.tick(r.life)
}

func (r *relayMachine) front() string { return r.address + "0" }

func (r *relayMachine) kill() {
	if !r.up {
		return
	}
	r.world.disturb(r.machine)
	r.up = false
	r.life++
}

func (r *relayMachine) tick(life int) {
	if r.life != life {
		return
	}
	w := r.world
	if !r.frozen {
		r.spread(r.members.Tick(w.now))
		r.takeSources()
		r.deliver(r.subscriber.Tick(w.now))
		r.check()
	}
	w.after(worldTick, func() { r.tick(life) })
}

// takeSources orders the control processes as a relay in service does: those of the zone first.
func (r *relayMachine) takeSources() {
	var sources []swim.Member
	for _, member := range r.members.Members() {
		if member.Meta.Control != "" {
			sources = append(sources, member)
		}
	}
	slices.SortFunc(sources, func(a, b swim.Member) int {
		ring := func(m swim.Member) int {
			if m.Meta.Zone == r.zone {
				return 0
			}
			return 1
		}
		return cmp.Or(cmp.Compare(ring(a), ring(b)), strings.Compare(a.Address, b.Address))
	})
	var ordered []string
	for _, source := range sources {
		ordered = append(ordered, source.Address)
	}
	if len(ordered) == 0 {
		ordered = r.world.settingsOf(r.machine, false).SeedInternalAddresses()
	}
	if !slices.Equal(ordered, r.sources) {
		r.sources = ordered
		r.deliver(r.subscriber.SetSources(r.world.now, ordered))
	}
}

func (r *relayMachine) receive(from string, kind transport.Kind, payload []byte) {
	w := r.world
	switch kind {
	case transport.KindSwim:
		message := new(swimpb.Message)
		if proto.Unmarshal(payload, message) == nil {
			r.spread(r.members.Receive(w.now, from, message))
		}
	case transport.KindFeed:
		message := new(feedpb.FeedMessage)
		if proto.Unmarshal(payload, message) == nil {
			r.deliver(r.subscriber.Receive(w.now, from, message))
		}
	}
}

func (r *relayMachine) spread(output swim.Output) {
	for _, datagram := range output.Datagrams {
		r.network.SendDatagram(datagram.To, transport.KindSwim, datagram.Message)
	}
	for _, message := range output.Messages {
		r.network.Send(message.To, transport.KindSwim, message.Message)
	}
}

func (r *relayMachine) deliver(output distribution.Output) {
	for _, send := range output.Sends {
		r.network.Send(send.To, transport.KindFeed, send.Message)
	}
	if !output.ConfigChanged {
		return
	}
	known := r.subscriber.Config()
	w := r.world
	if known.Generation < r.generation || known.Revision < r.revision {
		w.fail("relay %d went from version %d back to %d", r.number, r.generation, known.Generation)
	}
	r.generation, r.revision = known.Generation, known.Revision
	if document, err := config.Parse(known.Document); err != nil || document.Generation != known.Generation {
		w.fail("relay %d holds a document that is not version %d: %v", r.number, known.Generation, err)
		return
	}
	w.ledger.inForce(w, known.Generation, documentName(known.Document), fmt.Sprintf("relay %d", r.number))
}

// check holds what the rules say of a relay in touch.
func (r *relayMachine) check() {
	w := r.world
	if !w.inTouch(r.machine) {
		return
	}
	w.checks++
	if oldest := w.ledger.mustHold(w.now.Add(-w.bounds.ConfigApply())); r.generation < oldest {
		w.fail("relay %d holds version %d, %d was acknowledged %v ago or more", r.number, r.generation, oldest, w.bounds.ConfigApply())
	}
	instances := r.subscriber.Instances()
	for _, e := range w.endpoints {
		if e.ended || e.drainAcked.IsZero() || w.now.Sub(e.drainAcked) <= w.bounds.Drain() {
			continue // one that has ended can't be reached; it is compared at the end
		}
		if stateOf(instances, e.id) == registry.StateReady {
			w.fail("relay %d holds endpoint %s ready, %v after its departure was acknowledged", r.number, e.id, w.now.Sub(e.drainAcked))
		}
	}
	for zone, order := range w.ledger.zones {
		held := slices.ContainsFunc(r.subscriber.Config().Evacuated, func(e distribution.Evacuation) bool { return e.Zone == zone })
		if order.settled && order.evacuated && w.now.Sub(order.at) > w.bounds.Evac() && !held {
			w.fail("relay %d does not hold %s evacuated, %v after the order was acknowledged", r.number, zone, w.now.Sub(order.at))
		}
	}
}

// endpointMachine is one life of an endpoint.
type endpointMachine struct {
	world      *world
	id         string
	zone       string
	heartbeat  registry.Heartbeat
	control    *controlMachine // that it calls
	drainAcked time.Time
	leaving    bool
	ended      bool
}

func (w *world) addEndpoint() {
	number := len(w.endpoints)
	e := &endpointMachine{world: w, id: fmt.Sprintf("i-%d", number), zone: w.zones[number%len(w.zones)]}
	e.heartbeat = registry.Heartbeat{
		ID: e.id, Backend: "b", Address: fmt.Sprintf("10.9.0.%d:80", number), Zone: e.zone, Slots: 4, State: registry.StateReady,
	}
	w.endpoints = append(w.endpoints, e)
	w.after(2*time.Second+w.within(time.Second), e.call)
}

// call sends a heartbeat to a control process, which the endpoint leaves for another when it does not answer.
func (e *endpointMachine) call() {
	w := e.world
	if e.ended {
		return
	}
	again := 1200 * time.Millisecond
	if e.control == nil || !e.control.up || e.control.gone {
		e.control = w.controls[w.random.Intn(len(w.controls))]
		again = 200 * time.Millisecond
	}
	c := e.control
	if c.up && !c.frozen {
		e.heartbeat.Seq++
		heartbeat := e.heartbeat
		e.send(c, registry.StateDraining, func(now time.Time) registry.Change { return c.process.instances.Heartbeat(now, heartbeat) })
	}
	w.after(again, e.call)
}

// drain has the endpoint say that it leaves and, when that is acknowledged, serve on for a while and end.
func (e *endpointMachine) drain() {
	if e.leaving || e.ended {
		return
	}
	e.leaving = true
	e.heartbeat.State = registry.StateDraining
	e.control = nil
}

// end has the endpoint say that it is gone, to any control process, until one acknowledges it.
func (e *endpointMachine) end() {
	w := e.world
	e.ended = true
	c := w.controls[w.random.Intn(len(w.controls))]
	if c.up && !c.frozen {
		e.send(c, registry.StateGone, func(now time.Time) registry.Change { return c.process.instances.Leave(now, e.id) })
	}
	w.after(time.Second, func() {
		if e.drainAcked.IsZero() {
			e.end()
		}
	})
}

// send hands a process what the endpoint says, and waits for its answer as the handler of the process does.
func (e *endpointMachine) send(c *controlMachine, said registry.State, take func(now time.Time) registry.Change) {
	w := e.world
	life := c.life
	safe, id := c.process.spreadChange(take)
	leaving := e.leaving
	w.poll(replicatedWithin, func() bool {
		switch {
		case c.life != life:
			return true
		case safe == nil:
		default:
			select {
			case <-safe:
			default:
				return false
			}
		}
		if leaving && e.drainAcked.IsZero() {
			e.drainAcked = w.now
			w.after(w.bounds.Drain()+w.within(4*time.Second), e.end)
		}
		return true
	}, func() {
		if c.life == life {
			c.process.replicas.forget(id)
		}
		if e.control == c {
			e.control = nil
		}
	})
}

// poll looks every few milliseconds whether something is over, and for so long at most.
func (w *world) poll(within time.Duration, over func() bool, late func()) {
	const every = 5 * time.Millisecond
	if over() {
		return
	}
	if within <= 0 {
		late()
		return
	}
	w.after(every, func() { w.poll(within-every, over, late) })
}

// ledger is what operators were told, and what was seen in force.
type ledger struct {
	versions map[uint64]*version
	current  uint64 // the newest version that an operator knows to be in place
	acked    []ackedVersion
	zones    map[string]zoneOrder
}

// version is what is known of one version of the configuration.
type version struct {
	name    string // of the change that became it
	refused []string
	acked   bool
}

type ackedVersion struct {
	number uint64
	at     time.Time
}

// zoneOrder is the newest order about a zone.
type zoneOrder struct {
	evacuated bool
	settled   bool // acknowledged
	at        time.Time
}

func (l *ledger) of(number uint64) *version {
	if l.versions[number] == nil {
		l.versions[number] = &version{}
	}
	return l.versions[number]
}

// inForce notes that a change was seen as a version: there is one for each number, and none that was refused.
func (l *ledger) inForce(w *world, number uint64, name, where string) {
	known := l.of(number)
	if known.name != "" && known.name != name {
		w.fail("version %d is %s and at %s %s", number, known.name, where, name)
	}
	known.name = name
	if slices.Contains(known.refused, name) {
		w.fail("version %d at %s is %s, which was refused", number, where, name)
	}
}

// mustHold is the newest version that was acknowledged by a time.
func (l *ledger) mustHold(by time.Time) uint64 {
	newest := uint64(0)
	for _, each := range l.acked {
		if !each.at.After(by) {
			newest = max(newest, each.number)
		}
	}
	return newest
}

// operatorMachine sends one order after the other, and each again to any process until it has a clear answer.
type operatorMachine struct {
	world  *world
	number int
	orders int
	tries  int
	order  config.Order
	name   string
	target uint64 // version that the order makes
	done   func(status int, body []byte) bool
}

func (w *world) addOperator(number int) {
	o := &operatorMachine{world: w, number: number}
	w.operators = append(w.operators, o)
	w.after(1500*time.Millisecond, o.next)
}

// documentName finds the name of the change that made a document: that of its only route.
func documentName(document []byte) string {
	parsed, err := config.Parse(document)
	if err != nil || len(parsed.Routes) == 0 {
		return ""
	}
	return parsed.Routes[0].Name
}

func documentOf(generation uint64, name string) []byte {
	return fmt.Appendf(nil, `{"generation":%d,"routes":[{"name":%q,"host":"h","pathPrefix":"/a/","kind":"safe","timeoutMs":10,"backend":"b"}],`+
		`"backends":[{"name":"b"}]}`, generation, name)
}

func patchOf(generation uint64, before, name string) []byte {
	return fmt.Appendf(nil, `{"generation":%d,"upsert":{"routes":[{"name":%q,"host":"h","pathPrefix":"/a/","kind":"safe","timeoutMs":10,"backend":"b"}]},`+
		`"delete":{"routes":[%q]}}`, generation, name, before)
}

// next begins another order: a change of the configuration, whole or in part, on the newest version known, an evacuation or a read.
func (o *operatorMachine) next() {
	w := o.world
	o.orders++
	o.name = fmt.Sprintf("op%d-%d", o.number, o.orders)
	base := w.ledger.current
	switch kind := w.random.Intn(10); {
	case kind == 0 && base > 0:
		o.read()
		return
	case kind == 1 && base > 0 && o.number == 0:
		o.evacuate()
	default:
		o.change(base, kind%2 == 0)
	}
	o.send()
}

func (o *operatorMachine) change(base uint64, patch bool) {
	w := o.world
	o.target = base + 1 + uint64(w.random.Intn(2))
	o.order = config.Order{Kind: config.Put, Match: base, HasMatch: true, Body: documentOf(o.target, o.name)}
	if before := w.ledger.of(base).name; patch && before != "" {
		o.order.Kind, o.order.Body = config.Patch, patchOf(o.target, before, o.name)
	}
	target, name := o.target, o.name
	o.done = func(status int, body []byte) bool {
		switch status {
		case http.StatusOK:
			w.acked++
			if strike := w.atAcknowledgement; strike != nil {
				w.atAcknowledgement = nil
				strike()
			}
			w.ledger.inForce(w, target, name, "an acknowledgement")
			w.ledger.of(target).acked = true
			w.ledger.acked = append(w.ledger.acked, ackedVersion{target, w.now})
			w.ledger.current = max(w.ledger.current, target)
			return true
		case http.StatusPreconditionFailed, http.StatusBadRequest:
			known := w.ledger.of(target)
			known.refused = append(known.refused, name)
			if known.name == name {
				w.fail("%s was refused with %d %s and is version %d", name, status, body, target)
			}
			w.ledger.current = max(w.ledger.current, currentIn(body))
			return true
		}
		return false
	}
}

// currentIn reads the current version from a refusal, which names it.
func currentIn(body []byte) uint64 {
	var number uint64
	if _, err := fmt.Sscanf(string(body), "version %d is current", &number); err != nil {
		return 0
	}
	return number
}

func (o *operatorMachine) evacuate() {
	w := o.world
	if w.ledger.zones == nil {
		w.ledger.zones = make(map[string]zoneOrder)
	}
	zone := w.zones[w.random.Intn(len(w.zones))]
	order := zoneOrder{evacuated: !w.ledger.zones[zone].evacuated}
	o.order = config.Order{Kind: config.Restore, Zone: zone}
	if order.evacuated {
		o.order.Kind = config.Evacuate
	}
	w.ledger.zones[zone] = order
	o.done = func(status int, body []byte) bool {
		if status != http.StatusOK {
			return false
		}
		w.ledger.zones[zone] = zoneOrder{evacuated: order.evacuated, settled: true, at: w.now}
		return true
	}
}

// target is a process that an operator calls: of all that ever were.
func (o *operatorMachine) process() *controlMachine {
	return o.world.controls[o.world.random.Intn(len(o.world.controls))]
}

func (o *operatorMachine) send() {
	w := o.world
	o.tries++
	try := o.tries
	again := func(delay time.Duration) {
		w.after(delay, func() {
			if o.tries == try {
				w.unclear++
				o.send()
			}
		})
	}
	c := o.process()
	if !c.up || c.frozen {
		again(100*time.Millisecond + w.within(200*time.Millisecond))
		return
	}
	again(time.Second)
	const answersLost = 6 // one in so many
	lost := w.random.Intn(answersLost) == 0
	order := o.order
	if order.Zone != "" {
		order = c.process.zoneOrder(order.Kind, order.Zone)
	}
	w.ask(c, c.process.orderFor(order), func(answer chain.Answer) {
		status, body := orderOutcome(answer)
		if o.tries != try || lost {
			return
		}
		if !o.done(status, body) {
			again(50*time.Millisecond + w.within(200*time.Millisecond))
			return
		}
		o.tries++
		w.after(w.within(150*time.Millisecond), o.next)
	})
}

// ask asks a process and takes its answer as its handler does.
func (w *world) ask(c *controlMachine, asked question, done func(chain.Answer)) {
	life := c.life
	request, answered := c.process.pose(asked)
	w.poll(answerWithin, func() bool {
		if c.life != life {
			return true
		}
		select {
		case answer := <-answered:
			done(answer)
			return true
		default:
			return false
		}
	}, func() {
		if c.life == life {
			c.process.giveUp(request)
			done(chain.Answer{Request: request})
		}
	})
}

// read asks any process for the configuration: it is the newest that was acknowledged before, or a newer one, or none is told.
func (o *operatorMachine) read() {
	w := o.world
	c := o.process()
	least := w.ledger.mustHold(w.now)
	w.after(w.within(300*time.Millisecond), o.next)
	if !c.up || c.frozen {
		return
	}
	w.ask(c, c.process.chain.Read, func(answer chain.Answer) {
		status, body := readOutcome(answer)
		if status != http.StatusOK {
			return
		}
		w.freshReads++
		document, err := config.Parse(body)
		if err != nil {
			w.fail("a configuration that can't be read: %v", err)
			return
		}
		if document.Generation < least {
			w.fail("machine %d answers version %d, %d was acknowledged before", c.number, document.Generation, least)
		}
		w.ledger.inForce(w, document.Generation, documentName(body), "an answer")
	})
}
