package swim

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/swim/swimpb"
)

// alone is a member that knows another one, with nobody else around.
func alone() (n *Node, other *peer) {
	self := Member{Name: "a", Address: "10.0.0.1:1", Meta: Meta{Zone: "z", Region: "r"}}
	n = New(Options{Self: self, Random: rand.New(rand.NewPCG(1, 2))}, simEpoch)
	n.merge(simEpoch, report{hasMeta: true, Member: Member{Name: "b", Address: "10.0.0.2:1", Incarnation: 1, Meta: self.Meta}})
	n.take()
	return n, n.table.byName["b"]
}

// A helper without an answer is counted for the probe that it was asked about, and no other: a process whose helpers all had none either
// does not doubt itself.
func TestHelperWithoutAnAnswerIsCounted(t *testing.T) {
	n, other := alone()
	n.startProbe(simEpoch, check{target: other}, false)
	open := n.probes[0]
	open.asked = 1
	n.onNack(&swimpb.Message{Sequence: open.sequence + 1})
	assert.Equal(t, open.nacks, 0)
	n.onNack(&swimpb.Message{Sequence: open.sequence})
	assert.Equal(t, open.nacks, 1)
	n.fail(simEpoch, open)
	assert.Equal(t, n.health, 0)

	n, other = alone()
	n.startProbe(simEpoch, check{target: other}, false)
	n.probes[0].asked = 1
	n.fail(simEpoch, n.probes[0])
	assert.Equal(t, n.health, 1)
}

// A process that answers and does not know this one is told who it is, at a bounded rate.
func TestProcessThatAsksWhoThisIsIsTold(t *testing.T) {
	n, other := alone()
	ask := func(at time.Time) int {
		output := n.Receive(at, other.Address, &swimpb.Message{Type: swimpb.Type_TYPE_ACK, AnswerWanted: true, Sender: other.nameHash})
		told := 0
		for _, send := range output.Datagrams {
			if send.Message.GetType() == swimpb.Type_TYPE_DIGEST && send.To == other.Address {
				assert.Equal(t, send.Message.States[0].Name, "a")
				told++
			}
		}
		return told
	}
	assert.Equal(t, ask(simEpoch), 1)
	assert.Equal(t, ask(simEpoch.Add(answerSyncPause/2)), 0)
	assert.Equal(t, ask(simEpoch.Add(answerSyncPause)), 1)
}

// A sender that still suspects a member which has refuted is told so; one that knows is not.
func TestSenderThatMissedARefutationIsCorrected(t *testing.T) {
	n, other := alone()
	n.merge(simEpoch, report{hasMeta: true, Member: Member{Name: "b", Address: other.Address, Incarnation: 5, Meta: other.Meta}})
	n.take()
	suspicion := func(incarnation uint64) *swimpb.Message {
		return &swimpb.Message{Type: swimpb.Type_TYPE_GOSSIP, States: []*swimpb.State{
			{Name: "b", Address: other.Address, Incarnation: incarnation, Status: swimpb.Status_STATUS_SUSPECT, Accuser: "c"},
		}}
	}
	output := n.Receive(simEpoch, "10.0.0.3:1", suspicion(4))
	assert.Equal(t, len(output.Datagrams), 1)
	assert.Equal(t, output.Datagrams[0].To, "10.0.0.3:1")
	assert.Equal(t, output.Datagrams[0].Message.States[0].Incarnation, uint64(5))
	output = n.Receive(simEpoch, "10.0.0.3:1", suspicion(5))
	for _, send := range output.Datagrams {
		assert.Assert(t, send.To != "10.0.0.3:1", "a suspicion of now is no news that was missed")
	}
}

// Only a process that the answering one does not know, or knows in a former life, is asked who it is: else each answer would set off an
// exchange.
func TestKnownAskerIsNotAskedWhoItIs(t *testing.T) {
	n, other := alone()
	wanted := func(incarnation uint64, sender uint32) bool {
		output := n.Receive(simEpoch, other.Address, &swimpb.Message{Type: swimpb.Type_TYPE_PING, Target: n.self.nameHash, Sender: sender, Incarnation: incarnation})
		return output.Datagrams[0].Message.GetAnswerWanted()
	}
	assert.Assert(t, !wanted(other.Incarnation, other.nameHash))
	assert.Assert(t, wanted(other.Incarnation+1, other.nameHash))
	assert.Assert(t, wanted(other.Incarnation, other.nameHash+1))
}

// A new member asks one seed at a time.
func TestSeedsAreAskedOneAtATime(t *testing.T) {
	n := New(Options{
		Self: Member{Name: "a", Address: "10.0.0.1:1"}, Seeds: []string{"10.0.0.8:1", "10.0.0.9:1"}, Random: rand.New(rand.NewPCG(1, 2)),
	}, simEpoch)
	asked := 0
	const ticks = 20
	for tick := range ticks {
		for _, send := range n.Tick(simEpoch.Add(time.Duration(tick) * joinInterval / 4)).Datagrams {
			if send.Message.GetType() == swimpb.Type_TYPE_JOIN {
				asked++
			}
		}
	}
	assert.Equal(t, asked, ticks/4)
}

// Nobody is found where there is nobody.
func TestNobodyIsPickedOfNone(t *testing.T) {
	n, _ := alone()
	assert.Assert(t, n.pick(span{}, nil) == nil)
}
