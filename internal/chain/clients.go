package chain

import (
	"maps"
	"slices"
	"time"

	"wallflow/internal/chain/chainpb"
)

// clients are the requests of the local process, and what the head took lately.
type clients struct {
	pending map[uint64]*pendingRequest
	taken   map[takenKey]time.Time // head: requests that it took
}

// pendingRequest is a request without an answer.
type pendingRequest struct {
	request  uint64
	command  []byte
	read     bool
	deadline time.Time
	sentAt   time.Time // zero: not sent, or refused
	answered bool      // read: the tail told the position to read at
	position uint64
}

// takenKey names a request across all processes.
type takenKey struct {
	identity string
	session  uint64
	request  uint64
}

func newClients() clients {
	return clients{pending: make(map[uint64]*pendingRequest), taken: make(map[takenKey]time.Time)}
}

// inOrder are the numbers of the requests without an answer, in a fixed order.
func (c *clients) inOrder() []uint64 { return slices.Sorted(maps.Keys(c.pending)) }

// viewChanged lets reads be sent to the new head. Commands are not sent again: whether they were taken isn't known.
func (c *clients) viewChanged() {
	for _, pending := range c.pending {
		if pending.read && !pending.answered {
			pending.sentAt = time.Time{}
		}
	}
}

// Submit hands a command of the local process to the head. The request number comes back in an Answer, in this Output or a
// later one.
func (n *Node) Submit(now time.Time, request uint64, command []byte) Output {
	n.begin(now)
	n.addRequest(&pendingRequest{request: request, command: command})
	return n.finish()
}

// Read asks for the committed state, confirmed by the whole chain to be the newest.
func (n *Node) Read(now time.Time, request uint64) Output {
	n.begin(now)
	n.addRequest(&pendingRequest{request: request, read: true})
	return n.finish()
}

func (n *Node) addRequest(pending *pendingRequest) {
	pending.deadline = n.now.Add(min(requestTimeout+transferTime(len(pending.command)), longestTimeout))
	n.clients.pending[pending.request] = pending
	n.sendRequest(pending)
}

// transferTime is how long bytes may be on their way.
func transferTime(bytes int) time.Duration {
	return time.Duration(bytes/slowLink) * time.Millisecond
}

// sendRequest sends a request to the head, if there is one.
func (n *Node) sendRequest(pending *pendingRequest) {
	if !n.ready || n.view.Epoch == 0 {
		return
	}
	pending.sentAt = n.now
	origin := &chainpb.Origin{
		Address:  n.self.Address,
		Identity: string(n.self.Identity),
		Session:  n.session,
		Request:  pending.request,
	}
	n.send(n.view.Head(), &chainpb.Message{Body: &chainpb.Message_Submit{Submit: &chainpb.Submit{
		Origin:  origin,
		Command: pending.command,
		Read:    pending.read,
	}}})
}

// tickClients ends requests that are over their time, and sends what was not sent.
func (n *Node) tickClients() {
	for _, request := range n.clients.inOrder() {
		pending := n.clients.pending[request]
		switch {
		case !n.now.Before(pending.deadline):
			delete(n.clients.pending, request)
			n.counters.UnknownOutcomes++
			n.out.Answers = append(n.out.Answers, Answer{Request: request})
		case pending.sentAt.IsZero():
			n.sendRequest(pending)
		case pending.read && n.now.Sub(pending.sentAt) >= readRetry:
			pending.answered = false
			n.sendRequest(pending)
			n.fetch(n.view.Tail())
		}
	}
	for key, at := range n.clients.taken {
		if n.now.Sub(at) > longestTimeout {
			delete(n.clients.taken, key)
		}
	}
}

// receiveSubmit takes a request at the head.
func (n *Node) receiveSubmit(epoch uint64, submit *chainpb.Submit) {
	origin := submit.Origin
	if origin == nil {
		return
	}
	key := takenKey{identity: origin.Identity, session: origin.Session, request: origin.Request}
	if _, taken := n.clients.taken[key]; taken && !submit.Read {
		return
	}
	if !n.isHead() || !n.serving() || n.writeLate() {
		n.refuse(origin)
		return
	}
	if submit.Read && n.mistakes.readUnconfirmed {
		n.answerOrigin(origin, Reply{}, true, n.log.committed)
		return
	}
	if submit.Read {
		n.startBarrier(origin, Reply{}, true)
		return
	}
	n.clients.taken[key] = n.now
	state, reply := n.log.newestState().Apply(submit.Command)
	if !reply.Accepted {
		n.startBarrier(origin, reply, false)
		return
	}
	n.accept(origin, submit.Command, state, reply)
}

func (n *Node) refuse(origin *chainpb.Origin) {
	n.sendTo(origin.Address, Identity(origin.Identity), &chainpb.Message{
		Body: &chainpb.Message_Refused{Refused: &chainpb.Refused{Session: origin.Session, Request: origin.Request}},
	})
}

// receiveRefused lets a request be sent again: the process that it went to did not take it.
func (n *Node) receiveRefused(refused *chainpb.Refused) {
	pending, waiting := n.clients.pending[refused.Request]
	if waiting && refused.Session == n.session {
		pending.sentAt = time.Time{} // the next tick sends it
	}
}

// answerOrigin tells the process that submitted a request how it ended.
func (n *Node) answerOrigin(origin *chainpb.Origin, reply Reply, read bool, position uint64) {
	n.sendTo(origin.Address, Identity(origin.Identity), &chainpb.Message{
		Body: &chainpb.Message_Answer{Answer: &chainpb.Answer{
			Session:  origin.Session,
			Request:  origin.Request,
			Reply:    replyToWire(reply),
			Read:     read,
			Position: position,
		}},
	})
}

func (n *Node) receiveAnswer(answer *chainpb.Answer) {
	pending, waiting := n.clients.pending[answer.Request]
	if !waiting || answer.Session != n.session || answer.Read != pending.read {
		return
	}
	if pending.read {
		pending.answered, pending.position = true, answer.Position
		n.answerReads()
		if n.log.committed < answer.Position {
			n.fetch(n.view.Tail())
		}
		return
	}
	delete(n.clients.pending, answer.Request)
	n.out.Answers = append(n.out.Answers, Answer{
		Request: answer.Request,
		Known:   true,
		Reply:   replyFromWire(answer.Reply),
	})
}

// answerReads answers the reads whose position is committed here.
func (n *Node) answerReads() {
	for _, request := range n.clients.inOrder() {
		pending := n.clients.pending[request]
		if pending.answered && pending.position <= n.log.committed {
			delete(n.clients.pending, request)
			n.out.Answers = append(n.out.Answers, Answer{Request: request, Known: true, State: n.log.state})
		}
	}
}
