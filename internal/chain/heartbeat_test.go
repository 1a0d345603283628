package chain

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/chain/chainpb"
)

// newSettledTail returns the tail of a settled simulation of three processes, and a function that delivers messages of
// its predecessor.
func newSettledTail(t *testing.T) (s *simulation, tail *process, receive func(*chainpb.Message)) {
	t.Helper()
	s = newSettledSimulation(t, 1, 3)
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

// TestTailConfirmsHeartbeatOnceHeadReceivedItBack verifies that the tail becomes fresh only after a heartbeat has
// returned to the head, and as of the time when it first passed the tail.
func TestTailConfirmsHeartbeatOnceHeadReceivedItBack(t *testing.T) {
	s, tail, receive := newSettledTail(t)
	s.blockInboundFor(tail, 2*time.Second)
	const number = 1 << 40
	passed := s.now
	receive(heartbeatMessage(number))
	assert.Assert(t, !tail.node.Fresh(s.now), "before the heartbeat returned to the head")
	s.now = s.now.Add(confirmationValidity / 2)
	receive(heartbeatMessage(number)) // a delayed duplicate
	receive(confirmMessage(number))
	assert.Assert(t, tail.node.Fresh(s.now))
	assert.Equal(t, tail.node.confirmedAt, passed)
}

// TestConfirmOfUnknownHeartbeatIsIgnored verifies that a heartbeat that never passed the tail, or is no longer
// recorded, confirms nothing.
func TestConfirmOfUnknownHeartbeatIsIgnored(t *testing.T) {
	s, tail, receive := newSettledTail(t)
	s.blockInboundFor(tail, 2*time.Second)
	receive(confirmMessage(0))
	receive(confirmMessage(1 << 41))
	const first = 1 << 40
	for number := uint64(first); number <= first+maxProbes; number++ {
		receive(heartbeatMessage(number))
	}
	receive(confirmMessage(first))
	assert.Assert(t, !tail.node.Fresh(s.now))
}

// TestProcessOutsideChainIsConfirmedPromptly verifies that a process outside the chain has a new epoch confirmed right
// after the tail has: the tail then responds to the fetches that it received earlier.
func TestProcessOutsideChainIsConfirmedPromptly(t *testing.T) {
	longest := time.Duration(0)
	for seed := range int64(20) {
		s := newSettledSimulation(t, seed, 5)
		members, rest := (&randomWalk{simulation: s}).chainAndRest()
		members[2].apply(members[2].node.Leave(s.now))
		s.runUntil(maxLeaveTime, func() bool { return !members[2].node.InChain() })
		outside := slices.DeleteFunc(rest, func(p *process) bool { return p.node.InChain() })
		tail := s.byIdentity(s.newestView().Tail())
		confirmed := func(p *process) bool { return p.node.confirmedEpoch == s.newestView().Epoch }
		s.runUntil(2*time.Second, func() bool { return confirmed(tail) })
		for _, p := range outside {
			longest = max(longest, s.runUntil(time.Second, func() bool { return confirmed(p) }))
		}
	}
	t.Logf("confirmed at most %v after the tail", longest)
	assert.Assert(t, longest < heartbeatInterval/2)
}
