package swim

import "wallflow/internal/swim/swimpb"

// Send is a message and the internal address that it is sent to.
type Send struct {
	To      string
	Message *swimpb.Message
}

// Output holds the effects of a call that its caller has to carry out.
type Output struct {
	// Datagrams are below 1,200 bytes each and may be lost.
	Datagrams []Send
	// Messages are sent over a connection, because they cover all members and may exceed a datagram.
	Messages []Send
	// Changed holds the members whose status, address, meta or incarnation changed, including this process.
	Changed []Member
}

// takeOutput returns the output that has accumulated since the last call, and sends pending gossip first.
func (n *Node) takeOutput() Output {
	if n.gossipPending {
		n.gossipPending = false
		n.sendGossip(n.now)
	}
	output := n.output
	n.output = Output{}
	return output
}

// datagram appends a datagram to the output.
func (n *Node) datagram(to string, message *swimpb.Message) {
	n.sign(message)
	n.output.Datagrams = append(n.output.Datagrams, Send{To: to, Message: message})
}

// message appends a message for a connection to the output.
func (n *Node) message(to string, message *swimpb.Message) {
	n.sign(message)
	n.output.Messages = append(n.output.Messages, Send{To: to, Message: message})
}

// sign sets the name hash and the incarnation of the sender.
func (n *Node) sign(message *swimpb.Message) {
	message.Sender = n.self.nameHash
	message.Incarnation = n.self.Incarnation
}

// changed records a changed member in the output and invalidates the list of live members.
func (n *Node) changed(changed *peer) {
	n.table.sortedMembers = nil
	n.output.Changed = append(n.output.Changed, changed.Member)
}
