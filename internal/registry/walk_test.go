package registry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wallflow/internal/distribution/feedpb"
)

// walk is a small world of control processes and endpoints on a network that loses, repeats and reorders.
type walk struct {
	t         *rapid.T
	now       time.Time
	lossy     bool
	tables    map[string]*Table
	zones     map[string]string
	pending   []pendingDelivery
	endpoints map[string]*endpoint
	furthest  map[string]map[string]State // by process and instance: the furthest state reported so far in this life
}

type pendingDelivery struct {
	at       time.Time
	from, to string
	message  *feedpb.RegistryMessage
}

type endpoint struct {
	heartbeat    Heartbeat
	left         bool
	acknowledged State // the furthest state that has been acknowledged as safe
	waiting      map[string]awaited
}

// awaited is a departure that an endpoint told a process and that is not acknowledged yet.
type awaited struct {
	replica  uint64
	reported State
}

func newWalk(t *rapid.T) *walk {
	w := &walk{
		t:         t,
		now:       start,
		lossy:     true,
		tables:    make(map[string]*Table),
		zones:     map[string]string{"c1": "hall-a", "c2": "hall-a", "c3": "hall-b"},
		endpoints: make(map[string]*endpoint),
		furthest:  make(map[string]map[string]State),
	}
	for name := range w.zones {
		w.restart(name)
	}
	return w
}

func (w *walk) names() []string { return []string{"c1", "c2", "c3"} }

// restart starts a process with an empty table.
func (w *walk) restart(name string) {
	table := newTestTable(name, w.zones[name], w.now)
	var peers []Peer
	for other, zone := range w.zones {
		peers = append(peers, Peer{Name: other, Zone: zone})
	}
	table.SetPeers(peers, w.names())
	w.tables[name] = table
	w.furthest[name] = make(map[string]State)
	for _, known := range w.endpoints {
		delete(known.waiting, name)
	}
}

func (w *walk) send(from, to string, message *feedpb.RegistryMessage) {
	if message == nil || from == to {
		return
	}
	copies := 1
	delay := 5
	if w.lossy {
		copies = rapid.SampledFrom([]int{0, 1, 1, 1, 1, 1, 2}).Draw(w.t, "copies")
		delay = rapid.IntRange(1, 300).Draw(w.t, "delay")
	}
	for copyNumber := range copies {
		arrival := w.now.Add(time.Duration(delay+copyNumber*70) * time.Millisecond)
		w.pending = append(w.pending, pendingDelivery{at: arrival, from: from, to: to, message: message})
	}
}

// step lets 100 ms pass.
func (w *walk) step() {
	w.now = w.now.Add(100 * time.Millisecond)
	due := w.pending
	w.pending = nil
	for _, delivery := range due {
		if delivery.at.After(w.now) {
			w.pending = append(w.pending, delivery)
			continue
		}
		_, reply := w.tables[delivery.to].Merge(w.now, delivery.message)
		w.send(delivery.to, delivery.from, reply)
	}
	for _, name := range w.names() {
		w.tick(name)
	}
	w.check()
}

func (w *walk) tick(name string) {
	table := w.tables[name]
	output := table.Tick(w.now)
	for _, other := range w.names() {
		w.send(name, other, output.Broadcast)
	}
	for _, send := range output.Sends {
		w.send(name, send.To, send.Message)
	}
	for _, safe := range table.TakeSafe() {
		for _, known := range w.endpoints {
			if waits := known.waiting[name]; waits.replica == safe {
				known.acknowledged = Furthest(known.acknowledged, waits.reported)
			}
		}
	}
}

func (e *endpoint) reported() State {
	if e.left {
		return StateGone
	}
	return e.heartbeat.State
}

// call lets an endpoint call a process: with a heartbeat, or to say that it left.
func (w *walk) call(id, name string) {
	known := w.endpoints[id]
	table := w.tables[name]
	var change Change
	if known.left {
		change = table.Leave(w.now, id)
	} else {
		known.heartbeat.Seq++
		change = table.Heartbeat(w.now, known.heartbeat)
	}
	if !change.Changed && !change.NeedsReplica {
		if known.reported() != StateReady {
			known.acknowledged = known.reported()
		}
		return
	}
	replica := table.Replicate(w.now, change)
	for _, other := range w.names() {
		w.send(name, other, replica.Message)
	}
	if change.NeedsReplica {
		known.waiting[name] = awaited{replica: replica.ID, reported: known.reported()}
	}
}

