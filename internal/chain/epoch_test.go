package chain

import (
	"testing"

	"gotest.tools/v3/assert"

	"wallflow/internal/chain/chainpb"
)

// neighbourMessages are what the predecessor of a tail may send, each of which changes something if it is of this epoch.
func neighbourMessages(tail *process) map[string]*chainpb.Message {
	log := &tail.node.log
	late := []*chainpb.Entry{{Position: log.lastPosition() + 1, Epoch: tail.node.view.Epoch, Command: []byte("late")}}
	return map[string]*chainpb.Message{
		"append": {Body: &chainpb.Message_Append{Append: &chainpb.Append{
			PreviousEpoch: log.lastEpoch(), PreviousPosition: log.lastPosition(), Entries: late,
		}}},
		"sync":      {Body: &chainpb.Message_Sync{Sync: &chainpb.Sync{Keep: log.lastPosition(), Entries: late}}},
		"heartbeat": heartbeatMessage(1 << 50),
	}
}

// What a neighbour sent in another epoch changes nothing, and neither does what it sends once this process has promised: the log may have
// been replaced since by one that was decided on without those entries. Such messages come late, or by an earlier connection.
func TestMessageOfAnotherEpochChangesNothing(t *testing.T) {
	for _, c := range []struct {
		title    string
		epochs   int // that the message is ahead
		promised bool
		taken    bool
	}{
		{"of this epoch", 0, false, true},
		{"of the one before", -1, false, false},
		{"of the next", 1, false, false},
		{"after a promise", 0, true, false},
	} {
		for _, name := range []string{"append", "sync", "heartbeat"} {
			s, tail, _ := settledTail(t)
			predecessor := s.byIdentity(tail.node.predecessor())
			if c.promised {
				tail.node.acceptor.promised = ballot{round: 1 << 20, nonce: 1}
			}
			message := neighbourMessages(tail)[name]
			message.From, message.To = string(predecessor.node.Identity()), string(tail.node.Identity())
			message.Epoch = uint64(int(tail.node.view.Epoch) + c.epochs)
			position, asked := tail.node.log.lastPosition(), tail.node.questions
			tail.node.Receive(s.now, predecessor.self.Address, message)
			taken := tail.node.log.lastPosition() != position || tail.node.questions != asked
			assert.Equal(t, taken, c.taken, "%s %s", name, c.title)
		}
	}
}
