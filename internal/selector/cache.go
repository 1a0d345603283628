package selector

import "time"

const (
	// minCachedPartTokens is the minimum size of a prompt part that is tracked.
	minCachedPartTokens = 128
	// cachedPartTTL is how long an endpoint is believed to cache a part that this relay knows no use of.
	cachedPartTTL = 60 * time.Second
)

// cachedPart is a part of a prompt that an endpoint is believed to have in its KV cache.
type cachedPart struct {
	id             uint64
	tokens         int
	usedAt         time.Time
	previous, next *cachedPart // LRU list, from the most recently used part
}

// prefixCache holds the prompt parts that an endpoint is believed to have in its KV cache, with least-recently-used
// eviction.
type prefixCache struct {
	parts       map[uint64]*cachedPart
	mostRecent  *cachedPart
	leastRecent *cachedPart
	tokens      int
}

// cachedPrefix returns how many leading parts of a prompt are believed to be cached, and their tokens. A part counts
// only if all parts before it do. Parts too small to track count as not cached.
func (c *prefixCache) cachedPrefix(now time.Time, parts []PromptPart) (count, tokens int) {
	if len(c.parts) == 0 {
		return 0, 0
	}
	for _, part := range parts {
		entry := c.parts[part.ID]
		if entry == nil || now.Sub(entry.usedAt) > cachedPartTTL {
			return count, tokens
		}
		count++
		tokens += part.Tokens
	}
	return count, tokens
}

// add records that the endpoint prefills or reuses the parts of a prompt. capacity is the size of the cache in
// tokens.
func (c *prefixCache) add(now time.Time, parts []PromptPart, capacity int) {
	for _, part := range parts {
		if part.Tokens < minCachedPartTokens {
			return // cachedPrefix never finds the parts after one that is not tracked
		}
		c.touch(now, part)
	}
	c.evict(now, capacity)
}

// touch makes a part the most recently used one, and adds it if it is new.
func (c *prefixCache) touch(now time.Time, part PromptPart) {
	entry := c.parts[part.ID]
	if entry != nil {
		c.unlink(entry)
	} else {
		if c.parts == nil {
			c.parts = map[uint64]*cachedPart{}
		}
		entry = &cachedPart{id: part.ID, tokens: part.Tokens}
		c.parts[part.ID] = entry
		c.tokens += part.Tokens
	}
	entry.usedAt = now
	c.link(entry)
}

// evict removes the least recently used parts that exceed the capacity or are too old.
func (c *prefixCache) evict(now time.Time, capacity int) {
	for c.leastRecent != nil && (c.tokens > capacity || now.Sub(c.leastRecent.usedAt) > cachedPartTTL) {
		c.removePart(c.leastRecent)
	}
}

// remove deletes parts that were recorded but not prefilled in the end.
func (c *prefixCache) remove(parts []PromptPart) {
	for _, part := range parts {
		if entry := c.parts[part.ID]; entry != nil {
			c.removePart(entry)
		}
	}
}

func (c *prefixCache) removePart(part *cachedPart) {
	c.unlink(part)
	delete(c.parts, part.id)
	c.tokens -= part.tokens
}

func (c *prefixCache) link(part *cachedPart) {
	part.previous, part.next = nil, c.mostRecent
	if c.mostRecent == nil {
		c.leastRecent = part
	} else {
		c.mostRecent.previous = part
	}
	c.mostRecent = part
}

func (c *prefixCache) unlink(part *cachedPart) {
	if part.previous == nil {
		c.mostRecent = part.next
	} else {
		part.previous.next = part.next
	}
	if part.next == nil {
		c.leastRecent = part.previous
	} else {
		part.next.previous = part.previous
	}
	part.previous, part.next = nil, nil
}
