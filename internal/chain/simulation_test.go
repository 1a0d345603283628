package chain

import (
	"errors"
	"fmt"
	"math/rand"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"wallflow/internal/chain/chainpb"
	"wallflow/internal/logfile"
	"wallflow/internal/testkit/simdisk"
	"wallflow/internal/virtualtime"
)

// simulation runs processes with a virtual clock, simulated disks and a simulated network. Equal seeds give equal runs.
type simulation struct {
	t                 *testing.T
	random            *rand.Rand
	now               time.Time
	events            virtualtime.Queue
	processes         []*process
	seeds             []string
	network           networkFaults
	verbose           bool
	retention         Retention
	chainLength       int // Options.TargetChainLength of every process
	initial           State
	decode            Decoder
	collectViolations bool                 // a store that cannot be opened is a violation, not fatal
	afterCall         func(*process)       // called after every call of a node
	onSend            func(Send)           // called for every message
	executedEvents    int                  // number of events so far
	decidedAt         map[uint64]time.Time // when the first process learned the view of an epoch
	beforeEvent       func(step int)       // called before every event
	violations        []string
}

// networkFaults sets the delays and faults of the network.
type networkFaults struct {
	minDelay            time.Duration
	maxJitter           time.Duration
	interRegionDelay    time.Duration // one way, in addition
	bytesPerMillisecond int           // 0 for unlimited
	loss                float64
	duplicates          float64
	cut                 map[[2]int]bool          // from, to: messages are dropped
	extraDelay          map[[2]int]time.Duration // from, to: in addition to all other delays
}

// process is a simulated control process with its disk.
type process struct {
	simulation        *simulation
	number            int
	self              Member
	node              *Node
	incarnation       int // rises with each start and end
	running           bool
	disk              *simdisk.Disk
	file              *logfile.File
	inFlightWrite     *Write
	persistedPosition uint64                  // position of the newest entry known to be on disk in this run
	syncTime          time.Duration           // how long a write takes
	diskHanging       bool                    // writes do not end
	frozen            bool                    // the process is suspended: it handles nothing
	lastContact       map[int]time.Time       // by process number
	reportedDown      bool                    // membership reports it down to all others and vice versa
	lastRequest       uint64                  // number of the newest request
	callbacks         map[uint64]func(Answer) // by request number
	committedRevision uint64                  // highest committed position in this run
	rewrites          int                     // of the log file, in all runs
	injectedFaults    injectedFaults
}

// simulatedDirectory is the directory of the store on each simulated disk.
const simulatedDirectory = "/data"

const (
	tickInterval      = 50 * time.Millisecond
	livenessInterval  = 100 * time.Millisecond
	livenessTimeout   = 500 * time.Millisecond
	normalSyncTime    = 5 * time.Millisecond
	simulatedAckBound = 5 * time.Second
)

// newSimulation returns a simulation of processes in three zones, each in a region of its own. The first three are the
// seeds.
func newSimulation(t *testing.T, seed int64, count int) *simulation {
	s := &simulation{
		t:           t,
		random:      rand.New(rand.NewSource(seed)),
		now:         time.Unix(1000, 0),
		chainLength: 2,
		initial:     ledger{},
		decidedAt:   make(map[uint64]time.Time),
		decode:      decodeLedger,
		network:     networkFaults{minDelay: time.Millisecond, maxJitter: 40 * time.Millisecond, cut: make(map[[2]int]bool)},
	}
	for number := range count {
		p := s.addProcess(number)
		if number < 3 {
			s.seeds = append(s.seeds, p.self.Address)
		}
	}
	return s
}

func (s *simulation) addProcess(number int) *process {
	p := &process{
		simulation:  s,
		number:      number,
		syncTime:    normalSyncTime,
		disk:        simdisk.New(),
		lastContact: make(map[int]time.Time),
		self: Member{
			Name:    fmt.Sprintf("core-%d", number),
			Address: fmt.Sprintf("10.0.0.%d:7000", number+1),
			Zone:    fmt.Sprintf("zone-%d", number%3),
			Region:  fmt.Sprintf("region-%d", number%3),
		},
	}
	s.processes = append(s.processes, p)
	return p
}

// schedule adds an event after a delay.
func (s *simulation) schedule(delay time.Duration, run func()) {
	s.events.At(s.now.Add(delay), run)
}

// run executes the events of a duration.
func (s *simulation) run(duration time.Duration) {
	end := s.now.Add(duration)
	for {
		at, event, due := s.events.PopDue(end)
		if !due {
			break
		}
		s.now = at
		if s.beforeEvent != nil {
			s.beforeEvent(s.executedEvents)
		}
		s.executedEvents++
		event()
	}
	s.now = end
}

