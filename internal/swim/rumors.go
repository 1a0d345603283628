package swim

import (
	"time"

	"google.golang.org/protobuf/proto"

	"wallflow/internal/swim/swimpb"
)

const (
	// rumorBytes bounds the states in one datagram; the rest of its 1,200 bytes is for the marks of the message.
	rumorBytes = 1050
	// stateOverhead is the tag and length of a state inside a message.
	stateOverhead = 3
	// exchangeRumors is how often a member passes on what it learned from a full exchange, which others have as well.
	exchangeRumors = 2
)

// rumor is a state on its way through the fleet.
type rumor struct {
	state    *swimpb.State
	size     int
	told     int // how often it was sent, or heard again from others
	replaced bool
}

// rumorQueue holds the rumors that are still passed on, by how often they were told. Those told least go first.
type rumorQueue struct {
	levels [][]*rumor
	byName map[string]*rumor
}

func newRumorQueue() rumorQueue { return rumorQueue{byName: map[string]*rumor{}} }

// add puts a rumor in place of an older one on the same member, as if it had been told so often before.
func (q *rumorQueue) add(state *swimpb.State, told int) {
	size := proto.Size(state) + stateOverhead
	if older := q.byName[state.Name]; older != nil {
		older.replaced = true
	}
	if size > rumorBytes {
		delete(q.byName, state.Name)
		return // too large for a datagram: full exchanges carry it
	}
	added := &rumor{state: state, size: size, told: told}
	q.byName[state.Name] = added
	q.put(added)
}

// put files a rumor under how often it was told.
func (q *rumorQueue) put(filed *rumor) {
	for len(q.levels) <= filed.told {
		q.levels = append(q.levels, nil)
	}
	q.levels[filed.told] = append(q.levels[filed.told], filed)
}

// heardAgain notes that others pass the same on, so that it needs to be told less.
func (q *rumorQueue) heardAgain(told report) {
	known := q.byName[told.Name]
	if known == nil || known.state.Incarnation != told.Incarnation || Status(known.state.Status) != told.Status {
		return
	}
	known.told++
}

// empty reports whether nothing is to be passed on.
func (q *rumorQueue) empty() bool { return len(q.byName) == 0 }

// pick returns states that fit into the room, and counts them as told once more.
func (q *rumorQueue) pick(room, limit int) []*swimpb.State {
	var picked []*rumor
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
func (q *rumorQueue) pickLevel(level, room, limit int, picked []*rumor) ([]*rumor, int) {
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

// tell starts a rumor with the present state of a member.
func (n *Node) tell(about *peer, accuser string) {
	state := encodeMember(about.Member, accuser, about.Status == Alive)
	told := 0
	if n.inExchange && about != n.self {
		told = max(rumorLimit(len(n.table.ring))-exchangeRumors, 0)
	}
	n.rumors.add(state, told)
}

// riding returns the states that go along with a datagram: what is believed of the receiver if it is not thought alive, so
// that it can refute, then rumors.
func (n *Node) riding(receiver *peer) []*swimpb.State {
	var states []*swimpb.State
	room := rumorBytes
	if receiver != nil && receiver.Status != Alive {
		view := encodeMember(receiver.Member, "", false)
		room -= proto.Size(view) + stateOverhead
		states = append(states, view)
	}
	return append(states, n.rumors.pick(room, rumorLimit(len(n.table.ring)))...)
}

// gossip passes rumors on when it is time.
func (n *Node) gossip(now time.Time) {
	if n.rumors.empty() || now.Before(n.nextGossip) {
		return
	}
	n.spread(now)
}

// spread sends rumors to a few members: some of the own zone or region, one from anywhere.
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
