package chain

import (
	"fmt"
	"math/rand"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wallflow/internal/logfile"
)

// chooser selects the steps of a random walk.
type chooser interface {
	choose(label string, count int) int
}

type randomChooser struct{ random *rand.Rand }

func (c randomChooser) choose(_ string, count int) int { return c.random.Intn(count) }

func seededChooser(seed int64) randomChooser { return randomChooser{rand.New(rand.NewSource(seed))} }

type rapidChooser struct{ t *rapid.T }

func (c rapidChooser) choose(label string, count int) int {
	return rapid.IntRange(0, count-1).Draw(c.t, label)
}

// randomWalk is a simulation with random events, operators that submit commands all the time, and reads.
type randomWalk struct {
	*simulation
	chooser            chooser
	operators          []*operator
	history            []string // longest committed sequence of commands seen
	minCommitted       int      // number of commands known from answers to be committed
	wipedAt            time.Time
	keepsWipedIdentity bool // injected fault: a wiped disk keeps its identity
	rejectedIDs        map[string]bool
	acceptedIDs        []string
	views              map[uint64]View // every view that any process had, by epoch
}

// operator submits one command after the other. It submits a command again, to any process, until its outcome is known.
type operator struct {
	walk     *randomWalk
	name     string
	number   int
	command  string
	attempts int
}

// retentions are used by the random walks: the default; so little that a process that was down briefly needs a
// snapshot; and so little that the log file is rewritten continuously.
var retentions = []Retention{
	{},
	{Entries: 2, EntryBytes: 1 << 20, MinRewriteBytes: 2 << 10},
	{Entries: 20, EntryBytes: 60, MinRewriteBytes: 16 << 10},
}

func newRandomWalk(t *testing.T, seed int64, count, initial int, chooser chooser) *randomWalk {
	w := &randomWalk{simulation: newSimulation(t, seed, count), chooser: chooser,
		rejectedIDs: make(map[string]bool), views: make(map[uint64]View)}
	w.collectViolations = true
	w.retention = retentions[seed%int64(len(retentions))]
	w.afterCall = w.observe
	for _, p := range w.processes {
		if p.number < initial {
			w.schedule(time.Duration(w.random.Int63n(int64(300*time.Millisecond))), func() { p.start(true) })
		}
	}
	for _, name := range []string{"x", "y"} {
		o := &operator{walk: w, name: name}
		w.operators = append(w.operators, o)
		w.schedule(time.Second, o.submitNext)
	}
	w.schedule(time.Second, w.readRepeatedly)
	return w
}

// submitNext submits another command, which often expects the newest known version.
func (o *operator) submitNext() {
	o.number++
	o.command = fmt.Sprintf("%s%d", o.name, o.number)
	if o.walk.random.Intn(2) == 0 {
		o.command += fmt.Sprintf("@%d", len(o.walk.history))
	}
	o.send()
}

func (o *operator) send() {
	w := o.walk
	o.attempts++
	attempt := o.attempts
	p := w.processes[w.random.Intn(len(w.processes))]
	w.schedule(time.Second, func() { o.retry(attempt) })
	if !p.running || p.frozen {
		w.schedule(20*time.Millisecond, func() { o.retry(attempt) })
		return
	}
	p.submit(o.command, func(answer Answer) {
		switch {
		case o.attempts != attempt:
		case !answer.OutcomeKnown:
			o.retry(attempt)
		default:
			o.handleReply(answer.Reply)
		}
	})
}

func (o *operator) retry(attempt int) {
	if o.attempts == attempt {
		o.send()
	}
}

func (o *operator) handleReply(reply Reply) {
	w := o.walk
	o.attempts++
	id, _, _ := strings.Cut(o.command, "@")
	if reply.Accepted {
		w.acceptedIDs = append(w.acceptedIDs, id)
		w.minCommitted = max(w.minCommitted, 1+slices.Index(w.history, id))
		if !slices.Contains(w.history, id) {
			w.recordViolation("%s was accepted but is not committed anywhere", id)
		}
	} else {
		w.rejectedIDs[id] = true
		if accepted, err := strconv.Atoi(string(reply.Body)); err != nil || accepted > len(w.history) {
			w.recordViolation("%s was rejected because of %q accepted commands, of which %d are committed", id, reply.Body, len(w.history))
		}
		if slices.Contains(w.history, id) {
			w.recordViolation("%s was rejected but is committed", id)
		}
	}
	w.schedule(time.Duration(w.random.Int63n(int64(60*time.Millisecond))), o.submitNext)
}

