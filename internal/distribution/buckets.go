package distribution

import "wallflow/internal/registry"

// bucketCount is the number of buckets by which two processes compare the instances that they hold. With 12,000 instances a
// bucket that differs costs about 190 of them, at 100 bytes each; the buckets of a subscription take 512 bytes.
const (
	bucketCount = 64
	bucketShift = 58
)

func bucketOf(id string) int { return int(registry.IDHash(id) >> bucketShift) }

// buckets are the digests of the instances held, by bucket.
type buckets [bucketCount]uint64

// replace takes the hash of one instance out and puts another in.
func (b *buckets) replace(id string, before, after uint64) { b[bucketOf(id)] += after - before }

// sum returns the digest of all.
func (b *buckets) sum() uint64 {
	var sum uint64
	for _, bucket := range b {
		sum += bucket
	}
	return sum
}
