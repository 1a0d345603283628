package budget

// counter counts events in the parts of a sliding window, in a ring with one part more than the window has.
type counter struct {
	parts  [buckets + 1]uint32
	newest int64 // slot of the newest part
}

// advance empties the parts that have left the ring. A slot that lies before the newest counts as the newest.
func (c *counter) advance(slot int64) {
	if slot <= c.newest {
		return
	}
	if slot-c.newest > buckets {
		c.parts = [buckets + 1]uint32{}
	} else {
		for passed := c.newest + 1; passed <= slot; passed++ {
			c.parts[passed%(buckets+1)] = 0
		}
	}
	c.newest = slot
}

// add counts one event.
func (c *counter) add(slot int64) {
	c.advance(slot)
	c.parts[c.newest%(buckets+1)]++
}

// touched is the number of events in all parts that the window touches: never less than the window holds.
func (c *counter) touched(slot int64) int {
	c.advance(slot)
	sum := 0
	for _, part := range c.parts {
		sum += int(part)
	}
	return sum
}

// whole is the number of events in the parts that lie in the window as a whole: never more than the window holds.
func (c *counter) whole(slot int64) int {
	sum := c.touched(slot)
	return sum - int(c.parts[(c.newest+1)%(buckets+1)])
}
