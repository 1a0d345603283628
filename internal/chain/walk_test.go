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

// chooser draws the steps of a walk.
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

// walk is a run of random events with operators that keep on submitting, and a reader.
type walk struct {
	*simulation
	chooser   chooser
	operators []*operator
	history   []string // the longest committed order seen
	known     int      // how many commands are known to be taken, by answers
	wipedAt   time.Time
	keepsName bool // mistake: a wiped disk keeps its identity
	refused   map[string]bool
	answered  []string
	views     map[uint64]View // all that any process held
}

// operator submits one command after the other and sends it again, to any process, until it has a clear answer.
type operator struct {
	walk    *walk
	name    string
	number  int
	command string
	sent    int
}

// retentions are what the walks keep of the past: as in service, and so little that who was away for a moment needs a snapshot, and that
// the log on disk is rewritten all the time.
var retentions = []Retention{
	{},
	{Entries: 2, EntryBytes: 1 << 20, RewriteFrom: 2 << 10},
	{Entries: 20, EntryBytes: 60, RewriteFrom: 16 << 10},
}

func newWalk(t *testing.T, seed int64, count, initial int, chooser chooser) *walk {
	w := &walk{simulation: newSimulation(t, seed, count), chooser: chooser, refused: make(map[string]bool), views: make(map[uint64]View)}
	w.soft = true
	w.retention = retentions[seed%int64(len(retentions))]
	w.watch = w.observe
	for _, p := range w.processes {
		if p.number < initial {
			w.after(time.Duration(w.random.Int63n(int64(300*time.Millisecond))), func() { p.start(true) })
		}
	}
	for _, name := range []string{"x", "y"} {
		o := &operator{walk: w, name: name}
		w.operators = append(w.operators, o)
		w.after(time.Second, o.next)
	}
	w.after(time.Second, w.readAgain)
	return w
}

// next begins another command, often one that builds on the newest version known.
func (o *operator) next() {
	o.number++
	o.command = fmt.Sprintf("%s%d", o.name, o.number)
	if o.walk.random.Intn(2) == 0 {
		o.command += fmt.Sprintf("@%d", len(o.walk.history))
	}
	o.send()
}

func (o *operator) send() {
	w := o.walk
	o.sent++
	try := o.sent
	p := w.processes[w.random.Intn(len(w.processes))]
	w.after(time.Second, func() { o.again(try) })
	if !p.up || p.frozen {
		w.after(20*time.Millisecond, func() { o.again(try) })
		return
	}
	p.submit(o.command, func(answer Answer) {
		switch {
		case o.sent != try:
		case !answer.Known:
			o.again(try)
		default:
			o.done(answer.Reply)
		}
	})
}

func (o *operator) again(try int) {
	if o.sent == try {
		o.send()
	}
}

func (o *operator) done(reply Reply) {
	w := o.walk
	o.sent++
	id, _, _ := strings.Cut(o.command, "@")
	if reply.Accepted {
		w.answered = append(w.answered, id)
		w.known = max(w.known, 1+slices.Index(w.history, id))
		if !slices.Contains(w.history, id) {
			w.fail("%s was answered and is not committed anywhere", id)
		}
	} else {
		w.refused[id] = true
		if taken, err := strconv.Atoi(string(reply.Body)); err != nil || taken > len(w.history) {
			w.fail("%s was refused for %q commands taken before, of which %d are committed", id, reply.Body, len(w.history))
		}
		if slices.Contains(w.history, id) {
			w.fail("%s was refused and is committed", id)
		}
	}
	w.after(time.Duration(w.random.Int63n(int64(60*time.Millisecond))), o.next)
}

// readAgain reads somewhere: the state read must hold whatever was known when the read began.
func (w *walk) readAgain() {
	w.after(time.Duration(w.random.Int63n(int64(100*time.Millisecond))), w.readAgain)
	p := w.processes[w.random.Intn(len(w.processes))]
	if !p.up || p.frozen {
		return
	}
	known := w.known
	p.read(func(answer Answer) {
		if !answer.Known {
			return
		}
		taken := answer.State.(ledger).taken
		if len(taken) < known {
			w.fail("%s read %d commands, of %d that were known before", p.self.Name, len(taken), known)
		}
		w.compare(p, taken)
		w.known = max(w.known, len(taken))
	})
}

// observe compares what a process holds as committed with what others do.
func (w *walk) observe(p *process) {
	view := p.node.View()
	if earlier, seen := w.views[view.Epoch]; !seen {
		w.views[view.Epoch] = view
	} else if !earlier.equal(view) {
		w.fail("two views for epoch %d: %v and %v", view.Epoch, earlier, view)
	}
	state, revision := p.node.Committed()
	if revision == p.revision {
		return
	}
	w.compare(p, state.(ledger).taken)
}

func (w *walk) compare(p *process, taken []string) {
	shared := min(len(taken), len(w.history))
	if !slices.Equal(taken[:shared], w.history[:shared]) {
		w.fail("%s holds %v, others %v", p.self.Name, taken, w.history)
	}
	if len(taken) > len(w.history) {
		w.history = taken
	}
}

