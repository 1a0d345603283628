package control

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Until a majority has confirmed an epoch for the first time, heartbeats are acknowledged; otherwise no endpoint could ever register.
func TestHeartbeatsAreAcknowledgedBeforeTheFirstQuorum(t *testing.T) {
	var gate heartbeatGate
	for second := range 30 {
		now := testStart.Add(time.Duration(second) * time.Second)
		gate.setQuorum(now, false)
		assert.Assert(t, !gate.shouldRefuse(now, "a"))
	}
}

// A view change interrupts the confirmations for less than refusalDelay, so that no endpoint switches control processes.
func TestHeartbeatsAreAcknowledgedDuringAViewChange(t *testing.T) {
	var gate heartbeatGate
	gate.setQuorum(testStart, true)
	gate.setQuorum(testStart.Add(time.Second), false)
	assert.Assert(t, !gate.shouldRefuse(testStart.Add(time.Second+refusalDelay-time.Millisecond), "a"))
	assert.Assert(t, gate.shouldRefuse(testStart.Add(time.Second+refusalDelay), "a"))
}

// An endpoint that returns soon after a refusal has found no other control process. One that returns much later has used another one
// meanwhile, and is refused again.
func TestReturningEndpointIsAcknowledgedAfterARefusal(t *testing.T) {
	var gate heartbeatGate
	gate.setQuorum(testStart, true)
	gate.setQuorum(testStart, false)
	now := testStart.Add(5 * time.Second)
	assert.Assert(t, gate.shouldRefuse(now, "a"))
	assert.Assert(t, gate.shouldRefuse(now.Add(minReturnDelay/2), "a")) // a repetition of the refused heartbeat
	assert.Assert(t, gate.shouldRefuse(now.Add(time.Second), "b"))
	assert.Assert(t, !gate.shouldRefuse(now.Add(time.Second), "a"))
	assert.Assert(t, gate.shouldRefuse(now.Add(refusalRetention+time.Second), "a"))
}

// Once the quorum is back, earlier refusals are forgotten.
func TestRefusalsAreForgottenWhenTheQuorumReturns(t *testing.T) {
	var gate heartbeatGate
	gate.setQuorum(testStart, true)
	gate.setQuorum(testStart, false)
	assert.Assert(t, gate.shouldRefuse(testStart.Add(2*time.Second), "a"))
	gate.setQuorum(testStart.Add(3*time.Second), true)
	assert.Assert(t, !gate.shouldRefuse(testStart.Add(3*time.Second), "a"))
	gate.setQuorum(testStart.Add(4*time.Second), false)
	assert.Assert(t, gate.shouldRefuse(testStart.Add(6*time.Second), "a"))
}
