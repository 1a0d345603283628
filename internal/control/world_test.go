package control

import (
	"fmt"
	"io"
	"log/slog"
	"math/rand"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"wallflow/internal/chain"
	"wallflow/internal/logfile"
	"wallflow/internal/registry"
	"wallflow/internal/settings"
	"wallflow/internal/testkit/simdisk"
	"wallflow/internal/transport"
	"wallflow/internal/virtualtime"
)

// world plays whole control planes under a virtual clock: control processes with simulated disks, relays' subscribers and membership,
// endpoints that send heartbeats, and operators. Equal seeds give equal runs.
type world struct {
	t      *testing.T
	random *rand.Rand
	now    time.Time
	events virtualtime.Queue
	bounds settings.Bounds
	zones  []string // the region of a zone has its name
	loss   float64
	oneWay time.Duration // between zones

	machines   []*machine // control processes and relays, by their place
	controls   []*controlMachine
	relays     []*relayMachine
	endpoints  []*endpointMachine
	operators  []*operatorMachine
	cut        map[[2]int]bool // from, to
	seed       int64
	links      map[[2]int]*link // from, to
	calmSince  time.Time        // the last trouble of the core
	tolerate   int
	retention  chain.Retention
	replaced   int
	ledger     ledger
	broken     []string
	acked      int // orders
	unclear    int
	directory  int // answers
	freshReads int
	snapshots  uint64 // that were sent
	rewrites   uint64 // of stores

	atAcknowledgement func()                         // what happens once, as the next order is acknowledged; nil: nothing
	seedsOf           func(*controlMachine) []string // of a process that starts again with its disk
	happened          []string                       // troubles, for the report of a walk that breaks something
	wholeCoreUntil    time.Time                      // all control processes were ended at once, or the core is in two halves
	halved            bool                           // the core is in two halves
	overlapped        bool                           // more machines were lost than are to be borne at once, and not all are back
	overlappedAt      time.Time                      // when that was so last
	checks            int                            // of relays in touch
}

// link is the way from one machine to another. It draws by itself, so that the order in which a process sends to several others, which
// is not fixed, changes nothing.
type link struct {
	random      *rand.Rand
	lastArrival time.Time     // of what was sent over a connection
	delay       time.Duration // on top of the usual one
	resets      int           // of its connections: what was under way then is lost or comes late
	held        []heldMessage // sent over a connection while the link was cut
}

// heldMessage is one that the sender's system sends again until the cut ends or it gives the connection up.
type heldMessage struct {
	kind    transport.Kind
	payload []byte
	sentAt  time.Time
}

// heldFor is how long that is: what waits in a queue and in the system's buffers of a process in service, together.
const heldFor = 2 * time.Second

func (w *world) linkOf(from, to *machine) *link {
	pair := [2]int{from.number, to.number}
	if w.links[pair] == nil {
		const machines = 1 << 10
		w.links[pair] = &link{random: rand.New(rand.NewSource((w.seed*machines+int64(from.number))*machines + int64(to.number)))}
	}
	return w.links[pair]
}

// machine is what all machines have.
type machine struct {
	number    int
	address   string
	zone      string
	up        bool
	frozen    bool
	life      int
	calmSince time.Time // the last trouble of this machine or its links
	take      func(from string, kind transport.Kind, payload []byte)
}

// worldEpoch is when every world begins.
var worldEpoch = time.Unix(1_000_000, 0)

const (
	worldTick    = 100 * time.Millisecond
	worldSync    = 5 * time.Millisecond
	worldFolder  = "/data"
	internalPort = 7700
	controlPort  = 8000
)

// worldOptions are the size of a world.
type worldOptions struct {
	controls, zones, relays, endpoints, tolerate int
}

