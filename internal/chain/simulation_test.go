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

// simulation plays processes with a virtual clock. Equal seeds give equal runs.
type simulation struct {
	t         *testing.T
	random    *rand.Rand
	now       time.Time
	events    virtualtime.Queue
	processes []*process
	seeds     []string
	trouble   networkTrouble
	verbose   bool
	retention Retention
	minimum   int // length of the chain that is wanted
	initial   State
	decode    Decoder
	soft      bool                 // what is broken is noted, not fatal
	watch     func(*process)       // after every call of a node
	sent      func(Send)           // every message
	executed  int                  // events so far
	decided   map[uint64]time.Time // when the first process learned the view of an epoch
	before    func(step int)       // every event
	broken    []string
}

// networkTrouble is what happens to messages.
type networkTrouble struct {
	minimumDelay time.Duration
	spreadDelay  time.Duration
	oneWay       time.Duration // between regions, on top
	bytesAMs     int           // that pass in a millisecond; 0: any number
	loss         float64
	duplicates   float64
	cut          map[[2]int]bool          // from, to
	slow         map[[2]int]time.Duration // from, to: on top of all other delays
}

// process is a control process with its disk.
type process struct {
	simulation *simulation
	number     int
	self       Member
	node       *Node
	life       int // rises with each start and end
	up         bool
	disk       *simdisk.Disk
	file       *logfile.File
	writing    *Write // the write that is out
	persisted  uint64 // position of the newest entry that is on disk in this life
	syncTime   time.Duration
	hanging    bool
	frozen     bool
	heard      map[int]time.Time
	unseen     bool // membership takes it for gone elsewhere, and all others for gone here, whatever passes between them
	request    uint64
	waiting    map[uint64]func(Answer)
	revision   uint64 // the newest committed one in this life
	rewrites   int    // of the file, in all lives
	mistakes   mistakes
}

// simulatedFolder is where the store of each process lies on its disk.
const simulatedFolder = "/data"

const (
	simulatedTick  = 50 * time.Millisecond
	simulatedAlive = 100 * time.Millisecond
	simulatedDeath = 500 * time.Millisecond
	simulatedSync  = 5 * time.Millisecond
	simulatedBound = 5 * time.Second
)

