package registry

import (
	"maps"
	"slices"
	"time"

	"wallflow/internal/distribution/feedpb"
)

// Peer is another control process that is reachable.
type Peer struct {
	Name string // internal address
	Zone string
}

// peer is the state kept about another control process.
type peer struct {
	name             string
	zone             string
	reachable        bool   // member of the list last passed to SetPeers
	runID            uint64 // random ID of the run of the process, from its last message
	lastDigestAt     time.Time
	digestMismatches int // consecutive digests of the peer that differed from this table
	greetings        int // number of times that this run of the process was told of all departures
}

// setRun records the run of the process that sent a message.
func (p *peer) setRun(runID uint64) {
	if p.runID != runID {
		p.runID, p.greetings = runID, 0
	}
}

// replicaState is the state of a departing instance that another process is known to hold. A process loses it when it
// restarts.
type replicaState struct {
	runID    uint64 // run of the process in which it acknowledged the state
	reported State
}

// hasPeerInOtherZone reports whether a control process of another zone is reachable.
func (t *Table) hasPeerInOtherZone() bool {
	for _, other := range t.peers {
		if other.reachable && other.zone != t.options.Zone {
			return true
		}
	}
	return false
}

func (t *Table) peerByName(name string) *peer {
	known := t.peers[name]
	if known == nil {
		known = &peer{name: name}
		t.peers[name] = known
	}
	return known
}

// SetPeers sets the other control processes that are reachable now, and the electorate: the internal addresses of the
// control processes of which a majority decides. The electorate includes this process if it is a voter.
func (t *Table) SetPeers(peers []Peer, electorate []string) {
	t.electorate = electorate
	for _, known := range t.peers {
		known.reachable = false
	}
	for _, listed := range peers {
		if listed.Name == t.options.Self {
			continue
		}
		known := t.peerByName(listed.Name)
		known.zone = listed.Zone
		known.reachable = true
	}
	t.updateAllCommitted()
}

// Replica is a change that is being replicated to the other control processes.
type Replica struct {
	ID        uint64
	Message   *feedpb.RegistryMessage // to be sent to each of these processes
	Committed bool                    // the change is committed already and may be acknowledged to the endpoint at once
}

// replica is the state kept about a change that is being replicated.
type replica struct {
	instanceIDs    []string
	reported       []State // state of each instance when the change was created
	createdAt      time.Time
	sentAt         time.Time
	acknowledgedBy map[string]bool // names of the peers that hold the change
	committed      bool
}

// Replicate returns the message that replicates changes to the other control processes. A change is committed once a
// majority of the electorate holds it, departures on disk, and, if a control process of another zone is reachable,
// one in another zone does; see TakeCommitted. Whichever side of a network partition has a majority, one of its processes then
// holds the change and replicates it to the others. Tick resends it to the processes that did not acknowledge it.
func (t *Table) Replicate(now time.Time, changes ...Change) Replica {
	t.nextReplica++
	added := &replica{createdAt: now, sentAt: now, acknowledgedBy: make(map[string]bool)}
	for _, change := range changes {
		added.instanceIDs = append(added.instanceIDs, change.Instance.ID)
		added.reported = append(added.reported, change.Instance.Reported)
	}
	id := t.nextReplica
	t.replicas[id] = added
	added.committed = t.isQuorum(t.holds(added), added.isAcknowledgedBy)
	return Replica{ID: id, Message: t.replicaMessage(now, id, added), Committed: added.committed}
}

// IsCommitted reports whether a change is committed. It returns false for changes that are forgotten: those that all
// reachable processes acknowledged, and those older than Options.ResendTimeout.
func (t *Table) IsCommitted(id uint64) bool {
	known, exists := t.replicas[id]
	return exists && known.committed
}

// TakeCommitted returns the IDs of the changes that were committed since the last call.
func (t *Table) TakeCommitted() []uint64 {
	taken := t.newlyCommitted
	t.newlyCommitted = nil
	return taken
}

// replicaMessage returns the message that replicates a change, with the current state of its instances.
func (t *Table) replicaMessage(now time.Time, id uint64, pending *replica) *feedpb.RegistryMessage {
	message := t.newMessage()
	message.Delta = id
	for _, instanceID := range pending.instanceIDs {
		if known := t.records[instanceID]; known != nil {
			message.Instances = append(message.Instances, t.toWire(now, known))
		}
	}
	return message
}