func newWorld(t *testing.T, seed int64, options worldOptions) *world {
	w := &world{
		t:        t,
		random:   rand.New(rand.NewSource(seed)),
		now:      worldEpoch,
		cut:      make(map[[2]int]bool),
		seed:     seed,
		links:    make(map[[2]int]*link),
		oneWay:   time.Duration(1+seed%3*25) * time.Millisecond,
		tolerate: options.tolerate,
	}
	w.bounds = w.drawBounds()
	w.retention = w.drawRetention()
	w.ledger.versions = make(map[uint64]*version)
	w.seedsOf = w.drawSeeds
	for number := range options.zones {
		w.zones = append(w.zones, fmt.Sprintf("zone-%d", number))
	}
	for range options.controls {
		w.addControl(w.zones[len(w.controls)%len(w.zones)])
	}
	for range options.relays {
		w.addRelay(w.zones[len(w.relays)%len(w.zones)])
	}
	for _, control := range w.controls {
		w.after(w.within(300*time.Millisecond), func() { control.start(true) })
	}
	for _, relay := range w.relays {
		w.after(w.within(300*time.Millisecond), relay.start)
	}
	for range options.endpoints {
		w.addEndpoint()
	}
	for number := range 2 {
		w.addOperator(number)
	}
	w.calmSince = w.now
	w.watchLosses()
	return w
}

// drawBounds draws each bound from the range of the deployments that there are, in steps of a tenth of it. A bound drawn small beside
// one drawn large is a deployment that nobody has seen.
func (w *world) drawBounds() settings.Bounds {
	const steps = 10
	between := func(least, most float64) float64 {
		return least + (most-least)*float64(w.random.Intn(steps+1))/steps
	}
	contact := between(4000, 6000)
	return settings.Bounds{
		SeedLagS:        3,
		ContactMs:       contact,
		AckMs:           contact + between(1000, 2000),
		SyncS:           between(4, 6),
		DrainMs:         between(3000, 4000),
		GraceS:          8,
		ConfigApplyMs:   between(3000, 4000),
		RollbackSlackMs: 250,
		MaxSkewMs:       between(6000, 10000),
		EvacMs:          5000,
		RecoveryS:       between(12, 15),
		TTLMaxS:         5,
	}
}

// drawRetention draws what the core keeps of the past: as in service, or so little that a process that was away for a moment needs a
// snapshot, and that stores are rewritten all the time, as after hundreds of changes.
func (w *world) drawRetention() chain.Retention {
	retentions := []chain.Retention{
		{},
		{Entries: 2, EntryBytes: 1 << 20, RewriteFrom: 4 << 10},
		{Entries: 20, EntryBytes: 2 << 10, RewriteFrom: 32 << 10},
	}
	return retentions[w.random.Intn(len(retentions))]
}

// watchLosses notes when more machines are lost than are to be borne at once. One counts as lost while it is down, cut off, frozen or slow
// or its disk is in trouble, and for syncS afterwards; not where the whole core is struck at once, which is to be borne as well. Where the
// core is in halves while one is lost, those of the half without a majority count too.
func (w *world) watchLosses() {
	majority := w.majority()
	lost, apart, allBack := 0, 0, true
	for _, c := range w.controls {
		if c.gone {
			lost += w.countLost(c)
			continue
		}
		harmed := !c.up || c.frozen || c.hanging || c.slow || c.disk.SyncError != nil || !slices.Contains(majority, c)
		allBack = allBack && !harmed
		if harmed && w.halved {
			apart++
		}
		if harmed && (c.wiped || !w.now.Before(w.wholeCoreUntil)) {
			c.lostAt = w.now
		}
		lost += w.countLost(c)
	}
	w.overlapped = lost > w.tolerate || lost > 0 && lost+apart > w.tolerate || w.overlapped && !allBack
	if w.overlapped {
		w.overlappedAt = w.now
	}
	w.after(worldTick, w.watchLosses)
}

// countLost is 1 for a machine that counts as lost, be it only because it was until a moment ago.
func (w *world) countLost(c *controlMachine) int {
	if !c.lostAt.IsZero() && w.now.Sub(c.lostAt) < time.Duration(w.bounds.SyncS*float64(time.Second)) {
		return 1
	}
	return 0
}

func (w *world) after(delay time.Duration, run func()) { w.events.At(w.now.Add(delay), run) }

// within draws a time.
func (w *world) within(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int63n(int64(limit)))
}

// run lets time pass.
func (w *world) run(duration time.Duration) {
	end := w.now.Add(duration)
	for {
		at, happen, due := w.events.Next(end)
		if !due {
			break
		}
		w.now = at
		happen()
	}
	w.now = end
}

func (w *world) fail(format string, values ...any) {
	since := w.now.Sub(worldEpoch)
	w.broken = append(w.broken, fmt.Sprintf("%v: ", since)+fmt.Sprintf(format, values...))
}

