package engine

import (
	"container/list"
	"fmt"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
)

// kvStore is an LRU cache of the KV of requests. KV belongs to a request, not to an attempt, so that a later attempt
// can reuse it. It is not safe for concurrent use.
type kvStore struct {
	capacity   int // in tokens
	usedTokens int
	entries    map[string]*list.Element
	lru        *list.List // of *kvEntry, most recently used first
}

type kvEntry struct {
	request        string
	reservedTokens int // tokens for which memory is reserved
	validTokens    int // leading tokens whose KV has been computed or imported
	activeSteps    int // steps in progress; the entry is evicted only if 0
	laterStages    []engineapi.Stage
}

func newKVStore(capacity int) *kvStore {
	return &kvStore{capacity: capacity, entries: map[string]*list.Element{}, lru: list.New()}
}

// reserve reserves memory for tokens of request and increments activeSteps of its entry. The caller decrements it.
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

// evict removes requests without a step in progress, least recently used first, until needed more tokens fit. It
// returns whether they fit.
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

// prefixCache is an LRU cache of the hashes of prompt blocks. It is not safe for concurrent use.
type prefixCache struct {
	capacity int // in blocks
	blocks   map[uint64]*list.Element
	lru      *list.List // of uint64, most recently used first
}

func newPrefixCache(capacity int) *prefixCache {
	return &prefixCache{capacity: capacity, blocks: map[uint64]*list.Element{}, lru: list.New()}
}

// match returns the number of leading blocks that are in the cache, and marks them as recently used.
func (c *prefixCache) match(blocks []uint64) int {
	matched := 0
	for _, block := range blocks {
		if _, ok := c.blocks[block]; !ok {
			break
		}
		matched++
	}
	// Touch the first blocks last, so that the end of a prefix is evicted before its beginning.
	for i := matched - 1; i >= 0; i-- {
		c.lru.MoveToFront(c.blocks[blocks[i]])
	}
	return matched
}

// add inserts blocks into the cache and returns those added and those evicted. If blocks exceeds the capacity, only the
// leading blocks are inserted.
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

// clear empties the cache and returns the evicted blocks.
func (c *prefixCache) clear() []uint64 {
	var evicted []uint64
	for element := c.lru.Front(); element != nil; element = element.Next() {
		evicted = append(evicted, element.Value.(uint64))
	}
	c.blocks = map[uint64]*list.Element{}
	c.lru.Init()
	return evicted
}
