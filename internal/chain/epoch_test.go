package chain

import (
	"testing"

	"gotest.tools/v3/assert"

	"wallflow/internal/chain/chainpb"
)

// neighbourMessages returns messages that the predecessor of a tail may send. Each changes the state of the tail if it
// is of the current epoch.
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

// TestMessageOfAnotherEpochIsIgnored verifies that messages of a neighbour are ignored if they are of another epoch or
// if this process has promised. Such messages arrive late or over an earlier connection, when the log may already have
// been replaced by one decided without their entries.
func TestMessageOfAnotherEpochIsIgnored(t *testing.T) {
	for _, c := range []struct {
		title    string
		epochs   int // by which the message is ahead
		promised bool
		changed  bool
	}{
		{"current epoch", 0, false, true},
		{"previous epoch", -1, false, false},
		{"next epoch", 1, false, false},
		{"after a promise", 0, true, false},
	} {
		for _, name := range []string{"append", "sync", "heartbeat"} {
			s, tail, _ := newSettledTail(t)
			predecessor := s.byIdentity(tail.node.predecessor())
			if c.promised {
				tail.node.acceptor.promisedBallot = ballot{round: 1 << 20, nonce: 1}
			}
			message := neighbourMessages(tail)[name]
			message.From, message.To = string(predecessor.node.Identity()), string(tail.node.Identity())
			message.Epoch = uint64(int(tail.node.view.Epoch) + c.epochs)
			position, probesBefore := tail.node.log.lastPosition(), tail.node.probes
			tail.node.Receive(s.now, predecessor.self.Address, message)
			changed := tail.node.log.lastPosition() != position || tail.node.probes != probesBefore
			assert.Equal(t, changed, c.changed, "%s %s", name, c.title)
		}
	}
}
