package swim

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A process that starts after a member has left by plan learns of the departure, with the member's description. One that was killed is no
// departure, and one that comes back is none any more.
func TestNewMemberLearnsOfDepartures(t *testing.T) {
	for seed := range uint64(20) {
		n := convergedFleet(t, seed, 12)
		late, leaving, killed := n.all[9], n.all[10], n.all[11]
		n.kill(late)
		n.kill(killed)
		n.deliver(leaving, leaving.node.Leave(n.clock(leaving)))
		n.run(500 * time.Millisecond)
		n.kill(leaving)
		n.run(5 * time.Second)
		n.start(late)
		joined := n.now
		_, known := n.runUntil(3*time.Second, func() bool { return len(late.node.Departures(time.Time{})) > 0 })
		assert.Assert(t, known, "seed %d", seed)
		departures := late.node.Departures(time.Time{})
		assert.Equal(t, len(departures), 1, "seed %d: %v", seed, departures)
		assert.Equal(t, departures[0].Name, leaving.self.Name)
		assert.Equal(t, departures[0].Meta.Front, leaving.self.Meta.Front)
		assert.Assert(t, !departures[0].LearnedAt.Before(joined))
		assert.Equal(t, len(late.node.Departures(n.clock(late))), 0)
		n.run(time.Second)
		n.start(leaving)
		_, back := n.runUntil(5*time.Second, func() bool { return len(late.node.Departures(time.Time{})) == 0 })
		assert.Assert(t, back, "seed %d", seed)
		member, found := late.node.Find(leaving.self.Name)
		assert.Assert(t, found && member.Status == Alive, "seed %d: %v", seed, member.Status)
	}
}
