package chain

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/chain/chainpb"
)

// newVoterWithUncommittedEntries returns a voter outside the chain with five entries, of which it knows two to be
// committed.
func newVoterWithUncommittedEntries(t *testing.T) (*simulation, *process) {
	t.Helper()
	s := newSettledSimulation(t, 3, 3)
	_, rest := (&randomWalk{simulation: s}).chainAndRest()
	p := rest[0]
	for position := uint64(3); position <= 5; position++ {
		p.node.log.append(&chainpb.Entry{Epoch: 1, Position: position, Command: []byte{'a' + byte(position)}})
	}
	assert.Equal(t, p.node.log.committed, uint64(2))
	return s, p
}

func snapshotFeed(position, epoch uint64, state string) *chainpb.Feed {
	return &chainpb.Feed{
		PreviousEpoch:    epoch,
		PreviousPosition: position,
		Committed:        position,
		Snapshot:         &chainpb.Snapshot{Position: position, Epoch: epoch, State: []byte(state)},
	}
}

// TestSnapshotKeepsLaterEntries verifies that a snapshot of a prefix of the log does not drop the later entries: they
// may have been answered and reported in a promise.
func TestSnapshotKeepsLaterEntries(t *testing.T) {
	s, p := newVoterWithUncommittedEntries(t)
	p.node.beginCall(s.now)
	p.node.receiveFeed(s.newestView().Tail(), 1, snapshotFeed(4, 1, "first second d e"))
	assert.Equal(t, p.node.log.lastPosition(), uint64(5))
	assert.Equal(t, p.node.log.committed, uint64(4))
}

// TestSnapshotReplacesDivergentLog verifies that a snapshot of a different log replaces entries that were never
// answered.
func TestSnapshotReplacesDivergentLog(t *testing.T) {
	s, p := newVoterWithUncommittedEntries(t)
	p.node.beginCall(s.now)
	p.node.receiveFeed(s.newestView().Tail(), 1, snapshotFeed(4, 2, "first second x y"))
	assert.Equal(t, p.node.log.lastPosition(), uint64(4))
	state, _ := p.node.Committed()
	assert.DeepEqual(t, state.(ledger).commands, []string{"first", "second", "x", "y"})
}

// TestTailFeedsOnlyWhenInstalled verifies that a tail that has not installed its epoch sends no feeds, since its log
// may be older than what was answered.
func TestTailFeedsOnlyWhenInstalled(t *testing.T) {
	s := newSettledSimulation(t, 4, 3)
	members, rest := (&randomWalk{simulation: s}).chainAndRest()
	tail := members[len(members)-1]
	fetch := &chainpb.Message{
		From:  string(rest[0].node.Identity()),
		Epoch: tail.node.View().Epoch,
		Body:  &chainpb.Message_Fetch{Fetch: &chainpb.Fetch{}},
	}
	output := tail.node.Receive(s.now, rest[0].self.Address, fetch)
	assert.Equal(t, len(output.Sends), 1)
	tail.node.installedEpoch = 0
	output = tail.node.Receive(s.now.Add(time.Second), rest[0].self.Address, fetch)
	assert.Equal(t, len(output.Sends), 0)
}

// TestFollowerThatLacksEntriesIsNotFresh verifies that a process that receives digests of the tail but cannot fetch
// missing entries does not report itself fresh. Relays then use another process.
func TestFollowerThatLacksEntriesIsNotFresh(t *testing.T) {
	s := newSettledSimulation(t, 5, 3)
	members, rest := (&randomWalk{simulation: s}).chainAndRest()
	follower := rest[0]
	assert.Assert(t, follower.node.Fresh(s.now))
	for _, member := range members {
		s.network.cut[[2]int{follower.number, member.number}] = true
		s.network.cut[[2]int{member.number, follower.number}] = true
	}
	members[0].submit("missed", func(Answer) {})
	s.run(heartbeatInterval)
	for _, member := range members {
		delete(s.network.cut, [2]int{member.number, follower.number})
	}
	s.run(confirmationValidity + heartbeatInterval)
	_, chainPosition := members[0].node.Committed()
	_, followerPosition := follower.node.Committed()
	assert.Assert(t, followerPosition < chainPosition)
	assert.Assert(t, !follower.node.Fresh(s.now))
	clear(s.network.cut)
	s.run(time.Second)
	_, followerPosition = follower.node.Committed()
	assert.Equal(t, followerPosition, chainPosition)
	assert.Assert(t, follower.node.Fresh(s.now))
}

