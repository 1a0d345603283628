package openings

import "time"

// decide moves the openings that this relay owns, and renews its decisions.
func (n *Node) decide(now time.Time) (changed bool) {
	snapshot := n.picture.Snapshot(now)
	loads := n.loads(&snapshot)
	inPicture := make(map[Key]bool, len(snapshot.Entries))
	for index := range snapshot.Entries {
		entry := &snapshot.Entries[index]
		inPicture[entry.Key] = true
		if len(entry.Shares) == 0 && entry.Rate < n.options.Placement.LeastRate {
			continue
		}
		owner := n.topology.owner(entry.Key) == n.options.Self.Region
		if !owner && n.options.mistake != mistakeTwoOwners {
			continue
		}
		if shares, due := n.planner.next(now, entry, loads); due {
			changed = n.move(now, entry.Key, shares) || changed
			continue
		}
		n.renew(now, entry.Key)
	}
	n.planner.keep(now, func(key Key) bool { return inPicture[key] })
	return changed
}

// loads is the rate that the decisions bring to each region.
func (n *Node) loads(snapshot *Snapshot) map[string]float64 {
	loads := make(map[string]float64)
	for _, entry := range snapshot.Entries {
		if len(entry.Shares) > 0 {
			loads[entry.Shares[0].Region] += entry.Rate
		}
	}
	return loads
}

// move decides anew, under a token higher than the last.
func (n *Node) move(now time.Time, key Key, shares []Share) bool {
	if n.topology.owner(key) != n.options.Self.Region || !n.topology.isRegionHome() {
		n.faults.UnfencedMoves++
	}
	token := uint64(1)
	if known := n.picture.decisions.byKey[key]; known != nil {
		token = known.Token + 1
	}
	decision := Decision{Key: key, Token: token, Owner: n.options.Self.Name, Shares: shares, AsOf: now}
	return n.picture.decisions.take(decision)
}

// renew keeps a decision from being forgotten. That of a former owner becomes this relay's own. One that has ended is let go.
func (n *Node) renew(now time.Time, key Key) {
	known := n.picture.decisions.byKey[key]
	if known == nil || len(known.Shares) == 0 {
		return
	}
	if known.Owner == n.options.Self.Name {
		known.AsOf = now
		return
	}
	n.move(now, key, known.Shares)
}
