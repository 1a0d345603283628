package selector

import "time"

const (
	// keptLeast is the size of a part that is worth remembering.
	keptLeast = 128
	// keptFor is how long a part that this relay does not use is believed to be kept.
	keptFor = 60 * time.Second
)

// keptPart is a part of a prompt that an endpoint is believed to keep.
type keptPart struct {
	id             uint64
	tokens         int
	usedAt         time.Time
	previous, next *keptPart // from the one used last
}

// partCache is the parts of prompts that an endpoint is believed to keep, the least recently used giving way first.
type partCache struct {
	parts  map[uint64]*keptPart
	newest *keptPart
	oldest *keptPart
	tokens int
}

// kept tells how many parts of a prompt are kept, from the first on, and their tokens. A part counts only if all before it do.
// Parts too small to remember count as not kept.
func (c *partCache) kept(now time.Time, parts []PromptPart) (count, tokens int) {
	if len(c.parts) == 0 {
		return 0, 0
	}
	for _, part := range parts {
		known := c.parts[part.ID]
		if known == nil || now.Sub(known.usedAt) > keptFor {
			return count, tokens
		}
		count++
		tokens += part.Tokens
	}
	return count, tokens
}

// use notes that the endpoint reads or uses the parts of a prompt.
func (c *partCache) use(now time.Time, parts []PromptPart, capacity int) {
	for _, part := range parts {
		if part.Tokens < keptLeast {
			return // what comes after it is never found
		}
		c.touch(now, part)
	}
	c.shrink(now, capacity)
}

func (c *partCache) touch(now time.Time, part PromptPart) {
	known := c.parts[part.ID]
	if known != nil {
		c.unlink(known)
	} else {
		if c.parts == nil {
			c.parts = map[uint64]*keptPart{}
		}
		known = &keptPart{id: part.ID, tokens: part.Tokens}
		c.parts[part.ID] = known
		c.tokens += part.Tokens
	}
	known.usedAt = now
	c.link(known)
}

// shrink forgets the parts used the longest ago that have no room or are too old.
func (c *partCache) shrink(now time.Time, capacity int) {
	for c.oldest != nil && (c.tokens > capacity || now.Sub(c.oldest.usedAt) > keptFor) {
		c.drop(c.oldest)
	}
}

// forget drops parts that were noted and not read after all.
func (c *partCache) forget(parts []PromptPart) {
	for _, part := range parts {
		if known := c.parts[part.ID]; known != nil {
			c.drop(known)
		}
	}
}

func (c *partCache) drop(part *keptPart) {
	c.unlink(part)
	delete(c.parts, part.id)
	c.tokens -= part.tokens
}

func (c *partCache) link(part *keptPart) {
	part.previous, part.next = nil, c.newest
	if c.newest == nil {
		c.oldest = part
	} else {
		c.newest.previous = part
	}
	c.newest = part
}

func (c *partCache) unlink(part *keptPart) {
	if part.previous == nil {
		c.newest = part.next
	} else {
		part.previous.next = part.next
	}
	if part.next == nil {
		c.oldest = part.previous
	} else {
		part.next.previous = part.previous
	}
	part.previous, part.next = nil, nil
}