// TestCompletedWriteOfReplacedEntriesIsIgnored verifies that the completion of a write does not count for entries that
// replaced the written ones meanwhile.
func TestCompletedWriteOfReplacedEntriesIsIgnored(t *testing.T) {
	s, p := voterOutsideChain(t, 3)
	p.diskHanging = true // the test completes its writes itself
	_, committed := p.node.Committed()
	feed := func(epoch uint64, previousEpoch uint64) Output {
		var entries []*chainpb.Entry
		for position := committed + 1; position <= committed+3; position++ {
			entries = append(entries, &chainpb.Entry{Epoch: epoch, Position: position, Command: []byte{byte('a' + epoch), byte('0' + position)}})
		}
		tail := s.byIdentity(s.newestView().Tail())
		return p.node.Receive(s.now, tail.self.Address, &chainpb.Message{
			From: string(tail.node.Identity()), To: string(p.node.Identity()), Epoch: p.node.View().Epoch,
			Body: &chainpb.Message_Feed{Feed: &chainpb.Feed{
				PreviousEpoch: previousEpoch, PreviousPosition: committed, Entries: entries, Committed: committed}},
		})
	}
	first := feed(1, 1)
	assert.Equal(t, len(first.Writes), 1)
	feed(2, 1)
	p.node.Written(s.now, first.Writes[0].Token, nil)
	assert.Equal(t, p.node.log.lastPosition(), committed+3)
	assert.Equal(t, p.node.syncedPosition, committed)
}

// TestSnapshotBehindCommittedPositionIsRejected verifies that no snapshot moves the committed position back.
func TestSnapshotBehindCommittedPositionIsRejected(t *testing.T) {
	_, p := voterOutsideChain(t, 3)
	before, committed := p.node.Committed()
	assert.Assert(t, p.node.resetLog(&chainpb.Snapshot{Position: committed - 1, Epoch: 1, State: []byte("other")}) != nil)
	after, _ := p.node.Committed()
	assert.DeepEqual(t, after.(ledger).commands, before.(ledger).commands)
}

// TestOnlyRecentProbeConfirmsEpoch verifies that only the response to a recent probe makes a process fresh. A feed that
// was delayed shows only what was in force long ago.
func TestOnlyRecentProbeConfirmsEpoch(t *testing.T) {
	s, p := voterOutsideChain(t, 3)
	tail := s.byIdentity(s.newestView().Tail())
	sendFeed := func(token uint64) {
		epoch, position := p.node.log.committedEpoch(), p.node.log.committed
		p.node.Receive(s.now, tail.self.Address, &chainpb.Message{
			From: string(tail.node.Identity()), To: string(p.node.Identity()), Epoch: p.node.View().Epoch,
			Body: &chainpb.Message_Feed{Feed: &chainpb.Feed{
				PreviousEpoch: epoch, PreviousPosition: position, Committed: position, Confirmed: true, Token: token,
			}},
		})
	}
	assert.Assert(t, p.node.Fresh(s.now))
	old := p.node.probes.lastNumber
	s.blockInboundFor(p, 2*time.Second)
	assert.Assert(t, !p.node.Fresh(s.now))
	sendFeed(0)
	sendFeed(old)
	sendFeed(old + 1<<40) // of a previous run
	assert.Assert(t, !p.node.Fresh(s.now))
	sendFeed(p.node.probes.lastNumber)
	assert.Assert(t, p.node.Fresh(s.now))
}