// applyAcknowledgement records that a peer holds a change.
func (t *Table) applyAcknowledgement(sender *peer, acknowledgement *feedpb.Acknowledgement) {
	if acknowledgement == nil || acknowledgement.GetLife() != t.options.RunID {
		return
	}
	id := acknowledgement.GetDelta()
	known := t.replicas[id]
	if known == nil {
		return
	}
	known.acknowledgedBy[sender.name] = true
	for index, instanceID := range known.instanceIDs {
		if instance := t.records[instanceID]; instance != nil {
			t.recordReplica(instance, sender, known.reported[index])
		}
	}
	t.updateCommitted(id, known)
}

// updateAllCommitted checks every pending change again after the reachable peers, or the contact to the majority,
// changed.
func (t *Table) updateAllCommitted() {
	for id, known := range t.replicas {
		t.updateCommitted(id, known)
	}
}

func (t *Table) updateCommitted(id uint64, known *replica) {
	if known.committed {
		return
	}
	if !t.isQuorum(t.holds(known), known.isAcknowledgedBy) {
		return
	}
	known.committed = true
	t.newlyCommitted = append(t.newlyCommitted, id)
}

// isAcknowledgedBy reports whether a peer has acknowledged the change.
func (r *replica) isAcknowledgedBy(other *peer) bool { return r.acknowledgedBy[other.name] }

// holds reports whether this process holds the change, which for departures means on disk.
func (t *Table) holds(change *replica) bool {
	for index, id := range change.instanceIDs {
		known := t.records[id]
		if known != nil && stateRank(known.savedState) < stateRank(change.reported[index]) {
			return false
		}
	}
	return true
}

// isQuorum reports whether the copies at this process, if selfHolds is true, and at the peers for which holdsCopy is
// true survive a network partition and the loss of this zone.
func (t *Table) isQuorum(selfHolds bool, holdsCopy func(*peer) bool) bool {
	copies, inOtherZone := 0, false
	for _, name := range t.electorate {
		if name == t.options.Self {
			if selfHolds {
				copies++
			}
			continue
		}
		other := t.peers[name]
		if other == nil || !other.reachable || !holdsCopy(other) {
			continue
		}
		copies++
		inOtherZone = inOtherZone || other.zone != t.options.Zone
	}
	switch {
	case len(t.electorate) == 0 || copies <= len(t.electorate)/2:
		return false
	case len(t.electorate) == 1:
		return t.majorityReachable
	}
	return inOtherZone || !t.hasPeerInOtherZone()
}

// recordReplica records that a peer holds the reported state of an instance that is draining or gone. Within one run
// of the peer the state only advances.
func (t *Table) recordReplica(known *record, holder *peer, reported State) {
	if stateRank(reported) == stateRank(StateReady) {
		return
	}
	if known.replicatedTo == nil {
		known.replicatedTo = make(map[string]replicaState)
	}
	before := known.replicatedTo[holder.name]
	if before.runID == holder.runID {
		reported = FurthestState(before.reported, reported)
	}
	known.replicatedTo[holder.name] = replicaState{runID: holder.runID, reported: reported}
}

// needsReplica reports whether the instance is departing and too few processes are known to hold its state.
func (t *Table) needsReplica(known *record) bool {
	if stateRank(known.Reported) == stateRank(StateReady) {
		return false
	}
	selfHolds := stateRank(known.savedState) >= stateRank(known.Reported)
	return !t.isQuorum(selfHolds, func(other *peer) bool {
		replicated := known.replicatedTo[other.name]
		return replicated.runID == other.runID && stateRank(replicated.reported) >= stateRank(known.Reported)
	})
}

// resendUnacknowledged returns the messages that resend changes to peers that have not acknowledged them. It forgets
// changes that all peers hold or that reached the resend timeout.
func (t *Table) resendUnacknowledged(now time.Time) []Send {
	var sends []Send
	for _, id := range slices.Sorted(maps.Keys(t.replicas)) {
		pending := t.replicas[id]
		if now.Sub(pending.createdAt) >= t.options.ResendTimeout {
			delete(t.replicas, id)
			continue
		}
		if now.Sub(pending.sentAt) < t.options.ResendInterval {
			continue
		}
		pending.sentAt = now
		recipients := t.unacknowledgedPeers(pending)
		if len(recipients) == 0 && pending.committed {
			delete(t.replicas, id)
			continue
		}
		message := t.replicaMessage(now, id, pending)
		for _, name := range recipients {
			sends = append(sends, Send{To: name, Message: message})
		}
	}
	return sends
}

// unacknowledgedPeers returns the names of the reachable peers that have not acknowledged a change, sorted.
func (t *Table) unacknowledgedPeers(pending *replica) []string {
	var names []string
	for name, other := range t.peers {
		if other.reachable && !pending.acknowledgedBy[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
