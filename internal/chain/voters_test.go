package chain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLaggingLearnerIsNotCaughtUp verifies that a learner that lacks more than a few entries, and does not have what
// was committed a while ago, does not become a voter. The chain would have to wait for it.
func TestLaggingLearnerIsNotCaughtUp(t *testing.T) {
	now := time.Unix(100, 0)
	n := &Node{now: now}
	n.log.committed = 100
	n.checkpoints[0] = checkpoint{at: now.Add(-maxLearnerDelay / 2), position: 95}
	n.checkpoints[1] = checkpoint{at: now.Add(-maxLearnerDelay), position: 60}
	for _, expected := range []struct {
		position uint64
		caughtUp bool
	}{
		{0, false}, {59, false}, {60, true}, {100 - maxLearnerLag, true},
	} {
		assert.Equal(t, n.isCaughtUp(expected.position), expected.caughtUp, "at %d", expected.position)
	}
	n.checkpoints = [maxCheckpoints]checkpoint{}
	assert.Assert(t, !n.isCaughtUp(100-maxLearnerLag-1), "there is no checkpoint to compare with")
}

// TestOnlyCaughtUpLearnersBecomeVoters verifies that only learners that are caught up are selected to become voters.
func TestOnlyCaughtUpLearnersBecomeVoters(t *testing.T) {
	n := new(Node)
	n.candidates = map[Identity]*candidate{
		"behind":   {member: Member{Identity: "behind"}},
		"caughtUp": {member: Member{Identity: "caughtUp"}, caughtUp: true},
	}
	ready := n.readyCandidates()
	assert.Equal(t, len(ready), 1)
	assert.Equal(t, ready[0].member.Identity, Identity("caughtUp"))
}
