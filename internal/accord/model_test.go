package accord

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wallflow/internal/testkit"
)

// The model: the fleet's state, two agents with a relay each, and everything that can happen to them in every order, in steps of a
// second. Requests, answers and words may be late or lost, agents and relays are killed at any point, and a change that all have
// promised may be dropped all the same. What is checked is that no message is taken on under a policy after one has been under a
// later one, and none under a policy that was dropped.

const (
	modelPairs = 2
)

var modelDocument = json.RawMessage(`{"form":1}`)

// mistakes are planted one at a time: the model has to find each.
type mistakes struct {
	sealWithoutOne, doubtGoesOn, notSynced, staleSeal, beginsEarly, stopsLate bool
}

type pair struct {
	ledger, disk *Ledger
	answer       *News // on its way to the agent
	asked        int   // when the agent asked for it
	// the relay
	up      bool
	pid     int
	gate    Gate
	says    Says
	word    *Word // on its way to the relay
	have    Word
	started int // when the relay's process last asked
}

// doer is handed each thing that can happen, and in how many draws it is drawn once.
type doer func(rare int, f func(n *world) bool)

type world struct {
	now, kills, proposed int
	ticks, hold          int
	instant              bool // words come at once
	svc                  *State
	promised, begins     int // by the service's clock
	pairs                [modelPairs]pair
	newest               int64 // highest policy that a message was taken on under
	wrong                string
}

func (w *world) clone() *world {
	c := *w
	c.svc = w.svc.Clone()
	for i := range c.pairs {
		p := &c.pairs[i]
		p.ledger, p.disk = p.ledger.Clone(), p.disk.Clone()
		p.gate.promises = append([]promise(nil), p.gate.promises...)
	}
	return &c
}

func second(n int) time.Time { return time.Unix(int64(1000+n), 0) }

// key tells worlds apart in all that matters for what can still happen.
func (w *world) key() string {
	k := fmt.Sprint(w.now, w.kills, w.proposed, w.newest, w.begins, w.svc.InForce.Number, w.svc.Last)
	if w.svc.Change != nil {
		k += fmt.Sprint(w.svc.Change.Phase, w.promised)
	}
	for _, x := range w.svc.All() {
		k += fmt.Sprint(x.Staged, x.Promised, x.Knows, x.Boot)
	}
	for i := range w.pairs {
		p := &w.pairs[i]
		k += fmt.Sprint("|", p.up, p.pid, p.says.Can, p.says.Promised, p.says.Follows, p.gate.follows, p.gate.known, p.gate.pending, p.gate.next, p.gate.begin.Unix())
		for _, x := range p.gate.promises {
			k += fmt.Sprint(x.number, x.stop.Unix())
		}
		for _, l := range []*Ledger{p.ledger, p.disk} {
			k += fmt.Sprint("/", l.Known, l.InForce.Number, l.Begun, l.begin.Unix(), l.Decided, l.Promised, l.armed, len(l.Admitted), l.Boot)
			if l.Staged != nil {
				k += fmt.Sprint("s", l.Staged.Number)
			}
			for pid := 1; pid <= p.pid; pid++ {
				if s, ok := l.says[Process{PID: pid}]; ok {
					k += fmt.Sprint(pid, s.Can, s.Promised)
				}
			}
		}
		if p.answer != nil {
			k += fmt.Sprint("a", p.answer.InForce.Number, p.answer.BeginIn, p.answer.Decided, p.answer.Change != nil, p.asked)
			if p.answer.Change != nil {
				k += string(p.answer.Change.Phase)
			}
		}
		for _, x := range []*Word{p.word, &p.have} {
			if x != nil {
				k += fmt.Sprint("w", x.Admitted, x.Policy.Number, x.BeginInMS, x.Decided, x.Change != nil)
				if x.Change != nil {
					k += string(x.Change.Phase)
				}
			}
		}
	}
	return k
}

func (p *pair) alive(x Process) bool { return p.up && x.PID == p.pid }

// save writes the ledger down, as the agent does before anybody hears of it.
func (p *pair) save() { p.disk = p.ledger.Clone() }

func (w *world) drop(number int64) {
	w.svc.Apply(Op{Drop: &Drop{Number: number, Why: "model"}})
}

