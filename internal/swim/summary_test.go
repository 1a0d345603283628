package swim

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"wallflow/internal/swim/swimpb"
)

// nodeKnowing returns a node that knows itself and members with the given names and incarnation.
func nodeKnowing(name string, incarnation uint64, others ...string) *Node {
	node := New(Options{
		Self:   Member{Name: name, Address: "10.0.0.1:" + name, Meta: Meta{Region: "r", Zone: "z"}},
		Random: rand.New(rand.NewPCG(1, 2)),
	}, simEpoch)
	for index, other := range others {
		node.mergeStates(simEpoch, &swimpb.Message{States: []*swimpb.State{{
			Name:        other,
			Address:     fmt.Sprintf("10.0.1.1:%d", index+1),
			Incarnation: incarnation,
			Meta:        &swimpb.Meta{Region: "r", Zone: "z", Role: "proxy", Front: "10.0.1.1:80"},
		}}})
	}
	return node
}

func lastMessage(t *testing.T, output Output) *swimpb.Message {
	t.Helper()
	assert.Equal(t, len(output.Messages), 1)
	return output.Messages[0].Message
}

func TestAnExchangeSendsOnlyWhatDiffers(t *testing.T) {
	var common []string
	for index := range 400 {
		common = append(common, fmt.Sprintf("edge-%03d", index))
	}
	left := nodeKnowing("left", 5, append(common, "only-left")...)
	right := nodeKnowing("right", 5, append(common, "only-right")...)
	now := simEpoch.Add(time.Second)
	summary := lastMessage(t, left.Receive(now, "right", &swimpb.Message{Type: swimpb.Type_TYPE_DIGEST, Digest: right.table.digest}))
	assert.Equal(t, len(summary.GetStates()), 0)
	assert.Assert(t, proto.Size(summary) < 16*410, "%d bytes", proto.Size(summary))
	answer := lastMessage(t, right.Receive(now, "left", summary))
	assert.Equal(t, namesOf(answer.GetStates()), "right only-right")
	assert.Equal(t, len(answer.GetWanted()), 2)
	last := lastMessage(t, left.Receive(now, "right", answer))
	assert.Equal(t, namesOf(last.GetStates()), "left only-left")
	assert.Equal(t, len(right.Receive(now, "left", last).Messages), 0)
	assert.Equal(t, left.table.digest, right.table.digest)
}

func TestAnExchangeBringsTheNewerStateInBothDirections(t *testing.T) {
	left := nodeKnowing("left", 5, "a", "b")
	right := nodeKnowing("right", 5, "a", "b")
	now := simEpoch.Add(time.Second)
	newer := func(name, port string) *swimpb.Message {
		return &swimpb.Message{States: []*swimpb.State{{
			Name: name, Address: "10.0.1.1:" + port, Incarnation: 9, Meta: &swimpb.Meta{Region: "r", Zone: "z"},
		}}}
	}
	left.mergeStates(now, newer("a", "1"))
	right.mergeStates(now, newer("b", "2"))
	summary := lastMessage(t, left.Receive(now, "right", &swimpb.Message{Type: swimpb.Type_TYPE_DIGEST, Digest: right.table.digest}))
	answer := lastMessage(t, right.Receive(now, "left", summary))
	right.Receive(now, "left", lastMessage(t, left.Receive(now, "right", answer)))
	assert.Equal(t, left.table.digest, right.table.digest)
	assert.Equal(t, right.table.byName["a"].Incarnation, uint64(9))
	assert.Equal(t, left.table.byName["b"].Incarnation, uint64(9))
}

func TestStatesOfUnknownDeadMembersAreNotRequested(t *testing.T) {
	node := nodeKnowing("left", 5, "a")
	summary := &swimpb.Summary{
		Keys:     []uint64{summaryKey("left"), summaryKey("a"), summaryKey("dead"), summaryKey("alive")},
		Versions: []uint64{summaryVersion(node.self.Member), 5 << statusBits, 7<<statusBits | uint64(Dead), 7 << statusBits},
	}
	answer := lastMessage(t, node.Receive(simEpoch, "right", &swimpb.Message{Type: swimpb.Type_TYPE_SUMMARY, Summary: summary}))
	assert.DeepEqual(t, answer.GetWanted(), []uint64{summaryKey("alive")})
	assert.Equal(t, len(answer.GetStates()), 0)
}

func TestASummaryWithListsOfUnequalLengthIsIgnored(t *testing.T) {
	node := nodeKnowing("left", 5, "a")
	broken := &swimpb.Summary{Keys: []uint64{1, 2}, Versions: []uint64{1}}
	assert.Equal(t, len(node.Receive(simEpoch, "right", &swimpb.Message{Type: swimpb.Type_TYPE_SUMMARY, Summary: broken}).Messages), 0)
}
