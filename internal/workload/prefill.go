package workload

import "wallflow/internal/workload/workloadpb"

// Prefill reports that an endpoint was sent a prompt with a given prefix, and so has the prefix in its cache from then on.
type Prefill struct {
	PrefixID uint64 // identifies the prefix
	Tokens   int    // length of the prefix
	Endpoint Key
}

const (
	// maxQueuedPrefills bounds the reports that a relay keeps for sending, and maxPrefillsPerMessage those in one message.
	maxQueuedPrefills     = 1024
	maxPrefillsPerMessage = 96
)

// queuedPrefill is a prefill report and the relay that it came from.
type queuedPrefill struct {
	Prefill
	reporter string // internal address; that of this relay for its own reports
}

// prefillQueue holds the prefill reports to be forwarded, the oldest first. Each receiver has its own position in it. The oldest reports
// are dropped when there are more than maxQueuedPrefills, whether or not all receivers have got them.
type prefillQueue struct {
	entries       []queuedPrefill
	firstPosition uint64 // position of entries[0]
}

func (q *prefillQueue) endPosition() uint64 { return q.firstPosition + uint64(len(q.entries)) }

func (q *prefillQueue) add(reporter string, prefills []Prefill) {
	for _, prefill := range prefills {
		q.entries = append(q.entries, queuedPrefill{prefill, reporter})
	}
	if excess := len(q.entries) - maxQueuedPrefills; excess > 0 {
		q.entries = append(q.entries[:0], q.entries[excess:]...)
		q.firstPosition += uint64(excess)
	}
}

// prefillsFrom returns the reports that start at a position and whose reporter is accepted by include, at most maxPrefillsPerMessage of
// them. It also returns the position to continue from.
func (q *prefillQueue) prefillsFrom(position uint64, include func(reporter string) bool) ([]Prefill, uint64) {
	position = max(position, q.firstPosition)
	var chosen []Prefill
	for ; position < q.endPosition() && len(chosen) < maxPrefillsPerMessage; position++ {
		if entry := &q.entries[position-q.firstPosition]; include(entry.reporter) {
			chosen = append(chosen, entry.Prefill)
		}
	}
	return chosen, position
}

func encodePrefills(prefills []Prefill) *workloadpb.Readings {
	if len(prefills) == 0 {
		return nil
	}
	encoded := &workloadpb.Readings{}
	for _, prefill := range prefills {
		encoded.Parts = append(encoded.Parts, prefill.PrefixID)
		encoded.Endpoints = append(encoded.Endpoints, uint32(prefill.Endpoint))
		encoded.Tokens = append(encoded.Tokens, toWire(prefill.Tokens))
	}
	return encoded
}

// decodePrefills decodes prefill reports. It returns none if the parallel lists differ in length or are too long.
func decodePrefills(encoded *workloadpb.Readings) []Prefill {
	count := len(encoded.GetParts())
	if count > maxPrefillsPerMessage || len(encoded.GetEndpoints()) != count || len(encoded.GetTokens()) != count {
		return nil
	}
	prefills := make([]Prefill, count)
	for index := range prefills {
		prefills[index] = Prefill{
			PrefixID: encoded.Parts[index],
			Endpoint: Key(encoded.Endpoints[index]),
			Tokens:   fromWire(encoded.Tokens[index]),
		}
	}
	return prefills
}