// steps are all that can happen next.
func (w *world) steps(m mistakes, do doer) {
	if w.now < w.ticks {
		do(8, func(n *world) bool { n.now++; return true })
	}
	if w.proposed < 1 {
		do(1, func(n *world) bool {
			n.proposed++
			_, err := n.svc.Apply(Op{Propose: &Propose{Document: modelDocument, HoldMS: int64(w.hold) * 1000, WithinMS: 1000}})
			return err == nil
		})
	}
	if c := w.svc.Change; c != nil {
		do(1, func(n *world) bool {
			_, err := n.svc.Apply(Op{Arm: c.Number})
			return err == nil
		})
		do(1, func(n *world) bool {
			_, err := n.svc.Apply(Op{Seal: c.Number})
			if missing := n.svc.Missing(); err != nil && m.sealWithoutOne && c.Phase == Armed && len(missing) == 1 {
				n.svc.InForce, n.svc.HoldMS = c.Policy, c.HoldMS
				n.svc.over(Outcome{Sealed: true})
				err = nil
			}
			n.begins = n.promised + n.hold
			return err == nil
		})
		if c.Phase == Armed {
			do(64, func(n *world) bool { n.drop(c.Number); return true })
		}
	}
	if m.staleSeal && w.svc.Change == nil && w.svc.Last > w.svc.InForce.Number {
		do(1, func(n *world) bool { // who led before seals what was dropped
			n.svc.InForce = Policy{Number: w.svc.Last, Document: modelDocument}
			n.begins = n.promised + n.hold
			return true
		})
	}
	for i := range w.pairs {
		w.agentSteps(i, m, do)
		w.relaySteps(i, m, do)
	}
}

func (w *world) agentSteps(i int, m mistakes, do doer) {
	// It promises where it may, and reports; the answer that was on its way before is lost.
	do(1, func(n *world) bool {
		p := &n.pairs[i]
		if p.ledger.Promise(p.alive) && !m.notSynced {
			p.save()
		}
		r := p.ledger.Report(fmt.Sprint("n", i), "", "", p.alive)
		before := n.svc.Sessions[r.ID].Promised
		if _, err := n.svc.Apply(Op{Report: &r}); err != nil {
			return false
		}
		if n.svc.Sessions[r.ID].Promised != before {
			n.promised = n.now
		}
		a := &News{Epoch: n.svc.Epoch, InForce: n.svc.InForce, BeginIn: time.Duration(max(0, n.begins-n.now)) * time.Second, HoldMS: n.svc.HoldMS, Decided: n.svc.Decided()}
		if n.svc.Change != nil {
			c := *n.svc.Change
			a.Change = &c
		}
		p.answer, p.asked = a, n.now
		return true
	})
	if w.pairs[i].answer != nil {
		do(1, func(n *world) bool {
			p := &n.pairs[i]
			a := *p.answer
			p.answer = nil
			a.At = second(n.now)
			if m.beginsEarly {
				a.BeginIn -= time.Duration(n.hold) * time.Second
			}
			if err := p.ledger.Tell(a); err != nil {
				n.wrong = err.Error()
			}
			p.ledger.Begin(second(n.now))
			if !m.notSynced || p.ledger.Promised == 0 {
				p.save()
			}
			return true
		})
	}
	if w.kills > 0 {
		do(8, func(n *world) bool {
			n.kills--
			p := &n.pairs[i]
			p.ledger, p.answer, p.word = p.disk.Clone(), nil, nil
			p.ledger.Start(second(n.now))
			p.save()
			return true
		})
	}
}

