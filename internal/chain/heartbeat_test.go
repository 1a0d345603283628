package chain

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/chain/chainpb"
)

// settledTail is the tail of a chain of three at rest, with a way to hand it messages of its predecessor by hand.
func settledTail(t *testing.T) (s *simulation, tail *process, receive func(*chainpb.Message)) {
	t.Helper()
	s = settled(t, 1, 3)
	tail = s.byIdentity(s.newestView().Tail())
	predecessor := s.byIdentity(tail.node.predecessor())
	receive = func(message *chainpb.Message) {
		message.From, message.To = string(predecessor.node.Identity()), string(tail.node.Identity())
		message.Epoch = tail.node.View().Epoch
		tail.node.Receive(s.now, predecessor.self.Address, message)
	}
	return s, tail, receive
}

func heartbeatMessage(number uint64) *chainpb.Message {
	return &chainpb.Message{Body: &chainpb.Message_Heartbeat{Heartbeat: &chainpb.Heartbeat{Number: number}}}
}

func confirmMessage(number uint64) *chainpb.Message {
	return &chainpb.Message{Body: &chainpb.Message_Confirm{Confirm: &chainpb.Confirm{Heartbeat: number}}}
}

// The tail is up to date only once a heartbeat has been to the head again, and as of when it passed the tail for the first time.
func TestTailConfirmsWhatTheHeadGotBack(t *testing.T) {
	s, tail, receive := settledTail(t)
	s.isolateFor(tail, 2*time.Second)
	const number = 1 << 40
	passed := s.now
	receive(heartbeatMessage(number))
	assert.Assert(t, !tail.node.Fresh(s.now), "before the head had it back")
	s.now = s.now.Add(freshFor / 2)
	receive(heartbeatMessage(number)) // once more, by a way that took longer
	receive(confirmMessage(number))
	assert.Assert(t, tail.node.Fresh(s.now))
	assert.Equal(t, tail.node.confirmedAt, passed)
}

// What never passed the tail, or passed it so long ago that it is not remembered, confirms nothing.
func TestConfirmOfAnUnknownHeartbeatProvesNothing(t *testing.T) {
	s, tail, receive := settledTail(t)
	s.isolateFor(tail, 2*time.Second)
	receive(confirmMessage(0))
	receive(confirmMessage(1 << 41))
	const first = 1 << 40
	for number := uint64(first); number <= first+questionsHeld; number++ {
		receive(heartbeatMessage(number))
	}
	receive(confirmMessage(first))
	assert.Assert(t, !tail.node.Fresh(s.now))
}

// After a change of the chain a process outside of it holds the new epoch for confirmed as soon as it may: what it asked before the tail
// knew is answered once the tail knows.
func TestProcessOutsideTheChainIsConfirmedAtOnce(t *testing.T) {
	longest := time.Duration(0)
	for seed := range int64(20) {
		s := settled(t, seed, 5)
		members, rest := (&walk{simulation: s}).chainAndRest()
		members[2].carryOut(members[2].node.Leave(s.now))
		s.until(leaveBound, func() bool { return !members[2].node.InChain() })
		outside := slices.DeleteFunc(rest, func(p *process) bool { return p.node.InChain() })
		tail := s.byIdentity(s.newestView().Tail())
		confirmed := func(p *process) bool { return p.node.confirmedEpoch == s.newestView().Epoch }
		s.until(2*time.Second, func() bool { return confirmed(tail) })
		for _, p := range outside {
			longest = max(longest, s.until(time.Second, func() bool { return confirmed(p) }))
		}
	}
	t.Logf("confirmed %v after the tail at most", longest)
	assert.Assert(t, longest < heartbeatInterval/2)
}
