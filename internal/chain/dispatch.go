package chain

import "wallflow/internal/chain/chainpb"

// dispatch handles one message. A message for another identity is dropped: it was meant for a store that was previously
// at this address.
func (n *Node) dispatch(fromAddress string, message *chainpb.Message) {
	if message.To != "" && Identity(message.To) != n.self.Identity {
		return
	}
	sender := Identity(message.From)
	if sender != n.self.Identity {
		n.membership.lastAddresses[sender] = fromAddress
		n.reconcileEpochs(sender, fromAddress, message)
	}
	switch body := message.Body.(type) {
	case *chainpb.Message_JoinRequest:
		n.receiveJoinRequest(sender, fromAddress, body.JoinRequest)
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

// dispatchElection handles the messages that decide views.
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

// dispatchChain handles the messages between chain neighbours of the current epoch.
func (n *Node) dispatchChain(sender Identity, message *chainpb.Message) {
	if n.injectedFaults.ignoreEpochEnd && message.Epoch < n.view.Epoch && n.inChain() {
		n.dispatchFromPredecessor(message)
		return
	}
	if message.Epoch != n.view.Epoch || !n.inChain() || n.hasPromised() {
		return
	}
	if sender == n.predecessor() {
		n.predecessorLastContact = n.now
		n.dispatchFromPredecessor(message)
	}
	if sender == n.successor() {
		n.successorLastContact = n.now
		n.dispatchFromSuccessor(message)
	}
}

func (n *Node) dispatchFromPredecessor(message *chainpb.Message) {
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

func (n *Node) dispatchFromSuccessor(message *chainpb.Message) {
	switch body := message.Body.(type) {
	case *chainpb.Message_SyncRequest:
		n.receiveSyncRequest(body.SyncRequest)
	case *chainpb.Message_Ack:
		n.receiveAck(body.Ack)
	}
}

// reconcileEpochs sends the view to a sender of an older epoch and requests it from a sender of a newer one.
func (n *Node) reconcileEpochs(sender Identity, fromAddress string, message *chainpb.Message) {
	switch {
	case message.Epoch < n.view.Epoch:
		if n.membership.allowNotice(sender, n.now) {
			n.sendTo(fromAddress, sender, n.viewNotice())
		}
	case message.Epoch > n.view.Epoch && message.GetViewNotice() == nil:
		if n.membership.allowNotice(sender, n.now) {
			n.sendTo(fromAddress, sender, n.joinRequest())
		}
	}
}

func (n *Node) viewNotice() *chainpb.Message {
	return &chainpb.Message{Body: &chainpb.Message_ViewNotice{ViewNotice: &chainpb.ViewNotice{View: viewToWire(n.view)}}}
}

// joinRequest returns a join request, which also requests a newer view.
func (n *Node) joinRequest() *chainpb.Message {
	return &chainpb.Message{Body: &chainpb.Message_JoinRequest{JoinRequest: &chainpb.JoinRequest{
		Member:   memberToWire(n.self),
		Position: n.log.lastPosition(),
		Founder:  n.founder,
	}}}
}

// send sends to a process by its identity, at its last known address.
func (n *Node) send(to Identity, message *chainpb.Message) {
	if to == "" {
		return
	}
	n.sendTo(n.addressOf(to), to, message)
}

// sendTo sends to an address, and to the identity if it is known.
func (n *Node) sendTo(address string, to Identity, message *chainpb.Message) {
	n.setEnvelope(to, message)
	if to == n.self.Identity || address == n.self.Address {
		n.selfMessages = append(n.selfMessages, message)
		return
	}
	if address == "" {
		return
	}
	n.output.Sends = append(n.output.Sends, Send{To: address, Message: message})
}

// sendAfterSync sends a message once everything queued so far and the given records are on disk.
func (n *Node) sendAfterSync(to Identity, message *chainpb.Message, records ...Record) {
	address := n.addressOf(to)
	n.setEnvelope(to, message)
	send := Send{To: address, Message: message}
	if to == n.self.Identity {
		n.persist(effect{selfMessages: []Send{send}}, records...)
		return
	}
	n.persist(effect{sends: []Send{send}}, records...)
}

// setEnvelope sets the sender, recipient and epoch of a message.
func (n *Node) setEnvelope(to Identity, message *chainpb.Message) {
	message.From = string(n.self.Identity)
	message.To = string(to)
	message.Epoch = n.view.Epoch
}