func (w *world) addMachine(zone string) *machine {
	number := len(w.machines)
	m := &machine{number: number, zone: zone, address: fmt.Sprintf("10.0.%d.%d:%d", number/200, number%200+1, internalPort)}
	w.machines = append(w.machines, m)
	return m
}

// disturb notes a trouble of a machine, and of the core where it is one of its.
func (w *world) disturb(m *machine) {
	m.calmSince = w.now
	for _, control := range w.controls {
		if control.machine == m {
			w.calmSince = w.now
		}
	}
}

// settingsOf are those of a process on a machine.
func (w *world) settingsOf(m *machine, bootstrap bool) *settings.Settings {
	set := &settings.Settings{
		Node:        fmt.Sprintf("machine-%d", m.number),
		IP:          m.address[:len(m.address)-5],
		Zone:        m.zone,
		Region:      m.zone,
		PortRange:   [2]int{internalPort, internalPort + 9},
		Bootstrap:   bootstrap,
		HeartbeatMs: 1200,
		Zones:       make(map[string]string),
		Tolerate:    settings.Tolerate{Machines: w.tolerate},
		Bounds:      w.bounds,
	}
	for _, zone := range w.zones {
		set.Zones[zone] = zone
	}
	const seeds = 3
	for _, control := range w.controls {
		if !control.gone && len(set.Seeds) < seeds {
			set.Seeds = append(set.Seeds, control.controlAddress())
		}
	}
	return set
}

// controlMachine is a machine with a control process and a disk.
type controlMachine struct {
	*machine
	world    *world
	process  *Process
	disk     *simdisk.Disk
	file     *logfile.File
	writing  *chain.Write
	hanging  bool
	gone     bool      // for good
	wiped    bool      // it comes back without its disk
	slow     bool      // its links delay everything
	lostAt   time.Time // when it was last down, cut off or harmed
	revision uint64    // the newest one known to be committed in this life
}

func (w *world) addControl(zone string) *controlMachine {
	c := &controlMachine{machine: w.addMachine(zone), world: w, disk: simdisk.New()}
	w.controls = append(w.controls, c)
	return c
}

func (c *controlMachine) start(bootstrap bool) {
	if c.up || c.gone {
		return
	}
	w := c.world
	w.disturb(c.machine)
	if c.wiped {
		c.wiped, c.lostAt = false, w.now
	}
	c.up, c.life, c.writing, c.hanging, c.frozen, c.revision = true, c.life+1, nil, false, false, 0
	c.disk.SyncError = nil
	file, records, _, err := logfile.OpenOn(c.disk, worldFolder, logfile.Limits{})
	if err != nil {
		w.fail("machine %d: its store: %v", c.number, err)
		c.up = false
		return
	}
	c.file = file
	random := rand.New(rand.NewSource(w.random.Int63()))
	set := w.settingsOf(c.machine, bootstrap)
	set.Listen.Control = c.controlAddress()
	if holdsView(records) && !bootstrap {
		set.Seeds = w.seedsOf(c)
	}
	c.process = newProcess(set, slog.New(slog.NewTextHandler(io.Discard, nil)), func() time.Time { return w.now }, random)
	c.process.network = simulatedNetwork{w, c.machine, c.life}
	c.process.disk = c
	c.process.retention = w.retention
	first, err := c.process.build(openedStore{file: file, records: records}, random)
	if err != nil {
		w.fail("machine %d: %v", c.number, err)
		c.up = false
		return
	}
	c.take = c.process.receive
	c.process.begin(first)
	c.tick(c.life)
}

// holdsView tells whether a store names the voters of a view: by them a process finds the others where its seeds don't help.
func holdsView(records []logfile.Record) bool {
	return slices.ContainsFunc(records, func(record logfile.Record) bool { return record.Type == chain.RecordDecided })
}

// drawSeeds are those of a process that starts again: as they were, or others, at times itself alone.
func (w *world) drawSeeds(own *controlMachine) []string {
	if w.random.Intn(3) > 0 {
		return w.settingsOf(own.machine, false).Seeds
	}
	seeds := []string{own.controlAddress()}
	for range w.random.Intn(3) {
		seeds = append(seeds, w.anyControl().controlAddress())
	}
	return seeds
}

func (m *machine) controlAddress() string {
	return fmt.Sprintf("%s:%d", m.address[:len(m.address)-5], controlPort)
}