// runUntil runs until a condition holds and returns how long that took. It fails the test after the timeout.
func (s *simulation) runUntil(timeout time.Duration, condition func() bool) time.Duration {
	s.t.Helper()
	start := s.now
	for !condition() {
		if s.now.Sub(start) > timeout {
			s.logState()
			s.t.Fatalf("condition not met within %v", timeout)
		}
		s.run(5 * time.Millisecond)
	}
	return s.now.Sub(start)
}

func (s *simulation) logState() {
	for _, p := range s.processes {
		if !p.running {
			s.t.Logf("%s down", p.self.Name)
			continue
		}
		s.t.Logf("%s %+v view %d chain %v attempt %v",
			p.self.Name, p.node.Status(), p.node.View().Epoch, s.chainNames(p.node.View().Chain), p.node.attempt != nil)
	}
}

func (s *simulation) chainNames(chain []Identity) []string {
	var names []string
	for _, identity := range chain {
		name := string(identity[:4])
		for _, p := range s.processes {
			if p.node != nil && p.node.Identity() == identity {
				name = p.self.Name
			}
		}
		names = append(names, name)
	}
	return names
}

// startAll starts every process for the first time, within 0.3 s.
func (s *simulation) startAll() {
	for _, p := range s.processes {
		s.schedule(time.Duration(s.random.Int63n(int64(300*time.Millisecond))), func() { p.start(true) })
	}
	s.run(300 * time.Millisecond)
}

func (p *process) options(bootstrap bool) Options {
	return Options{
		Self:              p.self,
		Bootstrap:         bootstrap,
		Seeds:             p.simulation.seeds,
		TargetChainLength: p.simulation.chainLength,
		Initial:           p.simulation.initial,
		Decode:            p.simulation.decode,
		AckBound:          simulatedAckBound,
		Retention:         p.simulation.retention,
		Random:            rand.New(rand.NewSource(p.simulation.random.Int63())),
	}
}

func (p *process) start(bootstrap bool) {
	p.incarnation++
	p.running = true
	p.inFlightWrite, p.diskHanging, p.frozen, p.disk.SyncError = nil, false, false, nil
	p.callbacks = make(map[uint64]func(Answer))
	p.lastRequest, p.committedRevision = 0, 0 // request numbers start again with each run
	clear(p.lastContact)
	if err := p.open(bootstrap); err != nil {
		if !p.simulation.collectViolations {
			p.simulation.t.Fatalf("%s: %v", p.self.Name, err)
		}
		p.simulation.recordViolation("%s: %v", p.self.Name, err)
		p.running = false
		return
	}
	p.tick(p.incarnation)
	p.updateLiveness(p.incarnation)
}

// open opens the store and makes a node from its records.
func (p *process) open(bootstrap bool) error {
	file, records, _, err := logfile.OpenOn(p.disk, simulatedDirectory, logfile.Limits{})
	if err != nil {
		return err
	}
	p.file = file
	p.persistedPosition = newestPosition(records)
	node, output, err := New(p.options(bootstrap), records, p.simulation.now)
	if err != nil {
		return err
	}
	p.node = node
	p.node.injectedFaults = p.injectedFaults
	p.apply(output)
	return nil
}

// maxWriteOperations is the approximate number of disk operations of a write: a rewrite creates, writes, syncs and
// renames a file.
const maxWriteOperations = 8

// kill ends a process. The write in flight stops at a random operation. A power loss also discards what was not synced.
func (p *process) kill(powerLoss bool) {
	if !p.running {
		return
	}
	p.running = false
	p.incarnation++
	if p.inFlightWrite != nil {
		p.disk.StopAfter(p.simulation.random.Intn(maxWriteOperations))
		p.performWrite(*p.inFlightWrite) // the result is ignored, since the node no longer runs
		p.inFlightWrite = nil
	}
	if powerLoss {
		p.disk.LosePower(p.simulation.random)
		return
	}
	p.disk.Kill()
}

func (p *process) performWrite(write Write) error {
	if write.Rewrite {
		return p.file.Rewrite(write.Records)
	}
	return p.file.Append(write.Records)
}

// wipe replaces the disk with an empty one.
func (p *process) wipe() { p.disk = simdisk.New() }

// records returns the records that a start would read.
func (p *process) records() []Record {
	syncError := p.disk.SyncError
	p.disk.SyncError = nil
	defer func() { p.disk.SyncError = syncError }()
	_, records, _, err := logfile.OpenOn(p.disk, simulatedDirectory, logfile.Limits{})
	assert.NilError(p.simulation.t, err)
	return records
}

func (p *process) tick(incarnation int) {
	if p.incarnation != incarnation {
		return
	}
	if !p.frozen {
		p.apply(p.node.Tick(p.simulation.now))
	}
	p.simulation.schedule(tickInterval, func() { p.tick(incarnation) })
}

