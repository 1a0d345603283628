package workload

import (
	"time"

	"wallflow/internal/workload/workloadpb"
)

// heldLoad is an endpoint's load as a sender told it.
type heldLoad struct {
	Load
	at time.Time
}

// view is what one sender has told: the newest load of each endpoint, and the sums of its answers.
type view struct {
	life     uint64
	sequence uint64
	at       time.Time // of the newest word
	loads    map[Key]heldLoad
	sums     Sums
	missed   bool // a word of the sender did not come, and no whole one since
}

// fresh tells whether the sender has spoken lately. A nil view is that of a sender that never spoke.
func (v *view) fresh(now time.Time) bool { return v != nil && now.Sub(v.at) < forgetAfter }

// follows tells whether a word is newer than those before. The first word of another life of the sender is.
func (v *view) follows(life, sequence uint64) bool { return v.life != life || sequence > v.sequence }

// hear takes a word of the sender, of which a part may be the receiver's own. It returns false for one that came late or can't be read.
func (v *view) hear(now time.Time, message *workloadpb.Message, encoded *workloadpb.Loads, whole bool, own Loads) bool {
	loads, ok := decode(encoded)
	if !ok || !v.follows(message.Life, message.Sequence) {
		return false
	}
	gap := v.life != message.Life || v.sequence != message.Previous
	v.begin(now, message.Life, message.Sequence)
	v.missed = !whole && (v.missed || gap)
	if whole {
		clear(v.loads)
	}
	v.update(now, loads, own)
	if len(message.Sums) > 0 {
		v.sums = decodeSums(message.Sums)
	}
	return true
}

// begin notes a word. What a former life of the sender said counts no more.
func (v *view) begin(now time.Time, life, sequence uint64) {
	if v.life != life || v.loads == nil {
		v.loads = make(map[Key]heldLoad)
		v.sums = nil
	}
	v.life, v.sequence, v.at = life, sequence, now
}

// update takes the loads of some endpoints, less a part that is the receiver's own.
func (v *view) update(now time.Time, loads, own Loads) {
	for key, load := range loads {
		load.subtract(own[key])
		if load == (Load{}) {
			delete(v.loads, key)
			continue
		}
		v.loads[key] = heldLoad{Load: load, at: now}
	}
}

// addTo adds what the sender has told to a sum. An endpoint that it hasn't named for a while counts no more.
func (v *view) addTo(sum Loads, now time.Time) {
	for key, held := range v.loads {
		if now.Sub(held.at) >= entryExpiry {
			delete(v.loads, key)
			continue
		}
		total := sum[key]
		total.add(held.Load)
		sum[key] = total
	}
}
