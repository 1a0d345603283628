package workload

import "wallflow/internal/workload/workloadpb"

// Reading says that an endpoint was given a prompt that begins with an opening: it keeps the opening from then on.
type Reading struct {
	Part     uint64 // identity of the opening
	Tokens   int
	Endpoint Key
}

const (
	// readingsKept bounds the readings that a hub has in hand, and readingsTold those of one message.
	readingsKept = 1024
	readingsTold = 96
)

// passedReading is a reading with the process that told of it.
type passedReading struct {
	Reading
	from string // internal address; own: this relay's
}

// readingQueue is the readings that are to be passed on, the oldest first. Receivers go through it each at its own place.
type readingQueue struct {
	readings []passedReading
	first    uint64 // number of the oldest
}

func (q *readingQueue) end() uint64 { return q.first + uint64(len(q.readings)) }

func (q *readingQueue) add(from string, readings []Reading) {
	for _, reading := range readings {
		q.readings = append(q.readings, passedReading{reading, from})
	}
	if over := len(q.readings) - readingsKept; over > 0 {
		q.readings = append(q.readings[:0], q.readings[over:]...)
		q.first += uint64(over)
	}
}

// after returns the readings from a place on that a receiver is to be told, and where to go on.
func (q *readingQueue) after(place uint64, wanted func(from string) bool) ([]Reading, uint64) {
	place = max(place, q.first)
	var chosen []Reading
	for ; place < q.end() && len(chosen) < readingsTold; place++ {
		if each := &q.readings[place-q.first]; wanted(each.from) {
			chosen = append(chosen, each.Reading)
		}
	}
	return chosen, place
}

func encodeReadings(readings []Reading) *workloadpb.Readings {
	if len(readings) == 0 {
		return nil
	}
	encoded := &workloadpb.Readings{}
	for _, reading := range readings {
		encoded.Parts = append(encoded.Parts, reading.Part)
		encoded.Endpoints = append(encoded.Endpoints, uint32(reading.Endpoint))
		encoded.Tokens = append(encoded.Tokens, unsigned(reading.Tokens))
	}
	return encoded
}

// decodeReadings reads readings; none where the lists do not fit each other, or are too long.
func decodeReadings(encoded *workloadpb.Readings) []Reading {
	count := len(encoded.GetParts())
	if count > readingsTold || len(encoded.GetEndpoints()) != count || len(encoded.GetTokens()) != count {
		return nil
	}
	readings := make([]Reading, count)
	for index := range readings {
		readings[index] = Reading{
			Part:     encoded.Parts[index],
			Endpoint: Key(encoded.Endpoints[index]),
			Tokens:   bounded(encoded.Tokens[index]),
		}
	}
	return readings
}
