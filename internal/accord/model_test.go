package accord

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"wallflow/internal/testkit"
)

// A model of the protocol: the service's state and two agents with a relay each, with every possible order of events, in steps of one
// second. Requests, answers and replies may be late or lost, agents and relays may be killed at any point, and a change that all
// have promised may still be dropped. The model checks that no message is accepted under a policy after one was accepted under a
// later policy, and that none is accepted under a dropped policy.

const (
	modelNodes = 2
)

var modelDocument = json.RawMessage(`{"form":1}`)

// faults are injected one at a time. The model must detect each of them.
type faults struct {
	sealWithOneMissing, acceptsInDoubt, promiseNotSynced, staleLeaderSeals, beginsTooEarly, stopsTooLate bool
}

// node is an agent with its disk, the relay beside it and the messages in transit to both.
type node struct {
	ledger, disk    *Ledger
	updateInTransit *ServiceUpdate // answer of the service on its way to the agent
	askedAt         int            // time of the request
	// The relay beside the agent.
	relayRunning   bool
	pid            int
	gate           Gate
	status         ProcessStatus
	replyInTransit *ProcessReply // reply of the agent on its way to the relay
	lastReply      ProcessReply
	lastAskedAt    int // time of the relay process's last request
}

// visitStep is called with each possible step. A random walk considers a step with probability 1/oneIn, so that rare events such as
// kills do not dominate.
type visitStep func(oneIn int, f func(n *simulation) bool)

// simulation is one state of the model. Times are in seconds since its start.
type simulation struct {
	now, killsLeft, proposals     int
	endTime, holdSeconds          int
	instantReplies                bool // replies arrive at once
	service                       *State
	lastPromiseAt, policyBeginsAt int // of the change in flight, and of the policy in force
	nodes                         [modelNodes]node
	newestAccepted                int64 // highest policy under which a message was accepted
	violation                     string
}

func (sim *simulation) clone() *simulation {
	c := *sim
	c.service = sim.service.Clone()
	for i := range c.nodes {
		p := &c.nodes[i]
		p.ledger, p.disk = p.ledger.Clone(), p.disk.Clone()
		p.gate.promises = append([]promise(nil), p.gate.promises...)
	}
	return &c
}

func atSecond(n int) time.Time { return time.Unix(int64(1000+n), 0) }

