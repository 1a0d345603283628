package budget

// counter counts events in the buckets of a sliding window, in a ring that has one bucket more than the window.
type counter struct {
	buckets      [windowBuckets + 1]uint32
	newestBucket int64 // number of the newest bucket
}

// advance clears the buckets that have left the ring. A bucket before the newest one is treated as the newest.
func (c *counter) advance(bucket int64) {
	if bucket <= c.newestBucket {
		return
	}
	if bucket-c.newestBucket > windowBuckets {
		c.buckets = [windowBuckets + 1]uint32{}
	} else {
		for passed := c.newestBucket + 1; passed <= bucket; passed++ {
			c.buckets[passed%(windowBuckets+1)] = 0
		}
	}
	c.newestBucket = bucket
}

// add counts an event in a bucket.
func (c *counter) add(bucket int64) {
	c.advance(bucket)
	c.buckets[c.newestBucket%(windowBuckets+1)]++
}

// upperBound returns the number of events in all buckets that overlap the window that ends in a given bucket. It is never less than the
// number of events in the window.
func (c *counter) upperBound(bucket int64) int {
	c.advance(bucket)
	sum := 0
	for _, count := range c.buckets {
		sum += int(count)
	}
	return sum
}

// lowerBound returns the number of events in the buckets that lie entirely inside the window that ends in a given bucket. It is never
// more than the number of events in the window.
func (c *counter) lowerBound(bucket int64) int {
	sum := c.upperBound(bucket)
	return sum - int(c.buckets[(c.newestBucket+1)%(windowBuckets+1)])
}
