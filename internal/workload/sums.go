package workload

import (
	"maps"
	"math"
	"slices"

	"wallflow/internal/workload/workloadpb"
)

// SumTerms is the number of terms in the sums of a service.
const SumTerms = 10

// maxServices is the maximum number of services whose sums are in one message.
const maxServices = 64

// Sums holds, by service, the terms from which the speed of its engines is estimated. The terms are sums over answers, so that those of
// several relays can be added. Package selector defines the terms.
type Sums map[Key][SumTerms]float64

// add adds other sums to s, term by term.
func (s Sums) add(part Sums) {
	for key, terms := range part {
		sum := s[key]
		for index := range terms {
			sum[index] += terms[index]
		}
		s[key] = sum
	}
}

// without returns the sums minus a part of them.
func (s Sums) without(part Sums) Sums {
	rest := maps.Clone(s)
	for key, terms := range part {
		remainder := rest[key]
		for index := range terms {
			remainder[index] -= terms[index]
		}
		rest[key] = remainder
	}
	return rest
}

func (s Sums) encode() []*workloadpb.Sums {
	var encoded []*workloadpb.Sums
	for _, key := range slices.Sorted(maps.Keys(s)) {
		terms := make([]float32, SumTerms)
		for index, value := range s[key] {
			terms[index] = float32(value)
		}
		encoded = append(encoded, &workloadpb.Sums{Service: uint32(key), Figures: terms})
	}
	return encoded[:min(len(encoded), maxServices)]
}

// decodeSums decodes sums. It skips services with a wrong number of terms or with terms that are not finite.
func decodeSums(encoded []*workloadpb.Sums) Sums {
	sums := make(Sums, len(encoded))
	for _, entry := range encoded[:min(len(encoded), maxServices)] {
		if len(entry.GetFigures()) != SumTerms || slices.ContainsFunc(entry.Figures, notFinite) {
			continue
		}
		var terms [SumTerms]float64
		for index, value := range entry.Figures {
			terms[index] = float64(value)
		}
		sums[Key(entry.GetService())] = terms
	}
	return sums
}

func notFinite(value float32) bool {
	return math.IsNaN(float64(value)) || math.IsInf(float64(value), 0)
}
