package chain

import (
	"encoding/binary"
	"flag"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var catchUpPlays = flag.Int64("chain.catchups", 1, "plays of each case of catching up, 3 at most")

// bulk is a state of some size that counts the commands that were taken.
type bulk struct {
	count uint64
	bytes int
}

func (b bulk) Apply([]byte) (State, Reply) {
	return bulk{b.count + 1, b.bytes}, Reply{Accepted: true, Status: statusTaken}
}

func (b bulk) Encode() []byte {
	encoded := make([]byte, max(8, b.bytes))
	binary.BigEndian.PutUint64(encoded, b.count)
	return encoded
}

func decodeBulk(encoded []byte) (State, error) {
	return bulk{binary.BigEndian.Uint64(encoded), len(encoded)}, nil
}

// catchUp is one case of a process that was away, or lost its disk, while changes went on.
type catchUp struct {
	name    string
	changes int           // while it was away
	bytes   int           // of the configuration
	gap     time.Duration // between changes, then and afterwards
	wiped   bool
	link    int // bytes in a millisecond
}

// bytesOfRoutes is about the size of a configuration of so many routes.
func bytesOfRoutes(routes int) int { return 300 * routes }

// A process that was away for hundreds or thousands of changes catches up while they go on, also from a snapshot over a narrow link, and
// serves nothing old meanwhile; one that lost its disk becomes a voter again.
func TestCatchesUpUnderManyChanges(t *testing.T) {
	const narrow, wide = 1000, 0 // 8 Mbit/s
	cases := []catchUp{
		{"300 changes, 20 routes", 300, bytesOfRoutes(20), 100 * time.Millisecond, false, wide},
		{"1,000 changes, 20 routes", 1000, bytesOfRoutes(20), 20 * time.Millisecond, false, wide},
		{"1,000 changes, 20 routes, wiped", 1000, bytesOfRoutes(20), 20 * time.Millisecond, true, wide},
		{"10,000 changes, 20 routes", 10_000, bytesOfRoutes(20), 5 * time.Millisecond, false, wide},
		{"1,000 changes, 800 routes, narrow link", 1000, bytesOfRoutes(800), 20 * time.Millisecond, false, narrow},
		{"1,000 changes, 800 routes, narrow link, wiped", 1000, bytesOfRoutes(800), 20 * time.Millisecond, true, narrow},
		{"1,000 changes, 5,000 routes, narrow link", 1000, bytesOfRoutes(5000), 100 * time.Millisecond, false, narrow},
		{"1,000 changes, 5,000 routes, narrow link, wiped", 1000, bytesOfRoutes(5000), 100 * time.Millisecond, true, narrow},
	}
	for _, each := range cases {
		t.Run(each.name, func(t *testing.T) {
			t.Parallel()
			worst := time.Duration(0)
			for seed := range *catchUpPlays {
				worst = max(worst, each.play(t, seed))
			}
			t.Logf("caught up after %v at most", worst)
		})
	}
}

// play returns how long it took from the return of the process until it was up to date and, if it was wiped, a voter.
func (c catchUp) play(t *testing.T, seed int64) time.Duration {
	t.Helper()
	s := newSimulation(t, seed, 3)
	s.initial, s.decode = bulk{bytes: c.bytes}, decodeBulk
	s.startAll()
	s.write("first")
	s.run(2 * time.Second)
	s.trouble.bytesAMs = c.link
	away := s.processes[seed]
	away.kill(true)
	if c.wiped {
		away.wipe()
	}
	s.until(4*time.Second, func() bool { return s.newestView().Place(away.node.Identity()) < 0 && s.active() })
	going := true
	var change func()
	change = func() {
		if going {
			s.byIdentity(s.newestView().Head()).submit("change", func(Answer) {})
			s.after(c.gap, change)
		}
	}
	change()
	s.until(time.Duration(c.changes)*c.gap*4+10*time.Second, func() bool {
		_, committed := s.byIdentity(s.newestView().Tail()).node.Committed()
		return committed >= uint64(c.changes)
	})
	away.start(false)
	returned := s.now
	s.watch = func(p *process) {
		if p == away {
			c.checkServing(s, p)
		}
	}
	took := s.until(20*time.Second, func() bool {
		_, there := s.byIdentity(s.newestView().Tail()).node.Committed()
		_, here := away.node.Committed()
		_, votes := s.newestView().Voter(away.node.Identity())
		const lag = 250 * time.Millisecond // the changes of the way here
		behind := uint64(lag/c.gap) + 1
		return votes && away.node.Fresh(s.now) && here+behind >= there
	})
	going = false
	s.until(5*time.Second, s.committedEverywhere)
	s.check()
	assert.Assert(t, s.now.Sub(returned) > 0)
	return took
}

// checkServing holds that a process that calls itself up to date is: what the tail had committed a while ago is here.
func (c catchUp) checkServing(s *simulation, p *process) {
	if !p.node.Fresh(s.now) {
		return
	}
	tail := s.byIdentity(s.newestView().Tail())
	if tail == nil || !tail.up || tail == p {
		return
	}
	_, there := tail.node.Committed()
	_, here := p.node.Committed()
	missing := time.Duration(there-min(here, there)) * c.gap
	if missing > freshFor+heartbeatInterval+200*time.Millisecond {
		s.fail("%s calls itself up to date and lacks the changes of %v", p.self.Name, missing)
	}
}
