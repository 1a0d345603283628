package registry

import (
	"slices"
	"time"

	"wallflow/internal/distribution/feedpb"
)

const (
	// maxInstancesPerMessage bounds the instances in one message. Those that are left out are requested again later.
	maxInstancesPerMessage = 2000
	// mismatchesBeforeSync is how many consecutive digests of a peer must differ from the table before the buckets
	// are compared. A single digest also differs while a change is being replicated.
	mismatchesBeforeSync = 2
	syncInterval         = time.Second
	initialSyncInterval  = 300 * time.Millisecond // until the table is complete
)

// Merge applies a message of another control process. It returns the instances that changed and the reply to the
// sender, which is nil if there is none.
func (t *Table) Merge(now time.Time, message *feedpb.RegistryMessage) (changed []Instance, reply *feedpb.RegistryMessage) {
	if message.GetSource() == "" || message.GetSource() == t.options.Self {
		return nil, nil
	}
	sender := t.peerByName(message.GetSource())
	sender.setRun(message.GetLife())
	answer := t.newMessage()
	for _, incoming := range message.GetInstances() {
		if known := t.mergeInstance(now, sender, incoming); known != nil {
			changed = append(changed, known.Instance)
		}
	}
	if digest := message.GetDigest(); digest != nil {
		changed = append(changed, t.mergeDigest(now, sender, digest, answer)...)
	}
	if message.GetDelta() != 0 {
		answer.Acknowledgement = t.acknowledge(now, message)
	}
	t.applyAcknowledgement(sender, message.GetAcknowledgement())
	t.answerUnknown(now, message.GetUnknown(), answer)
	t.answerBuckets(now, message.GetBuckets(), answer)
	changed = append(changed, t.takeSupersededInstances()...)
	if isEmpty(answer) {
		return changed, nil
	}
	return changed, answer
}

// newMessage returns a message without content from this process.
func (t *Table) newMessage() *feedpb.RegistryMessage {
	return &feedpb.RegistryMessage{Source: t.options.Self, Life: t.options.RunID}
}

func isEmpty(message *feedpb.RegistryMessage) bool {
	return message.Acknowledgement == nil && message.Digest == nil && message.Delta == 0 &&
		len(message.Instances) == 0 && len(message.Unknown) == 0 && len(message.Buckets) == 0
}

// mergeInstance applies what another process reports of one instance. It returns the record if it changed.
func (t *Table) mergeInstance(now time.Time, sender *peer, message *feedpb.Instance) *record {
	incoming := FromWire(now, message)
	lastHeartbeatAt := now.Add(-durationFromWire(message.GetHeardAgoMs()))
	firstSeenAt := now.Add(-durationFromWire(message.GetKnownForMs()))
	known, exists := t.records[incoming.ID]
	if !exists {
		if incoming.ID == "" || t.isStale(now, incoming, lastHeartbeatAt) {
			return nil
		}
		known = t.add(incoming.ID)
		known.Instance = incoming
		known.State, known.Reported = StateReady, StateReady
		known.firstSeenAt = firstSeenAt
		known.lastHeartbeatAt = lastHeartbeatAt
		known.receivedBy = sender.name
	}
	t.recordReplica(known, sender, stateFromWire(message.GetSaved()))
	if known.Final() {
		return nil
	}
	before := known.Instance
	if incoming.Final() {
		t.markFinal(now, known)
		return known
	}
	known.firstSeenAt = earlier(known.firstSeenAt, firstSeenAt)
	known.updateLastHeartbeat(sender.name, lastHeartbeatAt, incoming.Seq)
	if !exists || incoming.ChangedSeq > known.ChangedSeq {
		t.applyDescription(now, known, incoming)
	}
	known.Reported = FurthestState(known.Reported, incoming.Reported)
	t.refreshState(now, known)
	t.rehash(known)
	if exists && known.SameAs(before) {
		return nil
	}
	return known
}

// isStale reports whether an unknown instance must not be added because it is already gone, or because its last
// heartbeat is so old that this process may have forgotten it. A final departure is never stale.
func (t *Table) isStale(now time.Time, incoming Instance, lastHeartbeatAt time.Time) bool {
	if incoming.Final() {
		return false
	}
	return incoming.State == StateGone || now.Sub(lastHeartbeatAt) >= t.options.GoneAfter
}

// applyDescription replaces the description of an instance and decides which instance owns its address: the one that
// was first seen later.
func (t *Table) applyDescription(now time.Time, known *record, incoming Instance) {
	owner := t.owners[incoming.Address]
	state, reported, seq := known.State, known.Reported, max(known.Seq, incoming.Seq)
	t.releaseAddress(known)
	known.Instance = incoming
	known.State, known.Reported, known.Seq = state, reported, seq
	if owner == nil || owner == known {
		t.owners[incoming.Address] = known
		return
	}
	if known.firstSeenAt.After(owner.firstSeenAt) {
		t.markSuperseded(now, owner)
		t.owners[incoming.Address] = known
		return
	}
	t.markGone(now, known)
}

// releaseAddress removes a record as the owner of its address.
func (t *Table) releaseAddress(known *record) {
	if t.owners[known.Address] == known {
		delete(t.owners, known.Address)
	}
}

