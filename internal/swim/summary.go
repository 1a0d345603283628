package swim

import (
	"hash/fnv"

	"wallflow/internal/swim/swimpb"
)

// statusBits is the number of low bits of a version that hold the status.
const statusBits = 2

// summaryKey returns the 64-bit hash that identifies a name in summaries.
func summaryKey(name string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum64()
}

// summaryVersion encodes incarnation and status of a member so that a higher version supersedes a lower one.
func summaryVersion(member Member) uint64 {
	return member.Incarnation<<statusBits | uint64(member.Status)
}

// isLiveVersion reports whether a version has the status of a live member.
func isLiveVersion(version uint64) bool { return Status(version & (1<<statusBits - 1)).live() }

// knownPeers returns all known members, including the dead and those that left. This process comes first.
func (n *Node) knownPeers() []*peer {
	all := make([]*peer, 0, len(n.table.ring)+len(n.table.tombstones)+1)
	all = append(all, n.self)
	for _, live := range n.table.ring {
		if live != n.self {
			all = append(all, live)
		}
	}
	return append(all, n.table.tombstones...)
}

// buildSummary lists the keys and versions of all known members.
func (n *Node) buildSummary() *swimpb.Summary {
	listed := n.knownPeers()
	summary := &swimpb.Summary{
		Keys:     make([]uint64, 0, len(listed)),
		Versions: make([]uint64, 0, len(listed)),
	}
	for _, member := range listed {
		summary.Keys = append(summary.Keys, summaryKey(member.Name))
		summary.Versions = append(summary.Versions, summaryVersion(member.Member))
	}
	return summary
}

// onSummary answers a summary with the states that are newer here, and requests those that are newer at the sender.
func (n *Node) onSummary(from string, message *swimpb.Message) {
	summary := message.GetSummary()
	if len(summary.GetKeys()) != len(summary.GetVersions()) || n.self.Status == Left {
		return
	}
	remoteVersions := make(map[uint64]uint64, len(summary.GetKeys()))
	for index, key := range summary.GetKeys() {
		remoteVersions[key] = summary.GetVersions()[index]
	}
	answer := &swimpb.Message{Type: swimpb.Type_TYPE_STATES}
	for _, local := range n.knownPeers() {
		key, version := summaryKey(local.Name), summaryVersion(local.Member)
		remoteVersion, listed := remoteVersions[key]
		delete(remoteVersions, key)
		switch {
		case listed && remoteVersion > version:
			answer.Wanted = append(answer.Wanted, key)
		case listed && remoteVersion < version, !listed && local.Status.live():
			answer.States = append(answer.States, n.fullState(local))
		}
	}
	answer.Wanted = append(answer.Wanted, unknownLiveKeys(summary, remoteVersions)...)
	if len(answer.States) > 0 || len(answer.Wanted) > 0 {
		n.message(from, answer)
	}
}

// unknownLiveKeys returns, in the order of the summary, the keys in unmatched that belong to live members. Unknown
// members that are dead or have left are not needed.
func unknownLiveKeys(summary *swimpb.Summary, unmatched map[uint64]uint64) []uint64 {
	var live []uint64
	for _, key := range summary.GetKeys() {
		if version, isUnmatched := unmatched[key]; isUnmatched && isLiveVersion(version) {
			live = append(live, key)
		}
	}
	return live
}

// statesFor returns the states of the members with the given keys.
func (n *Node) statesFor(wanted []uint64) []*swimpb.State {
	if len(wanted) == 0 {
		return nil
	}
	requested := make(map[uint64]bool, len(wanted))
	for _, key := range wanted {
		requested[key] = true
	}
	var states []*swimpb.State
	for _, local := range n.knownPeers() {
		if requested[summaryKey(local.Name)] {
			states = append(states, n.fullState(local))
		}
	}
	return states
}

// fullState returns the state of a member as it is sent in a full exchange.
func (n *Node) fullState(described *peer) *swimpb.State {
	return encodeMember(described.Member, described.firstAccuser(), described.Status.live())
}
