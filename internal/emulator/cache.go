package emulator

import "container/list"

// cacheKey names a kept part: the same part of another model is another one.
type cacheKey struct {
	model string
	part  string
}

// keptPart is a part whose tokens are in memory. One that a running job uses can't give way.
type keptPart struct {
	key    cacheKey
	tokens int
	users  int
	place  *list.Element // in the order of use, while nobody uses it
}

// cache holds prompt parts and counts memory. Parts that nobody uses give way, the one unused the longest first.
type cache struct {
	capacity int
	held     int // tokens of running jobs, their parts included
	idle     int // tokens of parts that nobody uses
	parts    map[cacheKey]*keptPart
	unused   *list.List // of *keptPart, the one unused the longest in front
}

func newCache(capacity int) *cache {
	return &cache{
		capacity: capacity,
		parts:    make(map[cacheKey]*keptPart),
		unused:   list.New(),
	}
}

// prefix returns the kept parts at the start of a prompt, up to the first that is missing.
func (c *cache) prefix(model string, parts []Part) []*keptPart {
	var found []*keptPart
	for _, part := range parts {
		kept := c.parts[cacheKey{model: model, part: part.ID}]
		if kept == nil || kept.tokens != part.Tokens {
			break
		}
		found = append(found, kept)
	}
	return found
}

// use keeps a part from giving way.
func (c *cache) use(kept *keptPart) {
	if kept.users == 0 {
		c.unused.Remove(kept.place)
		kept.place = nil
		c.idle -= kept.tokens
		c.held += kept.tokens
	}
	kept.users++
}

// release ends a use.
func (c *cache) release(kept *keptPart) {
	kept.users--
	if kept.users == 0 {
		kept.place = c.unused.PushBack(kept)
		c.held -= kept.tokens
		c.idle += kept.tokens
	}
}

// keep makes a part of tokens that a job holds already. Where the part is there, the job's own copy is given up.
func (c *cache) keep(model string, part Part) *keptPart {
	key := cacheKey{model: model, part: part.ID}
	if kept := c.parts[key]; kept != nil && kept.tokens == part.Tokens {
		c.use(kept)
		c.held -= part.Tokens
		return kept
	}
	kept := &keptPart{key: key, tokens: part.Tokens, users: 1}
	if c.parts[key] == nil {
		c.parts[key] = kept
	}
	return kept
}

// drop ends the use of a part that is not in the cache under its name.
func (c *cache) drop(kept *keptPart) {
	if c.parts[kept.key] == kept {
		c.release(kept)
		return
	}
	c.held -= kept.tokens
}

// hold takes memory for a running job; parts that nobody uses give way. It returns false, and takes nothing, where there is no room.
func (c *cache) hold(tokens int) bool {
	if c.held+tokens > c.capacity {
		return false
	}
	c.held += tokens
	c.makeRoom()
	return true
}

// free gives memory of a running job back.
func (c *cache) free(tokens int) { c.held -= tokens }

func (c *cache) makeRoom() {
	for c.held+c.idle > c.capacity {
		oldest := c.unused.Front()
		kept := c.unused.Remove(oldest).(*keptPart)
		delete(c.parts, kept.key)
		c.idle -= kept.tokens
	}
}
