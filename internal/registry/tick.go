package registry

import (
	"time"

	"wallflow/internal/distribution/feedpb"
)

const (
	scanInterval = 250 * time.Millisecond
	// pauseThreshold is the time between two ticks from which this process counts as having been paused.
	pauseThreshold = time.Second
	// peerSilenceIntervals is the number of digest intervals after which a peer without digests counts as silent.
	// The instances that sent their heartbeats to it then get extra time to find another process.
	peerSilenceIntervals = 2.5
	// peerRetention is how long an unreachable peer is remembered after its last digest.
	peerRetention = time.Minute
)

// Send is a message to one process.
type Send struct {
	To      string // internal address
	Message *feedpb.RegistryMessage
}

// Output holds the effects of a Tick that its caller has to carry out.
type Output struct {
	Changed   []Instance              // instances that became silent or gone
	Broadcast *feedpb.RegistryMessage // to every reachable control process; nil if there is nothing to send
	Sends     []Send
}

// Tick performs all work that is due. The caller should call it every 50 to 250 ms.
func (t *Table) Tick(now time.Time) Output {
	if !t.majorityReachable || now.Sub(t.lastTick) >= pauseThreshold {
		t.silenceCountedFrom = now
	}
	t.lastTick = now
	output := Output{Changed: t.takeSupersededInstances()}
	if now.Sub(t.lastScan) >= scanInterval {
		t.lastScan = now
		output.Changed = t.scan(now, output.Changed)
	}
	if now.Sub(t.lastDigest) >= t.options.DigestInterval {
		t.lastDigest = now
		output.Broadcast = t.digest(now)
	}
	output.Sends = t.resendUnacknowledged(now)
	t.forgetHeldAcknowledgements(now)
	return output
}

// digest returns the message that lists the heartbeats that this process received since the last digest. An entry
// takes 4 bytes for the fingerprint, 1 to 3 for the number of the heartbeat and 1 or 2 for its age. With 12,000
// instances that send a heartbeat to one of 28 processes every 1.2 s, a digest covers about 180 instances in 1.5 KB.
// Sent to 27 peers twice a second, that is about 80 KB per second.
func (t *Table) digest(now time.Time) *feedpb.RegistryMessage {
	digest := &feedpb.RegistryDigest{TableHash: t.hash()}
	for _, known := range t.unreportedHeartbeats {
		known.unreported = false
		if known.Final() {
			continue
		}
		digest.Fingerprints = append(digest.Fingerprints, fingerprintOf(known.ID))
		digest.Seqs = append(digest.Seqs, known.Seq)
		digest.AgesMs = append(digest.AgesMs, durationToWire(now.Sub(known.lastHeartbeatAt)))
	}
	t.unreportedHeartbeats = t.unreportedHeartbeats[:0]
	message := t.newMessage()
	message.Digest = digest
	return message
}

// silentDuration returns how long an instance has sent no heartbeat as far as this process can tell. Pauses of this
// process, and silence of the process that received the instance's heartbeats, do not count.
func (t *Table) silentDuration(now time.Time, known *record) time.Duration {
	from := later(known.lastHeartbeatAt, t.silenceCountedFrom)
	if receiver := t.peers[known.receivedBy]; receiver != nil && t.isPeerSilent(now, receiver) {
		from = later(from, receiver.lastDigestAt.Add(t.options.HeartbeatInterval))
	}
	return now.Sub(from)
}

func (t *Table) isPeerSilent(now time.Time, receiver *peer) bool {
	allowed := time.Duration(peerSilenceIntervals * float64(t.options.DigestInterval))
	return now.Sub(receiver.lastDigestAt) >= allowed
}

// scan updates the state of all instances by their silence, and forgets old tombstones and peers.
func (t *Table) scan(now time.Time, changed []Instance) []Instance {
	for _, known := range t.records {
		if known.State == StateGone {
			if now.Sub(known.goneSince) >= t.options.TombstoneLifetime {
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
		if !other.reachable && now.Sub(other.lastDigestAt) >= peerRetention {
			delete(t.peers, name)
		}
	}
	return changed
}

// expire makes an instance gone when its notice runs out, and by the time since its last heartbeat silent, unless it is draining, or gone.
func (t *Table) expire(now time.Time, known *record) {
	if !known.GoneAt.IsZero() && !now.Before(known.GoneAt) {
		t.markFinal(now, known)
		return
	}
	switch silence := t.silentDuration(now, known); {
	case silence >= t.options.GoneAfter:
		t.markGone(now, known)
	case silence >= t.options.SilentAfter:
		known.State = known.StateWithoutHeartbeats()
	}
}
