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

func TestUpdatesToldLeastGoFirst(t *testing.T) {
	queue := newUpdateQueue()
	queue.add(updateAbout("a", 1), 0)
	assert.Equal(t, namesOf(queue.pick(updateBytes, 8)), "a")
	queue.add(updateAbout("b", 1), 0)
	assert.Equal(t, namesOf(queue.pick(updateBytes, 8)), "b a")
	queue.add(updateAbout("c", 1), 0)
	one := proto.Size(updateAbout("c", 1)) + stateOverhead
	assert.Equal(t, namesOf(queue.pick(one, 8)), "c")
}

func TestUpdateIsReplaced(t *testing.T) {
	queue := newUpdateQueue()
	queue.add(updateAbout("a", 1), 0)
	queue.add(updateAbout("a", 2), 0)
	picked := queue.pick(updateBytes, 8)
	assert.Equal(t, len(picked), 1)
	assert.Equal(t, picked[0].Incarnation, uint64(2))
}

func TestUpdateHeardAgainIsToldLess(t *testing.T) {
	queue := newUpdateQueue()
	queue.add(updateAbout("a", 1), 0)
	same := report{Member: Member{Name: "a", Incarnation: 1}}
	older := report{Member: Member{Name: "a"}}
	queue.heardAgain(older)
	queue.heardAgain(same)
	assert.Equal(t, len(queue.pick(updateBytes, 2)), 1)
	assert.Equal(t, len(queue.pick(updateBytes, 2)), 0)
	assert.Assert(t, queue.empty())
}

func TestUpdatesStayWithinTheirBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := newUpdateQueue()
		limit := rapid.IntRange(1, 6).Draw(t, "limit")
		told := map[string]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "add") {
				name := rapid.StringMatching(`[a-f]{1,300}`).Draw(t, "name")
				queue.add(updateAbout(name, 1), 0)
				told[name] = 0
				continue
			}
			room := rapid.IntRange(0, updateBytes).Draw(t, "room")
			size := 0
			for _, state := range queue.pick(room, limit) {
				size += proto.Size(state) + stateOverhead
				told[state.Name]++
				assert.Assert(t, told[state.Name] <= limit)
			}
			assert.Assert(t, size <= room)
		}
	})
}

// What is cut to fit a datagram keeps its first state whatever its size: an answer without it would say nothing.
func TestTrimKeepsTheFirstState(t *testing.T) {
	large := updateAbout(strings.Repeat("n", updateBytes), 1)
	assert.Equal(t, len(trim([]*swimpb.State{large, updateAbout("a", 1)})), 1)
	small := []*swimpb.State{updateAbout("a", 1), updateAbout("b", 1)}
	assert.Equal(t, len(trim(small)), 2)
	assert.Equal(t, len(trim(append(small, large))), 2)
}