func (w *world) relaySteps(i int, m mistakes, do doer) {
	if !w.pairs[i].up {
		return
	}
	// Its process says what there is to say, and the agent answers; the word that was on its way before is lost.
	do(1, func(n *world) bool {
		p := &n.pairs[i]
		p.started = n.now
		if c := p.have.Change; c != nil && c.Phase == Armed && p.says.Can == c.Number && p.says.Promised != c.Number {
			asked := second(n.now)
			if m.stopsLate {
				asked = asked.Add(time.Duration(n.hold) * time.Second)
			}
			p.gate.Promise(c.Number, asked, time.Duration(n.hold)*time.Second)
			p.says.Promised = c.Number
		}
		p.ledger.Begin(second(n.now))
		p.ledger.Hear(p.says)
		if p.ledger.Admit(p.says.Process, second(n.now), p.alive) {
			p.save()
		}
		word := p.ledger.Word(p.says.Process, second(n.now))
		if p.word = &word; n.instant {
			n.heard(p)
		}
		return true
	})
	if w.pairs[i].word != nil {
		do(1, func(n *world) bool { n.heard(&n.pairs[i]); return true })
	}
	// A message is taken on, or not.
	do(1, func(n *world) bool {
		p := &n.pairs[i]
		number, ok := p.gate.Takes(second(n.now))
		if m.doubtGoesOn {
			ok = p.gate.known
		}
		p.says.Follows = number
		if !ok {
			return false
		}
		switch {
		case number < n.newest:
			n.wrong = fmt.Sprintf("a message is taken on under policy %d, after one under %d", number, n.newest)
		case number > 0 && number != n.svc.InForce.Number && n.svc.Change == nil:
			n.wrong = fmt.Sprintf("a message is taken on under policy %d, which was dropped", number)
		}
		n.newest = max(n.newest, number)
		return true
	})
	if w.kills > 0 {
		do(8, func(n *world) bool { // another process comes in its place
			n.kills--
			p := &n.pairs[i]
			p.pid++
			p.gate, p.says, p.word, p.have = Gate{}, Says{Process: Process{PID: p.pid}, Follows: -1}, nil, Word{}
			return true
		})
	}
}

// heard has the word come that is on its way to a relay.
func (w *world) heard(p *pair) {
	x := *p.word
	p.word, p.have = nil, x
	if x.Admitted {
		p.gate.Follow(x.Policy.Number, second(w.now).Add(time.Duration(x.BeginInMS)*time.Millisecond))
	}
	for _, c := range p.gate.Promised() {
		if c <= x.Decided && c > x.Policy.Number {
			p.gate.Dropped(c)
		}
	}
	if x.Change != nil {
		p.says.Can = x.Change.Number
	}
}

// begin is a fleet that goes by its own configurations, whose second relay may be down.
func begin(kills, ticks, hold int, instant, second2 bool) *world {
	w := &world{kills: kills, ticks: ticks, hold: hold, instant: instant, svc: New("e")}
	for i := range w.pairs {
		p := &w.pairs[i]
		p.ledger = &Ledger{ID: fmt.Sprint("id", i)}
		p.ledger.Start(second(0))
		p.up = i == 0 || second2
		p.pid, p.says = 1, Says{Process: Process{PID: 1}, Follows: -1}
		r := p.ledger.Report(fmt.Sprint("n", i), "", "", p.alive)
		w.svc.Apply(Op{Report: &r})
		if err := p.ledger.Tell(News{Epoch: "e", At: second(0)}); err != nil {
			panic(err)
		}
		p.ledger.Begin(second(0))
		if p.up {
			p.ledger.Admit(p.says.Process, second(0), p.alive)
			p.gate.Follow(0, second(0))
			p.gate.Takes(second(0))
			p.says.Follows = 0
			p.ledger.Hear(p.says)
			p.have = p.ledger.Word(p.says.Process, second(0))
		}
		p.save()
	}
	return w
}

// explore goes through all that can happen from a world on; whole: it came to the end of it.
func explore(first *world, m mistakes, most int) (states int, whole bool, wrong string) {
	const together = 512 // worlds whose next steps are taken side by side
	seen := map[string]bool{first.key(): true}
	for line := []*world{first}; len(line) > 0; {
		round := line[:min(together, len(line))]
		line = line[len(round):]
		for _, next := range successorsOf(round, m) {
			for _, n := range next {
				if n.wrong != "" {
					return len(seen), false, n.wrong
				}
				if !seen[n.name] {
					seen[n.name] = true
					line = append(line, n.world)
				}
			}
			if len(seen) > most {
				return len(seen), false, ""
			}
		}
	}
	return len(seen), true, ""
}

// successor is a world after one more step, with its key.
type successor struct {
	*world
	name string
}

// successorsOf takes every step from each of some worlds.
func successorsOf(round []*world, m mistakes) [][]successor {
	all := make([][]successor, len(round))
	testkit.Each(len(round), func(index int) {
		all[index] = successors(round[index], m)
	})
	return all
}

func successors(from *world, m mistakes) []successor {
	var all []successor
	from.steps(m, func(_ int, f func(n *world) bool) {
		if n := from.clone(); f(n) {
			all = append(all, successor{world: n, name: n.key()})
		}
	})
	return all
}

