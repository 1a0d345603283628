package workload

import (
	"maps"
	"math"
	"slices"

	"wallflow/internal/workload/workloadpb"
)

// Key is a short hash that identifies an endpoint, or a service. Endpoints with the same key are treated as one; such a collision only
// makes the load estimate less accurate.
type Key uint32

// Load is the unfinished work of an endpoint.
type Load struct {
	Requests      int // in flight
	PrefillTokens int // prompt tokens waiting for prefill, of the requests without a first response event
	CacheTokens   int // cache memory used by the requests, in tokens
	Overdue       int // requests whose answer is overdue, at an endpoint that has sent nothing since they were due
}

// Loads is the load by endpoint. Endpoints without load are left out.
type Loads map[Key]Load

// Weights by which the parts of a load are converted to requests, to compare the sizes of changes.
const (
	prefillTokenWeight = 1.0 / 1024  // per token that waits for prefill; prefill of a thousand tokens takes about 25 ms
	cacheTokenWeight   = 1.0 / 16384 // per token of cache memory
	overdueWeight      = 4.0         // per overdue request
)

// add adds another load to l.
func (l *Load) add(other Load) {
	l.Requests += other.Requests
	l.PrefillTokens += other.PrefillTokens
	l.CacheTokens += other.CacheTokens
	l.Overdue += other.Overdue
}

// subtract subtracts a part of the load. The part may date from another time and so exceed the load; the result is never negative.
func (l *Load) subtract(part Load) {
	l.Requests = max(0, l.Requests-part.Requests)
	l.PrefillTokens = max(0, l.PrefillTokens-part.PrefillTokens)
	l.CacheTokens = max(0, l.CacheTokens-part.CacheTokens)
	l.Overdue = max(0, l.Overdue-part.Overdue)
}

// distance returns the weighted difference of two loads, in requests.
func (l Load) distance(other Load) float64 {
	difference := func(a, b int) float64 { return math.Abs(float64(a - b)) }
	return difference(l.Requests, other.Requests) + prefillTokenWeight*difference(l.PrefillTokens, other.PrefillTokens) +
		cacheTokenWeight*difference(l.CacheTokens, other.CacheTokens) + overdueWeight*difference(l.Overdue, other.Overdue)
}

// isNonzero reports whether there is any load.
func (l Load) isNonzero() bool { return l != Load{} }

// isRelevantToOtherZones reports whether a load is large enough to be sent to other zones.
func (l Load) isRelevantToOtherZones() bool {
	return l.Requests >= minZoneRequests || l.PrefillTokens >= minZonePrefillTokens || l.Overdue > 0
}

// add adds other loads to l, endpoint by endpoint.
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
		encoded.Requests = append(encoded.Requests, toWire(load.Requests))
		encoded.Unread = append(encoded.Unread, toWire(load.PrefillTokens))
		encoded.Held = append(encoded.Held, toWire(load.CacheTokens))
		encoded.Overdue = append(encoded.Overdue, toWire(load.Overdue))
	}
	return encoded
}

// toWire converts a value for the wire, limited to between 0 and maxLoadValue.
func toWire(value int) uint32 { return uint32(min(max(value, 0), maxLoadValue)) }

// decodeLoads decodes loads. It returns false if the parallel lists differ in length or are too long.
func decodeLoads(encoded *workloadpb.Loads) (Loads, bool) {
	count := len(encoded.GetEndpoints())
	if count > maxEntries || len(encoded.Requests) != count || len(encoded.Unread) != count ||
		len(encoded.Held) != count || len(encoded.Overdue) != count {
		return nil, false
	}
	loads := make(Loads, count)
	for index, key := range encoded.Endpoints {
		loads[Key(key)] = Load{
			Requests:      fromWire(encoded.Requests[index]),
			PrefillTokens: fromWire(encoded.Unread[index]),
			CacheTokens:   fromWire(encoded.Held[index]),
			Overdue:       fromWire(encoded.Overdue[index]),
		}
	}
	return loads, true
}

// fromWire converts a value from the wire, limited to maxLoadValue.
func fromWire(value uint32) int { return int(min(value, maxLoadValue)) }
