package swim

import (
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"wallflow/internal/swim/swimpb"
)

func updateAbout(name string, incarnation uint64) *swimpb.State {
	return &swimpb.State{Name: name, Address: "10.0.0.1:7000", Incarnation: incarnation}
}

func namesOf(states []*swimpb.State) string {
	var names []string
	for _, state := range states {
		names = append(names, state.Name)
	}
	return strings.Join(names, " ")
}

func TestLeastSentUpdatesGoFirst(t *testing.T) {
	queue := newUpdateQueue()
	queue.add(updateAbout("a", 1), 0)
	assert.Equal(t, namesOf(queue.dequeue(maxUpdateBytes, 8)), "a")
	queue.add(updateAbout("b", 1), 0)
	assert.Equal(t, namesOf(queue.dequeue(maxUpdateBytes, 8)), "b a")
	queue.add(updateAbout("c", 1), 0)
	one := proto.Size(updateAbout("c", 1)) + stateOverhead
	assert.Equal(t, namesOf(queue.dequeue(one, 8)), "c")
}

func TestUpdateIsReplaced(t *testing.T) {
	queue := newUpdateQueue()
	queue.add(updateAbout("a", 1), 0)
	queue.add(updateAbout("a", 2), 0)
	picked := queue.dequeue(maxUpdateBytes, 8)
	assert.Equal(t, len(picked), 1)
	assert.Equal(t, picked[0].Incarnation, uint64(2))
}

func TestDuplicateUpdateIsSentLess(t *testing.T) {
	queue := newUpdateQueue()
	queue.add(updateAbout("a", 1), 0)
	same := report{Member: Member{Name: "a", Incarnation: 1}}
	older := report{Member: Member{Name: "a"}}
	queue.noteDuplicate(older)
	queue.noteDuplicate(same)
	assert.Equal(t, len(queue.dequeue(maxUpdateBytes, 2)), 1)
	assert.Equal(t, len(queue.dequeue(maxUpdateBytes, 2)), 0)
	assert.Assert(t, queue.empty())
}

func TestUpdatesStayWithinTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := newUpdateQueue()
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		sendCounts := map[string]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "add") {
				name := rapid.StringMatching(`[a-f]{1,300}`).Draw(t, "name")
				queue.add(updateAbout(name, 1), 0)
				sendCounts[name] = 0
				continue
			}
			budget := rapid.IntRange(0, maxUpdateBytes).Draw(t, "room")
			size := 0
			for _, state := range queue.dequeue(budget, limit) {
				size += proto.Size(state) + stateOverhead
				sendCounts[state.Name]++
				assert.Assert(t, sendCounts[state.Name] <= limit)
			}
			assert.Assert(t, size <= budget)
		}
	})
}

// trimToDatagram keeps the first state whatever its size, because a message without it would carry no information.
func TestTrimKeepsTheFirstState(t *testing.T) {
	large := updateAbout(strings.Repeat("n", maxUpdateBytes), 1)
	assert.Equal(t, len(trimToDatagram([]*swimpb.State{large, updateAbout("a", 1)})), 1)
	small := []*swimpb.State{updateAbout("a", 1), updateAbout("b", 1)}
	assert.Equal(t, len(trimToDatagram(small)), 2)
	assert.Equal(t, len(trimToDatagram(append(small, large))), 2)
}
