package chain

import "wallflow/internal/chain/chainpb"

// barriersHeld bounds the barriers that wait for entries; more are dropped and time out at their origin.
const barriersHeld = 1024

// startBarrier sends a read, or the refusal of a command, down the chain. It is answered by the tail, and only if no member
// has promised for the next epoch, and once everything that it was decided on is committed.
func (n *Node) startBarrier(origin *chainpb.Origin, reply Reply, read bool) {
	n.takeBarrier(&chainpb.Barrier{
		Position: n.log.lastPosition(),
		Origin:   origin,
		Reply:    replyToWire(reply),
		Read:     read,
	})
}

func (n *Node) receiveBarrier(barrier *chainpb.Barrier) {
	if n.serving() {
		n.takeBarrier(barrier)
	}
}

func (n *Node) takeBarrier(barrier *chainpb.Barrier) {
	if len(n.barriers) >= barriersHeld {
		return
	}
	n.barriers = append(n.barriers, barrier)
	n.passBarriers()
}

// passBarriers passes on, or answers at the tail, what waits for no entry any more.
func (n *Node) passBarriers() {
	if len(n.barriers) == 0 || !n.serving() || n.durableInstalled != n.view.Epoch {
		return
	}
	waiting := n.barriers[:0]
	for _, barrier := range n.barriers {
		if !n.passBarrier(barrier) {
			waiting = append(waiting, barrier)
		}
	}
	clear(n.barriers[len(waiting):])
	n.barriers = waiting
}

func (n *Node) passBarrier(barrier *chainpb.Barrier) bool {
	if n.isTail() {
		if barrier.Position > n.log.committed {
			return false
		}
		n.answerOrigin(barrier.Origin, replyFromWire(barrier.Reply), barrier.Read, n.log.committed)
		return true
	}
	if !n.successorSynced || barrier.Position > n.passed {
		return false
	}
	n.send(n.successor(), &chainpb.Message{Body: &chainpb.Message_Barrier{Barrier: barrier}})
	return true
}

func replyToWire(reply Reply) *chainpb.Reply {
	return &chainpb.Reply{Accepted: reply.Accepted, Status: int32(reply.Status), Body: reply.Body}
}

func replyFromWire(reply *chainpb.Reply) Reply {
	return Reply{Accepted: reply.GetAccepted(), Status: int(reply.GetStatus()), Body: reply.GetBody()}
}