// blockInboundFor advances the time while a process receives nothing.
func (s *simulation) blockInboundFor(p *process, duration time.Duration) {
	for _, other := range s.processes {
		s.network.cut[[2]int{other.number, p.number}] = true
	}
	s.run(duration)
}

// TestFrozenTailIsNotFreshByQueuedHeartbeats verifies that heartbeats queued while the tail was frozen do not make it
// fresh, since another view may be in force by then.
func TestFrozenTailIsNotFreshByQueuedHeartbeats(t *testing.T) {
	for seed := range int64(100) {
		s := newSettledSimulation(t, seed, 3)
		tail := s.byIdentity(s.newestView().Tail())
		epoch := s.newestView().Epoch
		tail.frozen = true
		s.runUntil(6*time.Second, func() bool { return s.newestView().Epoch > epoch && s.active() })
		s.submitAndWait("without it")
		s.run(time.Duration(s.random.Int63n(int64(confirmationValidity))))
		s.checkEndedEpoch(tail, epoch)
		tail.frozen = false
		s.run(2 * time.Second)
		s.verifyFinalState("without it")
	}
}

// checkEndedEpoch verifies after every call that a process does not report itself fresh in an epoch that ended more
// than confirmationValidity ago.
func (s *simulation) checkEndedEpoch(watched *process, epoch uint64) {
	s.afterCall = func(p *process) {
		sinceEnd := s.now.Sub(s.decidedAt[epoch+1])
		if p == watched && p.node.View().Epoch == epoch && p.node.Fresh(s.now) && sinceEnd > confirmationValidity {
			s.recordViolation("fresh in an epoch that ended %v ago", sinceEnd)
		}
	}
}

// TestTailBehindASlowLinkIsNotFreshByOldHeartbeats verifies that a link with a constant high delay does not make the
// tail fresh by old heartbeats once another view is in force. There is no silence that would reveal the delay.
func TestTailBehindASlowLinkIsNotFreshByOldHeartbeats(t *testing.T) {
	const delay = 4 * time.Second
	for seed := range int64(12) {
		s := newSettledSimulation(t, seed, 3)
		tail := s.byIdentity(s.newestView().Tail())
		epoch := s.newestView().Epoch
		s.network.extraDelay = make(map[[2]int]time.Duration)
		for _, other := range s.processes {
			if other != tail {
				s.network.extraDelay[[2]int{other.number, tail.number}] = delay
			}
		}
		s.runUntil(8*time.Second, func() bool { return s.newestView().Epoch > epoch && s.active() })
		s.submitAndWait("without it")
		s.checkEndedEpoch(tail, epoch)
		s.run(delay + 2*time.Second)
		clear(s.network.extraDelay)
		s.afterCall = nil
		s.run(2 * time.Second)
		s.verifyFinalState("without it")
	}
}

// TestFollowerIsSentEachEntryOnce verifies that a follower is sent each entry only once as long as no message is lost.
func TestFollowerIsSentEachEntryOnce(t *testing.T) {
	s, p := voterOutsideChain(t, 3)
	sent := make(map[uint64]int)
	s.onSend = func(send Send) {
		for _, entry := range send.Message.GetFeed().GetEntries() {
			if send.To == p.self.Address {
				sent[entry.Position]++
			}
		}
	}
	_, before := p.node.Committed()
	const changes = 20
	for number := range changes {
		s.submitAndWait(fmt.Sprint("change ", number))
	}
	s.run(2 * time.Second)
	_, after := p.node.Committed()
	assert.Equal(t, after, before+changes)
	for position := before + 1; position <= after; position++ {
		// It is sent twice if a fetch crosses the feed.
		assert.Assert(t, sent[position] >= 1 && sent[position] <= 2, "entry %d was sent %d times", position, sent[position])
	}
}
