package registry

import (
	"slices"
	"time"

	"wallflow/internal/distribution/feedpb"
)

const (
	// mostPerMessage bounds the instances in one message; what is left out is asked for again.
	mostPerMessage = 2000
	// mismatchesBeforeSync is how many digests of a peer in a row must differ from the own table before the buckets are
	// compared: a single one differs while a change is under way.
	mismatchesBeforeSync = 2
	syncInterval         = time.Second
	firstSyncInterval    = 300 * time.Millisecond // while the table fills
)

// Merge takes in a message of another control process. It returns the instances of which something else is known now, and
// the answer to the process that sent the message, if there is one.
func (t *Table) Merge(now time.Time, message *feedpb.RegistryMessage) (changed []Instance, reply *feedpb.RegistryMessage) {
	if message.GetSource() == "" || message.GetSource() == t.options.Self {
		return nil, nil
	}
	sender := t.peerNamed(message.GetSource())
	sender.life = message.GetLife()
	answer := t.newMessage()
	for _, told := range message.GetInstances() {
		if known := t.mergeInstance(now, sender, told); known != nil {
			changed = append(changed, known.Instance)
		}
	}
	if digest := message.GetDigest(); digest != nil {
		changed = append(changed, t.mergeDigest(now, sender, digest, answer)...)
	}
	if message.GetDelta() != 0 {
		answer.Acknowledgement = &feedpb.Acknowledgement{Life: message.GetLife(), Delta: message.GetDelta()}
	}
	t.takeAcknowledgement(sender, message.GetAcknowledgement())
	t.answerUnknown(now, message.GetUnknown(), answer)
	t.answerBuckets(now, message.GetBuckets(), answer)
	changed = append(changed, t.takeSuperseded()...)
	if isEmpty(answer) {
		return changed, nil
	}
	return changed, answer
}

func (t *Table) newMessage() *feedpb.RegistryMessage {
	return &feedpb.RegistryMessage{Source: t.options.Self, Life: t.options.Life}
}

func isEmpty(message *feedpb.RegistryMessage) bool {
	return message.Acknowledgement == nil && message.Digest == nil && message.Delta == 0 &&
		len(message.Instances) == 0 && len(message.Unknown) == 0 && len(message.Buckets) == 0
}

// mergeInstance takes in what another process knows of one instance. It returns the record if something changed.
func (t *Table) mergeInstance(now time.Time, sender *peer, told *feedpb.Instance) *record {
	incoming := FromWire(now, told)
	heardAt := now.Add(-wireDuration(told.GetHeardAgoMs()))
	knownSince := now.Add(-wireDuration(told.GetKnownForMs()))
	known, exists := t.records[incoming.ID]
	if !exists {
		if incoming.ID == "" || t.tooOld(now, incoming, heardAt) {
			return nil
		}
		known = t.add(incoming.ID)
		known.Instance = incoming
		known.State, known.Reported = StateReady, StateReady
		known.knownSince = knownSince
		known.heardAt = heardAt
		known.heardBy = sender.name
	}
	t.noteReplica(known, sender, incoming.Reported)
	if known.Final() {
		return nil
	}
	before := known.Instance
	if incoming.Final() {
		t.end(now, known)
		return known
	}
	known.knownSince = earlier(known.knownSince, knownSince)
	known.noteHeard(sender.name, heardAt, incoming.Seq)
	if !exists || incoming.ChangedSeq > known.ChangedSeq {
		t.takeDescription(now, known, incoming)
	}
	known.Reported = Furthest(known.Reported, incoming.Reported)
	t.refreshState(now, known)
	t.rehash(known)
	if exists && known.SameAs(before) {
		return nil
	}
	return known
}

// tooOld says whether an instance that isn't known here is gone already or was last heard of so long ago that it may have
// been forgotten here. A final end is always taken in.
func (t *Table) tooOld(now time.Time, incoming Instance, heardAt time.Time) bool {
	if incoming.Final() {
		return false
	}
	return incoming.State == StateGone || now.Sub(heardAt) >= t.options.GoneAfter
}

// takeDescription takes over the description of an instance, and settles who has its address.
func (t *Table) takeDescription(now time.Time, known *record, incoming Instance) {
	holder := t.holders[incoming.Address]
	state, reported, seq := known.State, known.Reported, max(known.Seq, incoming.Seq)
	t.release(known)
	known.Instance = incoming
	known.State, known.Reported, known.Seq = state, reported, seq
	if holder == nil || holder == known {
		t.holders[incoming.Address] = known
		return
	}
	if known.knownSince.After(holder.knownSince) {
		t.supersede(now, holder)
		t.holders[incoming.Address] = known
		return
	}
	t.lose(now, known)
}

