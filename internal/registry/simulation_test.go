package registry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wallflow/internal/distribution/feedpb"
)

// simulation runs control processes and endpoints on a network that loses, duplicates and reorders messages.
type simulation struct {
	t            *rapid.T
	now          time.Time
	lossy        bool
	tables       map[string]*Table
	zones        map[string]string
	inFlight     []delivery
	endpoints    map[string]*endpoint
	mostAdvanced map[string]map[string]State // by process and instance: the most advanced state since the process started
}

type delivery struct {
	at       time.Time
	from, to string
	message  *feedpb.RegistryMessage
}

type endpoint struct {
	heartbeat         Heartbeat
	hasLeft           bool
	acknowledged      State // the most advanced state that has been acknowledged
	pendingDepartures map[string]pendingDeparture
}

// pendingDeparture is a departure that an endpoint reported to a process and that is not acknowledged yet.
type pendingDeparture struct {
	replica  uint64
	reported State
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{
		t:            t,
		now:          start,
		lossy:        true,
		tables:       make(map[string]*Table),
		zones:        map[string]string{"c1": "hall-a", "c2": "hall-a", "c3": "hall-b"},
		endpoints:    make(map[string]*endpoint),
		mostAdvanced: make(map[string]map[string]State),
	}
	for name := range s.zones {
		s.restart(name)
	}
	return s
}

func (s *simulation) names() []string { return []string{"c1", "c2", "c3"} }

// restart starts a process with an empty table.
func (s *simulation) restart(name string) {
	table := newTestTable(name, s.zones[name], s.now)
	var peers []Peer
	for other, zone := range s.zones {
		peers = append(peers, Peer{Name: other, Zone: zone})
	}
	table.SetPeers(peers, s.names())
	s.tables[name] = table
	s.mostAdvanced[name] = make(map[string]State)
	for _, known := range s.endpoints {
		delete(known.pendingDepartures, name)
	}
}

func (s *simulation) send(from, to string, message *feedpb.RegistryMessage) {
	if message == nil || from == to {
		return
	}
	copies := 1
	delay := 5
	if s.lossy {
		copies = rapid.SampledFrom([]int{0, 1, 1, 1, 1, 1, 2}).Draw(s.t, "copies")
		delay = rapid.IntRange(1, 300).Draw(s.t, "delay")
	}
	for copyNumber := range copies {
		arrival := s.now.Add(time.Duration(delay+copyNumber*70) * time.Millisecond)
		s.inFlight = append(s.inFlight, delivery{at: arrival, from: from, to: to, message: message})
	}
}

// step advances the time by 100 ms.
func (s *simulation) step() {
	s.now = s.now.Add(100 * time.Millisecond)
	due := s.inFlight
	s.inFlight = nil
	for _, delivery := range due {
		if delivery.at.After(s.now) {
			s.inFlight = append(s.inFlight, delivery)
			continue
		}
		_, reply := s.tables[delivery.to].Merge(s.now, delivery.message)
		s.send(delivery.to, delivery.from, reply)
	}
	for _, name := range s.names() {
		s.tick(name)
	}
	s.checkInvariants()
}

func (s *simulation) tick(name string) {
	table := s.tables[name]
	output := table.Tick(s.now)
	for _, other := range s.names() {
		s.send(name, other, output.Broadcast)
	}
	for _, send := range output.Sends {
		s.send(name, send.To, send.Message)
	}
	for _, committed := range table.TakeCommitted() {
		for _, known := range s.endpoints {
			if departure := known.pendingDepartures[name]; departure.replica == committed {
				known.acknowledged = FurthestState(known.acknowledged, departure.reported)
			}
		}
	}
}

func (e *endpoint) reported() State {
	if e.hasLeft {
		return StateGone
	}
	return e.heartbeat.State
}

// sendReport makes an endpoint send a heartbeat, or its final departure, to a process.
func (s *simulation) sendReport(id, name string) {
	known := s.endpoints[id]
	table := s.tables[name]
	var change Change
	if known.hasLeft {
		change = table.Leave(s.now, id)
	} else {
		known.heartbeat.Seq++
		change = table.Heartbeat(s.now, known.heartbeat)
	}
	if !change.Changed && !change.NeedsReplication {
		if known.reported() != StateReady {
			known.acknowledged = known.reported()
		}
		return
	}
	replica := table.Replicate(s.now, change)
	for _, other := range s.names() {
		s.send(name, other, replica.Message)
	}
	if change.NeedsReplication {
		known.pendingDepartures[name] = pendingDeparture{replica: replica.ID, reported: known.reported()}
	}
}

