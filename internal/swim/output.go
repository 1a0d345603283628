package swim

import "wallflow/internal/swim/swimpb"

// Send is one message and the internal address that it goes to.
type Send struct {
	To      string
	Message *swimpb.Message
}

// Output is what a call asks its owner to do.
type Output struct {
	// Datagrams are under 1,200 bytes and may be lost.
	Datagrams []Send
	// Messages go over a connection: they hold all members.
	Messages []Send
	// Changed are the members whose status, address, meta or incarnation changed, this process included.
	Changed []Member
}

// take returns what has gathered since the last call.
func (n *Node) take() Output {
	if n.spreadWanted {
		n.spreadWanted = false
		n.spread(n.now)
	}
	output := n.output
	n.output = Output{}
	return output
}

// datagram puts a message to be sent, signed with the sender's name and incarnation.
func (n *Node) datagram(to string, message *swimpb.Message) {
	n.sign(message)
	n.output.Datagrams = append(n.output.Datagrams, Send{To: to, Message: message})
}

// message puts a message for a connection.
func (n *Node) message(to string, message *swimpb.Message) {
	n.sign(message)
	n.output.Messages = append(n.output.Messages, Send{To: to, Message: message})
}

func (n *Node) sign(message *swimpb.Message) {
	message.Sender = n.self.nameHash
	message.Incarnation = n.self.Incarnation
}

// changed notes a member that is not what it was.
func (n *Node) changed(changed *peer) {
	n.table.members = nil
	n.output.Changed = append(n.output.Changed, changed.Member)
}
