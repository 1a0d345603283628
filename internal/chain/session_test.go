package chain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/chain/chainpb"
)

// answerTo returns an answer to a request of a session of a process.
func answerTo(p *process, session, request uint64, reply Reply) *chainpb.Message {
	return &chainpb.Message{To: string(p.node.Identity()), Body: &chainpb.Message_Answer{Answer: &chainpb.Answer{
		Session: session, Request: request, Reply: replyToWire(reply),
	}}}
}

// restartedWithRequest returns a process that sent a request, was restarted, and sent another request with the same
// number.
func restartedWithRequest(t *testing.T) (s *simulation, p, head *process, oldSession uint64, answers *[]Answer) {
	t.Helper()
	s = newSettledSimulation(t, 1, 3)
	_, rest := (&randomWalk{simulation: s}).chainAndRest()
	p, head = rest[0], s.byIdentity(s.newestView().Head())
	oldSession = p.node.session
	p.submit("earlier", func(Answer) {})
	p.kill(false)
	p.start(false)
	answers = new([]Answer)
	p.submit("later", func(answer Answer) { *answers = append(*answers, answer) })
	assert.Equal(t, p.lastRequest, uint64(1))
	return s, p, head, oldSession, answers
}

// TestAnswerToPreviousSessionIsIgnored verifies that an answer to a request of a previous run does not end a request of
// this run. Request numbers start again with each run.
func TestAnswerToPreviousSessionIsIgnored(t *testing.T) {
	s, p, head, oldSession, answers := restartedWithRequest(t)
	p.apply(p.node.Receive(s.now, head.self.Address, answerTo(p, oldSession, 1, Reply{Status: statusConflict})))
	assert.Equal(t, len(*answers), 0)
	p.apply(p.node.Receive(s.now, head.self.Address, answerTo(p, p.node.session, 1, Reply{Accepted: true, Status: statusAccepted})))
	assert.Equal(t, len(*answers), 1)
	assert.Equal(t, (*answers)[0].Reply.Status, statusAccepted)
	p.apply(p.node.Receive(s.now, head.self.Address, answerTo(p, p.node.session, 1, Reply{Status: statusConflict})))
	assert.Equal(t, len(*answers), 1) // a duplicate answer ends no other request
}

// TestRefusalToPreviousSessionIsIgnored verifies that a refusal of a request of a previous run does not resend a
// request of this run.
func TestRefusalToPreviousSessionIsIgnored(t *testing.T) {
	s, p, head, oldSession, _ := restartedWithRequest(t)
	refused := func(session uint64) *chainpb.Message {
		return &chainpb.Message{To: string(p.node.Identity()), Body: &chainpb.Message_Refused{Refused: &chainpb.Refused{
			Session: session, Request: 1,
		}}}
	}
	p.node.Receive(s.now, head.self.Address, refused(oldSession))
	assert.Assert(t, !p.node.clients.pending[1].sentAt.IsZero())
	p.node.Receive(s.now, head.self.Address, refused(p.node.session))
	assert.Assert(t, p.node.clients.pending[1].sentAt.IsZero())
}

// TestMessageForPreviousStoreIsIgnored verifies that a message for a store that was previously at this address is
// dropped.
func TestMessageForPreviousStoreIsIgnored(t *testing.T) {
	s, p, head, _, answers := restartedWithRequest(t)
	message := answerTo(p, p.node.session, 1, Reply{Accepted: true, Status: statusAccepted})
	message.To = "another store"
	p.apply(p.node.Receive(s.now, head.self.Address, message))
	assert.Equal(t, len(*answers), 0)
}

// TestDuplicateCommandIsAppendedOnce verifies that a command that is duplicated by the network is appended once.
func TestDuplicateCommandIsAppendedOnce(t *testing.T) {
	s := newSettledSimulation(t, 1, 3)
	_, rest := (&randomWalk{simulation: s}).chainAndRest()
	head := s.byIdentity(s.newestView().Head())
	output := rest[0].node.Submit(s.now, 7, []byte("once"))
	assert.Equal(t, len(output.Sends), 1)
	before := head.node.log.lastPosition()
	for range 3 {
		head.apply(head.node.Receive(s.now, rest[0].self.Address, output.Sends[0].Message))
		s.run(100 * time.Millisecond)
	}
	assert.Equal(t, head.node.log.lastPosition(), before+1)
}

// TestRejectionWaitsForEntriesItDependsOn verifies that a command rejected because of an uncommitted command is
// answered only after that one is committed. If the head were lost before, the uncommitted command would never have
// taken effect.
func TestRejectionWaitsForEntriesItDependsOn(t *testing.T) {
	s := newSettledSimulation(t, 1, 3)
	members, _ := (&randomWalk{simulation: s}).chainAndRest()
	head, tail := members[0], members[1]
	tail.diskHanging = true
	var first, second []Answer
	head.submit("first-of-two@2", func(answer Answer) { first = append(first, answer) })
	s.run(50 * time.Millisecond)
	head.submit("second-of-two@2", func(answer Answer) { second = append(second, answer) })
	s.run(250 * time.Millisecond)
	assert.Equal(t, len(first)+len(second), 0)
	tail.diskHanging = false
	s.runUntil(time.Second, func() bool { return len(first) == 1 && len(second) == 1 })
	assert.Equal(t, first[0].Reply.Status, statusAccepted)
	assert.Equal(t, second[0].Reply.Status, statusConflict)
}
