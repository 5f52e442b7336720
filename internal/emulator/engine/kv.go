package engine

import (
	"container/list"
	"fmt"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
)

// kvStore holds the KV of requests. KV belongs to a request, not to an attempt, so that a later attempt can use it.
// The least recently used requests are evicted. It is not safe for concurrent use.
type kvStore struct {
	capacity   int // in tokens
	usedTokens int
	entries    map[string]*list.Element
	lru        *list.List // of *kvEntry, most recently used first
}

type kvEntry struct {
	request        string
	reservedTokens int // tokens that are reserved in memory
	validTokens    int // leading tokens whose KV has been computed or imported
	activeSteps    int // steps in progress; such an entry is not evicted
	laterStages    []engineapi.Stage
}

func newKVStore(capacity int) *kvStore {
	return &kvStore{capacity: capacity, entries: map[string]*list.Element{}, lru: list.New()}
}

// reserve makes room for tokens of request and marks its KV as used by one more step. The caller ends the step.
func (s *kvStore) reserve(request string, tokens int) (*kvEntry, error) {
	entry := &kvEntry{request: request}
	element, ok := s.entries[request]
	if ok {
		entry = element.Value.(*kvEntry)
		s.lru.MoveToFront(element)
	}
	entry.activeSteps++
	needed := max(tokens-entry.reservedTokens, 0)
	if !s.evict(needed) {
		entry.activeSteps--
		return nil, fmt.Errorf("KV memory of %d tokens is full", s.capacity)
	}
	if !ok {
		s.entries[request] = s.lru.PushFront(entry)
	}
	entry.reservedTokens += needed
	s.usedTokens += needed
	return entry, nil
}

// evict frees requests without a step in progress until needed tokens fit. It returns whether they do.
func (s *kvStore) evict(needed int) bool {
	element := s.lru.Back()
	for s.usedTokens+needed > s.capacity && element != nil {
		previous := element.Prev()
		if entry := element.Value.(*kvEntry); entry.activeSteps == 0 {
			s.usedTokens -= entry.reservedTokens
			delete(s.entries, entry.request)
			s.lru.Remove(element)
		}
		element = previous
	}
	return s.usedTokens+needed <= s.capacity
}

func (s *kvStore) get(request string) *kvEntry {
	if element, ok := s.entries[request]; ok {
		return element.Value.(*kvEntry)
	}
	return nil
}

// prefixCache holds the hashes of prompt blocks, of which the least recently used are evicted. It is not safe for
// concurrent use.
type prefixCache struct {
	capacity int // in blocks
	blocks   map[uint64]*list.Element
	lru      *list.List // of uint64, most recently used first
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: map[uint64]*list.Element{}, lru: list.New()}
}

// match returns the number of leading blocks that are in the cache, and marks them as used.
func (c *prefixCache) match(blocks []uint64) int {
	matched := 0
	for _, block := range blocks {
		if _, ok := c.blocks[block]; !ok {
			break
		}
		matched++
	}
	// The first blocks are used last, so that a prefix loses its end before its beginning.
	for i := matched - 1; i >= 0; i-- {
		c.lru.MoveToFront(c.blocks[blocks[i]])
	}
	return matched
}

// add puts blocks into the cache and returns those that were added and evicted. Of more blocks than fit, the first are
// kept.
func (c *prefixCache) add(blocks []uint64) (added, evicted []uint64) {
	blocks = blocks[:min(len(blocks), c.capacity)]
	c.match(blocks)
	for i := len(blocks) - 1; i >= 0; i-- {
		element, ok := c.blocks[blocks[i]]
		if ok {
			c.lru.MoveToFront(element)
			continue
		}
		c.blocks[blocks[i]] = c.lru.PushFront(blocks[i])
		added = append(added, blocks[i])
	}
	for c.lru.Len() > c.capacity {
		block := c.lru.Remove(c.lru.Back()).(uint64)
		delete(c.blocks, block)
		evicted = append(evicted, block)
	}
	return added, evicted
}

// clear empties the cache and returns what it held.
func (c *prefixCache) clear() []uint64 {
	var evicted []uint64
	for element := c.lru.Front(); element != nil; element = element.Next() {
		evicted = append(evicted, element.Value.(uint64))
	}
	c.blocks = map[uint64]*list.Element{}
	c.lru.Init()
	return evicted
}
