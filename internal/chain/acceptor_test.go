package chain

import (
	"math/rand"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/chain/chainpb"
)

// voterOutsideChain returns a settled simulation and a voter that is not a chain member.
func voterOutsideChain(t *testing.T, seed int64) (*simulation, *process) {
	t.Helper()
	s := newSettledSimulation(t, seed, 3)
	_, rest := (&randomWalk{simulation: s}).chainAndRest()
	return s, rest[0]
}

// restart waits for the writes of a process, cuts its power and starts it again.
func (s *simulation) restart(p *process) {
	s.run(5 * normalSyncTime)
	p.kill(true)
	p.start(false)
}

// rewriteLog makes a process rewrite its log file with the full state.
func (s *simulation) rewriteLog(p *process) {
	s.run(5 * normalSyncTime)
	p.node.beginCall(s.now)
	p.node.rewrite()
	p.apply(p.node.finishCall())
	s.run(5 * normalSyncTime)
}

// exchange delivers a message of the head to a process, completes its writes and returns its reply.
func (s *simulation) exchange(p *process, message *chainpb.Message) *chainpb.Message {
	head := s.byIdentity(s.newestView().Head())
	message.From, message.To = string(head.node.Identity()), string(p.node.Identity())
	message.Epoch = p.node.View().Epoch
	var reply *chainpb.Message
	output := p.node.Receive(s.now, head.self.Address, message)
	for _, write := range output.Writes {
		assert.NilError(s.t, p.performWrite(write))
		output.Sends = append(output.Sends, p.node.Written(s.now, write.Token, nil).Sends...)
	}
	for _, send := range output.Sends {
		reply = send.Message
	}
	return reply
}

func prepareMessage(instance, round uint64) *chainpb.Message {
	return &chainpb.Message{Body: &chainpb.Message_Prepare{Prepare: &chainpb.Prepare{
		Instance: instance, Ballot: &chainpb.Ballot{Round: round, Nonce: 1},
	}}}
}

func acceptMessage(round uint64, view View) *chainpb.Message {
	return &chainpb.Message{Body: &chainpb.Message_Accept{Accept: &chainpb.Accept{
		Instance: view.Epoch, Ballot: &chainpb.Ballot{Round: round, Nonce: 1}, View: viewToWire(view),
	}}}
}

// nextView returns a view of the next epoch with the same members.
func (s *simulation) nextView() View {
	view := s.newestView()
	view.Epoch++
	return view
}

// TestVotesSurviveRestartAndRewrite verifies that promises and acceptances survive a power loss and a rewrite of the
// log file. A lower ballot gets neither a promise nor an acceptance, and the response to a higher one includes the
// accepted view.
func TestVotesSurviveRestartAndRewrite(t *testing.T) {
	const promisedRound, lowerRound, higherRound = 9, 4, 12
	for name, interrupt := range map[string]func(*simulation, *process){
		"running": func(*simulation, *process) {},
		"restart": func(s *simulation, p *process) { s.restart(p) },
		"rewrite": func(s *simulation, p *process) { s.rewriteLog(p) },
		"rewrite and restart": func(s *simulation, p *process) {
			s.rewriteLog(p)
			s.restart(p)
		},
	} {
		t.Run(name, func(t *testing.T) {
			s, p := voterOutsideChain(t, 1)
			view := s.nextView()
			promise := s.exchange(p, prepareMessage(view.Epoch, promisedRound)).GetPromise()
			assert.Assert(t, promise != nil && promise.Refused == nil)
			interrupt(s, p)
			refusal := s.exchange(p, prepareMessage(view.Epoch, lowerRound)).GetPromise()
			assert.Assert(t, refusal != nil && refusal.Refused.GetRound() == promisedRound, "%v", refusal)
			assert.Assert(t, s.exchange(p, acceptMessage(lowerRound, view)) == nil)
			assert.Assert(t, s.exchange(p, acceptMessage(promisedRound, view)).GetAccepted() != nil)
			interrupt(s, p)
			reported := s.exchange(p, prepareMessage(view.Epoch, higherRound)).GetPromise()
			assert.Equal(t, reported.GetAccepted().GetRound(), uint64(promisedRound))
			assert.Assert(t, viewFromWire(reported.View).equal(view))
		})
	}
}

// startProposal makes a process start an attempt, regardless of the state of the other processes.
func (w *randomWalk) startProposal(p *process) {
	if !p.running || p.frozen || !p.node.ready || !p.node.isElector() || p.node.attempt != nil {
		return
	}
	p.node.beginCall(w.now)
	p.node.startAttempt(chainpb.Reason_REASON_VOTERS, voterChange{})
	p.apply(p.node.finishCall())
}

// rewriteIfIdle makes a process rewrite its log file if no write is in flight.
func (w *randomWalk) rewriteIfIdle(p *process) {
	if !p.running || p.frozen || !p.node.ready || p.inFlightWrite != nil {
		return
	}
	p.node.beginCall(w.now)
	p.node.rewrite()
	p.apply(p.node.finishCall())
}

// competingProposers makes several voters propose at once over slow and lossy links. Any of them may lose power between
// a promise and an acceptance while another one is down.
var competingProposers = scenario{initial: 5, count: 5, script: func(w *randomWalk) {
	w.network.maxJitter = 250 * time.Millisecond
	w.network.loss, w.network.duplicates = 0.1, 0.1
	for range 120 {
		p := w.processes[w.random.Intn(len(w.processes))]
		switch w.random.Intn(4) {
		case 0, 1:
			w.startProposal(p)
		case 2:
			w.rewriteIfIdle(p)
		case 3:
			p.kill(true)
			w.schedule(w.randomDuration(120*time.Millisecond), func() { w.ensureRunning(p) })
		}
		if w.run(w.randomDuration(120 * time.Millisecond)); len(w.violations) > 0 {
			return
		}
	}
	w.network.maxJitter = 40 * time.Millisecond
}}