// newSimulation makes processes in three zones of three regions; the first few are the seeds.
func newSimulation(t *testing.T, seed int64, count int) *simulation {
	s := &simulation{
		t:       t,
		random:  rand.New(rand.NewSource(seed)),
		now:     time.Unix(1000, 0),
		minimum: 2,
		initial: ledger{},
		decided: make(map[uint64]time.Time),
		decode:  decodeLedger,
		trouble: networkTrouble{minimumDelay: time.Millisecond, spreadDelay: 40 * time.Millisecond, cut: make(map[[2]int]bool)},
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
		simulation: s,
		number:     number,
		syncTime:   simulatedSync,
		disk:       simdisk.New(),
		heard:      make(map[int]time.Time),
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

func (s *simulation) after(delay time.Duration, run func()) {
	s.events.At(s.now.Add(delay), run)
}

// run lets time pass.
func (s *simulation) run(duration time.Duration) {
	end := s.now.Add(duration)
	for {
		at, happen, due := s.events.Next(end)
		if !due {
			break
		}
		s.now = at
		if s.before != nil {
			s.before(s.executed)
		}
		s.executed++
		happen()
	}
	s.now = end
}

// until runs until a condition holds and returns how long that took.
func (s *simulation) until(limit time.Duration, condition func() bool) time.Duration {
	s.t.Helper()
	start := s.now
	for !condition() {
		if s.now.Sub(start) > limit {
			s.dump()
			s.t.Fatalf("not within %v", limit)
		}
		s.run(5 * time.Millisecond)
	}
	return s.now.Sub(start)
}

func (s *simulation) dump() {
	for _, p := range s.processes {
		if !p.up {
			s.t.Logf("%s down", p.self.Name)
			continue
		}
		s.t.Logf("%s %+v view %d chain %v attempt %v", p.self.Name, p.node.Status(), p.node.View().Epoch, s.names(p.node.View().Chain), p.node.attempt != nil)
	}
}

func (s *simulation) names(chain []Identity) []string {
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
		s.after(time.Duration(s.random.Int63n(int64(300*time.Millisecond))), func() { p.start(true) })
	}
	s.run(300 * time.Millisecond)
}

func (p *process) options(bootstrap bool) Options {
	return Options{
		Self:         p.self,
		Bootstrap:    bootstrap,
		Seeds:        p.simulation.seeds,
		MinimumChain: p.simulation.minimum,
		Initial:      p.simulation.initial,
		Decode:       p.simulation.decode,
		AckBound:     simulatedBound,
		Retention:    p.simulation.retention,
		Random:       rand.New(rand.NewSource(p.simulation.random.Int63())),
	}
}

func (p *process) start(bootstrap bool) {
	p.life++
	p.up = true
	p.writing, p.hanging, p.frozen, p.disk.SyncError = nil, false, false, nil
	p.waiting = make(map[uint64]func(Answer))
	p.request, p.revision = 0, 0 // numbers begin anew with each life
	clear(p.heard)
	if err := p.open(bootstrap); err != nil {
		if !p.simulation.soft {
			p.simulation.t.Fatalf("%s: %v", p.self.Name, err)
		}
		p.simulation.fail("%s: %v", p.self.Name, err)
		p.up = false
		return
	}
	p.tick(p.life)
	p.liveness(p.life)
}

// open reads the store and makes a node of it.
func (p *process) open(bootstrap bool) error {
	file, records, _, err := logfile.OpenOn(p.disk, simulatedFolder, logfile.Limits{})
	if err != nil {
		return err
	}
	p.file = file
	p.persisted = newestEntry(records)
	node, output, err := New(p.options(bootstrap), records, p.simulation.now)
	if err != nil {
		return err
	}
	p.node = node
	p.node.mistakes = p.mistakes
	p.carryOut(output)
	return nil
}

// mostOperations is how many operations of the disk a write takes, about: a rewrite makes, writes, syncs and renames a file.
const mostOperations = 8

// kill ends a process. The write that was out got as far as chance has it; with the power goes what was not synced.
func (p *process) kill(power bool) {
	if !p.up {
		return
	}
	p.up = false
	p.life++
	if p.writing != nil {
		p.disk.StopAfter(p.simulation.random.Intn(mostOperations))
		p.carryOutWrite(*p.writing) // whatever comes of it: nobody is there to be told
		p.writing = nil
	}
	if power {
		p.disk.LosePower(p.simulation.random)
		return
	}
	p.disk.Kill()
}

func (p *process) carryOutWrite(write Write) error {
	if write.Rewrite {
		return p.file.Rewrite(write.Records)
	}
	return p.file.Append(write.Records)
}

func (p *process) wipe() { p.disk = simdisk.New() }

// records are what a start would read.
func (p *process) records() []Record {
	trouble := p.disk.SyncError
	p.disk.SyncError = nil
	defer func() { p.disk.SyncError = trouble }()
	_, records, _, err := logfile.OpenOn(p.disk, simulatedFolder, logfile.Limits{})
	assert.NilError(p.simulation.t, err)
	return records
}

func (p *process) tick(life int) {
	if p.life != life {
		return
	}
	if !p.frozen {
		p.carryOut(p.node.Tick(p.simulation.now))
	}
	p.simulation.after(simulatedTick, func() { p.tick(life) })
}

// liveness stands for membership: whom a process has exchanged messages with lately is alive.
func (p *process) liveness(life int) {
	if p.life != life {
		return
	}
	s := p.simulation
	if p.frozen {
		s.after(simulatedAlive, func() { p.liveness(life) })
		return
	}
	var alive []Member
	for _, other := range s.processes {
		if other != p && (p.unseen || other.unseen) {
			continue
		}
		if other == p || (other.up && !other.frozen && !s.trouble.cut[[2]int{p.number, other.number}] && !s.trouble.cut[[2]int{other.number, p.number}]) {
			p.heard[other.number] = s.now
		}
		if heard, ever := p.heard[other.number]; ever && s.now.Sub(heard) < simulatedDeath && other.node != nil {
			member := other.self
			member.Identity = other.node.Identity()
			alive = append(alive, member)
		}
	}
	p.carryOut(p.node.Liveness(s.now, alive))
	s.after(simulatedAlive, func() { p.liveness(life) })
}

func (p *process) carryOut(output Output) {
	s := p.simulation
	for _, line := range output.Logs {
		if s.verbose {
			s.t.Logf("%v %s: %s", s.now.Sub(time.Unix(1000, 0)), p.self.Name, line)
		}
	}
	for _, write := range output.Writes {
		p.write(write)
	}
	for _, send := range output.Sends {
		s.deliver(p, send)
	}
	if s.watch != nil {
		s.watch(p)
	}
	p.checkPersisted()
	p.checkConfirmed()
	if _, revision := p.node.Committed(); revision < p.revision {
		s.fail("%s: committed went from %d back to %d", p.self.Name, p.revision, revision)
	} else {
		p.revision = revision
	}
	for _, answer := range output.Answers {
		if done := p.waiting[answer.Request]; done != nil {
			delete(p.waiting, answer.Request)
			done(answer)
		}
	}
}

// newestEntry is the highest position that records hold.
func newestEntry(records []Record) uint64 {
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
			for _, each := range installed.Entries {
				newest = max(newest, each.Position)
			}
		}
	}
	return newest
}