// release gives up the address of a record.
func (t *Table) release(known *record) {
	if t.holders[known.Address] == known {
		delete(t.holders, known.Address)
	}
}

// noteHeard takes in that a process heard the instance at the given time.
func (r *record) noteHeard(by string, at time.Time, seq uint64) {
	r.Seq = max(r.Seq, seq)
	if at.After(r.heardAt) {
		r.heardAt = at
		r.heardBy = by
	}
}

// refreshState sets the state of an instance by how long it has been silent.
func (t *Table) refreshState(now time.Time, known *record) {
	silent := t.silence(now, known) >= t.options.SilentAfter
	if silent {
		if known.State != StateGone {
			known.State = StateSilent
		}
		return
	}
	holder := t.holders[known.Address]
	if holder != nil && holder != known {
		if now.Sub(holder.heardAt) < t.options.SilentAfter {
			t.lose(now, known)
			return
		}
		t.supersede(now, holder)
	}
	t.holders[known.Address] = known
	known.State = known.Reported
}

// mergeDigest takes in which instances called another process lately, and asks for what the digest shows to be missing here.
func (t *Table) mergeDigest(now time.Time, sender *peer, digest *feedpb.RegistryDigest, answer *feedpb.RegistryMessage) []Instance {
	sender.digestAt = now
	var changed []Instance
	seqs, ages := digest.GetSeqs(), digest.GetAgesMs()
	for index, fingerprint := range digest.GetFingerprints() {
		if index >= len(seqs) || index >= len(ages) {
			break
		}
		known := t.fingerprints[fingerprint]
		if known == nil {
			if len(answer.Unknown) < mostPerMessage {
				answer.Unknown = append(answer.Unknown, fingerprint)
			}
			continue
		}
		heardAt := now.Add(-wireDuration(ages[index]))
		changed = t.mergeBeat(now, known, sender.name, heardAt, seqs[index], changed)
	}
	t.compareTables(now, sender, digest, answer)
	return changed
}

// mergeBeat takes in one heartbeat of a digest. Where several instances share the fingerprint, each counts as heard, but the
// number of the heartbeat is used for none.
func (t *Table) mergeBeat(now time.Time, first *record, by string, heardAt time.Time, seq uint64, changed []Instance) []Instance {
	if first.nextFingerprint != nil {
		seq = 0
	}
	for known := first; known != nil; known = known.nextFingerprint {
		if known.Final() {
			continue
		}
		before := known.State
		known.noteHeard(by, heardAt, seq)
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

// compareTables asks for a comparison of the buckets where the tables have differed for a while.
func (t *Table) compareTables(now time.Time, sender *peer, digest *feedpb.RegistryDigest, answer *feedpb.RegistryMessage) {
	if digest.GetTableHash() == t.hash() {
		sender.mismatches = 0
		return
	}
	sender.mismatches++
	needed, interval := mismatchesBeforeSync, syncInterval
	if !t.Complete(now) {
		needed, interval = 1, firstSyncInterval
	}
	if sender.mismatches < needed || now.Sub(t.lastSync) < interval {
		return
	}
	t.lastSync = now
	answer.Buckets = slices.Clone(t.buckets[:])
}

// answerUnknown adds the instances that the other process asks for by fingerprint.
func (t *Table) answerUnknown(now time.Time, fingerprints []uint32, answer *feedpb.RegistryMessage) {
	for _, fingerprint := range fingerprints {
		for known := t.fingerprints[fingerprint]; known != nil; known = known.nextFingerprint {
			t.tell(now, known, answer)
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
			t.tell(now, known, answer)
		}
	}
}

// tell adds an instance to a message, if there is room.
func (t *Table) tell(now time.Time, known *record, message *feedpb.RegistryMessage) {
	if len(message.Instances) < mostPerMessage {
		message.Instances = append(message.Instances, t.toWire(now, known))
	}
}

// toWire turns a record into a message to another control process.
func (t *Table) toWire(now time.Time, known *record) *feedpb.Instance {
	message := ToWire(now, known.Instance)
	message.HeardAgoMs = wireMilliseconds(now.Sub(known.heardAt))
	message.KnownForMs = wireMilliseconds(now.Sub(known.knownSince))
	return message
}

// takeSuperseded returns the instances that lost their address since the last call.
func (t *Table) takeSuperseded() []Instance {
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
