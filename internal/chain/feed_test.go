package chain

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/chain/chainpb"
)

// outsider is a voter outside the chain that holds five entries, of which it knows two to be committed.
func outsider(t *testing.T) (*simulation, *process) {
	t.Helper()
	s := settled(t, 3, 3)
	_, rest := (&walk{simulation: s}).chainAndRest()
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

// A snapshot of a part of the log must not take the rest of it away: that may have been answered, and been told in a promise.
func TestSnapshotKeepsWhatFollows(t *testing.T) {
	s, p := outsider(t)
	p.node.begin(s.now)
	p.node.receiveFeed(s.newestView().Tail(), 1, snapshotFeed(4, 1, "first second d e"))
	assert.Equal(t, p.node.log.lastPosition(), uint64(5))
	assert.Equal(t, p.node.log.committed, uint64(4))
}

// A snapshot of another log replaces what was never answered.
func TestSnapshotReplacesAnotherLog(t *testing.T) {
	s, p := outsider(t)
	p.node.begin(s.now)
	p.node.receiveFeed(s.newestView().Tail(), 1, snapshotFeed(4, 2, "first second x y"))
	assert.Equal(t, p.node.log.lastPosition(), uint64(4))
	state, _ := p.node.Committed()
	assert.DeepEqual(t, state.(ledger).taken, []string{"first", "second", "x", "y"})
}

// A tail that has not installed its epoch feeds nobody: what it holds may be older than what was answered.
func TestTailFeedsOnlyWhenInstalled(t *testing.T) {
	s := settled(t, 4, 3)
	members, rest := (&walk{simulation: s}).chainAndRest()
	tail := members[len(members)-1]
	asks := &chainpb.Message{
		From:  string(rest[0].node.Identity()),
		Epoch: tail.node.View().Epoch,
		Body:  &chainpb.Message_Fetch{Fetch: &chainpb.Fetch{}},
	}
	output := tail.node.Receive(s.now, rest[0].self.Address, asks)
	assert.Equal(t, len(output.Sends), 1)
	tail.node.installed = 0
	output = tail.node.Receive(s.now.Add(time.Second), rest[0].self.Address, asks)
	assert.Equal(t, len(output.Sends), 0)
}

// A process that hears the tail but cannot ask it for what it missed is not up to date, and says so: relays leave it.
func TestFollowerThatLacksEntriesIsNotFresh(t *testing.T) {
	s := settled(t, 5, 3)
	members, rest := (&walk{simulation: s}).chainAndRest()
	follower := rest[0]
	assert.Assert(t, follower.node.Fresh(s.now))
	for _, member := range members {
		s.trouble.cut[[2]int{follower.number, member.number}] = true
		s.trouble.cut[[2]int{member.number, follower.number}] = true
	}
	members[0].submit("missed", func(Answer) {})
	s.run(heartbeatInterval)
	for _, member := range members {
		delete(s.trouble.cut, [2]int{member.number, follower.number})
	}
	s.run(freshFor + heartbeatInterval)
	_, there := members[0].node.Committed()
	_, here := follower.node.Committed()
	assert.Assert(t, here < there)
	assert.Assert(t, !follower.node.Fresh(s.now))
	clear(s.trouble.cut)
	s.run(time.Second)
	_, here = follower.node.Committed()
	assert.Equal(t, here, there)
	assert.Assert(t, follower.node.Fresh(s.now))
}

// A write that was out when its entries were replaced says nothing of those that took their place.
func TestOldWriteProvesNothingOfANewLog(t *testing.T) {
	s, p := voterOutsideChain(t, 3)
	p.hanging = true // its writes are ended by hand
	_, committed := p.node.Committed()
	feed := func(epoch uint64, previousEpoch uint64) Output {
		var entries []*chainpb.Entry
		for position := committed + 1; position <= committed+3; position++ {
			entries = append(entries, &chainpb.Entry{Epoch: epoch, Position: position, Command: []byte{byte('a' + epoch), byte('0' + position)}})
		}
		tail := s.byIdentity(s.newestView().Tail())
		return p.node.Receive(s.now, tail.self.Address, &chainpb.Message{
			From: string(tail.node.Identity()), To: string(p.node.Identity()), Epoch: p.node.View().Epoch,
			Body: &chainpb.Message_Feed{Feed: &chainpb.Feed{PreviousEpoch: previousEpoch, PreviousPosition: committed, Entries: entries, Committed: committed}},
		})
	}
	first := feed(1, 1)
	assert.Equal(t, len(first.Writes), 1)
	feed(2, 1)
	p.node.Written(s.now, first.Writes[0].Token, nil)
	assert.Equal(t, p.node.log.lastPosition(), committed+3)
	assert.Equal(t, p.node.synced, committed)
}

// A log never goes back behind what is committed in it, whoever sends a snapshot.
func TestSnapshotBehindWhatIsCommittedIsRefused(t *testing.T) {
	_, p := voterOutsideChain(t, 3)
	before, committed := p.node.Committed()
	assert.Assert(t, p.node.resetLog(&chainpb.Snapshot{Position: committed - 1, Epoch: 1, State: []byte("other")}) != nil)
	after, _ := p.node.Committed()
	assert.DeepEqual(t, after.(ledger).taken, before.(ledger).taken)
}

// A word of the tail that was under way for long says what was in force long ago: only the answer to a question that was sent a moment ago
// makes a process fresh.
func TestOnlyAnAnswerToARecentQuestionConfirms(t *testing.T) {
	s, p := voterOutsideChain(t, 3)
	tail := s.byIdentity(s.newestView().Tail())
	say := func(token uint64) {
		epoch, position := p.node.log.committedEpoch(), p.node.log.committed
		p.node.Receive(s.now, tail.self.Address, &chainpb.Message{
			From: string(tail.node.Identity()), To: string(p.node.Identity()), Epoch: p.node.View().Epoch,
			Body: &chainpb.Message_Feed{Feed: &chainpb.Feed{
				PreviousEpoch: epoch, PreviousPosition: position, Committed: position, Confirmed: true, Token: token,
			}},
		})
	}
	assert.Assert(t, p.node.Fresh(s.now))
	old := p.node.questions.newest
	s.isolateFor(p, 2*time.Second)
	assert.Assert(t, !p.node.Fresh(s.now))
	say(0)
	say(old)
	say(old + 1<<40) // of another life
	assert.Assert(t, !p.node.Fresh(s.now))
	say(p.node.questions.newest)
	assert.Assert(t, p.node.Fresh(s.now))
}

// isolateFor lets time pass in which a process hears nobody.
func (s *simulation) isolateFor(p *process, duration time.Duration) {
	for _, other := range s.processes {
		s.trouble.cut[[2]int{other.number, p.number}] = true
	}
	s.run(duration)
}

// A tail that stood still finds heartbeats that waited for it when it goes on. They are of a time long gone, and another view may be in force.
func TestFrozenTailIsNotFreshByWhatWaited(t *testing.T) {
	for seed := range int64(100) {
		s := settled(t, seed, 3)
		tail := s.byIdentity(s.newestView().Tail())
		epoch := s.newestView().Epoch
		tail.frozen = true
		s.until(6*time.Second, func() bool { return s.newestView().Epoch > epoch && s.active() })
		s.write("without it")
		s.run(time.Duration(s.random.Int63n(int64(freshFor))))
		s.watchOverEpoch(tail, epoch)
		tail.frozen = false
		s.run(2 * time.Second)
		s.finish("without it")
	}
}

// watchOverEpoch holds that a process does not call itself up to date in an epoch that is over for longer than a confirmation holds.
func (s *simulation) watchOverEpoch(watched *process, epoch uint64) {
	s.watch = func(p *process) {
		over := s.now.Sub(s.decided[epoch+1])
		if p == watched && p.node.View().Epoch == epoch && p.node.Fresh(s.now) && over > freshFor {
			s.fail("fresh in an epoch that is over for %v", over)
		}
	}
}

// What comes over a link that delays everything by the same time says what was in force that long ago, without any silence that would
// show it: a tail behind such a link must not call itself fresh by it once another view is in force.
func TestTailBehindASlowLinkIsNotFreshByOldHeartbeats(t *testing.T) {
	const delay = 4 * time.Second
	for seed := range int64(12) {
		s := settled(t, seed, 3)
		tail := s.byIdentity(s.newestView().Tail())
		epoch := s.newestView().Epoch
		s.trouble.slow = make(map[[2]int]time.Duration)
		for _, other := range s.processes {
			if other != tail {
				s.trouble.slow[[2]int{other.number, tail.number}] = delay
			}
		}
		s.until(8*time.Second, func() bool { return s.newestView().Epoch > epoch && s.active() })
		s.write("without it")
		s.watchOverEpoch(tail, epoch)
		s.run(delay + 2*time.Second)
		clear(s.trouble.slow)
		s.watch = nil
		s.run(2 * time.Second)
		s.finish("without it")
	}
}

// Whoever follows the tail is sent each entry once while nothing is lost.
func TestFollowerIsSentEachEntryOnce(t *testing.T) {
	s, p := voterOutsideChain(t, 3)
	sent := make(map[uint64]int)
	s.sent = func(send Send) {
		for _, entry := range send.Message.GetFeed().GetEntries() {
			if send.To == p.self.Address {
				sent[entry.Position]++
			}
		}
	}
	_, before := p.node.Committed()
	const changes = 20
	for number := range changes {
		s.write(fmt.Sprint("change ", number))
	}
	s.run(2 * time.Second)
	_, after := p.node.Committed()
	assert.Equal(t, after, before+changes)
	for position := before + 1; position <= after; position++ {
		assert.Assert(t, sent[position] >= 1 && sent[position] <= 2, "entry %d is sent %d times", position, sent[position]) // 2: a question crosses
	}
}