// checkPersisted holds that a member of the chain has on its disk what it passed on, and the tail what it committed.
func (p *process) checkPersisted() {
	n := p.node
	if !n.serving() || n.durableInstalled != n.view.Epoch {
		return
	}
	if n.passed > p.persisted || n.isTail() && n.log.committed > p.persisted {
		p.simulation.fail("%s passed %d and committed %d entries, of which %d are on its disk", p.self.Name, n.passed, n.log.committed, p.persisted)
	}
}

// checkConfirmed holds that an epoch was in force at the time for which a process takes it for confirmed: the view of the next one had
// not been decided by then. What a process outside the chain knows of the tail may be older by the time for which a confirmation holds.
func (p *process) checkConfirmed() {
	n, s := p.node, p.simulation
	if _, known := s.decided[n.view.Epoch]; !known {
		s.decided[n.view.Epoch] = s.now
	}
	over, decided := s.decided[n.confirmedEpoch+1]
	if !decided || n.confirmedEpoch != n.view.Epoch {
		return
	}
	if !n.inChain() {
		over = over.Add(freshFor)
	}
	if n.confirmedAt.After(over) {
		s.fail("%s takes epoch %d for confirmed %v after the next one was decided", p.self.Name, n.confirmedEpoch, n.confirmedAt.Sub(over))
	}
}

func (p *process) write(write Write) {
	life := p.life
	p.writing = &write
	if write.Rewrite {
		p.rewrites++
	}
	p.simulation.after(p.syncTime, func() { p.endWrite(life, write) })
}

func (p *process) endWrite(life int, write Write) {
	if p.life != life {
		return
	}
	if p.hanging || p.frozen {
		p.simulation.after(20*time.Millisecond, func() { p.endWrite(life, write) })
		return
	}
	p.writing = nil
	err := p.carryOutWrite(write)
	if err == nil {
		p.persisted = max(p.persisted, newestEntry(write.Records))
	}
	p.carryOut(p.node.Written(p.simulation.now, write.Token, err))
}

