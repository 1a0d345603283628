package swim

import (
	"time"

	"google.golang.org/protobuf/proto"

	"wallflow/internal/swim/swimpb"
)

const (
	// maxUpdateBytes bounds the encoded states in one datagram of 1,200 bytes. The rest is for the other fields of
	// the message.
	maxUpdateBytes = 1050
	// stateOverhead is the size in bytes of the tag and length of a state inside a message.
	stateOverhead = 3
	// exchangeRetransmits is how often a member sends an update that it learned from a full exchange. It is low
	// because other members probably have the update as well.
	exchangeRetransmits = 2
)

// update is a state that is being disseminated.
type update struct {
	state     *swimpb.State
	size      int
	sendCount int // times that it was sent, or received again from others
	replaced  bool
}

// updateQueue holds the updates that still have to be sent, in one list for each send count. Updates with the lowest
// count are sent first.
type updateQueue struct {
	bySendCount [][]*update
	byName      map[string]*update
}

func newUpdateQueue() updateQueue { return updateQueue{byName: map[string]*update{}} }

// add queues an update with an initial send count. It replaces an older update about the same member.
func (q *updateQueue) add(state *swimpb.State, sendCount int) {
	size := proto.Size(state) + stateOverhead
	if older := q.byName[state.Name]; older != nil {
		older.replaced = true
	}
	if size > maxUpdateBytes {
		delete(q.byName, state.Name)
		return // too large for a datagram; full exchanges carry it
	}
	added := &update{state: state, size: size, sendCount: sendCount}
	q.byName[state.Name] = added
	q.enqueue(added)
}

// enqueue appends an update to the list of its send count.
func (q *updateQueue) enqueue(queued *update) {
	for len(q.bySendCount) <= queued.sendCount {
		q.bySendCount = append(q.bySendCount, nil)
	}
	q.bySendCount[queued.sendCount] = append(q.bySendCount[queued.sendCount], queued)
}

// noteDuplicate counts an update received from another member as one send, because it needs fewer sends from this
// process then.
func (q *updateQueue) noteDuplicate(reported report) {
	known := q.byName[reported.Name]
	if known == nil || known.state.Incarnation != reported.Incarnation || Status(known.state.Status) != reported.Status {
		return
	}
	known.sendCount++
}

// empty reports whether there is nothing to send.
func (q *updateQueue) empty() bool { return len(q.byName) == 0 }

// dequeue returns states of up to budget bytes in total and counts each as sent once more. Updates that reach
// sendLimit are dropped.
func (q *updateQueue) dequeue(budget, sendLimit int) []*swimpb.State {
	var picked []*update
	for level := 0; level < len(q.bySendCount) && budget > 0; level++ {
		picked, budget = q.dequeueLevel(level, budget, sendLimit, picked)
	}
	var states []*swimpb.State
	for _, sent := range picked {
		states = append(states, sent.state)
		sent.sendCount++
		if sent.sendCount >= sendLimit {
			delete(q.byName, sent.state.Name)
			continue
		}
		q.enqueue(sent)
	}
	return states
}

// dequeueLevel takes updates from the list of one send count until the next one exceeds the budget. It returns the
// remaining budget, or 0 if an update did not fit.
func (q *updateQueue) dequeueLevel(level, budget, sendLimit int, picked []*update) ([]*update, int) {
	for len(q.bySendCount[level]) > 0 {
		next := q.bySendCount[level][0]
		switch {
		case next.replaced:
		case next.sendCount >= sendLimit:
			delete(q.byName, next.state.Name)
		case next.sendCount > level:
			q.enqueue(next) // noteDuplicate raised its count after it was queued
		case next.size > budget:
			return picked, 0
		default:
			picked = append(picked, next)
			budget -= next.size
		}
		q.bySendCount[level][0] = nil
		q.bySendCount[level] = q.bySendCount[level][1:]
	}
	q.bySendCount[level] = nil
	return picked, budget
}

// queueUpdate queues the current state of a member for dissemination.
func (n *Node) queueUpdate(member *peer, accuser string) {
	state := encodeMember(member.Member, accuser, member.Status == Alive)
	sendCount := 0
	if n.inFullExchange && member != n.self {
		sendCount = max(retransmitLimit(len(n.table.ring))-exchangeRetransmits, 0)
	}
	n.updates.add(state, sendCount)
}

// piggybackUpdates returns the states to send along with a probe or its answer. If the receiver is not believed
// alive, the first one is that belief, so that it can refute. The rest are queued updates.
func (n *Node) piggybackUpdates(receiver *peer) []*swimpb.State {
	return n.piggybackUpTo(receiver, maxUpdateBytes)
}

// piggybackWithinRegion is piggybackUpdates for unscheduled probes and for answers. A receiver in another region gets
// no queued updates: when a region is lost or partitioned there are many such messages, most of their updates are
// redundant, and traffic between regions is expensive.
func (n *Node) piggybackWithinRegion(receiver *peer) []*swimpb.State {
	if n.inOtherRegion(receiver) {
		return n.piggybackUpTo(receiver, 0)
	}
	return n.piggybackUpdates(receiver)
}

// inOtherRegion reports whether a member is in another region than this process.
func (n *Node) inOtherRegion(member *peer) bool {
	return member != nil && member.Meta.Region != n.self.Meta.Region
}

// piggybackUpTo is piggybackUpdates with a limit on the total size of the states, in bytes.
func (n *Node) piggybackUpTo(receiver *peer, budget int) []*swimpb.State {
	var states []*swimpb.State
	if receiver != nil && receiver.Status != Alive {
		belief := encodeMember(receiver.Member, "", false)
		budget -= proto.Size(belief) + stateOverhead
		states = append(states, belief)
	}
	return append(states, n.updates.dequeue(budget, retransmitLimit(len(n.table.ring)))...)
}

// gossip sends queued updates if the gossip interval has passed.
func (n *Node) gossip(now time.Time) {
	if n.updates.empty() || now.Before(n.nextGossip) {
		return
	}
	n.sendGossip(now)
}

// sendGossip sends queued updates to gossipFanout members: the last one is a random member of the whole fleet, the
// others are close to this process (see localSpan).
func (n *Node) sendGossip(now time.Time) {
	n.nextGossip = now.Add(gossipInterval)
	for _, receiver := range n.gossipReceivers() {
		states := n.piggybackUpdates(receiver)
		if len(states) == 0 {
			return
		}
		n.datagram(receiver.Address, &swimpb.Message{Type: swimpb.Type_TYPE_GOSSIP, States: states})
	}
}

// gossipReceivers returns the random members that the next round of gossip goes to.
func (n *Node) gossipReceivers() []*peer {
	var receivers []*peer
	for index := range gossipFanout {
		within := n.localSpan()
		if index == gossipFanout-1 {
			within = n.wholeRing()
		}
		if receiver := n.pickRandom(within, receivers); receiver != nil {
			receivers = append(receivers, receiver)
		}
	}
	return receivers
}
