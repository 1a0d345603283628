package selector

import "math"

// hashText is FNV-1a, with its bits mixed.
func hashText(text string) uint64 {
	const offset, prime = 14695981039346656037, 1099511628211
	sum := uint64(offset)
	for index := range len(text) {
		sum = (sum ^ uint64(text[index])) * prime
	}
	return mix(sum)
}

// mix spreads the bits of a number over all of them.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	return value ^ value>>33
}

// rendezvous is the weight of an endpoint for a part of a prompt: the highest has the first claim, on every relay.
func rendezvous(part, endpoint uint64) uint64 { return mix(part ^ endpoint) }

// weightedRendezvous is the claim of one of several holders with unequal weights: the highest claim wins, and each holder wins in
// proportion to its weight.
func weightedRendezvous(part, holder uint64, weight int) float64 {
	const most = 1 << 53
	lot := (float64(rendezvous(part, holder)>>11) + 0.5) / most
	return -float64(weight) / math.Log(lot)
}
