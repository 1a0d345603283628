package emulator

import "container/list"

// cacheKey identifies a cached prompt part. Parts of different models are distinct, even with the same ID.
type cacheKey struct {
	model string
	part  string
}

// cachedPart is a prompt part whose tokens are in KV memory. It can be evicted only while no running job uses it.
type cachedPart struct {
	key        cacheKey
	tokens     int
	refCount   int
	lruElement *list.Element // entry in cache.lru; nil while a job uses the part
}

// cache models the KV cache of an engine: it stores prompt parts and accounts for memory, in tokens. Unused parts are evicted in
// least-recently-used order.
type cache struct {
	capacity   int
	usedTokens int // tokens of running jobs, including the cached parts that they use
	idleTokens int // tokens of cached parts that no job uses
	parts      map[cacheKey]*cachedPart
	lru        *list.List // unused parts as *cachedPart, least recently used first
}

func newCache(capacity int) *cache {
	return &cache{
		capacity: capacity,
		parts:    make(map[cacheKey]*cachedPart),
		lru:      list.New(),
	}
}

// cachedPrefix returns the cached parts at the start of a prompt, up to the first part that is not cached.
func (c *cache) cachedPrefix(model string, parts []Part) []*cachedPart {
	var cachedParts []*cachedPart
	for _, part := range parts {
		cached := c.parts[cacheKey{model: model, part: part.ID}]
		if cached == nil || cached.tokens != part.Tokens {
			break
		}
		cachedParts = append(cachedParts, cached)
	}
	return cachedParts
}

// acquire adds a user to a part, which protects it from eviction.
func (c *cache) acquire(cached *cachedPart) {
	if cached.refCount == 0 {
		c.lru.Remove(cached.lruElement)
		cached.lruElement = nil
		c.idleTokens -= cached.tokens
		c.usedTokens += cached.tokens
	}
	cached.refCount++
}

// release removes a user from a part. A part without users can be evicted.
func (c *cache) release(cached *cachedPart) {
	cached.refCount--
	if cached.refCount == 0 {
		cached.lruElement = c.lru.PushBack(cached)
		c.usedTokens -= cached.tokens
		c.idleTokens += cached.tokens
	}
}

// insert caches a part whose tokens a running job has already reserved, and returns it with the job as a user. If the part is cached
// already, the job shares it and its own copy is freed.
func (c *cache) insert(model string, part Part) *cachedPart {
	key := cacheKey{model: model, part: part.ID}
	if cached := c.parts[key]; cached != nil && cached.tokens == part.Tokens {
		c.acquire(cached)
		c.usedTokens -= part.Tokens
		return cached
	}
	cached := &cachedPart{key: key, tokens: part.Tokens, refCount: 1}
	if c.parts[key] == nil {
		c.parts[key] = cached
	}
	return cached
}

// discard ends a job's use of a part. A private copy, which is not in the cache under its key, is freed at once.
func (c *cache) discard(cached *cachedPart) {
	if c.parts[cached.key] == cached {
		c.release(cached)
		return
	}
	c.usedTokens -= cached.tokens
}

// reserve allocates memory to a running job and evicts unused parts as needed. It returns false and allocates nothing if the memory in
// use by running jobs leaves too little.
func (c *cache) reserve(tokens int) bool {
	if c.usedTokens+tokens > c.capacity {
		return false
	}
	c.usedTokens += tokens
	c.evictIdle()
	return true
}

// free returns memory that a running job had reserved.
func (c *cache) free(tokens int) { c.usedTokens -= tokens }

// evictIdle evicts unused parts until the memory in use is within the capacity.
func (c *cache) evictIdle() {
	for c.usedTokens+c.idleTokens > c.capacity {
		oldest := c.lru.Front()
		evicted := c.lru.Remove(oldest).(*cachedPart)
		delete(c.parts, evicted.key)
		c.idleTokens -= evicted.tokens
	}
}
