package swim

import (
	"time"

	"google.golang.org/protobuf/proto"

	"wallflow/internal/swim/swimpb"
)

// join asks one seed after the other until one has answered. A new member goes on with those that are none: the one that answered may
// itself be cut off from all others.
func (n *Node) join(now time.Time) {
	if len(n.seeds) == 0 || now.Before(n.nextJoin) || n.joined && now.Sub(n.started) >= n.timing.early {
		return
	}
	n.nextJoin = now.Add(joinInterval)
	n.nextSeed++
	if seed := n.seeds[n.nextSeed%len(n.seeds)]; !n.joined || !n.isLiveAt(seed) {
		n.sendJoin(seed)
	}
}

// isLiveAt tells whether a live member has an address.
func (n *Node) isLiveAt(address string) bool {
	holder := n.table.byAddress[address]
	return holder != nil && holder.Status.live()
}

// sendJoin asks a process to take this one in.
func (n *Node) sendJoin(to string) {
	n.datagram(to, &swimpb.Message{
		Type:   swimpb.Type_TYPE_JOIN,
		States: []*swimpb.State{encodeMember(n.self.Member, "", true)},
	})
}

// onJoin answers a new member with all that is known.
func (n *Node) onJoin(from string) {
	n.message(from, &swimpb.Message{Type: swimpb.Type_TYPE_STATES, States: n.allStates()})
	n.spreadWanted = true
}

// allStates returns the states of all members that are known, the own one first.
func (n *Node) allStates() []*swimpb.State {
	states := make([]*swimpb.State, 0, len(n.table.ring)+len(n.table.graves)+1)
	states = append(states, encodeMember(n.self.Member, "", true))
	for _, live := range n.table.ring {
		if live != n.self {
			states = append(states, encodeMember(live.Member, live.accuser(), true))
		}
	}
	for _, gone := range n.table.graves {
		states = append(states, encodeMember(gone.Member, "", false))
	}
	return states
}

// accuser returns the first that accused a suspect.
func (p *peer) accuser() string {
	if p.suspicion == nil {
		return ""
	}
	return p.suspicion.accusers[0]
}

// compare sends the digest of the live members to another one when it is time.
func (n *Node) compare(now time.Time) {
	if now.Before(n.nextCompare) {
		return
	}
	interval := n.timing.compare
	if now.Sub(n.started) < n.timing.early {
		interval = n.timing.compareEarly
	}
	n.nextCompare = now.Add(n.jittered(interval))
	if partner := n.pick(n.comparePartners(), nil); partner != nil {
		n.sendDigest(partner.Address, nil)
	}
}

// comparePartners returns whom to compare with: seven times in ten the own zone, twice the region, once anybody.
func (n *Node) comparePartners() span {
	switch draw := n.random.IntN(10); {
	case draw < 7:
		return n.near()
	case draw < 9:
		region := n.table.regionSpan(n.self.Meta.Region)
		if region.size() > 1 {
			return region
		}
	}
	return n.everywhere()
}

func (n *Node) sendDigest(to string, states []*swimpb.State) {
	n.datagram(to, &swimpb.Message{
		Type:   swimpb.Type_TYPE_DIGEST,
		Digest: n.table.digest,
		States: states,
	})
}

// onDigest starts an exchange when the other knows something else.
func (n *Node) onDigest(from string, message *swimpb.Message) {
	if message.GetDigest() == n.table.digest || n.self.Status == Left {
		return
	}
	n.message(from, &swimpb.Message{Type: swimpb.Type_TYPE_SUMMARY, Summary: n.summary()})
}

// onStates ends the join, and answers with the states that were asked for.
func (n *Node) onStates(from string, message *swimpb.Message) {
	n.joined = true
	if states := n.wantedStates(message.GetWanted()); len(states) > 0 {
		n.message(from, &swimpb.Message{Type: swimpb.Type_TYPE_STATES, States: states})
	}
}

// wantSync compares with a process that turned up unexpectedly, at a bounded rate.
func (n *Node) wantSync(now time.Time, address string) {
	if now.Before(n.nextAnswerSync) {
		return
	}
	n.nextAnswerSync = now.Add(answerSyncPause)
	n.sendDigest(address, []*swimpb.State{encodeMember(n.self.Member, "", true)})
}

// introduce tells a process that does not know this one who it is.
func (n *Node) introduce(now time.Time, address string) {
	n.wantSync(now, address)
}

// contactStranger pings one of the dead, or asks a seed that is no member, so that halves that were cut apart meet again.
func (n *Node) contactStranger(now time.Time) {
	if now.Before(n.nextStranger) {
		return
	}
	pause := n.timing.random * time.Duration(max(1, len(n.table.ring)/strangerScale))
	n.nextStranger = now.Add(n.jittered(pause))
	seed := n.absentSeed()
	if seed != "" && (len(n.table.graves) == 0 || n.random.IntN(2) == 0) {
		n.sendJoin(seed)
		return
	}
	if len(n.table.graves) == 0 {
		return
	}
	gone := n.table.graves[n.random.IntN(len(n.table.graves))]
	if holder := n.table.byAddress[gone.Address]; gone.Status == Dead && holder == gone {
		n.ping(gone, nil, n.riding)
	}
}

// absentSeed returns a seed by chance if no live member has its address.
func (n *Node) absentSeed() string {
	if len(n.seeds) == 0 {
		return ""
	}
	seed := n.seeds[n.random.IntN(len(n.seeds))]
	if n.isLiveAt(seed) {
		return ""
	}
	return seed
}

// trim cuts states off so that they fit into a datagram.
func trim(states []*swimpb.State) []*swimpb.State {
	room := updateBytes
	for index, state := range states {
		room -= proto.Size(state) + stateOverhead
		if room < 0 && index > 0 {
			return states[:index]
		}
	}
	return states
}
