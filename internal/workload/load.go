package workload

import (
	"maps"
	"math"
	"slices"

	"wallflow/internal/workload/workloadpb"
)

// Key names an endpoint in few bytes. Two endpoints with the same key are taken for one, which does no harm but to the estimate.
type Key uint32

// Load is what an endpoint has to do.
type Load struct {
	Requests int // sent and not ended
	Unread   int // prompt tokens to be read for those without a first event
	Held     int // tokens of memory that the requests hold
	Overdue  int // requests that should have an answer by now, at an endpoint that has said nothing since
}

// Loads is the load by endpoint. Those without any are left out.
type Loads map[Key]Load

// Weights of a change of load, as parts of one request.
const (
	unreadWeight  = 1.0 / 1024  // a token to be read; a thousand take some 25 ms
	heldWeight    = 1.0 / 16384 // a token of memory
	overdueWeight = 4.0         // an answer that is overdue
)

// add adds another load.
func (l *Load) add(other Load) {
	l.Requests += other.Requests
	l.Unread += other.Unread
	l.Held += other.Held
	l.Overdue += other.Overdue
}

// subtract takes a part of the load away. What was sent at another time may be less than the part: nothing is left then.
func (l *Load) subtract(part Load) {
	l.Requests = max(0, l.Requests-part.Requests)
	l.Unread = max(0, l.Unread-part.Unread)
	l.Held = max(0, l.Held-part.Held)
	l.Overdue = max(0, l.Overdue-part.Overdue)
}

// distance is how much two loads differ, in requests.
func (l Load) distance(other Load) float64 {
	difference := func(a, b int) float64 { return math.Abs(float64(a - b)) }
	return difference(l.Requests, other.Requests) + unreadWeight*difference(l.Unread, other.Unread) +
		heldWeight*difference(l.Held, other.Held) + overdueWeight*difference(l.Overdue, other.Overdue)
}

// isAny tells whether there is a load at all.
func (l Load) isAny() bool { return l != Load{} }

// matters reports whether other zones are sent a load.
func (l Load) matters() bool {
	return l.Requests >= zoneRequests || l.Unread >= zoneUnread || l.Overdue > 0
}

// add adds another sum.
func (l Loads) add(other Loads) {
	for key, load := range other {
		sum := l[key]
		sum.add(load)
		l[key] = sum
	}
}

func (l Loads) encode() *workloadpb.Loads {
	encoded := &workloadpb.Loads{}
	for _, key := range slices.Sorted(maps.Keys(l)) {
		load := l[key]
		encoded.Endpoints = append(encoded.Endpoints, uint32(key))
		encoded.Requests = append(encoded.Requests, unsigned(load.Requests))
		encoded.Unread = append(encoded.Unread, unsigned(load.Unread))
		encoded.Held = append(encoded.Held, unsigned(load.Held))
		encoded.Overdue = append(encoded.Overdue, unsigned(load.Overdue))
	}
	return encoded
}

func unsigned(value int) uint32 { return uint32(min(max(value, 0), loadMost)) }

// decode reads loads; false: the lists do not fit each other, or are too long.
func decode(encoded *workloadpb.Loads) (Loads, bool) {
	count := len(encoded.GetEndpoints())
	if count > entriesMost || len(encoded.Requests) != count || len(encoded.Unread) != count || len(encoded.Held) != count || len(encoded.Overdue) != count {
		return nil, false
	}
	loads := make(Loads, count)
	for index, key := range encoded.Endpoints {
		loads[Key(key)] = Load{
			Requests: bounded(encoded.Requests[index]),
			Unread:   bounded(encoded.Unread[index]),
			Held:     bounded(encoded.Held[index]),
			Overdue:  bounded(encoded.Overdue[index]),
		}
	}
	return loads, true
}

func bounded(value uint32) int { return int(min(value, loadMost)) }
