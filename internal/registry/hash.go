package registry

// Control processes compare their instances by digests. Each instance has a hash. The digest of a bucket is the sum
// of the hashes of its instances, so that their order doesn't matter and a single instance can be subtracted again.
// The digest of the table is the sum of its buckets.

const (
	hashOffset     = 14695981039346656037 // FNV-1a
	hashPrime      = 1099511628211
	hashTerminator = 0xff // terminates each string, so that "ab","c" differs from "a","bc"
)

// Hash64 is a running FNV-1a hash of strings and numbers. It starts with NewHash64.
type Hash64 uint64

// NewHash64 returns the hash of the empty input.
func NewHash64() Hash64 { return hashOffset }

// Text adds a string.
func (h Hash64) Text(text string) Hash64 {
	for index := range len(text) {
		h = (h ^ Hash64(text[index])) * hashPrime
	}
	return (h ^ hashTerminator) * hashPrime
}

// Number adds a number.
func (h Hash64) Number(number uint64) Hash64 {
	const bytesPerNumber = 8
	for range bytesPerNumber {
		h = (h ^ Hash64(number&0xff)) * hashPrime
		number >>= 8
	}
	return h
}

// Byte adds one byte.
func (h Hash64) Byte(value byte) Hash64 { return (h ^ Hash64(value)) * hashPrime }

// Sum returns the hash with its bits mixed by the finalizer of splitmix64.
func (h Hash64) Sum() uint64 {
	mixed := uint64(h)
	mixed = (mixed ^ mixed>>30) * 0xbf58476d1ce4e5b9
	mixed = (mixed ^ mixed>>27) * 0x94d049bb133111eb
	return mixed ^ mixed>>31
}

// IDHash returns the hash of an instance ID.
func IDHash(id string) uint64 { return NewHash64().Text(id).Sum() }

// ContentHash returns the hash of the description of an instance under the given state. It excludes times and
// heartbeat numbers. The hash of a gone instance is 0, because each process forgets gone instances at a time of its
// own.
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

// fingerprintOf returns the 32-bit hash that identifies an ID in digests. Two IDs may share one.
func fingerprintOf(id string) uint32 { return uint32(IDHash(id)) }
