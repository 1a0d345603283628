package workload

import (
	"time"

	"wallflow/internal/workload/workloadpb"
)

// peerState is what was received from another relay: the newest load of each endpoint, and the sums over its answers.
type peerState struct {
	life       uint64 // run of the peer process that the rest of the state is from
	sequence   uint64 // of the newest message
	receivedAt time.Time
	loads      map[Key]timedLoad
	sums       Sums
	gapSince   time.Time // when an update was found missing that no snapshot has made up for; zero if there is none
}

// isFresh reports whether the relay has sent something within senderExpiry. It is false for a nil state: the relay never sent anything.
func (p *peerState) isFresh(now time.Time) bool {
	return p != nil && now.Sub(p.receivedAt) < senderExpiry
}

// hasGap reports whether loads may be out of date because an update was missed. After entryExpiry they no longer are: by then
// each load has either been sent again or expired.
func (p *peerState) hasGap(now time.Time) bool {
	return p != nil && !p.gapSince.IsZero() && now.Sub(p.gapSince) < entryExpiry
}

// isNewer reports whether a message is newer than all before it. The first message after a restart of the relay is newer.
func (p *peerState) isNewer(life, sequence uint64) bool {
	return p.life != life || sequence > p.sequence
}

// receive applies the loads and sums of a message, without ownLoads, the part of the loads that is the receiver's own. It returns false
// for a message that is malformed, or older than one received before.
func (p *peerState) receive(now time.Time, message *workloadpb.Message, encoded *workloadpb.Loads, isSnapshot bool, ownLoads Loads) bool {
	loads, ok := decodeLoads(encoded)
	if !ok || !p.isNewer(message.Life, message.Sequence) {
		return false
	}
	gap := p.life != message.Life || p.sequence != message.Previous
	p.advance(now, message.Life, message.Sequence)
	if gap {
		p.gapSince = now
	}
	if isSnapshot {
		p.gapSince = time.Time{}
		clear(p.loads)
	}
	p.apply(now, loads, ownLoads)
	if len(message.Sums) > 0 {
		p.sums = decodeSums(message.Sums)
	}
	return true
}

// advance records the newest message. After a restart of the relay, everything that its previous process sent is dropped.
func (p *peerState) advance(now time.Time, life, sequence uint64) {
	if p.life != life || p.loads == nil {
		p.loads = make(map[Key]timedLoad)
		p.sums = nil
	}
	p.life, p.sequence, p.receivedAt = life, sequence, now
}

// apply sets the loads of the endpoints that a message contains, after subtracting the part that is the receiver's own.
func (p *peerState) apply(now time.Time, loads, ownLoads Loads) {
	for key, load := range loads {
		load.subtract(ownLoads[key])
		if load == (Load{}) {
			delete(p.loads, key)
			continue
		}
		p.loads[key] = timedLoad{Load: load, at: now}
	}
}

// addTo adds the loads to a sum, and drops those that have not been sent again within entryExpiry.
func (p *peerState) addTo(sum Loads, now time.Time) {
	for key, last := range p.loads {
		if now.Sub(last.at) >= entryExpiry {
			delete(p.loads, key)
			continue
		}
		total := sum[key]
		total.add(last.Load)
		sum[key] = total
	}
}
