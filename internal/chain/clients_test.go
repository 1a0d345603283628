package chain

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLongCommandsGetLongerTimeout verifies that a long command has more time than a short one before its outcome is
// unknown.
func TestLongCommandsGetLongerTimeout(t *testing.T) {
	s := newSettledSimulation(t, 1, 3)
	s.separateRegions(300 * time.Millisecond)
	_, rest := (&randomWalk{simulation: s}).chainAndRest()
	answers := make(map[string]Answer)
	submit := func(name, command string) {
		rest[0].submit(command, func(answer Answer) { answers[name] = answer })
	}
	submit("short", "short")
	submit("long", "long"+strings.Repeat("-", 200<<10))
	s.runUntil(maxRequestTimeout+tickInterval, func() bool { return len(answers) == 2 })
	assert.Assert(t, !answers["short"].OutcomeKnown)
	assert.Assert(t, answers["long"].OutcomeKnown)
}

// TestUnreachableHeadGivesUnknownOutcome verifies that without a reachable head the outcome of a command is unknown and
// no read is answered.
func TestUnreachableHeadGivesUnknownOutcome(t *testing.T) {
	s := newSettledSimulation(t, 1, 3)
	members, rest := (&randomWalk{simulation: s}).chainAndRest()
	members[0].kill(false)
	members[1].kill(false)
	var answers []Answer
	rest[0].submit("lost", func(answer Answer) { answers = append(answers, answer) })
	rest[0].read(func(answer Answer) { answers = append(answers, answer) })
	took := s.runUntil(time.Second, func() bool { return len(answers) == 2 })
	assert.Assert(t, took <= requestTimeout+tickInterval)
	assert.Assert(t, !answers[0].OutcomeKnown && !answers[1].OutcomeKnown)
}

// TestRefusedRequestIsResentToNewHead verifies that a process that is not the head refuses a request, and that the
// request is then sent to the new head.
func TestRefusedRequestIsResentToNewHead(t *testing.T) {
	s := newSettledSimulation(t, 2, 3)
	members, rest := (&randomWalk{simulation: s}).chainAndRest()
	epoch := s.newestView().Epoch
	members[0].kill(false)
	s.runUntil(4*time.Second, func() bool { return rest[0].node.View().Epoch > epoch })
	var answer Answer
	rest[0].submit("early", func(got Answer) { answer = got })
	s.runUntil(time.Second, func() bool { return answer.OutcomeKnown })
	assert.Equal(t, answer.Reply.Status, statusAccepted)
	s.verifyFinalState("early")
}

// TestUnansweredCommandIsNotResentAfterViewChange verifies that a view change resends a read to the new head, but not a
// command. The old head may have accepted the command, and another command may have reverted it since.
func TestUnansweredCommandIsNotResentAfterViewChange(t *testing.T) {
	s := newSettledSimulation(t, 1, 3)
	members, rest := (&randomWalk{simulation: s}).chainAndRest()
	epoch := s.newestView().Epoch
	members[0].kill(false)
	commands, reads := 0, 0
	s.onSend = func(send Send) {
		submit := send.Message.GetSubmit()
		switch {
		case submit == nil || submit.Origin.Identity != string(rest[0].node.Identity()):
		case submit.Read:
			reads++
		default:
			commands++
		}
	}
	var answers []Answer
	rest[0].submit("unknown", func(answer Answer) { answers = append(answers, answer) })
	rest[0].read(func(answer Answer) { answers = append(answers, answer) })
	s.runUntil(maxRequestTimeout, func() bool { return len(answers) == 2 && s.newestView().Epoch > epoch && s.active() })
	s.run(maxRequestTimeout)
	assert.Assert(t, s.newestView().Epoch > epoch)
	assert.Equal(t, commands, 1)
	assert.Assert(t, reads > 1)
	for _, answer := range answers {
		assert.Assert(t, !answer.OutcomeKnown || answer.Reply.Status == 0, "a command that reached no process was answered")
	}
}

// TestViewChangeResendsOnlyReads verifies the same on the pending requests alone.
func TestViewChangeResendsOnlyReads(t *testing.T) {
	sentAt := time.Unix(1, 0)
	c := newClients()
	c.pending[1] = &pendingRequest{request: 1, sentAt: sentAt}
	c.pending[2] = &pendingRequest{request: 2, sentAt: sentAt, read: true}
	c.pending[3] = &pendingRequest{request: 3, sentAt: sentAt, read: true, positionKnown: true}
	c.resendReads()
	assert.Equal(t, c.pending[1].sentAt, sentAt)
	assert.Assert(t, c.pending[2].sentAt.IsZero())
	assert.Equal(t, c.pending[3].sentAt, sentAt)
}
