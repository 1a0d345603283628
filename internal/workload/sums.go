package workload

import (
	"maps"
	"math"
	"slices"

	"wallflow/internal/workload/workloadpb"
)

// SumTerms is how many figures the sums of a service have.
const SumTerms = 10

// servicesMost bounds the services that a message has sums of.
const servicesMost = 64

// Sums are figures that add up over relays, by service: what the answers of its engines have shown.
type Sums map[Key][SumTerms]float64

// add adds a part of the sums.
func (s Sums) add(part Sums) {
	for key, figures := range part {
		sum := s[key]
		for term := range figures {
			sum[term] += figures[term]
		}
		s[key] = sum
	}
}

// without is the sums less a part of them.
func (s Sums) without(part Sums) Sums {
	rest := maps.Clone(s)
	for key, figures := range part {
		left := rest[key]
		for term := range figures {
			left[term] -= figures[term]
		}
		rest[key] = left
	}
	return rest
}

func (s Sums) encode() []*workloadpb.Sums {
	var encoded []*workloadpb.Sums
	for _, key := range slices.Sorted(maps.Keys(s)) {
		figures := make([]float32, SumTerms)
		for term, figure := range s[key] {
			figures[term] = float32(figure)
		}
		encoded = append(encoded, &workloadpb.Sums{Service: uint32(key), Figures: figures})
	}
	return encoded[:min(len(encoded), servicesMost)]
}

// decodeSums reads sums; what can't be used is left out.
func decodeSums(encoded []*workloadpb.Sums) Sums {
	sums := make(Sums, len(encoded))
	for _, each := range encoded[:min(len(encoded), servicesMost)] {
		if len(each.GetFigures()) != SumTerms || slices.ContainsFunc(each.Figures, notFinite) {
			continue
		}
		var figures [SumTerms]float64
		for term, figure := range each.Figures {
			figures[term] = float64(figure)
		}
		sums[Key(each.GetService())] = figures
	}
	return sums
}

func notFinite(figure float32) bool {
	return math.IsNaN(float64(figure)) || math.IsInf(float64(figure), 0)
}