func (c *controlMachine) tick(life int) {
	if c.life != life {
		return
	}
	w := c.world
	if !c.frozen {
		c.process.tick(w.now)
		c.process.directory.Note()
		c.watch()
	}
	w.after(worldTick, func() { c.tick(life) })
}

// watch holds that what a process knows to be committed never goes back in one life.
func (c *controlMachine) watch() {
	_, revision := c.process.chain.Committed()
	if revision < c.revision {
		c.world.fail("machine %d: committed went from %d back to %d", c.number, c.revision, revision)
	}
	c.revision = revision
	counters := c.process.chain.Status().Counters
	if counters.BrokenCommitLog+counters.BrokenCommitOrder+counters.BrokenViewValue+counters.BrokenChainMinimum > 0 {
		c.world.fail("machine %d counts broken invariants: %+v", c.number, counters)
	}
}

// add implements disk.
func (c *controlMachine) add(write chain.Write) {
	life := c.life
	c.writing = &write
	c.world.after(worldSync, func() { c.endWrite(life, write) })
}

func (c *controlMachine) endWrite(life int, write chain.Write) {
	if c.life != life {
		return
	}
	if c.hanging || c.frozen {
		c.world.after(20*time.Millisecond, func() { c.endWrite(life, write) })
		return
	}
	c.writing = nil
	c.process.written(write.Token, c.carryOut(write))
}

func (c *controlMachine) carryOut(write chain.Write) error {
	if write.Rewrite {
		return c.file.Rewrite(write.Records)
	}
	return c.file.Append(write.Records)
}

// kill ends the process: with power, what was not synced goes.
func (c *controlMachine) kill(power bool) {
	if !c.up {
		return
	}
	const mostOperations = 8
	c.world.disturb(c.machine)
	c.countWork()
	c.up = false
	c.life++
	if c.writing != nil {
		c.disk.StopAfter(c.world.random.Intn(mostOperations))
		c.carryOut(*c.writing) // whatever comes of it
		c.writing = nil
	}
	if power {
		c.disk.LosePower(c.world.random)
	} else {
		c.disk.Kill()
	}
}

// countWork adds what the present life did to the figures of the walk.
func (c *controlMachine) countWork() {
	counters := c.process.chain.Status().Counters
	c.world.snapshots += counters.Snapshots
	c.world.rewrites += counters.Rewrites
}

func (c *controlMachine) wipe() {
	c.kill(true)
	c.disk = simdisk.New()
	c.wiped, c.lostAt = true, c.world.now
}

// simulatedNetwork is the network as one life of a process sees it.
type simulatedNetwork struct {
	world *world
	from  *machine
	life  int
}

// Send sends over a connection: what passes comes in order.
func (n simulatedNetwork) Send(to string, kind transport.Kind, message proto.Message) {
	n.world.carry(n.from, n.life, to, kind, message, true)
}

// SendDatagram sends what may be lost and may overtake.
func (n simulatedNetwork) SendDatagram(to string, kind transport.Kind, message proto.Message) {
	n.world.carry(n.from, n.life, to, kind, message, false)
}

// Batch returns an empty batch.
func (n simulatedNetwork) Batch(kind transport.Kind) batch { return simulatedBatch{n, kind} }

type simulatedBatch struct {
	network simulatedNetwork
	kind    transport.Kind
}

func (b simulatedBatch) Send(to string, message proto.Message) { b.network.Send(to, b.kind, message) }

func (w *world) machineAt(address string) *machine {
	for _, m := range w.machines {
		if m.address == address {
			return m
		}
	}
	return nil
}

func (w *world) carry(from *machine, life int, address string, kind transport.Kind, message proto.Message, ordered bool) {
	to := w.machineAt(address)
	if to == nil || from.life != life || !from.up {
		return
	}
	way := w.linkOf(from, to)
	if way.random.Float64() < w.loss {
		return
	}
	payload, err := proto.Marshal(message)
	if err != nil {
		w.t.Fatal(err)
	}
	delay := way.delay + time.Millisecond + time.Duration(way.random.Int63n(int64(4*time.Millisecond)))
	if from.zone != to.zone {
		delay += w.oneWay
	}
	at := w.now.Add(delay)
	if ordered {
		if at.Before(way.lastArrival) {
			at = way.lastArrival
		}
		way.lastArrival = at
	}
	resets, life := way.resets, to.life
	w.events.At(at, func() {
		switch {
		case way.resets != resets:
			w.arriveByTheFormerConnection(from, to, life, kind, payload)
		case ordered && (len(way.held) > 0 || w.cut[[2]int{from.number, to.number}]):
			w.hold(from, to, heldMessage{kind: kind, payload: payload, sentAt: w.now})
		default:
			w.arrive(from, to, kind, payload)
		}
	})
}