// walk goes one way through it, drawn from a seed.
func walk(w *world, m mistakes, rng *rand.Rand, steps int) string {
	var all []func(n *world) bool
	for range steps {
		all = all[:0]
		w.steps(m, func(rare int, f func(n *world) bool) {
			if rng.IntN(rare) == 0 {
				all = append(all, f)
			}
		})
		if len(all) == 0 {
			continue
		}
		if all[rng.IntN(len(all))](w); w.wrong != "" {
			return w.wrong
		}
	}
	return ""
}

func TestEveryOrderOfAChange(t *testing.T) {
	for _, c := range []struct {
		about        string
		kills, ticks int
		second2      bool
		most         int
	}{
		{"both relays run", 0, 2, true, 400_000},
		{"one relay runs", 0, 3, false, 400_000},
		{"one relay runs, and one process is killed", 1, 2, false, 400_000},
	} {
		t.Run(c.about, func(t *testing.T) {
			t.Parallel()
			states, whole, wrong := explore(begin(c.kills, c.ticks, 1, true, c.second2), mistakes{}, c.most)
			t.Logf("%s, %d s: %d states, all of them %v", c.about, c.ticks, states, whole)
			if wrong != "" || !whole {
				t.Errorf("%s: %s; all states seen: %v", c.about, wrong, whole)
			}
		})
	}
}

const (
	walks     = 20_000
	walkSteps = 120
)

// Longer ways than can all be gone, drawn: words that are late too, two kills, two changes' time.
func TestDrawnOrdersOfAChange(t *testing.T) {
	const parts = 8
	for part := range uint64(parts) {
		t.Run(fmt.Sprintf("part %d", part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < walks; seed += parts {
				rng := rand.New(rand.NewPCG(seed, 1))
				if wrong := walk(begin(2, 6, 2, false, seed%4 != 0), mistakes{}, rng, walkSteps); wrong != "" {
					t.Fatalf("seed %d: %s", seed, wrong)
				}
			}
		})
	}
}

// armed is a fleet whose relays all run, and which is asked to promise.
func armed(kills int) *world {
	w := begin(kills, 3, 1, true, true)
	w.proposed++
	w.svc.Apply(Op{Propose: &Propose{Document: modelDocument, HoldMS: 1000, WithinMS: 1000}})
	for round := range 4 {
		if round == 3 {
			if _, err := w.svc.Apply(Op{Arm: 1}); err != nil {
				panic(err)
			}
		}
		for i := range w.pairs { // each first thing that an agent or a relay can do is to ask
			for _, steps := range []func(int, mistakes, doer){w.agentSteps, w.agentSteps, w.relaySteps} {
				var all []func(n *world) bool
				steps(i, mistakes{}, func(_ int, f func(n *world) bool) { all = append(all, f) })
				f := all[0]
				if w.pairs[i].answer != nil && len(all) > 1 {
					f = all[1]
				}
				f(w)
			}
		}
	}
	return w
}

func TestTheModelFindsPlantedMistakes(t *testing.T) {
	if c := armed(0).svc.Change; c == nil || c.Phase != Armed {
		t.Fatalf("the fleet is not asked to promise: %+v", c)
	}
	for name, c := range map[string]struct {
		m     mistakes
		kills int
	}{
		"none":                               {mistakes{}, 1},
		"seal without one promise":           {mistakes{sealWithoutOne: true}, 0},
		"a relay in doubt goes on":           {mistakes{doubtGoesOn: true}, 0},
		"a promise is not synced":            {mistakes{notSynced: true}, 2},
		"a stale leader's seal":              {mistakes{staleSeal: true}, 0},
		"a policy begins before all stopped": {mistakes{beginsEarly: true}, 0},
		"a relay counts from its answer":     {mistakes{stopsLate: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// The nearest states, and where that is not far enough ways that are drawn.
			states, _, wrong := explore(armed(c.kills), c.m, 30_000)
			first := armed(c.kills)
			for seed := uint64(0); wrong == "" && seed < walks; seed++ {
				wrong = walk(first.clone(), c.m, rand.New(rand.NewPCG(seed, 2)), walkSteps/2)
			}
			t.Logf("after %d states: %s", states, wrong)
			if (wrong == "") != (c.m == mistakes{}) {
				t.Errorf("found %q in %d states", wrong, states)
			}
		})
	}
}
