package distribution

import "wallflow/internal/registry"

const (
	// bucketCount is the number of buckets by which two processes compare the instances that they hold. With 12,000 instances, each bucket
	// that differs costs sending about 190 instances of 100 bytes each; the digests of a subscription take 512 bytes.
	bucketCount = 64
	// bucketShift leaves as many bits of a 64-bit hash as a bucket number has.
	bucketShift = 58
)

// bucketOf returns the bucket of the instance with an ID.
func bucketOf(id string) int { return int(registry.IDHash(id) >> bucketShift) }

// buckets holds the digest of each bucket: the sum of the content hashes of its instances.
type buckets [bucketCount]uint64

// replace replaces the hash of an instance in the digest of its bucket. A hash of 0 stands for no instance.
func (b *buckets) replace(id string, before, after uint64) { b[bucketOf(id)] += after - before }

// sum returns the digest of all instances.
func (b *buckets) sum() uint64 {
	var sum uint64
	for _, bucket := range b {
		sum += bucket
	}
	return sum
}