// check holds what must hold at every moment.
func (w *walk) check() {
	for name, table := range w.tables {
		for _, instance := range table.Instances() {
			before := w.furthest[name][instance.ID]
			assert.Assert(w.t, rank(instance.Reported) >= rank(before), "%s at %s went back to %s", instance.ID, name, instance.Reported)
			w.furthest[name][instance.ID] = instance.Reported
			holder := table.holders[instance.Address]
			if instance.State != StateGone {
				assert.Assert(w.t, holder != nil && holder.ID == instance.ID, "%s doesn't hold its address at %s", instance.ID, name)
			}
		}
		w.checkAcknowledged()
		checkBuckets(w.t, table)
	}
}

// checkAcknowledged holds that an acknowledged departure is known to a process of any majority: to all but one, and one less for a
// process that has just started again.
func (w *walk) checkAcknowledged() {
	for id, known := range w.endpoints {
		if rank(known.acknowledged) == 0 {
			continue
		}
		holders, started := 0, 0
		for _, table := range w.tables {
			if instance, exists := table.Instance(id); exists && rank(instance.Reported) >= rank(known.acknowledged) {
				holders++
			} else if w.now.Sub(table.startedAt) < restartApart {
				started++
			}
		}
		assert.Assert(w.t, holders+started >= len(w.tables)/2+1, "the departure of %s is known to %d processes", id, holders)
	}
}

// checkBuckets holds that the digests kept step by step are those of the table.
func checkBuckets(t assert.TestingT, table *Table) {
	var want [bucketCount]uint64
	for id, known := range table.records {
		state := known.Reported
		if known.State == StateGone {
			state = StateGone
		}
		want[bucketOf(id)] += ContentHash(known.Instance, state)
	}
	assert.Equal(t, want, table.buckets)
}

// TestWalkTablesAgree plays any order of heartbeats, departures, restarts and losses, and then a calm time, after which all
// processes know the same.
func TestWalkTablesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWalk(t)
		steps := rapid.IntRange(20, 60).Draw(t, "steps")
		for range steps {
			w.randomAction()
			w.step()
		}
		w.lossy = false
		for step := range 60 {
			w.calmBeats(step)
			w.step()
		}
		w.checkAgreement()
	})
}

func (w *walk) randomAction() {
	name := rapid.SampledFrom(w.names()).Draw(w.t, "process")
	id := fmt.Sprint("i", rapid.IntRange(0, 5).Draw(w.t, "endpoint"))
	known := w.endpoints[id]
	if known == nil {
		heartbeat := heartbeatOf(id, 0).on(fmt.Sprint("a:", id))
		known = &endpoint{heartbeat: heartbeat, waiting: make(map[string]awaited)}
		w.endpoints[id] = known
	}
	switch rapid.IntRange(0, 12).Draw(w.t, "action") {
	case 0:
		known.heartbeat.State = StateDraining
	case 1:
		known.left = known.heartbeat.State == StateDraining
	case 2:
		known.heartbeat.Slots++
	case 3:
		w.restartIfHarmless(name)
		return
	case 4:
		return
	}
	w.call(id, name)
}

// restartApart is the least time between two restarts: the first has learned all again then.
const restartApart = 3 * time.Second

// restartIfHarmless restarts a process, unless another has just been restarted: two empty tables at once may forget.
func (w *walk) restartIfHarmless(name string) {
	for _, table := range w.tables {
		if w.now.Sub(table.startedAt) < restartApart {
			return
		}
	}
	w.restart(name)
}

// calmBeats lets every endpoint that is there call about every 1.2 s.
func (w *walk) calmBeats(step int) {
	number := 0
	for _, id := range []string{"i0", "i1", "i2", "i3", "i4", "i5"} {
		number++
		if known := w.endpoints[id]; known != nil && (step+number)%12 == 0 {
			w.call(id, w.names()[number%len(w.names())])
		}
	}
}

func (w *walk) checkAgreement() {
	for id, known := range w.endpoints {
		for name, table := range w.tables {
			instance, exists := table.Instance(id)
			if !exists {
				assert.Assert(w.t, known.left, "%s isn't known at %s", id, name) // a process that started later may not know of it
				continue
			}
			assert.Equal(w.t, instance.State, known.reported(), "%s at %s", id, name)
			if !known.left {
				assert.Equal(w.t, instance.Slots, known.heartbeat.Slots)
			}
		}
	}
	assert.Equal(w.t, w.tables["c1"].hash(), w.tables["c2"].hash())
	assert.Equal(w.t, w.tables["c1"].hash(), w.tables["c3"].hash())
}
