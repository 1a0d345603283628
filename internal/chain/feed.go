package chain

import (
	"maps"
	"slices"
	"time"

	"wallflow/internal/chain/chainpb"
)

// feed is the tail's knowledge of the processes outside the chain, and a learner's of the tail.
type feed struct {
	followers       map[Identity]*follower
	fetchedAt       time.Time
	joinRequestedAt time.Time
}

// follower is a process that gets committed entries.
type follower struct {
	address  string
	heardAt  time.Time
	token    uint64 // of its newest question
	position uint64 // up to which entries were sent
	known    bool   // the position is the follower's own, or was sent since
}

// inOrder are the followers in a fixed order.
func (f *feed) inOrder() []Identity { return slices.Sorted(maps.Keys(f.followers)) }

func newFeed() feed { return feed{followers: make(map[Identity]*follower)} }

// tickFeed keeps the list of followers: who is alive outside the chain, or asked lately.
func (n *Node) tickFeed() {
	if !n.isTail() {
		clear(n.feed.followers)
		return
	}
	for identity, member := range n.membership.alive {
		if identity != n.self.Identity && n.view.Place(identity) < 0 {
			n.follow(identity, member.Address)
		}
	}
	for identity, each := range n.feed.followers {
		if n.view.Place(identity) >= 0 || n.now.Sub(each.heardAt) > followerForget {
			delete(n.feed.followers, identity)
		}
	}
}

func (n *Node) follow(identity Identity, address string) *follower {
	each, known := n.feed.followers[identity]
	if !known {
		each = &follower{}
		n.feed.followers[identity] = each
	}
	each.address, each.heardAt = address, n.now
	return each
}

// feedFollowers sends newly committed entries to those who hold the ones before.
func (n *Node) feedFollowers() {
	for _, identity := range n.feed.inOrder() {
		each := n.feed.followers[identity]
		if each.known && each.position < n.log.committed && n.log.holds(each.position) {
			n.feedEntries(identity, each, each.position)
		}
	}
}

// feedDigests tells every follower what is committed, so that it notices a gap.
func (n *Node) feedDigests() {
	for _, identity := range n.feed.inOrder() {
		each := n.feed.followers[identity]
		n.feedEntries(identity, each, n.log.committed)
	}
}

// feedEntries sends the committed entries behind a position.
func (n *Node) feedEntries(identity Identity, to *follower, after uint64) {
	epoch, _ := n.log.epochAt(after)
	n.sendFeed(identity, to, &chainpb.Feed{
		PreviousEpoch:    epoch,
		PreviousPosition: after,
		Entries:          n.log.between(after, n.log.committed),
	})
}

func (n *Node) sendFeed(identity Identity, to *follower, message *chainpb.Feed) {
	message.Committed = n.log.committed
	message.Confirmed = n.Fresh(n.now)
	message.Token = to.token
	if len(message.Entries) > 0 || message.Snapshot != nil {
		to.position = n.log.committed
	}
	n.sendTo(to.address, identity, &chainpb.Message{Body: &chainpb.Message_Feed{Feed: message}})
}

// mayFeed tells whether the node is the tail of a chain that is installed. Only then it knows whatever was answered before.
func (n *Node) mayFeed() bool {
	return n.isTail() && n.serving() && n.durableInstalled == n.view.Epoch
}

// receiveFetch answers a process that is missing entries.
func (n *Node) receiveFetch(sender Identity, fetch *chainpb.Fetch) {
	if !n.mayFeed() || n.view.Place(sender) >= 0 {
		return
	}
	each := n.follow(sender, n.addressOf(sender))
	each.known = true
	each.token = fetch.Token
	after, possible := n.commonPosition(fetch.LastEpoch, fetch.LastPosition, fetch.Committed)
	if possible {
		each.position = min(after, n.log.committed)
		n.feedEntries(sender, each, each.position)
		return
	}
	snapshot := n.snapshot()
	n.counters.Snapshots++
	n.sendFeed(sender, each, &chainpb.Feed{
		PreviousEpoch:    snapshot.Epoch,
		PreviousPosition: snapshot.Position,
		Snapshot:         snapshot,
	})
}