// readRepeatedly reads from random processes. The state read has to contain everything that was known to be committed
// when the read started.
func (w *randomWalk) readRepeatedly() {
	w.schedule(time.Duration(w.random.Int63n(int64(100*time.Millisecond))), w.readRepeatedly)
	p := w.processes[w.random.Intn(len(w.processes))]
	if !p.running || p.frozen {
		return
	}
	minCommitted := w.minCommitted
	p.read(func(answer Answer) {
		if !answer.OutcomeKnown {
			return
		}
		commands := answer.State.(ledger).commands
		if len(commands) < minCommitted {
			w.recordViolation("%s read %d commands, but %d were known to be committed", p.self.Name, len(commands), minCommitted)
		}
		w.checkPrefix(p, commands)
		w.minCommitted = max(w.minCommitted, len(commands))
	})
}

// observe checks the view and the committed state of a process against those of the others.
func (w *randomWalk) observe(p *process) {
	view := p.node.View()
	if earlier, seen := w.views[view.Epoch]; !seen {
		w.views[view.Epoch] = view
	} else if !earlier.equal(view) {
		w.recordViolation("two views for epoch %d: %v and %v", view.Epoch, earlier, view)
	}
	state, committedRevision := p.node.Committed()
	if committedRevision == p.committedRevision {
		return
	}
	w.checkPrefix(p, state.(ledger).commands)
}

// checkPrefix verifies that the committed commands of a process and the history agree as far as both go.
func (w *randomWalk) checkPrefix(p *process, commands []string) {
	common := min(len(commands), len(w.history))
	if !slices.Equal(commands[:common], w.history[:common]) {
		w.recordViolation("%s committed %v, others committed %v", p.self.Name, commands, w.history)
	}
	if len(commands) > len(w.history) {
		w.history = commands
	}
}

// step lets a random event happen.
func (w *randomWalk) step() {
	p := w.processes[w.chooser.choose("process", len(w.processes))]
	other := w.processes[w.chooser.choose("other", len(w.processes))]
	switch action := w.chooser.choose("action", 17); action {
	case 0, 1:
		p.kill(action == 0)
	case 2, 3, 4:
		w.ensureRunning(p)
	case 5:
		w.wipeDisk(p)
	case 6:
		w.network.cut[[2]int{p.number, other.number}] = true
	case 7:
		for _, each := range w.processes {
			w.network.cut[[2]int{p.number, each.number}] = p != each
			w.network.cut[[2]int{each.number, p.number}] = p != each
		}
	case 8, 9:
		clear(w.network.cut)
	case 10:
		p.diskHanging = !p.diskHanging
	case 11:
		p.syncTime = normalSyncTime * time.Duration(1+29*w.chooser.choose("slow", 2))
	case 12:
		for _, each := range w.processes {
			each.kill(true)
			w.schedule(time.Duration(w.random.Int63n(int64(time.Second))), func() { w.ensureRunning(each) })
		}
	case 13:
		p.disk.SyncError = nil
		if w.chooser.choose("fails", 2) == 1 {
			p.disk.SyncError = errDisk
		}
	case 14:
		p.frozen = !p.frozen
	case 15:
		w.rewriteIfIdle(p)
	case 16:
		w.wipeDisk(p)
		for _, each := range w.processes {
			each.kill(true)
			w.schedule(time.Duration(w.random.Int63n(int64(time.Second))), func() { w.ensureRunning(each) })
		}
	}
	pauses := []time.Duration{10, 100, 300, 1000, 3000}
	w.run(pauses[w.chooser.choose("pause", len(pauses))] * time.Millisecond)
}

func (w *randomWalk) ensureRunning(p *process) {
	if !p.running {
		p.start(false)
	}
}

