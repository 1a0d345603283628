package chain

import (
	"maps"
	"slices"
	"time"

	"wallflow/internal/chain/chainpb"
)

// clients is the state of the requests of the local process and, at the head, of recently accepted requests.
type clients struct {
	pending  map[uint64]*pendingRequest // by request number
	accepted map[requestKey]time.Time   // head: when it accepted a command, to drop duplicates
}

// pendingRequest is an unanswered request of the local process.
type pendingRequest struct {
	request       uint64
	command       []byte
	read          bool
	deadline      time.Time
	sentAt        time.Time // zero if it was not sent or was refused
	positionKnown bool      // read: the tail reported readPosition
	readPosition  uint64    // read: position that has to be committed locally before the answer
}

// requestKey identifies a request across processes and their restarts.
type requestKey struct {
	identity string
	session  uint64
	request  uint64
}

func newClients() clients {
	return clients{pending: make(map[uint64]*pendingRequest), accepted: make(map[requestKey]time.Time)}
}

// sortedRequests returns the numbers of the pending requests in ascending order, for deterministic runs.
func (c *clients) sortedRequests() []uint64 { return slices.Sorted(maps.Keys(c.pending)) }

// resendReads marks reads to be sent again, to the new head. Commands are not sent again, since it is not known whether
// the old head accepted them.
func (c *clients) resendReads() {
	for _, pending := range c.pending {
		if pending.read && !pending.positionKnown {
			pending.sentAt = time.Time{}
		}
	}
}

// Submit sends a command of the local process to the head. The request number identifies the Answer, which is part of
// this Output or a later one.
func (n *Node) Submit(now time.Time, request uint64, command []byte) Output {
	n.beginCall(now)
	n.addRequest(&pendingRequest{request: request, command: command})
	return n.finishCall()
}

// Read requests the committed state, confirmed by the whole chain to be the newest.
func (n *Node) Read(now time.Time, request uint64) Output {
	n.beginCall(now)
	n.addRequest(&pendingRequest{request: request, read: true})
	return n.finishCall()
}

func (n *Node) addRequest(pending *pendingRequest) {
	pending.deadline = n.now.Add(min(requestTimeout+transferTime(len(pending.command)), maxRequestTimeout))
	n.clients.pending[pending.request] = pending
	n.sendRequest(pending)
}

// transferTime returns how long the transfer of a number of bytes may take.
func transferTime(bytes int) time.Duration {
	return time.Duration(bytes/minLinkRate) * time.Millisecond
}

// sendRequest sends a request to the head if a view is known.
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

// tickClients ends requests that timed out, sends those that are not sent, and repeats unanswered reads.
func (n *Node) tickClients() {
	for _, request := range n.clients.sortedRequests() {
		pending := n.clients.pending[request]
		switch {
		case !n.now.Before(pending.deadline):
			delete(n.clients.pending, request)
			n.counters.UnknownOutcomes++
			n.output.Answers = append(n.output.Answers, Answer{Request: request})
		case pending.sentAt.IsZero():
			n.sendRequest(pending)
		case pending.read && n.now.Sub(pending.sentAt) >= readRetryInterval:
			pending.positionKnown = false
			n.sendRequest(pending)
			n.fetch(n.view.Tail())
		}
	}
	for key, at := range n.clients.accepted {
		if n.now.Sub(at) > maxRequestTimeout {
			delete(n.clients.accepted, key)
		}
	}
}

// receiveSubmit handles a request at the head.
func (n *Node) receiveSubmit(epoch uint64, submit *chainpb.Submit) {
	origin := submit.Origin
	if origin == nil {
		return
	}
	key := requestKey{identity: origin.Identity, session: origin.Session, request: origin.Request}
	if _, accepted := n.clients.accepted[key]; accepted && !submit.Read {
		return
	}
	if !n.isHead() || !n.canServe() || n.isWriteLate() {
		n.refuse(origin)
		return
	}
	if submit.Read && n.injectedFaults.serveUnconfirmedReads {
		n.answerOrigin(origin, Reply{}, true, n.log.committed)
		return
	}
	if submit.Read {
		n.startBarrier(origin, Reply{}, true)
		return
	}
	n.clients.accepted[key] = n.now
	state, reply := n.log.newestState().Apply(submit.Command)
	if !reply.Accepted {
		n.startBarrier(origin, reply, false)
		return
	}
	n.appendCommand(origin, submit.Command, state, reply)
}

// refuse reports to the submitter that its request was not accepted and may be sent again.
func (n *Node) refuse(origin *chainpb.Origin) {
	n.sendTo(origin.Address, Identity(origin.Identity), &chainpb.Message{
		Body: &chainpb.Message_Refused{Refused: &chainpb.Refused{Session: origin.Session, Request: origin.Request}},
	})
}

// receiveRefused marks a request that was not accepted to be sent again.
func (n *Node) receiveRefused(refused *chainpb.Refused) {
	pending, found := n.clients.pending[refused.Request]
	if found && refused.Session == n.session {
		pending.sentAt = time.Time{} // the next tick sends it
	}
}

// answerOrigin sends the result of a request to the process that submitted it.
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
	pending, found := n.clients.pending[answer.Request]
	if !found || answer.Session != n.session || answer.Read != pending.read {
		return
	}
	if pending.read {
		pending.positionKnown, pending.readPosition = true, answer.Position
		n.answerReads()
		if n.log.committed < answer.Position {
			n.fetch(n.view.Tail())
		}
		return
	}
	delete(n.clients.pending, answer.Request)
	n.output.Answers = append(n.output.Answers, Answer{
		Request:      answer.Request,
		OutcomeKnown: true,
		Reply:        replyFromWire(answer.Reply),
	})
}

// answerReads answers the reads whose position is committed locally.
func (n *Node) answerReads() {
	for _, request := range n.clients.sortedRequests() {
		pending := n.clients.pending[request]
		if pending.positionKnown && pending.readPosition <= n.log.committed {
			delete(n.clients.pending, request)
			n.output.Answers = append(n.output.Answers, Answer{Request: request, OutcomeKnown: true, State: n.log.state})
		}
	}
}
