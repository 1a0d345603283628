package selector

import "math"

// hashText is FNV-1a followed by mixBits.
func hashText(text string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	sum := uint64(offset)
	for index := range len(text) {
		sum = (sum ^ uint64(text[index])) * prime
	}
	return mixBits(sum)
}

// mixBits spreads the bits of a number over all of them (the 64-bit finalizer of MurmurHash3).
func mixBits(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}

// rendezvousWeight is the weight of an endpoint for a prompt part in rendezvous hashing. The endpoint with the
// highest weight is preferred, on every relay alike.
func rendezvousWeight(part, endpoint uint64) uint64 { return mixBits(part ^ endpoint) }

// weightedRendezvousScore is the score of a candidate in rendezvous hashing with unequal weights: the highest score
// wins, and each candidate wins in proportion to its weight.
func weightedRendezvousScore(part, candidate uint64, weight int) float64 {
	const scale = 1 << 53
	uniform := (float64(rendezvousWeight(part, candidate)>>11) + 0.5) / scale
	return -float64(weight) / math.Log(uniform)
}