// updateLastHeartbeat records that the process receiver received a heartbeat of the instance at the given time.
func (r *record) updateLastHeartbeat(receiver string, receivedAt time.Time, seq uint64) {
	r.Seq = max(r.Seq, seq)
	if receivedAt.After(r.lastHeartbeatAt) {
		r.lastHeartbeatAt = receivedAt
		r.receivedBy = receiver
	}
}

// refreshState recomputes the state of an instance that is not final. An instance without recent heartbeats is
// silent, unless it is draining or gone. Otherwise it gets its reported state and its address; if the address has another owner
// with recent heartbeats, the instance is gone.
func (t *Table) refreshState(now time.Time, known *record) {
	silent := t.silentDuration(now, known) >= t.options.SilentAfter
	if silent {
		if known.State != StateGone {
			known.State = known.StateWithoutHeartbeats()
		}
		return
	}
	owner := t.owners[known.Address]
	if owner != nil && owner != known {
		if now.Sub(owner.lastHeartbeatAt) < t.options.SilentAfter {
			t.markGone(now, known)
			return
		}
		t.markSuperseded(now, owner)
	}
	t.owners[known.Address] = known
	known.State = known.Reported
}

// mergeDigest applies the heartbeats that another process received lately, and requests the instances that are
// unknown here.
func (t *Table) mergeDigest(
	now time.Time, sender *peer, digest *feedpb.RegistryDigest, answer *feedpb.RegistryMessage,
) []Instance {
	sender.lastDigestAt = now
	var changed []Instance
	seqs, ages := digest.GetSeqs(), digest.GetAgesMs()
	for index, fingerprint := range digest.GetFingerprints() {
		if index >= len(seqs) || index >= len(ages) {
			break
		}
		known := t.fingerprints[fingerprint]
		if known == nil {
			if len(answer.Unknown) < maxInstancesPerMessage {
				answer.Unknown = append(answer.Unknown, fingerprint)
			}
			continue
		}
		lastHeartbeatAt := now.Add(-durationFromWire(ages[index]))
		changed = t.mergeHeartbeat(now, known, sender.name, lastHeartbeatAt, seqs[index], changed)
	}
	t.compareTables(now, sender, digest, answer)
	t.greet(now, sender, answer)
	return changed
}

// mergeHeartbeat applies one heartbeat of a digest. If several instances share the fingerprint, the heartbeat counts
// for each of them, but its number is ignored.
func (t *Table) mergeHeartbeat(
	now time.Time, first *record, receiver string, lastHeartbeatAt time.Time, seq uint64, changed []Instance,
) []Instance {
	if first.nextSameFingerprint != nil {
		seq = 0
	}
	for known := first; known != nil; known = known.nextSameFingerprint {
		if known.Final() {
			continue
		}
		before := known.State
		known.updateLastHeartbeat(receiver, lastHeartbeatAt, seq)
		if before == StateSilent || before == StateGone {
			t.refreshState(now, known)
			t.rehash(known)
		}
		if known.State != before {
			changed = append(changed, known.Instance)
		}
	}
	return changed
}

// compareTables requests a comparison of the buckets if the tables have differed for several digests.
func (t *Table) compareTables(now time.Time, sender *peer, digest *feedpb.RegistryDigest, answer *feedpb.RegistryMessage) {
	if digest.GetTableHash() == t.hash() {
		sender.digestMismatches = 0
		return
	}
	sender.digestMismatches++
	needed, interval := mismatchesBeforeSync, syncInterval
	if !t.Complete(now) {
		needed, interval = 1, initialSyncInterval
	}
	if sender.digestMismatches < needed || now.Sub(t.lastSync) < interval {
		return
	}
	t.lastSync = now
	answer.Buckets = slices.Clone(t.buckets[:])
}

// answerUnknown adds the instances that the other process requested by fingerprint.
func (t *Table) answerUnknown(now time.Time, fingerprints []uint32, answer *feedpb.RegistryMessage) {
	for _, fingerprint := range fingerprints {
		for known := t.fingerprints[fingerprint]; known != nil; known = known.nextSameFingerprint {
			t.appendInstance(now, known, answer)
		}
	}
}

// answerBuckets adds the instances of the buckets that differ from those of the other process.
func (t *Table) answerBuckets(now time.Time, theirs []uint64, answer *feedpb.RegistryMessage) {
	if len(theirs) != bucketCount {
		return
	}
	for _, known := range t.records {
		bucket := bucketOf(known.ID)
		if theirs[bucket] != t.buckets[bucket] {
			t.appendInstance(now, known, answer)
		}
	}
}

// appendInstance adds an instance to a message unless the message is full.
func (t *Table) appendInstance(now time.Time, known *record, message *feedpb.RegistryMessage) {
	if len(message.Instances) < maxInstancesPerMessage {
		message.Instances = append(message.Instances, t.toWire(now, known))
	}
}

// toWire encodes a record for another control process. Times are encoded as ages because clocks differ.
func (t *Table) toWire(now time.Time, known *record) *feedpb.Instance {
	message := ToWire(now, known.Instance)
	message.HeardAgoMs = durationToWire(now.Sub(known.lastHeartbeatAt))
	message.KnownForMs = durationToWire(now.Sub(known.firstSeenAt))
	message.Saved = stateToWire(known.savedState)
	return message
}

// takeSupersededInstances returns the instances that lost their address since the last call.
func (t *Table) takeSupersededInstances() []Instance {
	var lost []Instance
	for _, known := range t.superseded {
		lost = append(lost, known.Instance)
	}
	t.superseded = t.superseded[:0]
	return lost
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
