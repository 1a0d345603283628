package registry

import (
	"time"

	"wallflow/internal/distribution/feedpb"
)

const (
	scanInterval = 250 * time.Millisecond
	// awayAfter is the time between two ticks from which this process counts as having been away.
	awayAfter = time.Second
	// peerSilentIntervals is how many digest intervals a peer may be silent before its instances get extra time: they must
	// first find another process to call.
	peerSilentIntervals = 2.5
	peerForgetAfter     = time.Minute
)

// Send is a message to one process.
type Send struct {
	To      string // internal address
	Message *feedpb.RegistryMessage
}

// Output is what a tick asks for.
type Output struct {
	Changed   []Instance              // instances that fell silent or are gone
	Broadcast *feedpb.RegistryMessage // to every control process in touch; nil: nothing
	Sends     []Send
}

// Tick does what is due by time. It is to be called every 50 to 250 ms.
func (t *Table) Tick(now time.Time) Output {
	if !t.inTouch || now.Sub(t.lastTick) >= awayAfter {
		t.watchFrom = now
	}
	t.lastTick = now
	output := Output{Changed: t.takeSuperseded()}
	if now.Sub(t.lastScan) >= scanInterval {
		t.lastScan = now
		output.Changed = t.scan(now, output.Changed)
	}
	if now.Sub(t.lastDigest) >= t.options.DigestInterval {
		t.lastDigest = now
		output.Broadcast = t.digest(now)
	}
	output.Sends = t.resend(now)
	return output
}

// digest makes the message that tells which instances called this process since the last one. For each there are 4 bytes of
// fingerprint, 1 to 3 of the heartbeat's number and 1 or 2 of its age. Where 12,000 instances call 28 processes every 1.2 s,
// one digest covers about 180 of them in 1.5 KB; to 27 peers twice a second that makes about 80 KB a second.
func (t *Table) digest(now time.Time) *feedpb.RegistryMessage {
	digest := &feedpb.RegistryDigest{TableHash: t.hash()}
	for _, known := range t.beaten {
		known.pendingBeat = false
		if known.Final() {
			continue
		}
		digest.Fingerprints = append(digest.Fingerprints, fingerprintOf(known.ID))
		digest.Seqs = append(digest.Seqs, known.Seq)
		digest.AgesMs = append(digest.AgesMs, wireMilliseconds(now.Sub(known.heardAt)))
	}
	t.beaten = t.beaten[:0]
	message := t.newMessage()
	message.Digest = digest
	return message
}

// silence returns for how long nothing has been heard of an instance, as far as this process can tell: its own absence and
// that of the process that the instance called don't count.
func (t *Table) silence(now time.Time, known *record) time.Duration {
	from := later(known.heardAt, t.watchFrom)
	if messenger := t.peers[known.heardBy]; messenger != nil && t.isSilent(now, messenger) {
		from = later(from, messenger.digestAt.Add(t.options.HeartbeatInterval))
	}
	return now.Sub(from)
}

func (t *Table) isSilent(now time.Time, messenger *peer) bool {
	allowed := time.Duration(peerSilentIntervals * float64(t.options.DigestInterval))
	return now.Sub(messenger.digestAt) >= allowed
}

// scan lets instances fall silent, end and be forgotten.
func (t *Table) scan(now time.Time, changed []Instance) []Instance {
	for _, known := range t.records {
		if known.State == StateGone {
			if now.Sub(known.goneSince) >= t.options.Tombstone {
				t.forget(known)
			}
			continue
		}
		before := known.State
		t.expire(now, known)
		if known.State != before {
			changed = append(changed, known.Instance)
		}
	}
	for name, other := range t.peers {
		if !other.live && now.Sub(other.digestAt) >= peerForgetAfter {
			delete(t.peers, name)
		}
	}
	return changed
}

// expire moves one instance on by its silence or the end of its notice.
func (t *Table) expire(now time.Time, known *record) {
	if !known.GoneAt.IsZero() && !now.Before(known.GoneAt) {
		t.end(now, known)
		return
	}
	switch silence := t.silence(now, known); {
	case silence >= t.options.GoneAfter:
		t.lose(now, known)
	case silence >= t.options.SilentAfter:
		known.State = StateSilent
	}
}
