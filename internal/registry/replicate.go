package registry

import (
	"maps"
	"slices"
	"time"

	"wallflow/internal/distribution/feedpb"
)

// Peer is another control process that is in touch.
type Peer struct {
	Name string // internal address
	Zone string
}

// peer is what the table knows of another control process.
type peer struct {
	name       string
	zone       string
	live       bool   // in touch
	life       uint64 // random number of the life of the process that it last told
	digestAt   time.Time
	mismatches int // digests in a row that differed from the own table
}

// holding is what another process is known to have of an instance that leaves. A process that starts again has lost it.
type holding struct {
	life     uint64 // of that process
	reported State
}

// hasPeerElsewhere says whether a control process of another zone is in touch.
func (t *Table) hasPeerElsewhere() bool {
	for _, other := range t.peers {
		if other.live && other.zone != t.options.Zone {
			return true
		}
	}
	return false
}

func (t *Table) peerNamed(name string) *peer {
	known := t.peers[name]
	if known == nil {
		known = &peer{name: name}
		t.peers[name] = known
	}
	return known
}

// SetPeers tells which other control processes are in touch now, and by their internal addresses which control processes make up the
// electorate, of which a majority decides, this one included if it is one of them.
func (t *Table) SetPeers(peers []Peer, electorate []string) {
	t.electorate = electorate
	for _, known := range t.peers {
		known.live = false
	}
	for _, given := range peers {
		if given.Name == t.options.Self {
			continue
		}
		known := t.peerNamed(given.Name)
		known.zone = given.Zone
		known.live = true
	}
	t.settleReplicas()
}

// Replica is a change on its way to the other control processes.
type Replica struct {
	ID      uint64
	Message *feedpb.RegistryMessage // to be sent to each of them
	Safe    bool                    // there is nothing to wait for: the change may be acknowledged to the endpoint now
}

// replica is what the table remembers of a change on its way.
type replica struct {
	ids       []string
	reported  []State // of each id, when it was sent
	createdAt time.Time
	sentAt    time.Time
	acked     map[string]bool // by name of the peer
	safe      bool
}

// Replicate makes the message by which changes reach the other control processes. A change counts as safe once a majority of the
// electorate has it, this process included, and among them one in another zone if there is one in touch: see TakeSafe. Whichever
// processes a cut leaves with a majority, one of them has the change then and tells the others. Tick sends it again to those that
// did not acknowledge it.
func (t *Table) Replicate(now time.Time, changes ...Change) Replica {
	t.nextReplica++
	added := &replica{createdAt: now, sentAt: now, acked: make(map[string]bool)}
	for _, change := range changes {
		added.ids = append(added.ids, change.Instance.ID)
		added.reported = append(added.reported, change.Instance.Reported)
	}
	id := t.nextReplica
	t.replicas[id] = added
	added.safe = t.suffices(added.hasBeenTaken)
	return Replica{ID: id, Message: t.replicaMessage(now, id, added), Safe: added.safe}
}

// Acked says whether a change is known to be safe. Changes are forgotten once all have them or after a while.
func (t *Table) Acked(id uint64) bool {
	known, exists := t.replicas[id]
	return exists && known.safe
}

// TakeSafe returns the changes that became safe since the last call.
func (t *Table) TakeSafe() []uint64 {
	taken := t.safe
	t.safe = nil
	return taken
}

func (t *Table) replicaMessage(now time.Time, id uint64, sent *replica) *feedpb.RegistryMessage {
	message := t.newMessage()
	message.Delta = id
	for _, instanceID := range sent.ids {
		if known := t.records[instanceID]; known != nil {
			message.Instances = append(message.Instances, t.toWire(now, known))
		}
	}
	return message
}

// takeAcknowledgement notes that a peer has a change.
func (t *Table) takeAcknowledgement(sender *peer, acknowledgement *feedpb.Acknowledgement) {
	if acknowledgement == nil || acknowledgement.GetLife() != t.options.Life {
		return
	}
	id := acknowledgement.GetDelta()
	known := t.replicas[id]
	if known == nil {
		return
	}
	known.acked[sender.name] = true
	for index, instanceID := range known.ids {
		if held := t.records[instanceID]; held != nil {
			t.noteReplica(held, sender, known.reported[index])
		}
	}
	t.settle(id, known)
}

// settleReplicas looks again at every change on its way, after the peers in touch changed.
func (t *Table) settleReplicas() {
	for id, known := range t.replicas {
		t.settle(id, known)
	}
}

func (t *Table) settle(id uint64, known *replica) {
	if known.safe {
		return
	}
	if !t.suffices(known.hasBeenTaken) {
		return
	}
	known.safe = true
	t.safe = append(t.safe, id)
}

// hasBeenTaken says whether a peer has acknowledged the change.
func (r *replica) hasBeenTaken(by *peer) bool { return r.acked[by.name] }

// suffices says whether what the peers for which has is true hold, and this process, outlasts a cut or the loss of this zone.
func (t *Table) suffices(has func(*peer) bool) bool {
	holders, elsewhere := 0, false
	for _, name := range t.electorate {
		if name == t.options.Self {
			holders++
			continue
		}
		other := t.peers[name]
		if other == nil || !other.live || !has(other) {
			continue
		}
		holders++
		elsewhere = elsewhere || other.zone != t.options.Zone
	}
	switch {
	case len(t.electorate) == 0 || holders <= len(t.electorate)/2:
		return false
	case len(t.electorate) == 1:
		return t.inTouch
	}
	return elsewhere || !t.hasPeerElsewhere()
}

// noteReplica notes that a process holds what a leaving instance said.
func (t *Table) noteReplica(known *record, holder *peer, reported State) {
	if rank(reported) == rank(StateReady) {
		return
	}
	if known.heldBy == nil {
		known.heldBy = make(map[string]holding)
	}
	before := known.heldBy[holder.name]
	if before.life == holder.life {
		reported = Furthest(before.reported, reported)
	}
	known.heldBy[holder.name] = holding{life: holder.life, reported: reported}
}

// needsReplica says whether the instance is leaving and too few processes are known to have that.
func (t *Table) needsReplica(known *record) bool {
	if rank(known.Reported) == rank(StateReady) {
		return false
	}
	return !t.suffices(func(other *peer) bool {
		held := known.heldBy[other.name]
		return held.life == other.life && rank(held.reported) >= rank(known.Reported)
	})
}

// resend returns the changes that are to be sent again, and forgets those that all have or that were sent long enough.
func (t *Table) resend(now time.Time) []Send {
	var sends []Send
	for _, id := range slices.Sorted(maps.Keys(t.replicas)) {
		sent := t.replicas[id]
		if now.Sub(sent.createdAt) >= t.options.ResendFor {
			delete(t.replicas, id)
			continue
		}
		if now.Sub(sent.sentAt) < t.options.ResendInterval {
			continue
		}
		sent.sentAt = now
		missing := t.missing(sent)
		if len(missing) == 0 && sent.safe {
			delete(t.replicas, id)
			continue
		}
		message := t.replicaMessage(now, id, sent)
		for _, name := range missing {
			sends = append(sends, Send{To: name, Message: message})
		}
	}
	return sends
}

// missing returns the peers in touch that haven't acknowledged a change.
func (t *Table) missing(sent *replica) []string {
	var names []string
	for name, other := range t.peers {
		if other.live && !sent.acked[name] {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
