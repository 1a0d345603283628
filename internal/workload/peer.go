package workload

import (
	"time"

	"wallflow/internal/workload/workloadpb"
)

// peer is what one other relay has sent: the newest load of each endpoint, and the sums of its answers.
type peer struct {
	life       uint64
	sequence   uint64
	receivedAt time.Time
	loads      map[Key]sentLoad
	sums       Sums
	gapSince   time.Time // an update did not come, and no snapshot since; zero: none is missing
}

// fresh reports whether the relay has sent something lately. Of nil, one that never has, it is false.
func (p *peer) fresh(now time.Time) bool { return p != nil && now.Sub(p.receivedAt) < forgetAfter }

// hasGap reports whether loads may be out of date because an update was missed. Once all have been sent again, or have expired, none is.
func (p *peer) hasGap(now time.Time) bool {
	return p != nil && !p.gapSince.IsZero() && now.Sub(p.gapSince) < entryExpiry
}

// isNewer reports whether a message is newer than those before. The first one of another life of the relay is.
func (p *peer) isNewer(life, sequence uint64) bool { return p.life != life || sequence > p.sequence }

// receive takes loads of a message; a part of them may be the receiver's own. It returns false for a message that came late or is
// malformed.
func (p *peer) receive(now time.Time, message *workloadpb.Message, encoded *workloadpb.Loads, isSnapshot bool, own Loads) bool {
	loads, ok := decode(encoded)
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
	p.apply(now, loads, own)
	if len(message.Sums) > 0 {
		p.sums = decodeSums(message.Sums)
	}
	return true
}

// advance notes the newest message. What a former life of the relay sent counts no more.
func (p *peer) advance(now time.Time, life, sequence uint64) {
	if p.life != life || p.loads == nil {
		p.loads = make(map[Key]sentLoad)
		p.sums = nil
	}
	p.life, p.sequence, p.receivedAt = life, sequence, now
}

// apply takes the loads of some endpoints, less the receiver's own part.
func (p *peer) apply(now time.Time, loads, own Loads) {
	for key, load := range loads {
		load.subtract(own[key])
		if load == (Load{}) {
			delete(p.loads, key)
			continue
		}
		p.loads[key] = sentLoad{Load: load, at: now}
	}
}

// addTo adds the loads to a sum. An endpoint that was not named for a while counts no more.
func (p *peer) addTo(sum Loads, now time.Time) {
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