// updateLiveness stands in for membership: a process is alive if messages could be exchanged with it recently.
func (p *process) updateLiveness(incarnation int) {
	if p.incarnation != incarnation {
		return
	}
	s := p.simulation
	if p.frozen {
		s.schedule(livenessInterval, func() { p.updateLiveness(incarnation) })
		return
	}
	var alive []Member
	for _, other := range s.processes {
		if other != p && (p.reportedDown || other.reportedDown) {
			continue
		}
		if other == p || (other.running && !other.frozen &&
			!s.network.cut[[2]int{p.number, other.number}] && !s.network.cut[[2]int{other.number, p.number}]) {
			p.lastContact[other.number] = s.now
		}
		if lastContact, ever := p.lastContact[other.number]; ever && s.now.Sub(lastContact) < livenessTimeout && other.node != nil {
			member := other.self
			member.Identity = other.node.Identity()
			alive = append(alive, member)
		}
	}
	p.apply(p.node.SetAlive(s.now, alive))
	s.schedule(livenessInterval, func() { p.updateLiveness(incarnation) })
}

// apply executes the output of a node and checks invariants.
func (p *process) apply(output Output) {
	s := p.simulation
	for _, line := range output.Logs {
		if s.verbose {
			s.t.Logf("%v %s: %s", s.now.Sub(time.Unix(1000, 0)), p.self.Name, line)
		}
	}
	for _, write := range output.Writes {
		p.startWrite(write)
	}
	for _, send := range output.Sends {
		s.transmit(p, send)
	}
	if s.afterCall != nil {
		s.afterCall(p)
	}
	p.checkPersisted()
	p.checkConfirmed()
	if _, committedRevision := p.node.Committed(); committedRevision < p.committedRevision {
		s.recordViolation("%s: the committed position went back from %d to %d", p.self.Name, p.committedRevision, committedRevision)
	} else {
		p.committedRevision = committedRevision
	}
	for _, answer := range output.Answers {
		if done := p.callbacks[answer.Request]; done != nil {
			delete(p.callbacks, answer.Request)
			done(answer)
		}
	}
}

// newestPosition returns the highest log position in the records.
func newestPosition(records []Record) uint64 {
	newest := uint64(0)
	for _, record := range records {
		var entry chainpb.Entry
		var snapshot chainpb.Snapshot
		var installed chainpb.StoredInstalled
		switch record.Type {
		case RecordEntry:
			_ = proto.Unmarshal(record.Payload, &entry)
			newest = max(newest, entry.Position)
		case RecordSnapshot:
			_ = proto.Unmarshal(record.Payload, &snapshot)
			newest = max(newest, snapshot.Position)
		case RecordInstalled:
			_ = proto.Unmarshal(record.Payload, &installed)
			newest = max(newest, installed.Snapshot.GetPosition())
			for _, stored := range installed.Entries {
				newest = max(newest, stored.Position)
			}
		}
	}
	return newest
}

// checkPersisted verifies that a chain member has on its disk everything that it forwarded and, if it is the tail,
// committed.
func (p *process) checkPersisted() {
	n := p.node
	if !n.canServe() || n.durableInstalledEpoch != n.view.Epoch {
		return
	}
	if n.forwardedPosition > p.persistedPosition || n.isTail() && n.log.committed > p.persistedPosition {
		p.simulation.recordViolation("%s forwarded up to entry %d and committed up to %d, but only entries up to %d are on its disk",
			p.self.Name, n.forwardedPosition, n.log.committed, p.persistedPosition)
	}
}

// checkConfirmed verifies that the epoch that a process considers confirmed was in force at that time: the view of the
// next epoch was not decided yet. Outside the chain the confirmation may be older by confirmationValidity.
func (p *process) checkConfirmed() {
	n, s := p.node, p.simulation
	if _, known := s.decidedAt[n.view.Epoch]; !known {
		s.decidedAt[n.view.Epoch] = s.now
	}
	epochEnd, decided := s.decidedAt[n.confirmedEpoch+1]
	if !decided || n.confirmedEpoch != n.view.Epoch {
		return
	}
	if !n.inChain() {
		epochEnd = epochEnd.Add(confirmationValidity)
	}
	if n.confirmedAt.After(epochEnd) {
		s.recordViolation("%s considers epoch %d confirmed %v after the next one was decided",
			p.self.Name, n.confirmedEpoch, n.confirmedAt.Sub(epochEnd))
	}
}

func (p *process) startWrite(write Write) {
	incarnation := p.incarnation
	p.inFlightWrite = &write
	if write.Rewrite {
		p.rewrites++
	}
	p.simulation.schedule(p.syncTime, func() { p.completeWrite(incarnation, write) })
}