func (s *simulation) deliver(from *process, send Send) {
	if s.sent != nil {
		s.sent(send)
	}
	encoded, err := proto.Marshal(send.Message)
	if err != nil {
		s.t.Fatal(err)
	}
	for _, to := range s.processes {
		if to.self.Address != send.To {
			continue
		}
		copies := 1
		if s.random.Float64() < s.trouble.duplicates {
			copies = 2
		}
		for range copies {
			s.deliverOne(from, to, encoded)
		}
	}
}

func (s *simulation) deliverOne(from, to *process, encoded []byte) {
	if s.random.Float64() < s.trouble.loss {
		return
	}
	delay := s.trouble.minimumDelay + time.Duration(s.random.Int63n(int64(s.trouble.spreadDelay)))
	if from.self.Region != to.self.Region {
		delay += s.trouble.oneWay
	}
	delay += s.trouble.slow[[2]int{from.number, to.number}]
	if s.trouble.bytesAMs > 0 {
		delay += time.Duration(len(encoded)/s.trouble.bytesAMs) * time.Millisecond
	}
	s.after(delay, func() { s.arrive(from, to, encoded) })
}

// arrive gives a message to a process, once it is not frozen.
func (s *simulation) arrive(from, to *process, encoded []byte) {
	switch {
	case !to.up || s.trouble.cut[[2]int{from.number, to.number}]:
	case to.frozen:
		s.after(20*time.Millisecond, func() { s.arrive(from, to, encoded) })
	default:
		message := new(chainpb.Message)
		if err := proto.Unmarshal(encoded, message); err != nil {
			s.t.Fatal(err)
		}
		to.carryOut(to.node.Receive(s.now, from.self.Address, message))
	}
}

func (s *simulation) fail(format string, values ...any) {
	s.broken = append(s.broken, fmt.Sprintf(format, values...))
}

// submit hands in a command and calls done with the answer, or with none when the process dies.
func (p *process) submit(command string, done func(Answer)) {
	p.request++
	p.waiting[p.request] = done
	p.carryOut(p.node.Submit(p.simulation.now, p.request, []byte(command)))
}

func (p *process) read(done func(Answer)) {
	p.request++
	p.waiting[p.request] = done
	p.carryOut(p.node.Read(p.simulation.now, p.request))
}

// write has a command taken by whichever process takes it, as an operator would.
func (s *simulation) write(command string) (Reply, time.Duration) {
	s.t.Helper()
	start := s.now
	var last Answer
	for attempt := range 100 {
		p := s.processes[(attempt+s.random.Intn(len(s.processes)))%len(s.processes)]
		if !p.up {
			s.run(10 * time.Millisecond)
			continue
		}
		answered := false
		p.submit(command, func(answer Answer) { last, answered = answer, true })
		deadline := s.now.Add(time.Second)
		for !answered && s.now.Before(deadline) {
			s.run(time.Millisecond)
		}
		if answered && last.Known {
			return last.Reply, s.now.Sub(start)
		}
	}
	s.dump()
	s.t.Fatalf("%q was not taken", command)
	return Reply{}, 0
}

// committedEverywhere tells whether all processes that are up hold the same.
func (s *simulation) committedEverywhere() bool {
	first := ""
	for _, p := range s.processes {
		if !p.up {
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

// countBroken notes the invariants that nodes counted as broken.
func (s *simulation) countBroken() {
	for _, p := range s.processes {
		if p.node == nil {
			continue
		}
		counters := p.node.Status().Counters
		broken := counters.BrokenCommitOrder + counters.BrokenCommitLog + counters.BrokenViewValue + counters.BrokenChainMinimum
		if broken > 0 {
			s.fail("%s counted broken invariants: %+v", p.self.Name, counters)
		}
	}
}

// check looks at the invariants.
func (s *simulation) check() {
	s.t.Helper()
	s.countBroken()
	assert.Equal(s.t, len(s.broken), 0, "%v", s.broken)
}

var errDisk = errors.New("disk trouble")