// fetch asks the tail for what is missing.
func (n *Node) fetch(tail Identity) {
	if tail == "" || n.inChain() || n.now.Sub(n.feed.fetchedAt) < noticeInterval {
		return
	}
	n.feed.fetchedAt = n.now
	n.send(tail, &chainpb.Message{Body: &chainpb.Message_Fetch{Fetch: &chainpb.Fetch{
		LastEpoch:    n.log.lastEpoch(),
		LastPosition: n.log.lastPosition(),
		Committed:    n.log.committed,
		Member:       memberToWire(n.self),
		Token:        n.questions.ask(n.now),
	}}})
}

// tickQuestions has a process outside the chain ask the tail from time to time: only an answer proves that its epoch is in force.
func (n *Node) tickQuestions() {
	if n.view.Epoch > 0 && n.now.Sub(n.feed.fetchedAt) >= heartbeatInterval {
		n.fetch(n.view.Tail())
	}
}

// receiveFeed follows the committed entries. A member of the chain gets its entries from its predecessor alone.
func (n *Node) receiveFeed(sender Identity, epoch uint64, message *chainpb.Feed) {
	if n.inChain() || n.journal.failed {
		return
	}
	if message.Snapshot != nil && !n.takeSnapshot(sender, message.Snapshot) {
		return
	}
	if !n.matches(message.PreviousEpoch, message.PreviousPosition) {
		n.fetch(sender)
		return
	}
	n.followEntries(message.PreviousPosition, message.Entries)
	verified := message.PreviousPosition + uint64(len(message.Entries))
	n.commit(min(message.Committed, verified))
	n.confirmByFeed(epoch, message)
}

// confirmByFeed takes the tail's answer to a question, if all that the tail has committed is here. The tail's own confirmation may be
// as old as it holds, so that a process outside the chain may count an epoch that is over as confirmed for twice that time.
func (n *Node) confirmByFeed(epoch uint64, message *chainpb.Feed) {
	if !message.Confirmed || epoch != n.view.Epoch || n.log.committed < message.Committed {
		return
	}
	n.confirm(message.Token)
}

// takeSnapshot replaces the log, unless that holds as much: what follows in it may have been answered in a newer epoch.
func (n *Node) takeSnapshot(sender Identity, snapshot *chainpb.Snapshot) bool {
	if n.matches(snapshot.Epoch, snapshot.Position) {
		return true
	}
	if err := n.resetLog(snapshot); err != nil {
		n.logf("snapshot from %s: %v", sender, err)
		return false
	}
	n.synced = 0
	n.out.Committed = true
	n.persist(effect{position: snapshot.Position, generation: n.generation}, encodeRecord(RecordSnapshot, snapshot))
	n.answerReads()
	return true
}

// matches tells whether the log is the same as another one up to a position.
func (n *Node) matches(epoch, position uint64) bool {
	if position <= n.log.committed {
		return true
	}
	held, found := n.log.epochAt(position)
	return found && held == epoch
}

// followEntries takes committed entries behind a position up to which the logs are the same.
func (n *Node) followEntries(previous uint64, entries []*chainpb.Entry) {
	for index, entry := range entries {
		if entry.Position <= n.log.committed {
			continue
		}
		if epoch, held := n.log.epochAt(entry.Position); held && epoch == entry.Epoch {
			continue
		}
		if n.log.lastPosition() >= entry.Position {
			n.log.truncate(entry.Position - 1)
			n.generation++
			n.synced = min(n.synced, entry.Position-1)
		}
		for _, fresh := range entries[index:] {
			n.log.append(fresh)
		}
		n.persistEntries(entries[index:])
		return
	}
}
