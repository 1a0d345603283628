package chain

import "wallflow/internal/chain/chainpb"

// maxBarriers is the number of waiting barriers above which further ones are dropped. The requests of dropped barriers
// time out.
const maxBarriers = 1024

// startBarrier sends a read or the rejection of a command down the chain. The tail answers it if no member has promised
// for the next epoch, and only after every entry that the answer depends on is committed.
func (n *Node) startBarrier(origin *chainpb.Origin, reply Reply, read bool) {
	n.enqueueBarrier(&chainpb.Barrier{
		Position: n.log.lastPosition(),
		Origin:   origin,
		Reply:    replyToWire(reply),
		Read:     read,
	})
}

func (n *Node) receiveBarrier(barrier *chainpb.Barrier) {
	if n.canServe() {
		n.enqueueBarrier(barrier)
	}
}

// enqueueBarrier keeps a barrier until it can be forwarded.
func (n *Node) enqueueBarrier(barrier *chainpb.Barrier) {
	if len(n.barriers) >= maxBarriers {
		return
	}
	n.barriers = append(n.barriers, barrier)
	n.forwardBarriers()
}

// forwardBarriers forwards the barriers that wait for no entry any more or, at the tail, answers them.
func (n *Node) forwardBarriers() {
	if len(n.barriers) == 0 || !n.canServe() || n.durableInstalledEpoch != n.view.Epoch {
		return
	}
	remaining := n.barriers[:0]
	for _, barrier := range n.barriers {
		if !n.forwardBarrier(barrier) {
			remaining = append(remaining, barrier)
		}
	}
	clear(n.barriers[len(remaining):])
	n.barriers = remaining
}

// forwardBarrier forwards or answers a barrier. It returns false if the barrier has to wait.
func (n *Node) forwardBarrier(barrier *chainpb.Barrier) bool {
	if n.isTail() {
		if barrier.Position > n.log.committed {
			return false
		}
		n.answerOrigin(barrier.Origin, replyFromWire(barrier.Reply), barrier.Read, n.log.committed)
		return true
	}
	if !n.successorReady || barrier.Position > n.forwardedPosition {
		return false
	}
	n.send(n.successor(), &chainpb.Message{Body: &chainpb.Message_Barrier{Barrier: barrier}})
	return true
}

func replyToWire(reply Reply) *chainpb.Reply {
	return &chainpb.Reply{Accepted: reply.Accepted, Status: int32(reply.Status), Body: reply.Body, Revision: reply.Revision}
}

func replyFromWire(reply *chainpb.Reply) Reply {
	return Reply{Accepted: reply.GetAccepted(), Status: int(reply.GetStatus()), Body: reply.GetBody(), Revision: reply.GetRevision()}
}
