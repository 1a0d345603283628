package swim

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"wallflow/internal/swim/swimpb"
)

// nodeWithOnePeer returns a node that knows exactly one other member.
func nodeWithOnePeer() (n *Node, other *peer) {
	self := Member{Name: "a", Address: "10.0.0.1:1", Meta: Meta{Zone: "z", Region: "r"}}
	n = New(Options{Self: self, Random: rand.New(rand.NewPCG(1, 2))}, simEpoch)
	n.merge(simEpoch, report{hasMeta: true, Member: Member{Name: "b", Address: "10.0.0.2:1", Incarnation: 1, Meta: self.Meta}})
	n.takeOutput()
	return n, n.table.byName["b"]
}

// A nack counts only for the probe with its sequence number. If a failed probe got a nack, the health score does not get
// worse, because the helper's message shows that this process can receive.
func TestNackIsCountedForItsProbe(t *testing.T) {
	n, other := nodeWithOnePeer()
	n.startProbe(simEpoch, probeRequest{target: other}, false)
	open := n.probes[0]
	open.helpersAsked = 1
	n.onNack(&swimpb.Message{Sequence: open.sequence + 1})
	assert.Equal(t, open.nacks, 0)
	n.onNack(&swimpb.Message{Sequence: open.sequence})
	assert.Equal(t, open.nacks, 1)
	n.handleFailedProbe(simEpoch, open)
	assert.Equal(t, n.healthScore, 0)

	n, other = nodeWithOnePeer()
	n.startProbe(simEpoch, probeRequest{target: other}, false)
	n.probes[0].helpersAsked = 1
	n.handleFailedProbe(simEpoch, n.probes[0])
	assert.Equal(t, n.healthScore, 1)
}

// An ack with AnswerWanted comes from a process that lacks the state of this one. It gets the state, at a bounded rate.
func TestOwnStateIsSentOnRequestAtABoundedRate(t *testing.T) {
	n, other := nodeWithOnePeer()
	ask := func(at time.Time) int {
		output := n.Receive(at, other.Address, &swimpb.Message{Type: swimpb.Type_TYPE_ACK, AnswerWanted: true, Sender: other.nameHash})
		digests := 0
		for _, send := range output.Datagrams {
			if send.Message.GetType() == swimpb.Type_TYPE_DIGEST && send.To == other.Address {
				assert.Equal(t, send.Message.States[0].Name, "a")
				digests++
			}
		}
		return digests
	}
	assert.Equal(t, ask(simEpoch), 1)
	assert.Equal(t, ask(simEpoch.Add(minTriggeredSyncInterval/2)), 0)
	assert.Equal(t, ask(simEpoch.Add(minTriggeredSyncInterval)), 1)
}

// A sender that suspects a member with an incarnation older than the known refutation receives the refutation. A suspicion of
// the current incarnation is not answered.
func TestSenderThatMissedARefutationReceivesIt(t *testing.T) {
	n, other := nodeWithOnePeer()
	n.merge(simEpoch, report{hasMeta: true, Member: Member{Name: "b", Address: other.Address, Incarnation: 5, Meta: other.Meta}})
	n.takeOutput()
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
		assert.Assert(t, send.To != "10.0.0.3:1", "a suspicion of the current incarnation must not be answered")
	}
}

// An ack asks for the state of the sender of the ping only if that sender is unknown or known with an older incarnation.
// Otherwise every ack would trigger an exchange.
func TestStateIsRequestedOnlyFromUnknownSender(t *testing.T) {
	n, other := nodeWithOnePeer()
	wanted := func(incarnation uint64, sender uint32) bool {
		output := n.Receive(simEpoch, other.Address, &swimpb.Message{
			Type: swimpb.Type_TYPE_PING, Target: n.self.nameHash, Sender: sender, Incarnation: incarnation,
		})
		return output.Datagrams[0].Message.GetAnswerWanted()
	}
	assert.Assert(t, !wanted(other.Incarnation, other.nameHash))
	assert.Assert(t, wanted(other.Incarnation+1, other.nameHash))
	assert.Assert(t, wanted(other.Incarnation, other.nameHash+1))
}

// A new member sends one join request per join interval.
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

// pickRandom returns nil for an empty span.
func TestPickFromEmptySpan(t *testing.T) {
	n, _ := nodeWithOnePeer()
	assert.Assert(t, n.pickRandom(span{}, nil) == nil)
}