// stateKey identifies a state: states with equal keys allow the same further steps.
func (sim *simulation) stateKey() string {
	k := fmt.Sprint(sim.now, sim.killsLeft, sim.proposals, sim.newestAccepted, sim.policyBeginsAt,
		sim.service.InForce.Number, sim.service.Last)
	if sim.service.Change != nil {
		k += fmt.Sprint(sim.service.Change.Phase, sim.lastPromiseAt)
	}
	for _, x := range sim.service.SortedSessions() {
		k += fmt.Sprint(x.Staged, x.Promised, x.KnownPolicy, x.Boot)
	}
	for i := range sim.nodes {
		p := &sim.nodes[i]
		k += fmt.Sprint("|", p.relayRunning, p.pid, p.status.Can, p.status.Promised, p.status.Follows,
			p.gate.current, p.gate.hasCurrent, p.gate.hasNext, p.gate.next, p.gate.beginAt.Unix())
		for _, x := range p.gate.promises {
			k += fmt.Sprint(x.number, x.stop.Unix())
		}
		for _, l := range []*Ledger{p.ledger, p.disk} {
			k += fmt.Sprint("/", l.Known, l.InForce.Number, l.Begun, l.beginAt.Unix(), l.Decided, l.Promised, l.armed, len(l.Admitted), l.Boot)
			if l.Staged != nil {
				k += fmt.Sprint("s", l.Staged.Number)
			}
			for pid := 1; pid <= p.pid; pid++ {
				if s, ok := l.statuses[Process{PID: pid}]; ok {
					k += fmt.Sprint(pid, s.Can, s.Promised)
				}
			}
		}
		if p.updateInTransit != nil {
			k += fmt.Sprint("a", p.updateInTransit.InForce.Number, p.updateInTransit.BeginIn, p.updateInTransit.Decided,
				p.updateInTransit.Change != nil, p.askedAt)
			if p.updateInTransit.Change != nil {
				k += string(p.updateInTransit.Change.Phase)
			}
		}
		for _, x := range []*ProcessReply{p.replyInTransit, &p.lastReply} {
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

func (p *node) isRunning(x Process) bool { return p.relayRunning && x.PID == p.pid }

// save writes the ledger to disk, as the agent does before it reports or acts on a modification.
func (p *node) save() { p.disk = p.ledger.Clone() }

func (sim *simulation) dropChange(number int64) {
	sim.service.Apply(Op{Drop: &Drop{Number: number, Why: "model"}})
}

// visitSteps visits all possible next steps.
func (sim *simulation) visitSteps(injected faults, visit visitStep) {
	if sim.now < sim.endTime {
		visit(8, func(n *simulation) bool { n.now++; return true })
	}
	if sim.proposals < 1 {
		visit(1, func(n *simulation) bool {
			n.proposals++
			_, err := n.service.Apply(Op{Propose: &Propose{Document: modelDocument, HoldMS: int64(sim.holdSeconds) * 1000, WithinMS: 1000}})
			return err == nil
		})
	}
	if c := sim.service.Change; c != nil {
		visit(1, func(n *simulation) bool {
			_, err := n.service.Apply(Op{Arm: c.Number})
			return err == nil
		})
		visit(1, func(n *simulation) bool {
			_, err := n.service.Apply(Op{Seal: c.Number})
			if missing := n.service.Missing(); err != nil && injected.sealWithOneMissing && c.Phase == Armed && len(missing) == 1 {
				n.service.InForce, n.service.HoldMS = c.Policy, c.HoldMS
				n.service.finishChange(Outcome{Sealed: true})
				err = nil
			}
			n.policyBeginsAt = n.lastPromiseAt + n.holdSeconds
			return err == nil
		})
		if c.Phase == Armed {
			visit(64, func(n *simulation) bool { n.dropChange(c.Number); return true })
		}
	}
	if injected.staleLeaderSeals && sim.service.Change == nil && sim.service.Last > sim.service.InForce.Number {
		visit(1, func(n *simulation) bool { // a stale leader seals a dropped change
			n.service.InForce = Policy{Number: sim.service.Last, Document: modelDocument}
			n.policyBeginsAt = n.lastPromiseAt + n.holdSeconds
			return true
		})
	}
	for i := range sim.nodes {
		sim.visitAgentSteps(i, injected, visit)
		sim.visitRelaySteps(i, injected, visit)
	}
}

// visitAgentSteps visits the steps of one agent: report, receive the answer, crash.
func (sim *simulation) visitAgentSteps(i int, injected faults, visit visitStep) {
	// The agent promises if it can, and reports. An earlier answer still in transit is lost.
	visit(1, func(n *simulation) bool {
		p := &n.nodes[i]
		if p.ledger.TryPromise(p.isRunning) && !injected.promiseNotSynced {
			p.save()
		}
		r := p.ledger.SessionReport(fmt.Sprint("n", i), "", "", p.isRunning)
		before := n.service.Sessions[r.ID].Promised
		if _, err := n.service.Apply(Op{Report: &r}); err != nil {
			return false
		}
		if n.service.Sessions[r.ID].Promised != before {
			n.lastPromiseAt = n.now
		}
		a := &ServiceUpdate{Epoch: n.service.Epoch, InForce: n.service.InForce,
			BeginIn: time.Duration(max(0, n.policyBeginsAt-n.now)) * time.Second, HoldMS: n.service.HoldMS, Decided: n.service.Decided()}
		if n.service.Change != nil {
			c := *n.service.Change
			a.Change = &c
		}
		p.updateInTransit, p.askedAt = a, n.now
		return true
	})
	if sim.nodes[i].updateInTransit != nil {
		visit(1, func(n *simulation) bool {
			p := &n.nodes[i]
			a := *p.updateInTransit
			p.updateInTransit = nil
			a.ReceivedAt = atSecond(n.now)
			if injected.beginsTooEarly {
				a.BeginIn -= time.Duration(n.holdSeconds) * time.Second
			}
			if err := p.ledger.ApplyUpdate(a); err != nil {
				n.violation = err.Error()
			}
			p.ledger.MarkBegun(atSecond(n.now))
			if !injected.promiseNotSynced || p.ledger.Promised == 0 {
				p.save()
			}
			return true
		})
	}
	if sim.killsLeft > 0 {
		visit(8, func(n *simulation) bool { // the agent is killed and restarts from its disk
			n.killsLeft--
			p := &n.nodes[i]
			p.ledger, p.updateInTransit, p.replyInTransit = p.disk.Clone(), nil, nil
			p.ledger.Start(atSecond(n.now))
			p.save()
			return true
		})
	}
}

// visitRelaySteps visits the steps of one relay: exchange status and reply, receive a message, crash.
func (sim *simulation) visitRelaySteps(i int, injected faults, visit visitStep) {
	if !sim.nodes[i].relayRunning {
		return
	}
	// The relay process sends its status, and the agent replies. An earlier reply still in transit is lost.
	visit(1, func(n *simulation) bool {
		p := &n.nodes[i]
		p.lastAskedAt = n.now
		if c := p.lastReply.Change; c != nil && c.Phase == Armed && p.status.Can == c.Number && p.status.Promised != c.Number {
			asked := atSecond(n.now)
			if injected.stopsTooLate {
				asked = asked.Add(time.Duration(n.holdSeconds) * time.Second)
			}
			p.gate.Promise(c.Number, asked, time.Duration(n.holdSeconds)*time.Second)
			p.status.Promised = c.Number
		}
		p.ledger.MarkBegun(atSecond(n.now))
		p.ledger.RecordStatus(p.status)
		if p.ledger.Admit(p.status.Process, atSecond(n.now), p.isRunning) {
			p.save()
		}
		reply := p.ledger.ReplyTo(p.status.Process, atSecond(n.now))
		if p.replyInTransit = &reply; n.instantReplies {
			n.deliverReply(p)
		}
		return true
	})
	if sim.nodes[i].replyInTransit != nil {
		visit(1, func(n *simulation) bool { n.deliverReply(&n.nodes[i]); return true })
	}
	// A message arrives, and the relay accepts it or not.
	visit(1, func(n *simulation) bool {
		p := &n.nodes[i]
		number, ok := p.gate.AcceptsUnder(atSecond(n.now))
		if injected.acceptsInDoubt {
			ok = p.gate.hasCurrent
		}
		p.status.Follows = number
		if !ok {
			return false
		}
		switch {
		case number < n.newestAccepted:
			n.violation = fmt.Sprintf("a message is accepted under policy %d after one under policy %d", number, n.newestAccepted)
		case number > 0 && number != n.service.InForce.Number && n.service.Change == nil:
			n.violation = fmt.Sprintf("a message is accepted under policy %d, which was dropped", number)
		}
		n.newestAccepted = max(n.newestAccepted, number)
		return true
	})
	if sim.killsLeft > 0 {
		visit(8, func(n *simulation) bool { // the relay process is killed and replaced by another
			n.killsLeft--
			p := &n.nodes[i]
			p.pid++
			p.gate, p.status, p.replyInTransit, p.lastReply = Gate{}, ProcessStatus{Process: Process{PID: p.pid}, Follows: -1}, nil, ProcessReply{}
			return true
		})
	}
}

// deliverReply delivers the reply in transit to a node's relay.
func (sim *simulation) deliverReply(p *node) {
	reply := *p.replyInTransit
	p.replyInTransit, p.lastReply = nil, reply
	if reply.Admitted {
		p.gate.Follow(reply.Policy.Number, atSecond(sim.now).Add(time.Duration(reply.BeginInMS)*time.Millisecond))
	}
	for _, c := range p.gate.OpenPromises() {
		if c <= reply.Decided && c > reply.Policy.Number {
			p.gate.Dropped(c)
		}
	}
	if reply.Change != nil {
		p.status.Can = reply.Change.Number
	}
}

// newSimulation returns a fleet without a policy. Without secondRelay, the second relay does not run.
func newSimulation(kills, endTime, holdSeconds int, instantReplies, secondRelay bool) *simulation {
	sim := &simulation{killsLeft: kills, endTime: endTime, holdSeconds: holdSeconds, instantReplies: instantReplies, service: New("e")}
	for i := range sim.nodes {
		p := &sim.nodes[i]
		p.ledger = &Ledger{ID: fmt.Sprint("id", i)}
		p.ledger.Start(atSecond(0))
		p.relayRunning = i == 0 || secondRelay
		p.pid, p.status = 1, ProcessStatus{Process: Process{PID: 1}, Follows: -1}
		r := p.ledger.SessionReport(fmt.Sprint("n", i), "", "", p.isRunning)
		sim.service.Apply(Op{Report: &r})
		if err := p.ledger.ApplyUpdate(ServiceUpdate{Epoch: "e", ReceivedAt: atSecond(0)}); err != nil {
			panic(err)
		}
		p.ledger.MarkBegun(atSecond(0))
		if p.relayRunning {
			p.ledger.Admit(p.status.Process, atSecond(0), p.isRunning)
			p.gate.Follow(0, atSecond(0))
			p.gate.AcceptsUnder(atSecond(0))
			p.status.Follows = 0
			p.ledger.RecordStatus(p.status)
			p.lastReply = p.ledger.ReplyTo(p.status.Process, atSecond(0))
		}
		p.save()
	}
	return sim
}

// exploreStates searches all states reachable from first, breadth first. complete reports whether it visited all of them within
// maxStates.
func exploreStates(first *simulation, injected faults, maxStates int) (states int, complete bool, violation string) {
	const batchSize = 512 // states expanded in parallel
	seen := map[string]bool{first.stateKey(): true}
	for queue := []*simulation{first}; len(queue) > 0; {
		batch := queue[:min(batchSize, len(queue))]
		queue = queue[len(batch):]
		for _, next := range successorsOf(batch, injected) {
			for _, n := range next {
				if n.violation != "" {
					return len(seen), false, n.violation
				}
				if !seen[n.key] {
					seen[n.key] = true
					queue = append(queue, n.simulation)
				}
			}
			if len(seen) > maxStates {
				return len(seen), false, ""
			}
		}
	}
	return len(seen), true, ""
}

// successor is a state after one more step, with its key.
type successor struct {
	*simulation
	key string
}

// successorsOf returns the successors of each state, computed in parallel.
func successorsOf(states []*simulation, injected faults) [][]successor {
	all := make([][]successor, len(states))
	testkit.Each(len(states), func(index int) {
		all[index] = successors(states[index], injected)
	})
	return all
}

func successors(from *simulation, injected faults) []successor {
	var all []successor
	from.visitSteps(injected, func(_ int, f func(n *simulation) bool) {
		if n := from.clone(); f(n) {
			all = append(all, successor{simulation: n, key: n.stateKey()})
		}
	})
	return all
}

// randomWalk executes random steps until one violates a property, and returns the violation.
func randomWalk(sim *simulation, injected faults, rng *rand.Rand, steps int) string {
	var all []func(n *simulation) bool
	for range steps {
		all = all[:0]
		sim.visitSteps(injected, func(oneIn int, f func(n *simulation) bool) {
			if rng.IntN(oneIn) == 0 {
				all = append(all, f)
			}
		})
		if len(all) == 0 {
			continue
		}
		if all[rng.IntN(len(all))](sim); sim.violation != "" {
			return sim.violation
		}
	}
	return ""
}

// All states that are reachable within a few seconds are checked.
func TestEveryInterleavingOfAChange(t *testing.T) {
	for _, c := range []struct {
		about        string
		kills, ticks int
		secondRelay  bool
		maxStates    int
	}{
		{"both relays run", 0, 2, true, 400_000},
		{"one relay runs", 0, 3, false, 400_000},
		{"one relay runs, and one process is killed", 1, 2, false, 400_000},
	} {
		t.Run(c.about, func(t *testing.T) {
			t.Parallel()
			states, whole, wrong := exploreStates(newSimulation(c.kills, c.ticks, 1, true, c.secondRelay), faults{}, c.maxStates)
			t.Logf("%s, %d s: %d states, complete: %v", c.about, c.ticks, states, whole)
			if wrong != "" || !whole {
				t.Errorf("%s: %s; complete: %v", c.about, wrong, whole)
			}
		})
	}
}

const (
	randomWalks     = 20_000
	randomWalkSteps = 120
)

// Random walks cover runs too long to explore completely: with delayed replies, two kills and time for two changes.
func TestRandomInterleavingsOfAChange(t *testing.T) {
	const parts = 8
	for part := range uint64(parts) {
		t.Run(fmt.Sprintf("part %d", part), func(t *testing.T) {
			t.Parallel()
			for seed := part; seed < randomWalks; seed += parts {
				rng := rand.New(rand.NewPCG(seed, 1))
				if wrong := randomWalk(newSimulation(2, 6, 2, false, seed%4 != 0), faults{}, rng, randomWalkSteps); wrong != "" {
					t.Fatalf("seed %d: %s", seed, wrong)
				}
			}
		})
	}
}

// newArmedSimulation returns a fleet with both relays running and an armed change.
func newArmedSimulation(kills int) *simulation {
	sim := newSimulation(kills, 3, 1, true, true)
	sim.proposals++
	sim.service.Apply(Op{Propose: &Propose{Document: modelDocument, HoldMS: 1000, WithinMS: 1000}})
	for round := range 4 {
		if round == 3 {
			if _, err := sim.service.Apply(Op{Arm: 1}); err != nil {
				panic(err)
			}
		}
		for i := range sim.nodes { // the first step of each agent or relay is its request
			for _, steps := range []func(int, faults, visitStep){sim.visitAgentSteps, sim.visitAgentSteps, sim.visitRelaySteps} {
				var all []func(n *simulation) bool
				steps(i, faults{}, func(_ int, f func(n *simulation) bool) { all = append(all, f) })
				f := all[0]
				if sim.nodes[i].updateInTransit != nil && len(all) > 1 {
					f = all[1]
				}
				f(sim)
			}
		}
	}
	return sim
}

// Each injected fault must lead to a violation, and the unmodified protocol to none.
func TestModelFindsInjectedFaults(t *testing.T) {
	if c := newArmedSimulation(0).service.Change; c == nil || c.Phase != Armed {
		t.Fatalf("the change is not armed: %+v", c)
	}
	for name, c := range map[string]struct {
		m     faults
		kills int
	}{
		"none":                               {faults{}, 1},
		"seal with a promise missing":        {faults{sealWithOneMissing: true}, 0},
		"a relay accepts in doubt":           {faults{acceptsInDoubt: true}, 0},
		"a promise is not on disk":           {faults{promiseNotSynced: true}, 2},
		"a stale leader seals":               {faults{staleLeaderSeals: true}, 0},
		"a policy begins before all stopped": {faults{beginsTooEarly: true}, 0},
		"a relay counts its hold time late":  {faults{stopsTooLate: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			// Explore the nearest states first, then use random walks.
			states, _, wrong := exploreStates(newArmedSimulation(c.kills), c.m, 30_000)
			first := newArmedSimulation(c.kills)
			for seed := uint64(0); wrong == "" && seed < randomWalks; seed++ {
				wrong = randomWalk(first.clone(), c.m, rand.New(rand.NewPCG(seed, 2)), randomWalkSteps/2)
			}
			t.Logf("after %d states: %s", states, wrong)
			if (wrong == "") != (c.m == faults{}) {
				t.Errorf("violation %q after %d states", wrong, states)
			}
		})
	}
}
