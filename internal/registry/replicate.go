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
	live       bool // in touch
	digestAt   time.Time
	mismatches int // digests in a row that differed from the own table
}

// counts says whether what this peer holds survives the loss of the own zone, as far as the processes in touch allow it.
func (p *peer) counts(t *Table) bool {
	if !p.live {
		return false
	}
	return p.zone != t.options.Zone || !t.hasPeerElsewhere()
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

// SetPeers tells which other control processes are in touch now.
func (t *Table) SetPeers(peers []Peer) {
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

// Replicate makes the message by which changes reach the other control processes. A change counts as safe once one of them
// in touch, in another zone if there is one, acknowledged it: see TakeSafe. Tick sends it again to those that don't.
func (t *Table) Replicate(now time.Time, changes ...Change) Replica {
	t.nextReplica++
	added := &replica{createdAt: now, sentAt: now, acked: make(map[string]bool)}
	for _, change := range changes {
		added.ids = append(added.ids, change.Instance.ID)
		added.reported = append(added.reported, change.Instance.Reported)
	}
	id := t.nextReplica
	t.replicas[id] = added
	added.safe = t.isAlone()
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
	keeper := t.keeperOf(known)
	if keeper == nil && !t.isAlone() {
		return
	}
	known.safe = true
	t.safe = append(t.safe, id)
	if keeper == nil {
		return
	}
	for index, instanceID := range known.ids {
		if held := t.records[instanceID]; held != nil {
			t.noteReplica(held, keeper, known.reported[index])
		}
	}
}

// keeperOf returns a process in touch that has a change and counts; nil: there is none yet.
func (t *Table) keeperOf(sent *replica) *peer {
	for name := range sent.acked {
		if holder := t.peers[name]; holder != nil && holder.counts(t) {
			return holder
		}
	}
	return nil
}

// isAlone says whether no other process is in touch and none is needed.
func (t *Table) isAlone() bool {
	for _, other := range t.peers {
		if other.live {
			return false
		}
	}
	return t.inTouch
}

// noteReplica notes that a process holds what the instance said.
func (t *Table) noteReplica(known *record, keeper *peer, reported State) {
	if keeper.counts(t) && rank(reported) >= rank(known.replicated) {
		known.replicated = reported
		known.keeper = keeper
	}
}

// needsReplica says whether the instance is leaving and no process that counts is known to have that.
func (t *Table) needsReplica(known *record) bool {
	if rank(known.Reported) == rank(StateReady) {
		return false
	}
	return known.keeper == nil || !known.keeper.counts(t) || rank(known.Reported) > rank(known.replicated)
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