// checkInvariants checks what must hold after every step.
func (s *simulation) checkInvariants() {
	for name, table := range s.tables {
		for _, instance := range table.Instances() {
			before := s.mostAdvanced[name][instance.ID]
			assert.Assert(s.t, stateRank(instance.Reported) >= stateRank(before), "%s at %s went back to %s", instance.ID, name, instance.Reported)
			s.mostAdvanced[name][instance.ID] = instance.Reported
			owner := table.owners[instance.Address]
			if instance.State != StateGone {
				assert.Assert(s.t, owner != nil && owner.ID == instance.ID, "%s doesn't hold its address at %s", instance.ID, name)
			}
		}
		s.checkAcknowledgedDepartures()
		checkBuckets(s.t, table)
	}
}

// checkAcknowledgedDepartures checks that a majority of the processes knows each acknowledged departure. Processes
// that have just restarted count as knowing it, because they may still be filling their tables.
func (s *simulation) checkAcknowledgedDepartures() {
	for id, known := range s.endpoints {
		if stateRank(known.acknowledged) == 0 {
			continue
		}
		holders, recentlyStarted := 0, 0
		for _, table := range s.tables {
			if instance, exists := table.Instance(id); exists && stateRank(instance.Reported) >= stateRank(known.acknowledged) {
				holders++
			} else if s.now.Sub(table.startedAt) < minRestartInterval {
				recentlyStarted++
			}
		}
		assert.Assert(s.t, holders+recentlyStarted >= len(s.tables)/2+1, "the departure of %s is known to %d processes", id, holders)
	}
}

// checkBuckets checks that the incrementally updated buckets match the records of the table.
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

// TestRandomWalkTablesAgree runs a random sequence of heartbeats, departures, restarts and message losses, then a
// period without faults, after which all processes must hold the same table.
func TestRandomWalkTablesAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		steps := rapid.IntRange(20, 60).Draw(t, "steps")
		for range steps {
			s.randomAction()
			s.step()
		}
		s.lossy = false
		for step := range 60 {
			s.sendRegularHeartbeats(step)
			s.step()
		}
		s.checkAgreement()
	})
}

func (s *simulation) randomAction() {
	name := rapid.SampledFrom(s.names()).Draw(s.t, "process")
	id := fmt.Sprint("i", rapid.IntRange(0, 5).Draw(s.t, "endpoint"))
	known := s.endpoints[id]
	if known == nil {
		heartbeat := heartbeatOf(id, 0).withAddress(fmt.Sprint("a:", id))
		known = &endpoint{heartbeat: heartbeat, pendingDepartures: make(map[string]pendingDeparture)}
		s.endpoints[id] = known
	}
	switch rapid.IntRange(0, 12).Draw(s.t, "action") {
	case 0:
		known.heartbeat.State = StateDraining
	case 1:
		known.hasLeft = known.heartbeat.State == StateDraining
	case 2:
		known.heartbeat.Slots++
	case 3:
		s.restartIfAllowed(name)
		return
	case 4:
		return
	}
	s.sendReport(id, name)
}

// minRestartInterval is the minimum time between two restarts, in which a restarted process receives all instances
// again.
const minRestartInterval = 3 * time.Second

// restartIfAllowed restarts a process unless another one has just restarted. Two tables that are empty at the same
// time may lose a departure.
func (s *simulation) restartIfAllowed(name string) {
	for _, table := range s.tables {
		if s.now.Sub(table.startedAt) < minRestartInterval {
			return
		}
	}
	s.restart(name)
}

// sendRegularHeartbeats makes each endpoint report about every 1.2 s.
func (s *simulation) sendRegularHeartbeats(step int) {
	number := 0
	for _, id := range []string{"i0", "i1", "i2", "i3", "i4", "i5"} {
		number++
		if known := s.endpoints[id]; known != nil && (step+number)%12 == 0 {
			s.sendReport(id, s.names()[number%len(s.names())])
		}
	}
}

func (s *simulation) checkAgreement() {
	for id, known := range s.endpoints {
		for name, table := range s.tables {
			instance, exists := table.Instance(id)
			if !exists {
				// A process that started after the departure may not know the instance.
				assert.Assert(s.t, known.hasLeft, "%s isn't known at %s", id, name)
				continue
			}
			assert.Equal(s.t, instance.State, known.reported(), "%s at %s", id, name)
			if !known.hasLeft {
				assert.Equal(s.t, instance.Slots, known.heartbeat.Slots)
			}
		}
	}
	assert.Equal(s.t, s.tables["c1"].hash(), s.tables["c2"].hash())
	assert.Equal(s.t, s.tables["c1"].hash(), s.tables["c3"].hash())
}
