package chain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/chain/chainpb"
)

// answerTo is an answer to a request of one life of a process.
func answerTo(p *process, session, request uint64, reply Reply) *chainpb.Message {
	return &chainpb.Message{To: string(p.node.Identity()), Body: &chainpb.Message_Answer{Answer: &chainpb.Answer{
		Session: session, Request: request, Reply: replyToWire(reply),
	}}}
}

// restartedWithRequest is a process that sent a request in an earlier life, and has sent another one under the same number since.
func restartedWithRequest(t *testing.T) (s *simulation, p, head *process, earlier uint64, answers *[]Answer) {
	t.Helper()
	s = settled(t, 1, 3)
	_, rest := (&walk{simulation: s}).chainAndRest()
	p, head = rest[0], s.byIdentity(s.newestView().Head())
	earlier = p.node.session
	p.submit("earlier", func(Answer) {})
	p.kill(false)
	p.start(false)
	answers = new([]Answer)
	p.submit("later", func(answer Answer) { *answers = append(*answers, answer) })
	assert.Equal(t, p.request, uint64(1))
	return s, p, head, earlier, answers
}

// Numbers of requests begin anew with each life of a process: an answer to the one before must not be taken for one to this one.
func TestAnswerToAnEarlierLifeIsNotTaken(t *testing.T) {
	s, p, head, earlier, answers := restartedWithRequest(t)
	p.carryOut(p.node.Receive(s.now, head.self.Address, answerTo(p, earlier, 1, Reply{Status: statusConflict})))
	assert.Equal(t, len(*answers), 0)
	p.carryOut(p.node.Receive(s.now, head.self.Address, answerTo(p, p.node.session, 1, Reply{Accepted: true, Status: statusTaken})))
	assert.Equal(t, len(*answers), 1)
	assert.Equal(t, (*answers)[0].Reply.Status, statusTaken)
	p.carryOut(p.node.Receive(s.now, head.self.Address, answerTo(p, p.node.session, 1, Reply{Status: statusConflict})))
	assert.Equal(t, len(*answers), 1) // one that comes twice ends nothing else
}

// Nor must a refusal to an earlier life have the request sent again.
func TestRefusalToAnEarlierLifeIsNotTaken(t *testing.T) {
	s, p, head, earlier, _ := restartedWithRequest(t)
	refused := func(session uint64) *chainpb.Message {
		return &chainpb.Message{To: string(p.node.Identity()), Body: &chainpb.Message_Refused{Refused: &chainpb.Refused{
			Session: session, Request: 1,
		}}}
	}
	p.node.Receive(s.now, head.self.Address, refused(earlier))
	assert.Assert(t, !p.node.clients.pending[1].sentAt.IsZero())
	p.node.Receive(s.now, head.self.Address, refused(p.node.session))
	assert.Assert(t, p.node.clients.pending[1].sentAt.IsZero())
}

// Messages for the store that was at this address before are for nobody.
func TestMessageForAnEarlierStoreIsNotTaken(t *testing.T) {
	s, p, head, _, answers := restartedWithRequest(t)
	message := answerTo(p, p.node.session, 1, Reply{Accepted: true, Status: statusTaken})
	message.To = "another store"
	p.carryOut(p.node.Receive(s.now, head.self.Address, message))
	assert.Equal(t, len(*answers), 0)
}

// A command that comes twice over the network is appended once.
func TestCommandThatComesTwiceIsAppendedOnce(t *testing.T) {
	s := settled(t, 1, 3)
	_, rest := (&walk{simulation: s}).chainAndRest()
	head := s.byIdentity(s.newestView().Head())
	output := rest[0].node.Submit(s.now, 7, []byte("once"))
	assert.Equal(t, len(output.Sends), 1)
	before := head.node.log.lastPosition()
	for range 3 {
		head.carryOut(head.node.Receive(s.now, rest[0].self.Address, output.Sends[0].Message))
		s.run(100 * time.Millisecond)
	}
	assert.Equal(t, head.node.log.lastPosition(), before+1)
}

// A command is refused because of another one that is not committed yet. Its refusal is told only once that one is: with the head lost
// before, neither would ever have been.
func TestRefusalWaitsForWhatItWasDecidedOn(t *testing.T) {
	s := settled(t, 1, 3)
	members, _ := (&walk{simulation: s}).chainAndRest()
	head, tail := members[0], members[1]
	tail.hanging = true
	var first, second []Answer
	head.submit("first-of-two@2", func(answer Answer) { first = append(first, answer) })
	s.run(50 * time.Millisecond)
	head.submit("second-of-two@2", func(answer Answer) { second = append(second, answer) })
	s.run(250 * time.Millisecond)
	assert.Equal(t, len(first)+len(second), 0)
	tail.hanging = false
	s.until(time.Second, func() bool { return len(first) == 1 && len(second) == 1 })
	assert.Equal(t, first[0].Reply.Status, statusTaken)
	assert.Equal(t, second[0].Reply.Status, statusConflict)
}
