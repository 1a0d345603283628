package swim

import (
	"hash/fnv"

	"wallflow/internal/swim/swimpb"
)

// statusBits is the room of the status in a version.
const statusBits = 2

// keyOf is the short form of a name in summaries.
func keyOf(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}

// versionOf orders what is believed of one member: the higher version supersedes the lower one.
func versionOf(member Member) uint64 { return member.Incarnation<<statusBits | uint64(member.Status) }

// isLiveVersion reports whether a version tells of a member that runs.
func isLiveVersion(version uint64) bool { return Status(version & (1<<statusBits - 1)).live() }

// everybody returns all members that this process knows, itself first.
func (n *Node) everybody() []*peer {
	all := make([]*peer, 0, len(n.table.ring)+len(n.table.graves)+1)
	all = append(all, n.self)
	for _, live := range n.table.ring {
		if live != n.self {
			all = append(all, live)
		}
	}
	return append(all, n.table.graves...)
}

// summary names all members that are known, with their versions.
func (n *Node) summary() *swimpb.Summary {
	listed := n.everybody()
	summary := &swimpb.Summary{
		Keys:     make([]uint64, 0, len(listed)),
		Versions: make([]uint64, 0, len(listed)),
	}
	for _, member := range listed {
		summary.Keys = append(summary.Keys, keyOf(member.Name))
		summary.Versions = append(summary.Versions, versionOf(member.Member))
	}
	return summary
}

// onSummary answers with what this process knows better, and asks for what the other knows better.
func (n *Node) onSummary(from string, message *swimpb.Message) {
	told := message.GetSummary()
	if len(told.GetKeys()) != len(told.GetVersions()) || n.self.Status == Left {
		return
	}
	theirs := make(map[uint64]uint64, len(told.GetKeys()))
	for index, key := range told.GetKeys() {
		theirs[key] = told.GetVersions()[index]
	}
	answer := &swimpb.Message{Type: swimpb.Type_TYPE_STATES}
	for _, mine := range n.everybody() {
		key, version := keyOf(mine.Name), versionOf(mine.Member)
		their, listed := theirs[key]
		delete(theirs, key)
		switch {
		case listed && their > version:
			answer.Wanted = append(answer.Wanted, key)
		case listed && their < version, !listed && mine.Status.live():
			answer.States = append(answer.States, n.fullState(mine))
		}
	}
	answer.Wanted = append(answer.Wanted, strangers(told, theirs)...)
	if len(answer.States) > 0 || len(answer.Wanted) > 0 {
		n.message(from, answer)
	}
}

// strangers lists the live members of a summary that are left once the known ones are taken out, in its order. Who is dead and
// unknown need not be known.
func strangers(told *swimpb.Summary, left map[uint64]uint64) []uint64 {
	var live []uint64
	for _, key := range told.GetKeys() {
		if version, isLeft := left[key]; isLeft && isLiveVersion(version) {
			live = append(live, key)
		}
	}
	return live
}

// wantedStates returns the states of the members that another process asked for.
func (n *Node) wantedStates(wanted []uint64) []*swimpb.State {
	if len(wanted) == 0 {
		return nil
	}
	asked := make(map[uint64]bool, len(wanted))
	for _, key := range wanted {
		asked[key] = true
	}
	var states []*swimpb.State
	for _, mine := range n.everybody() {
		if asked[keyOf(mine.Name)] {
			states = append(states, n.fullState(mine))
		}
	}
	return states
}

// fullState is what a full exchange tells of a member.
func (n *Node) fullState(told *peer) *swimpb.State {
	return encodeMember(told.Member, told.accuser(), told.Status.live())
}
