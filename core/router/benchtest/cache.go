package benchtest

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/message"
)

const (
	cacheBlocks        = 1500 // prompt blocks that an engine's prefix cache holds
	cachePeriod        = 500 * time.Millisecond
	cacheEventsPerLoss = 20  // one cache event in this many is lost
	cachedBlockCost    = 0.1 // work of a cached block relative to a computed one
	prefixesPerAccount = 40  // shared prefixes of each account
)

// prefixCache is a cache of prompt blocks with first-in, first-out eviction.
type prefixCache struct {
	blocks   map[uint64]bool
	order    []uint64
	added    []uint64
	evicted  []uint64
	sequence uint64
}

func (c *prefixCache) add(hash uint64) {
	if c.blocks[hash] {
		return
	}
	if c.blocks == nil {
		c.blocks = make(map[uint64]bool)
	}
	if len(c.order) >= cacheBlocks {
		delete(c.blocks, c.order[0])
		c.evicted = append(c.evicted, c.order[0])
		c.order = c.order[1:]
	}
	c.blocks[hash] = true
	c.order = append(c.order, hash)
	c.added = append(c.added, hash)
}

// publishCacheEvents sends the cache changes to each daemon after a lag. Some events are lost.
func (e *engine) publishCacheEvents() {
	sim, c := e.sim, &e.cache
	sim.after(cachePeriod, e.publishCacheEvents)
	if len(c.added) == 0 || e.dead || e.paused {
		return
	}
	c.sequence++
	in := message.CacheChanged{Target: e.id, Sequence: c.sequence, Added: c.added, Evicted: c.evicted}
	c.added, c.evicted = nil, nil
	lost := sim.random.IntN(cacheEventsPerLoss) == 0
	for _, d := range sim.daemons {
		lag := reportLagMin + time.Duration(sim.random.Int64N(int64(reportLagRange)))
		if !lost && sim.reachable(sim.fleet.targetZones[e.index], d.zone) {
			sim.after(lag, func() { d.push(in) })
		}
	}
}

// prefixHashes returns one hash for each full block of the prompt. The first blocks are the same for all requests of
// the account that use the same one of its shared prefixes.
func (sim *Simulation) prefixHashes(j *job) []uint64 {
	blocks := j.prompt / chunkTokens
	shared := int(float64(blocks) * sim.options.Load.SharedPrefix)
	hashes := make([]uint64, blocks)
	hash := uint64(sim.nextID % prefixesPerAccount)
	for _, letter := range j.account {
		hash = hash*1099511628211 + uint64(letter)
	}
	for i := range hashes {
		if i == shared {
			hash += uint64(sim.nextID) << 20
		}
		hash = (hash ^ uint64(i+1)) * 0x9e3779b97f4a7c15
		hash ^= hash >> 29
		hashes[i] = hash
	}
	return hashes
}