// step lets something happen.
func (w *walk) step() {
	p := w.processes[w.chooser.choose("process", len(w.processes))]
	other := w.processes[w.chooser.choose("other", len(w.processes))]
	switch action := w.chooser.choose("action", 17); action {
	case 0, 1:
		p.kill(action == 0)
	case 2, 3, 4:
		w.startOne(p)
	case 5:
		w.wipeOne(p)
	case 6:
		w.trouble.cut[[2]int{p.number, other.number}] = true
	case 7:
		for _, each := range w.processes {
			w.trouble.cut[[2]int{p.number, each.number}] = p != each
			w.trouble.cut[[2]int{each.number, p.number}] = p != each
		}
	case 8, 9:
		clear(w.trouble.cut)
	case 10:
		p.hanging = !p.hanging
	case 11:
		p.syncTime = simulatedSync * time.Duration(1+29*w.chooser.choose("slow", 2))
	case 12:
		for _, each := range w.processes {
			each.kill(true)
			w.after(time.Duration(w.random.Int63n(int64(time.Second))), func() { w.startOne(each) })
		}
	case 13:
		p.disk.SyncError = nil
		if w.chooser.choose("fails", 2) == 1 {
			p.disk.SyncError = errDisk
		}
	case 14:
		p.frozen = !p.frozen
	case 15:
		w.maybeRewrite(p)
	case 16:
		w.wipeOne(p)
		for _, each := range w.processes {
			each.kill(true)
			w.after(time.Duration(w.random.Int63n(int64(time.Second))), func() { w.startOne(each) })
		}
	}
	pauses := []time.Duration{10, 100, 300, 1000, 3000}
	w.run(pauses[w.chooser.choose("pause", len(pauses))] * time.Millisecond)
}

func (w *walk) startOne(p *process) {
	if !p.up {
		p.start(false)
	}
}

// wipeOne takes a disk away, if the system had the time to get over the last loss of one.
func (w *walk) wipeOne(p *process) {
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
	if w.keepsName && len(identity) > 0 {
		p.keepIdentity(identity[:1])
	}
	w.after(time.Duration(w.random.Int63n(int64(time.Second))), func() { w.startOne(p) })
}

// keepIdentity gives a wiped disk the name that it had.
func (p *process) keepIdentity(identity []Record) {
	file, _, _, err := logfile.OpenOn(p.disk, simulatedFolder, logfile.Limits{})
	assert.NilError(p.simulation.t, err)
	assert.NilError(p.simulation.t, file.Append(identity))
}

// identity is that of the store on a process's disk, while it is the one of its node.
func (p *process) identity() Identity {
	if p.node == nil || p.disk.Empty() {
		return ""
	}
	return p.node.Identity()
}

// recoveryLimit is how long the system may take to get over everything once it is healed.
const recoveryLimit = 12 * time.Second

// recover runs until the system got over everything, or had its time.
func (w *walk) recover() {
	for waited := time.Duration(0); waited < recoveryLimit && !w.recovered(); waited += simulatedAlive {
		w.run(simulatedAlive)
	}
}

// recovered tells whether every process knows the newest view to be in force, and every disk works.
func (w *walk) recovered() bool {
	if !w.active() {
		return false
	}
	epoch := w.newestView().Epoch
	for _, p := range w.processes {
		if !p.up || p.node.Status().Impaired || !p.node.Fresh(w.now) || p.node.View().Epoch != epoch {
			return false
		}
	}
	return true
}

// end heals everything and looks whether the system gets over it with all that was answered.
func (w *walk) end() {
	clear(w.trouble.cut)
	w.trouble.loss, w.trouble.duplicates = 0, 0
	for _, p := range w.processes {
		p.hanging, p.frozen, p.syncTime, p.disk.SyncError = false, false, simulatedSync, nil
		w.startOne(p)
	}
	w.recover()
	answers := len(w.answered) + len(w.refused)
	w.run(2 * time.Second)
	w.recover() // a learner may have become a voter just now
	if len(w.answered)+len(w.refused) <= answers || !w.recovered() {
		w.fail("the system does not get over it")
	}
	for _, id := range w.answered {
		if !slices.Contains(w.history, id) {
			w.fail("%s was answered and is lost", id)
		}
	}
	seen := make(map[string]bool)
	for _, id := range w.history {
		if seen[id] || w.refused[id] {
			w.fail("%s is there twice, or though it was refused", id)
		}
		seen[id] = true
	}
	w.countBroken()
}

// TestRandomWalk plays crashes, lost disks, cuts in one and both directions, disk trouble, frozen processes, lost, doubled
// and overtaking messages.
func TestRandomWalk(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		chooser := rapidChooser{r}
		count := 3 + 2*chooser.choose("count", 2)
		w := newWalk(t, int64(chooser.choose("seed", 1<<20)), count, count, chooser)
		w.trouble.loss = float64(chooser.choose("loss", 3)) * 0.01
		w.trouble.duplicates = float64(chooser.choose("duplicates", 3)) * 0.02
		w.run(4 * time.Second)
		for range 5 + chooser.choose("steps", 30) {
			w.step()
		}
		w.end()
		if len(w.broken) > 0 {
			r.Fatalf("%s", strings.Join(w.broken[:min(len(w.broken), 5)], "\n"))
		}
	})
}
