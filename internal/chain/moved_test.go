package chain

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A machine is replaced by one at another address that has its disk: the same store votes on from there.
func TestDiskMovesToAnotherAddress(t *testing.T) {
	for seed := range int64(10) {
		s := settled(t, seed, 3)
		moved := s.processes[seed%3]
		identity := moved.node.Identity()
		moved.kill(true)
		moved.self.Address = "10.0.1.1:7000"
		s.run(time.Duration(s.random.Int63n(int64(2 * time.Second))))
		moved.start(false)
		assert.Equal(t, moved.node.Identity(), identity)
		s.write("moved")
		other := s.processes[(seed+1)%3]
		other.kill(true)
		s.write("without the other")
		s.finish("moved", "without the other")
	}
}

// A head that was frozen until others went on without it neither reads nor refuses on what it held.
func TestFrozenHead(t *testing.T) {
	for seed := range int64(20) {
		s := settled(t, seed, 3)
		head := s.byIdentity(s.newestView().Head())
		epoch := s.newestView().Epoch
		head.frozen = true
		s.until(5*time.Second, func() bool { return s.newestView().Epoch > epoch && s.active() })
		s.write("meanwhile")
		s.run(freshFor)
		head.frozen = false
		assert.Assert(t, !head.node.Fresh(s.now))
		head.read(func(answer Answer) {
			if answer.Known {
				assert.Equal(t, len(answer.State.(ledger).taken), 3)
			}
		})
		head.submit("late@2", func(answer Answer) {
			assert.Assert(t, !answer.Known || answer.Reply.Status == statusConflict)
		})
		s.run(time.Second)
		s.finish("meanwhile")
	}
}
