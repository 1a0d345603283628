package chain

import (
	"encoding/binary"
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var catchUpRuns = flag.Int64("chain.catchups", 1, "runs of each catch-up case, at most 3")

// bulkState is a state of a given encoded size that counts the accepted commands.
type bulkState struct {
	count uint64
	bytes int
}

func (b bulkState) Apply([]byte) (State, Reply) {
	return bulkState{b.count + 1, b.bytes}, Reply{Accepted: true, Status: statusAccepted}
}

func (b bulkState) Encode() []byte {
	encoded := make([]byte, max(8, b.bytes))
	binary.BigEndian.PutUint64(encoded, b.count)
	return encoded
}

func decodeBulkState(encoded []byte) (State, error) {
	return bulkState{binary.BigEndian.Uint64(encoded), len(encoded)}, nil
}

// catchUp is one case of a process that was down, or lost its disk, during changes.
type catchUp struct {
	name     string
	changes  int           // number of changes while it was down
	bytes    int           // size of the configuration
	interval time.Duration // between changes, while it is down and afterwards
	wiped    bool
	linkRate int // bytes per millisecond, 0 for unlimited
}

// configBytes returns the approximate size of a configuration with a number of routes.
func configBytes(routes int) int { return 300 * routes }

// TestCatchesUpDuringContinuousChanges verifies that a process that was down for hundreds or thousands of changes
// catches up while changes continue, also from a snapshot over a narrow link, and serves no stale state meanwhile. A
// process that lost its disk becomes a voter again.
func TestCatchesUpDuringContinuousChanges(t *testing.T) {
	const narrow, wide = 1000, 0 // 8 Mbit/s
	cases := []catchUp{
		{"300 changes, 20 routes", 300, configBytes(20), 100 * time.Millisecond, false, wide},
		{"1,000 changes, 20 routes", 1000, configBytes(20), 20 * time.Millisecond, false, wide},
		{"1,000 changes, 20 routes, wiped", 1000, configBytes(20), 20 * time.Millisecond, true, wide},
		{"10,000 changes, 20 routes", 10_000, configBytes(20), 5 * time.Millisecond, false, wide},
		{"1,000 changes, 800 routes, narrow link", 1000, configBytes(800), 20 * time.Millisecond, false, narrow},
		{"1,000 changes, 800 routes, narrow link, wiped", 1000, configBytes(800), 20 * time.Millisecond, true, narrow},
		{"1,000 changes, 5,000 routes, narrow link", 1000, configBytes(5000), 100 * time.Millisecond, false, narrow},
		{"1,000 changes, 5,000 routes, narrow link, wiped", 1000, configBytes(5000), 100 * time.Millisecond, true, narrow},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			worst := time.Duration(0)
			for seed := range *catchUpRuns {
				worst = max(worst, each.execute(t, seed))
			}
			t.Logf("caught up after %v at most", worst)
		})
	}
}

// execute returns the time from the restart of the process until it is up to date and a voter.
func (c catchUp) execute(t *testing.T, seed int64) time.Duration {
	t.Helper()
	s := newSimulation(t, seed, 3)
	s.initial, s.decode = bulkState{bytes: c.bytes}, decodeBulkState
	s.startAll()
	s.submitAndWait("first")
	s.run(2 * time.Second)
	s.network.bytesPerMillisecond = c.linkRate
	lagging := s.processes[seed]
	lagging.kill(true)
	if c.wiped {
		lagging.wipe()
	}
	s.runUntil(4*time.Second, func() bool { return s.newestView().ChainIndex(lagging.node.Identity()) < 0 && s.active() })
	submitting := true
	var submitChange func()
	submitChange = func() {
		if submitting {
			s.byIdentity(s.newestView().Head()).submit("change", func(Answer) {})
			s.schedule(c.interval, submitChange)
		}
	}
	submitChange()
	s.runUntil(time.Duration(c.changes)*c.interval*4+10*time.Second, func() bool {
		_, committed := s.byIdentity(s.newestView().Tail()).node.Committed()
		return committed >= uint64(c.changes)
	})
	lagging.start(false)
	returned := s.now
	s.afterCall = func(p *process) {
		if p == lagging {
			c.checkFreshness(s, p)
		}
	}
	took := s.runUntil(20*time.Second, func() bool {
		_, tailPosition := s.byIdentity(s.newestView().Tail()).node.Committed()
		_, position := lagging.node.Committed()
		_, votes := s.newestView().Voter(lagging.node.Identity())
		const lag = 250 * time.Millisecond // changes committed during the transfer may be missing
		behind := uint64(lag/c.interval) + 1
		return votes && lagging.node.Fresh(s.now) && position+behind >= tailPosition
	})
	submitting = false
	s.runUntil(5*time.Second, s.committedEverywhere)
	s.checkInvariants()
	assert.Assert(t, s.now.Sub(returned) > 0)
	return took
}

// checkFreshness verifies that a process that reports itself fresh has everything that the tail had committed shortly
// before.
func (c catchUp) checkFreshness(s *simulation, p *process) {
	if !p.node.Fresh(s.now) {
		return
	}
	tail := s.byIdentity(s.newestView().Tail())
	if tail == nil || !tail.running || tail == p {
		return
	}
	_, tailPosition := tail.node.Committed()
	_, position := p.node.Committed()
	missing := time.Duration(tailPosition-min(position, tailPosition)) * c.interval
	if missing > confirmationValidity+heartbeatInterval+200*time.Millisecond {
		s.recordViolation("%s reports itself fresh but lacks the changes of %v", p.self.Name, missing)
	}
}
