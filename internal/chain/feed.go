package chain

import (
	"maps"
	"slices"
	"time"

	"wallflow/internal/chain/chainpb"
)

// feed is the state of the replication to processes outside the chain. The tail sends committed entries to them, its
// followers.
type feed struct {
	followers         map[Identity]*follower // tail: by identity
	lastFetchAt       time.Time              // when this node last sent a fetch
	lastJoinRequestAt time.Time              // when this node last sent a join request
}

// follower is a process outside the chain to which the tail sends committed entries.
type follower struct {
	address       string
	lastContact   time.Time
	lastToken     uint64 // probe number of its newest fetch
	sentPosition  uint64 // up to which entries were sent
	positionKnown bool   // sentPosition comes from a fetch of the follower
}

// sortedFollowers returns the followers in ascending order, for deterministic runs.
func (f *feed) sortedFollowers() []Identity { return slices.Sorted(maps.Keys(f.followers)) }

func newFeed() feed { return feed{followers: make(map[Identity]*follower)} }

// tickFeed updates the followers at the tail: processes outside the chain that are alive or sent a fetch recently.
func (n *Node) tickFeed() {
	if !n.isTail() {
		clear(n.feed.followers)
		return
	}
	for identity, member := range n.membership.alive {
		if identity != n.self.Identity && n.view.ChainIndex(identity) < 0 {
			n.addFollower(identity, member.Address)
		}
	}
	for identity, f := range n.feed.followers {
		if n.view.ChainIndex(identity) >= 0 || n.now.Sub(f.lastContact) > followerTimeout {
			delete(n.feed.followers, identity)
		}
	}
}

// addFollower adds a follower or renews its address and last contact.
func (n *Node) addFollower(identity Identity, address string) *follower {
	f, known := n.feed.followers[identity]
	if !known {
		f = &follower{}
		n.feed.followers[identity] = f
	}
	f.address, f.lastContact = address, n.now
	return f
}

// feedNewEntries sends newly committed entries to the followers that have all previous ones.
func (n *Node) feedNewEntries() {
	for _, identity := range n.feed.sortedFollowers() {
		f := n.feed.followers[identity]
		if f.positionKnown && f.sentPosition < n.log.committed && n.log.holdsAllAfter(f.sentPosition) {
			n.feedEntries(identity, f, f.sentPosition)
		}
	}
}

// feedDigests sends every follower the committed position without entries, so that it notices missing ones.
func (n *Node) feedDigests() {
	for _, identity := range n.feed.sortedFollowers() {
		f := n.feed.followers[identity]
		n.feedEntries(identity, f, n.log.committed)
	}
}

// feedEntries sends the committed entries after a position.
func (n *Node) feedEntries(identity Identity, to *follower, after uint64) {
	epoch, _ := n.log.epochAt(after)
	n.sendFeed(identity, to, &chainpb.Feed{
		PreviousEpoch:    epoch,
		PreviousPosition: after,
		Entries:          n.log.entriesBetween(after, n.log.committed),
	})
}

// sendFeed sends a feed with the committed position, the token of the newest fetch, and whether the epoch is confirmed
// at the tail.
func (n *Node) sendFeed(identity Identity, to *follower, message *chainpb.Feed) {
	message.Committed = n.log.committed
	message.Confirmed = n.Fresh(n.now)
	message.Token = to.lastToken
	if len(message.Entries) > 0 || message.Snapshot != nil {
		to.sentPosition = n.log.committed
	}
	n.sendTo(to.address, identity, &chainpb.Message{Body: &chainpb.Message_Feed{Feed: message}})
}

// canFeed reports whether the node is the tail of a chain that has installed its epoch. Only such a tail has every
// answered command.
func (n *Node) canFeed() bool {
	return n.isTail() && n.canServe() && n.durableInstalledEpoch == n.view.Epoch
}

// receiveFetch sends a process outside the chain the entries that it is missing, or a snapshot.
func (n *Node) receiveFetch(sender Identity, fetch *chainpb.Fetch) {
	if !n.canFeed() || n.view.ChainIndex(sender) >= 0 {
		return
	}
	f := n.addFollower(sender, n.addressOf(sender))
	f.positionKnown = true
	f.lastToken = fetch.Token
	keep, found := n.commonPosition(fetch.LastEpoch, fetch.LastPosition, fetch.Committed)
	if found {
		f.sentPosition = min(keep, n.log.committed)
		n.feedEntries(sender, f, f.sentPosition)
		return
	}
	snapshot := n.snapshot()
	n.counters.Snapshots++
	n.sendFeed(sender, f, &chainpb.Feed{
		PreviousEpoch:    snapshot.Epoch,
		PreviousPosition: snapshot.Position,
		Snapshot:         snapshot,
	})
}

