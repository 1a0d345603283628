package swim

import "time"

// maxContactPicks bounds how many members are drawn for each probe, to find one in the given zones.
const maxContactPicks = 8

// CheckContact probes up to count random live members in the given zones, beside the scheduled probes. Their answers count for LastContact.
func (n *Node) CheckContact(now time.Time, zones map[string]bool, count int) Output {
	n.now = now
	probed := 0
	for range maxContactPicks * count {
		if probed == count {
			break
		}
		target := n.pickRandom(n.wholeRing(), nil)
		if target != nil && zones[target.Meta.Zone] {
			n.startProbe(now, probeRequest{target: target}, true)
			probed++
		}
	}
	return n.takeOutput()
}

// LastContact returns when a live member in one of the given zones last answered this process or sent it a message over a connection; zero:
// never.
func (n *Node) LastContact(zones map[string]bool) time.Time {
	var latest time.Time
	for _, member := range n.table.ring {
		if zones[member.Meta.Zone] && member.lastContact.After(latest) {
			latest = member.lastContact
		}
	}
	return latest
}
