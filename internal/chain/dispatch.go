package chain

import "wallflow/internal/chain/chainpb"

// dispatch takes one message. Messages for another identity are dropped: they were for the store that was here before.
func (n *Node) dispatch(from string, message *chainpb.Message) {
	if message.To != "" && Identity(message.To) != n.self.Identity {
		return
	}
	sender := Identity(message.From)
	if sender != n.self.Identity {
		n.membership.addresses[sender] = from
		n.compareEpochs(sender, from, message)
	}
	switch body := message.Body.(type) {
	case *chainpb.Message_JoinRequest:
		n.receiveJoinRequest(sender, from, body.JoinRequest)
	case *chainpb.Message_ViewNotice:
		n.learnView(viewFromWire(body.ViewNotice.View))
	case *chainpb.Message_Trouble:
		n.receiveTrouble(sender, body.Trouble)
	case *chainpb.Message_Feed:
		n.receiveFeed(sender, message.Epoch, body.Feed)
	case *chainpb.Message_Fetch:
		n.receiveFetch(sender, body.Fetch)
	case *chainpb.Message_Submit:
		n.receiveSubmit(message.Epoch, body.Submit)
	case *chainpb.Message_Refused:
		n.receiveRefused(body.Refused)
	case *chainpb.Message_Answer:
		n.receiveAnswer(body.Answer)
	default:
		n.dispatchElection(sender, message)
		n.dispatchChain(sender, message)
	}
}

// dispatchElection takes what decides on views.
func (n *Node) dispatchElection(sender Identity, message *chainpb.Message) {
	switch body := message.Body.(type) {
	case *chainpb.Message_Inquiry:
		n.receiveInquiry(sender, body.Inquiry)
	case *chainpb.Message_Support:
		n.receiveSupport(sender, body.Support)
	case *chainpb.Message_Prepare:
		n.receivePrepare(sender, body.Prepare)
	case *chainpb.Message_Promise:
		n.receivePromise(sender, body.Promise)
	case *chainpb.Message_Accept:
		n.receiveAccept(sender, body.Accept)
	case *chainpb.Message_Accepted:
		n.receiveAccepted(sender, body.Accepted)
	}
}

// dispatchChain takes what passes between neighbours in the chain of this epoch.
func (n *Node) dispatchChain(sender Identity, message *chainpb.Message) {
	if n.mistakes.headGoesOn && message.Epoch < n.view.Epoch && n.inChain() {
		n.dispatchDown(message)
		return
	}
	if message.Epoch != n.view.Epoch || !n.inChain() || n.promised() {
		return
	}
	if sender == n.predecessor() {
		n.predecessorHeardAt = n.now
		n.dispatchDown(message)
	}
	if sender == n.successor() {
		n.successorHeardAt = n.now
		n.dispatchUp(message)
	}
}

func (n *Node) dispatchDown(message *chainpb.Message) {
	switch body := message.Body.(type) {
	case *chainpb.Message_Sync:
		n.receiveSync(body.Sync)
	case *chainpb.Message_Append:
		n.receiveAppend(body.Append)
	case *chainpb.Message_Heartbeat:
		n.receiveHeartbeat(body.Heartbeat)
	case *chainpb.Message_Barrier:
		n.receiveBarrier(body.Barrier)
	case *chainpb.Message_Confirm:
		n.receiveConfirm(body.Confirm)
	}
}

func (n *Node) dispatchUp(message *chainpb.Message) {
	switch body := message.Body.(type) {
	case *chainpb.Message_SyncRequest:
		n.receiveSyncRequest(body.SyncRequest)
	case *chainpb.Message_Ack:
		n.receiveAck(body.Ack)
	}
}

// compareEpochs tells a sender of an older epoch the view, and asks one of a newer epoch for it.
func (n *Node) compareEpochs(sender Identity, from string, message *chainpb.Message) {
	switch {
	case message.Epoch < n.view.Epoch:
		if n.membership.mayNotify(sender, n.now) {
			n.sendTo(from, sender, n.viewNotice())
		}
	case message.Epoch > n.view.Epoch && message.GetViewNotice() == nil:
		if n.membership.mayNotify(sender, n.now) {
			n.sendTo(from, sender, n.joinRequest())
		}
	}
}

func (n *Node) viewNotice() *chainpb.Message {
	return &chainpb.Message{Body: &chainpb.Message_ViewNotice{ViewNotice: &chainpb.ViewNotice{View: viewToWire(n.view)}}}
}

func (n *Node) joinRequest() *chainpb.Message {
	return &chainpb.Message{Body: &chainpb.Message_JoinRequest{JoinRequest: &chainpb.JoinRequest{
		Member:   memberToWire(n.self),
		Position: n.log.lastPosition(),
		Founder:  n.founder,
	}}}
}

// send sends to a member by its identity, wherever it is now.
func (n *Node) send(to Identity, message *chainpb.Message) {
	if to == "" {
		return
	}
	n.sendTo(n.addressOf(to), to, message)
}

// sendTo sends to an address, and to an identity if that is known.
func (n *Node) sendTo(address string, to Identity, message *chainpb.Message) {
	n.stamp(to, message)
	if to == n.self.Identity || address == n.self.Address {
		n.loop = append(n.loop, message)
		return
	}
	if address == "" {
		return
	}
	n.out.Sends = append(n.out.Sends, Send{To: address, Message: message})
}

// sendAfter sends once what was persisted so far, and the records given, are on disk.
func (n *Node) sendAfter(to Identity, message *chainpb.Message, records ...Record) {
	address := n.addressOf(to)
	n.stamp(to, message)
	send := Send{To: address, Message: message}
	if to == n.self.Identity {
		n.persist(effect{loop: []Send{send}}, records...)
		return
	}
	n.persist(effect{sends: []Send{send}}, records...)
}

func (n *Node) stamp(to Identity, message *chainpb.Message) {
	message.From = string(n.self.Identity)
	message.To = string(to)
	message.Epoch = n.view.Epoch
}
