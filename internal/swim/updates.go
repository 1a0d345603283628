package swim

import (
	"time"

	"google.golang.org/protobuf/proto"

	"wallflow/internal/swim/swimpb"
)

const (
	// updateBytes bounds the states in one datagram; the rest of its 1,200 bytes is for the fields of the message.
	updateBytes = 1050
	// stateOverhead is the tag and length of a state inside a message.
	stateOverhead = 3
	// exchangeUpdates is how often a member passes on what it learned from a full exchange, which others have as well.
	exchangeUpdates = 2
)

// update is a state on its way through the fleet.
type update struct {
	state    *swimpb.State
	size     int
	told     int // how often it was sent, or heard again from others
	replaced bool
}

// updateQueue holds the updates that are still passed on, by how often they were told. Those told least go first.
type updateQueue struct {
	levels [][]*update
	byName map[string]*update
}

func newUpdateQueue() updateQueue { return updateQueue{byName: map[string]*update{}} }

// add puts an update in place of an older one on the same member, as if it had been told so often before.
func (q *updateQueue) add(state *swimpb.State, told int) {
	size := proto.Size(state) + stateOverhead
	if older := q.byName[state.Name]; older != nil {
		older.replaced = true
	}
	if size > updateBytes {
		delete(q.byName, state.Name)
		return // too large for a datagram: full exchanges carry it
	}
	added := &update{state: state, size: size, told: told}
	q.byName[state.Name] = added
	q.put(added)
}

// put files an update under how often it was told.
func (q *updateQueue) put(filed *update) {
	for len(q.levels) <= filed.told {
		q.levels = append(q.levels, nil)
	}
	q.levels[filed.told] = append(q.levels[filed.told], filed)
}

// heardAgain notes that others pass the same on, so that it needs to be told less.
func (q *updateQueue) heardAgain(told report) {
	known := q.byName[told.Name]
	if known == nil || known.state.Incarnation != told.Incarnation || Status(known.state.Status) != told.Status {
		return
	}
	known.told++
}

// empty reports whether nothing is to be passed on.
func (q *updateQueue) empty() bool { return len(q.byName) == 0 }

// pick returns states that fit into the room, and counts them as told once more.
func (q *updateQueue) pick(room, limit int) []*swimpb.State {
	var picked []*update
	for level := 0; level < len(q.levels) && room > 0; level++ {
		picked, room = q.pickLevel(level, room, limit, picked)
	}
	var states []*swimpb.State
	for _, told := range picked {
		states = append(states, told.state)
		told.told++
		if told.told >= limit {
			delete(q.byName, told.state.Name)
			continue
		}
		q.put(told)
	}
	return states
}

// pickLevel takes what fits from one level. It returns no room when something did not fit.
func (q *updateQueue) pickLevel(level, room, limit int, picked []*update) ([]*update, int) {
	for len(q.levels[level]) > 0 {
		next := q.levels[level][0]
		switch {
		case next.replaced:
		case next.told >= limit:
			delete(q.byName, next.state.Name)
		case next.told > level:
			q.put(next) // it was heard again since it was filed
		case next.size > room:
			return picked, 0
		default:
			picked = append(picked, next)
			room -= next.size
		}
		q.levels[level][0] = nil
		q.levels[level] = q.levels[level][1:]
	}
	q.levels[level] = nil
	return picked, room
}

// tell starts an update with the present state of a member.
func (n *Node) tell(about *peer, accuser string) {
	state := encodeMember(about.Member, accuser, about.Status == Alive)
	told := 0
	if n.inExchange && about != n.self {
		told = max(updateLimit(len(n.table.ring))-exchangeUpdates, 0)
	}
	n.updates.add(state, told)
}

// riding returns the states that go along with a probe or its answer: what is believed of the receiver if it is not thought alive, so
// that it can refute, then updates.
func (n *Node) riding(receiver *peer) []*swimpb.State { return n.ridingWithin(receiver, updateBytes) }

// ridingLightly is riding for probes out of turn and for answers. To another region they carry no updates: when a region is lost or cut
// off they are many, most come to nothing, and what crosses regions is dear.
func (n *Node) ridingLightly(receiver *peer) []*swimpb.State {
	if n.crosses(receiver) {
		return n.ridingWithin(receiver, 0)
	}
	return n.riding(receiver)
}

// crosses reports whether a member is of another region.
func (n *Node) crosses(receiver *peer) bool {
	return receiver != nil && receiver.Meta.Region != n.self.Meta.Region
}

// ridingWithin is riding with so many bytes of room.
func (n *Node) ridingWithin(receiver *peer, room int) []*swimpb.State {
	var states []*swimpb.State
	if receiver != nil && receiver.Status != Alive {
		view := encodeMember(receiver.Member, "", false)
		room -= proto.Size(view) + stateOverhead
		states = append(states, view)
	}
	return append(states, n.updates.pick(room, updateLimit(len(n.table.ring)))...)
}

// gossip passes updates on when it is time.
func (n *Node) gossip(now time.Time) {
	if n.updates.empty() || now.Before(n.nextGossip) {
		return
	}
	n.spread(now)
}

// spread sends updates to a few members: some of the own zone or region, one from anywhere.
func (n *Node) spread(now time.Time) {
	n.nextGossip = now.Add(gossipInterval)
	for _, receiver := range n.gossipReceivers() {
		states := n.riding(receiver)
		if len(states) == 0 {
			return
		}
		n.datagram(receiver.Address, &swimpb.Message{Type: swimpb.Type_TYPE_GOSSIP, States: states})
	}
}

func (n *Node) gossipReceivers() []*peer {
	var receivers []*peer
	for index := range fanout {
		near := n.near()
		if index == fanout-1 {
			near = n.everywhere()
		}
		if receiver := n.pick(near, receivers); receiver != nil {
			receivers = append(receivers, receiver)
		}
	}
	return receivers
}