// fetch requests missing entries from the tail.
func (n *Node) fetch(tail Identity) {
	if tail == "" || n.inChain() || n.now.Sub(n.feed.lastFetchAt) < noticeInterval {
		return
	}
	n.feed.lastFetchAt = n.now
	n.send(tail, &chainpb.Message{Body: &chainpb.Message_Fetch{Fetch: &chainpb.Fetch{
		LastEpoch:    n.log.lastEpoch(),
		LastPosition: n.log.lastPosition(),
		Committed:    n.log.committed,
		Member:       memberToWire(n.self),
		Token:        n.probes.start(n.now),
	}}})
}

// tickFetch makes a process outside the chain send a fetch at regular intervals, because only the response to one
// proves that its epoch is in force.
func (n *Node) tickFetch() {
	if n.view.Epoch > 0 && n.now.Sub(n.feed.lastFetchAt) >= heartbeatInterval {
		n.fetch(n.view.Tail())
	}
}

// receiveFeed appends entries committed by the tail. A chain member ignores them, since it gets its entries from its
// predecessor.
func (n *Node) receiveFeed(sender Identity, epoch uint64, message *chainpb.Feed) {
	if n.inChain() || n.journal.failed {
		return
	}
	if message.Snapshot != nil && !n.applySnapshot(sender, message.Snapshot) {
		return
	}
	if !n.logMatches(message.PreviousEpoch, message.PreviousPosition) {
		n.fetch(sender)
		return
	}
	n.appendCommittedEntries(message.PreviousPosition, message.Entries)
	verified := message.PreviousPosition + uint64(len(message.Entries))
	n.commit(min(message.Committed, verified))
	n.confirmByFeed(epoch, message)
}

// confirmByFeed treats a feed as the response to a fetch if everything committed by the tail is present here. The
// confirmation of the tail may be up to confirmationValidity old, so a process outside the chain may consider an ended
// epoch confirmed for twice that time.
func (n *Node) confirmByFeed(epoch uint64, message *chainpb.Feed) {
	if !message.Confirmed || epoch != n.view.Epoch || n.log.committed < message.Committed {
		return
	}
	n.confirmProbe(message.Token)
}

// applySnapshot replaces the log with a snapshot unless the log already matches it: its later entries may have been
// answered in a newer epoch. It returns false if the snapshot cannot be used.
func (n *Node) applySnapshot(sender Identity, snapshot *chainpb.Snapshot) bool {
	if n.logMatches(snapshot.Epoch, snapshot.Position) {
		return true
	}
	if err := n.resetLog(snapshot); err != nil {
		n.logf("installing the snapshot from %s: %v", sender, err)
		return false
	}
	n.syncedPosition = 0
	n.output.CommittedChanged = true
	n.persist(effect{position: snapshot.Position, generation: n.generation}, encodeRecord(RecordSnapshot, snapshot))
	n.answerReads()
	return true
}

// logMatches reports whether this log equals another one up to a position, given the epoch of the entry there.
func (n *Node) logMatches(epoch, position uint64) bool {
	if position <= n.log.committed {
		return true
	}
	entryEpoch, found := n.log.epochAt(position)
	return found && entryEpoch == epoch
}

// appendCommittedEntries appends committed entries after a position up to which the logs are equal. It replaces
// differing entries.
func (n *Node) appendCommittedEntries(previous uint64, entries []*chainpb.Entry) {
	for index, entry := range entries {
		if entry.Position <= n.log.committed {
			continue
		}
		if epoch, retained := n.log.epochAt(entry.Position); retained && epoch == entry.Epoch {
			continue
		}
		if n.log.lastPosition() >= entry.Position {
			n.log.truncate(entry.Position - 1)
			n.generation++
			n.syncedPosition = min(n.syncedPosition, entry.Position-1)
		}
		for _, missing := range entries[index:] {
			n.log.append(missing)
		}
		n.persistEntries(entries[index:])
		return
	}
}