func (p *process) completeWrite(incarnation int, write Write) {
	if p.incarnation != incarnation {
		return
	}
	if p.diskHanging || p.frozen {
		p.simulation.schedule(20*time.Millisecond, func() { p.completeWrite(incarnation, write) })
		return
	}
	p.inFlightWrite = nil
	err := p.performWrite(write)
	if err == nil {
		p.persistedPosition = max(p.persistedPosition, newestPosition(write.Records))
	}
	p.apply(p.node.Written(p.simulation.now, write.Token, err))
}

// transmit passes a message to the network, which may duplicate it.
func (s *simulation) transmit(from *process, message Send) {
	if s.onSend != nil {
		s.onSend(message)
	}
	encoded, err := proto.Marshal(message.Message)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, to := range s.processes {
		if to.self.Address != message.To {
			continue
		}
		copies := 1
		if s.random.Float64() < s.network.duplicates {
			copies = 2
		}
		for range copies {
			s.sendCopy(from, to, encoded)
		}
	}
}

// sendCopy loses a message or delivers it after its delay.
func (s *simulation) sendCopy(from, to *process, encoded []byte) {
	if s.random.Float64() < s.network.loss {
		return
	}
	delay := s.network.minDelay + time.Duration(s.random.Int63n(int64(s.network.maxJitter)))
	if from.self.Region != to.self.Region {
		delay += s.network.interRegionDelay
	}
	delay += s.network.extraDelay[[2]int{from.number, to.number}]
	if s.network.bytesPerMillisecond > 0 {
		delay += time.Duration(len(encoded)/s.network.bytesPerMillisecond) * time.Millisecond
	}
	s.schedule(delay, func() { s.receive(from, to, encoded) })
}

// receive delivers a message to a process, as soon as that is not frozen.
func (s *simulation) receive(from, to *process, encoded []byte) {
	switch {
	case !to.running || s.network.cut[[2]int{from.number, to.number}]:
	case to.frozen:
		s.schedule(20*time.Millisecond, func() { s.receive(from, to, encoded) })
	default:
		message := new(chainpb.Message)
		if err := proto.Unmarshal(encoded, message); err != nil {
			s.t.Fatal(err)
		}
		to.apply(to.node.Receive(s.now, from.self.Address, message))
	}
}

// recordViolation records a violated invariant.
func (s *simulation) recordViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

// submit submits a command. It calls done with the answer, but not if the process ends first.
func (p *process) submit(command string, done func(Answer)) {
	p.lastRequest++
	p.callbacks[p.lastRequest] = done
	p.apply(p.node.Submit(p.simulation.now, p.lastRequest, []byte(command)))
}

func (p *process) read(done func(Answer)) {
	p.lastRequest++
	p.callbacks[p.lastRequest] = done
	p.apply(p.node.Read(p.simulation.now, p.lastRequest))
}

// submitAndWait submits a command to random processes until the outcome is known, as an operator would. It returns the
// reply and the time that it took.
func (s *simulation) submitAndWait(command string) (Reply, time.Duration) {
	s.t.Helper()
	start := s.now
	var last Answer
	for attempt := range 100 {
		p := s.processes[(attempt+s.random.Intn(len(s.processes)))%len(s.processes)]
		if !p.running {
			s.run(10 * time.Millisecond)
			continue
		}
		answered := false
		p.submit(command, func(answer Answer) { last, answered = answer, true })
		deadline := s.now.Add(time.Second)
		for !answered && s.now.Before(deadline) {
			s.run(time.Millisecond)
		}
		if answered && last.OutcomeKnown {
			return last.Reply, s.now.Sub(start)
		}
	}
	s.logState()
	s.t.Fatalf("%q was not answered", command)
	return Reply{}, 0
}

// committedEverywhere reports whether all running processes have the same committed state.
func (s *simulation) committedEverywhere() bool {
	first := ""
	for _, p := range s.processes {
		if !p.running {
			continue
		}
		state, _ := p.node.Committed()
		encoded := "=" + string(state.Encode())
		if first != "" && encoded != first {
			return false
		}
		first = encoded
	}
	return true
}

// checkCounters records the invariants that nodes counted as broken.
func (s *simulation) checkCounters() {
	for _, p := range s.processes {
		if p.node == nil {
			continue
		}
		counters := p.node.Status().Counters
		broken := counters.BrokenCommitOrder + counters.BrokenCommitLog + counters.BrokenViewValue + counters.BrokenChainMinimum
		if broken > 0 {
			s.recordViolation("%s counted broken invariants: %+v", p.self.Name, counters)
		}
	}
}

// checkInvariants fails the test if a violation was recorded.
func (s *simulation) checkInvariants() {
	s.t.Helper()
	s.checkCounters()
	assert.Equal(s.t, len(s.violations), 0, "%v", s.violations)
}

var errDisk = errors.New("injected disk error")
