package registry

// The instances are compared between processes by digests: each instance has a hash, the hashes of a bucket are added up (so
// that their order doesn't matter and one instance can be taken out again), and so are the buckets.

const (
	hashOffset = 14695981039346656037 // FNV-1a
	hashPrime  = 1099511628211
	hashEnd    = 0xff // closes each string, so that "ab","c" differs from "a","bc"
)

// Hash64 is a running hash of strings and numbers; it starts with NewHash64.
type Hash64 uint64

// NewHash64 returns the hash of nothing.
func NewHash64() Hash64 { return hashOffset }

// Text adds a string.
func (h Hash64) Text(text string) Hash64 {
	for index := range len(text) {
		h = (h ^ Hash64(text[index])) * hashPrime
	}
	return (h ^ hashEnd) * hashPrime
}

// Number adds a number.
func (h Hash64) Number(number uint64) Hash64 {
	const bytesOfNumber = 8
	for range bytesOfNumber {
		h = (h ^ Hash64(number&0xff)) * hashPrime
		number >>= 8
	}
	return h
}

// Byte adds one byte.
func (h Hash64) Byte(value byte) Hash64 { return (h ^ Hash64(value)) * hashPrime }

// Sum returns the hash with its bits well mixed (the finalizer of splitmix64).
func (h Hash64) Sum() uint64 {
	mixed := uint64(h)
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

// IDHash returns the hash of an instance's id.
func IDHash(id string) uint64 { return NewHash64().Text(id).Sum() }

// ContentHash returns the hash of what is said of an instance under the given state, apart from spans of time and heartbeat
// numbers. Gone instances have none (0): they are forgotten after a while, at each process when it likes.
func ContentHash(instance Instance, state State) uint64 {
	if state == StateGone {
		return 0
	}
	hash := NewHash64().Text(instance.ID).Text(instance.Backend).Text(instance.Address).Text(instance.Zone)
	hash = hash.Text(instance.Generation).Number(uint64(instance.Slots)).Text(string(state)).Text(instance.Phase)
	for _, model := range instance.Models {
		hash = hash.Text(model)
	}
	return hash.Sum()
}

// fingerprintOf is the short name of an id in digests; two ids may share one.
func fingerprintOf(id string) uint32 { return uint32(IDHash(id)) }