// TestCompetingProposersDecideOneView verifies that each epoch has one view and that the system recovers from competing
// proposals.
func TestCompetingProposersDecideOneView(t *testing.T) {
	for seed := range int64(12) {
		if violations := competingProposers.run(t, seed, injectedFaults{}, false); len(violations) > 0 {
			t.Fatalf("seed %d: %v", seed, violations[:min(3, len(violations))])
		}
	}
}

// paxosRun decides a single view with the acceptors of real nodes and with proposers that know only the promises they
// receive. Messages are lost, duplicated and reordered, and acceptors lose power.
type paxosRun struct {
	*simulation
	random    *rand.Rand
	base      uint64 // epoch before the decided one
	mailbox   []paxosMessage
	proposals []*paxosProposal
	decided   []View
}

type paxosMessage struct {
	to       *process
	proposal *paxosProposal
	body     *chainpb.Message
}

// paxosProposal is one ballot of one proposer.
type paxosProposal struct {
	round      uint64
	value      View
	promises   map[*process]*chainpb.Promise
	acceptedBy map[*process]bool
	acceptSent bool
}

// propose starts a ballot for a view whose chain is in random order, so that the proposed values differ.
func (x *paxosRun) propose() {
	view := x.newestView()
	view.Epoch = x.base + 1
	view.Chain = slices.Clone(view.Chain)
	x.random.Shuffle(len(view.Chain), func(i, j int) { view.Chain[i], view.Chain[j] = view.Chain[j], view.Chain[i] })
	proposal := &paxosProposal{
		round:      uint64(1 + x.random.Intn(12)),
		value:      view,
		promises:   make(map[*process]*chainpb.Promise),
		acceptedBy: make(map[*process]bool),
	}
	for _, other := range x.proposals {
		if other.round == proposal.round {
			return // a ballot belongs to a single proposer
		}
	}
	x.proposals = append(x.proposals, proposal)
	for _, p := range x.processes {
		x.mailbox = append(x.mailbox, paxosMessage{to: p, proposal: proposal, body: prepareMessage(x.base+1, proposal.round)})
	}
}

// deliver delivers or loses a random message, and sometimes keeps it to deliver it again.
func (x *paxosRun) deliver() {
	if len(x.mailbox) == 0 {
		return
	}
	index := x.random.Intn(len(x.mailbox))
	message := x.mailbox[index]
	if x.random.Intn(8) > 0 {
		x.mailbox = slices.Delete(x.mailbox, index, index+1)
	}
	if x.random.Intn(8) == 0 {
		return // lost
	}
	reply := x.exchange(message.to, message.body)
	if promise := reply.GetPromise(); promise != nil && promise.Refused == nil && promise.Ballot.GetRound() == message.proposal.round {
		x.handlePromise(message.proposal, message.to, promise)
	}
	if accepted := reply.GetAccepted(); accepted != nil && accepted.Ballot.GetRound() == message.proposal.round {
		message.proposal.acceptedBy[message.to] = true
		if len(message.proposal.acceptedBy) > len(x.processes)/2 {
			x.decided = append(x.decided, message.proposal.value)
		}
	}
}

func (x *paxosRun) handlePromise(proposal *paxosProposal, from *process, promise *chainpb.Promise) {
	proposal.promises[from] = promise
	if proposal.acceptSent || len(proposal.promises) <= len(x.processes)/2 {
		return
	}
	proposal.acceptSent = true
	highest := uint64(0)
	for _, other := range proposal.promises {
		if round := other.Accepted.GetRound(); other.View != nil && round > highest {
			highest, proposal.value = round, viewFromWire(other.View)
		}
	}
	for _, p := range x.processes {
		x.mailbox = append(x.mailbox, paxosMessage{to: p, proposal: proposal, body: acceptMessage(proposal.round, proposal.value)})
	}
}

// TestAcceptorsDecideOneView verifies that only one view is decided for an epoch, with lost, duplicated and reordered
// messages and with acceptors that lose power or rewrite their log file between a promise and an acceptance.
func TestAcceptorsDecideOneView(t *testing.T) {
	decisions := 0
	for seed := range int64(20) {
		s := newSettledSimulation(t, seed, 3)
		x := &paxosRun{simulation: s, random: rand.New(rand.NewSource(seed)), base: s.newestView().Epoch}
		for range 160 {
			p := s.processes[x.random.Intn(len(s.processes))]
			switch x.random.Intn(12) {
			case 0:
				x.propose()
			case 1:
				p.kill(true)
				p.start(false)
			case 2:
				p.node.beginCall(s.now)
				p.node.rewrite()
				for _, write := range p.node.finishCall().Writes {
					assert.NilError(t, p.performWrite(write))
					p.node.Written(s.now, write.Token, nil)
				}
			default:
				x.deliver()
			}
		}
		for _, view := range x.decided {
			assert.Assert(t, view.equal(x.decided[0]), "seed %d: %v and %v", seed, view.Chain, x.decided[0].Chain)
		}
		decisions += min(1, len(x.decided))
	}
	assert.Assert(t, decisions > 10, "a view was decided in %d runs only", decisions)
}