// arriveByTheFormerConnection has what was under way at a reset lost, or read by the receiver from the connection that was, when much
// may have come by the next one.
func (w *world) arriveByTheFormerConnection(from, to *machine, life int, kind transport.Kind, payload []byte) {
	const latest = 600 * time.Millisecond
	way := w.linkOf(from, to)
	if way.random.Intn(2) == 0 {
		return
	}
	w.after(time.Duration(way.random.Int63n(int64(latest))), func() {
		if to.life == life {
			w.arrive(from, to, kind, payload)
		}
	})
}

// hold keeps what a cut holds up. Once the cut is over it arrives, in order, unless it has waited for too long by then.
func (w *world) hold(from, to *machine, message heldMessage) {
	way := w.linkOf(from, to)
	way.held = append(way.held, message)
	if len(way.held) > 1 {
		return
	}
	life, resets := from.life, way.resets
	var look func()
	look = func() {
		if w.cut[[2]int{from.number, to.number}] && w.now.Sub(way.held[0].sentAt) < heldFor {
			w.after(20*time.Millisecond, look)
			return
		}
		held := way.held
		way.held = nil
		if w.cut[[2]int{from.number, to.number}] || from.life != life || way.resets != resets {
			return
		}
		for _, each := range held {
			w.arrive(from, to, each.kind, each.payload)
		}
	}
	w.after(20*time.Millisecond, look)
}

func (w *world) arrive(from, to *machine, kind transport.Kind, payload []byte) {
	switch {
	case !to.up || w.cut[[2]int{from.number, to.number}]:
	case to.frozen:
		w.after(20*time.Millisecond, func() { w.arrive(from, to, kind, payload) })
	default:
		to.take(from.address, kind, payload)
	}
}

// reaches tells whether each of two machines hears the other.
func (w *world) reaches(a, b *machine) bool {
	return a.up && b.up && !a.frozen && !b.frozen && !w.cut[[2]int{a.number, b.number}] && !w.cut[[2]int{b.number, a.number}]
}

// majority lists the control processes in service that reach more than half of the core.
func (w *world) majority() []*controlMachine {
	size := 0
	for _, c := range w.controls {
		if !c.gone {
			size++
		}
	}
	var found []*controlMachine
	for _, c := range w.controls {
		reached := 0
		for _, other := range w.controls {
			if c == other && c.up && !c.frozen || c != other && w.reaches(c.machine, other.machine) {
				reached++
			}
		}
		if c.up && reached > size/2 {
			found = append(found, c)
		}
	}
	return found
}

// inTouch tells whether the rules bounded in time hold for a machine: it and the core were undisturbed for long enough, and it reaches
// every control process that reaches a majority.
func (w *world) inTouch(m *machine) bool {
	contact := w.bounds.Contact()
	if w.now.Sub(w.overlappedAt) < time.Duration(w.bounds.RecoveryS*float64(time.Second)) {
		return false // service may rest until then
	}
	if !m.up || m.frozen || w.now.Sub(m.calmSince) < contact || w.now.Sub(w.calmSince) < contact {
		return false
	}
	majority := w.majority()
	for _, c := range majority {
		if c.machine != m && !w.reaches(m, c.machine) {
			return false
		}
	}
	return len(majority) > 0
}

// heal ends every trouble and starts whatever is down.
func (w *world) heal() {
	clear(w.cut)
	w.halved = false
	w.loss = 0
	for _, way := range w.links {
		way.delay = 0
	}
	for _, m := range w.machines {
		m.frozen = false
		w.disturb(m)
	}
	for _, c := range w.controls {
		c.hanging, c.disk.SyncError = false, nil
		c.start(false)
	}
	for _, r := range w.relays {
		r.start()
	}
}

// stateOf is the state of an instance in a list; gone: it is not in it.
func stateOf(instances []registry.Instance, id string) registry.State {
	for _, instance := range instances {
		if instance.ID == id {
			return instance.State
		}
	}
	return registry.StateGone
}
