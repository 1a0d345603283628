package chain

import (
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