// wipeDisk wipes a disk if the system has recovered from the previous loss of a disk.
func (w *randomWalk) wipeDisk(p *process) {
	if !w.active() || w.now.Sub(w.wipedAt) < 4*time.Second {
		return
	}
	present := 0
	for _, each := range w.processes {
		if _, votes := w.newestView().Voter(each.identity()); votes {
			present++
		}
	}
	if present < len(w.newestView().Voters) {
		return
	}
	w.wipedAt = w.now
	p.kill(true)
	identity := p.records()
	p.wipe()
	if w.keepsWipedIdentity && len(identity) > 0 {
		p.keepIdentity(identity[:1])
	}
	w.schedule(time.Duration(w.random.Int63n(int64(time.Second))), func() { w.ensureRunning(p) })
}

// keepIdentity writes the previous identity to a wiped disk.
func (p *process) keepIdentity(identity []Record) {
	file, _, _, err := logfile.OpenOn(p.disk, simulatedDirectory, logfile.Limits{})
	assert.NilError(p.simulation.t, err)
	assert.NilError(p.simulation.t, file.Append(identity))
}

// identity returns the identity of a node, or an empty one if its disk was wiped since.
func (p *process) identity() Identity {
	if p.node == nil || p.disk.Empty() {
		return ""
	}
	return p.node.Identity()
}

// recoveryLimit is how long the system may take to recover after all faults end.
const recoveryLimit = 12 * time.Second

// awaitRecovery runs until the system has recovered or recoveryLimit has passed.
func (w *randomWalk) awaitRecovery() {
	for waited := time.Duration(0); waited < recoveryLimit && !w.recovered(); waited += livenessInterval {
		w.run(livenessInterval)
	}
}

// recovered reports whether every process runs with a healthy disk and has the newest view confirmed.
func (w *randomWalk) recovered() bool {
	if !w.active() {
		return false
	}
	epoch := w.newestView().Epoch
	for _, p := range w.processes {
		if !p.running || p.node.Status().Impaired || !p.node.Fresh(w.now) || p.node.View().Epoch != epoch {
			return false
		}
	}
	return true
}

// healAndCheck ends all faults and verifies that the system recovers with all answered commands.
func (w *randomWalk) healAndCheck() {
	clear(w.network.cut)
	w.network.loss, w.network.duplicates = 0, 0
	for _, p := range w.processes {
		p.diskHanging, p.frozen, p.syncTime, p.disk.SyncError = false, false, normalSyncTime, nil
		w.ensureRunning(p)
	}
	w.awaitRecovery()
	answers := len(w.acceptedIDs) + len(w.rejectedIDs)
	w.run(2 * time.Second)
	w.awaitRecovery() // a learner may just have become a voter
	if len(w.acceptedIDs)+len(w.rejectedIDs) <= answers || !w.recovered() {
		w.recordViolation("the system does not recover")
	}
	for _, id := range w.acceptedIDs {
		if !slices.Contains(w.history, id) {
			w.recordViolation("%s was accepted but is lost", id)
		}
	}
	seen := make(map[string]bool)
	for _, id := range w.history {
		if seen[id] || w.rejectedIDs[id] {
			w.recordViolation("%s is committed twice or although it was rejected", id)
		}
		seen[id] = true
	}
	w.checkCounters()
}

// TestRandomWalk injects crashes, disk losses, one-way and two-way partitions, disk faults, frozen processes, and lost,
// duplicated and reordered messages.
func TestRandomWalk(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		chooser := rapidChooser{r}
		count := 3 + 2*chooser.choose("count", 2)
		w := newRandomWalk(t, int64(chooser.choose("seed", 1<<20)), count, count, chooser)
		w.network.loss = float64(chooser.choose("loss", 3)) * 0.01
		w.network.duplicates = float64(chooser.choose("duplicates", 3)) * 0.02
		w.run(4 * time.Second)
		for range 5 + chooser.choose("steps", 30) {
			w.step()
		}
		w.healAndCheck()
		if len(w.violations) > 0 {
			r.Fatalf("%s", strings.Join(w.violations[:min(len(w.violations), 5)], "\n"))
		}
	})
}
