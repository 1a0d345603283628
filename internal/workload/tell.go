package workload

import (
	"maps"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"wallflow/internal/workload/workloadpb"
)

// heardOf is the sequence of a relay's word that stands in the sum.
func (n *Node) heardOf(now time.Time, relay string) uint64 {
	if said := n.relays[relay]; said.fresh(now) {
		return said.sequence
	}
	return 0
}

// telling is a word for an audience.
type telling struct {
	audience  *audience
	receivers []string
	every     time.Duration // between words at least
	loads     Loads
	most      int  // endpoints in a word
	ownZone   bool // the readings of the own zone alone
	sums      func(to string) Sums
	put       func(message *workloadpb.Message, to string, loads *workloadpb.Loads)
}

// tellAll adds a word to each receiver, if it is time for one and there is something to tell, or the last is old.
func (n *Node) tellAll(sends []Send, now time.Time, t telling) []Send {
	if len(t.receivers) == 0 || now.Before(t.audience.nextAt) {
		return sends
	}
	room := min(t.most, n.room(len(t.receivers)))
	named := t.audience.changes(now, t.loads, room)
	word := t.audience.tell(now, t.loads, named).encode()
	isDue := len(named) > 0 || now.Sub(t.audience.toldAt) >= repeatEvery
	largest := 0
	var whole *workloadpb.Loads
	for _, to := range t.receivers {
		message, last := n.wordTo(now, to, t), n.toldTo(to)
		if !isDue && last.begun && message.Readings == nil && len(message.Sums) == 0 {
			continue
		}
		loads := word
		if !last.begun {
			if whole == nil {
				whole = t.audience.whole(t.most).encode()
			}
			last.begun, message.Whole, loads = true, true, whole
		}
		t.put(message, to, loads)
		last.sequence = message.Sequence
		largest = max(largest, proto.Size(message))
		sends = append(sends, Send{To: to, Message: message})
	}
	if largest > 0 {
		t.audience.toldAt = now
		t.audience.nextAt = now.Add(max(t.every, n.pauseAfter(largest, len(t.receivers))))
	}
	return sends
}

// wordTo is a message to a receiver with all but its loads.
func (n *Node) wordTo(now time.Time, to string, t telling) *workloadpb.Message {
	last := n.toldTo(to)
	readings, place := n.queue.after(last.readings, func(from string) bool {
		return from != to && (!t.ownZone || n.hubs[from] == "")
	})
	last.readings = place
	n.sequence++
	message := &workloadpb.Message{Life: n.life, Sequence: n.sequence, Previous: last.sequence, Readings: encodeReadings(readings)}
	if now.Sub(last.sumsAt) >= sumsEvery {
		last.sumsAt = now
		message.Sums = t.sums(to).encode()
	}
	return message
}

func (n *Node) toldTo(to string) *told {
	last := n.told[to]
	if last == nil {
		last = &told{}
		n.told[to] = last
	}
	return last
}

// tellHub is a relay's word to the hub of its zone, which is whole: it has requests at few endpoints.
func (n *Node) tellHub(now time.Time) []Send {
	if now.Before(n.pauseTo) {
		return nil
	}
	var last Loads
	if len(n.spoken) > 0 {
		last = n.spoken[len(n.spoken)-1].loads
	}
	message := n.wordTo(now, n.hub, telling{sums: func(string) Sums { return n.own.Sums }})
	message.Again = n.others != nil && n.others.missed
	isNew := message.Again || message.Readings != nil || len(message.Sums) > 0 || !maps.Equal(last, n.own.Loads)
	if !isNew && now.Sub(n.toHub) < repeatEvery {
		return nil
	}
	message.Relay = n.own.Loads.encode()
	n.spoken = append(n.spoken, spoken{message.Sequence, n.own.Loads})
	if over := len(n.spoken) - spokenKept; over > 0 {
		n.spoken = slices.Delete(n.spoken, 0, over)
	}
	n.toHub = now
	n.pauseTo = now.Add(max(LocalEvery, n.pauseAfter(proto.Size(message), len(n.peers))))
	return []Send{{To: n.hub, Message: message}}
}

// ownIn is what this relay had when it said the word with a sequence, as far as that is known.
func (n *Node) ownIn(sequence uint64) Loads {
	for _, each := range n.spoken {
		if each.sequence == sequence {
			return each.loads
		}
	}
	return nil
}

// room is how many endpoints a word to each of some receivers may name.
func (n *Node) room(receivers int) int {
	if n.link <= 0 {
		return entriesMost
	}
	bytes := linkShare*n.link*wordSpan.Seconds()/float64(receivers) - messageOverhead
	return max(entriesLeast, int(bytes/entryBytes))
}

// zoneEvery grows with the number of zones, so that what a hub sends stays bounded.
func (n *Node) zoneEvery() time.Duration {
	return ZoneEvery * time.Duration(max(1, (len(n.hubs)+zonesUsual-1)/zonesUsual))
}

// pauseAfter is how long a receiver is told nothing more after a message, so that those to all that share the link take no more than
// linkShare of it.
func (n *Node) pauseAfter(size, sharers int) time.Duration {
	if n.link <= 0 {
		return 0
	}
	seconds := float64((size+messageOverhead)*max(1, sharers)) / (linkShare * n.link)
	return min(time.Duration(seconds*float64(time.Second)), repeatEvery)
}
