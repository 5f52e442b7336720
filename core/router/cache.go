package router

import (
	"slices"

	"github.com/hyssophoist/hyssophoist/core/chain"
	"github.com/hyssophoist/hyssophoist/core/message"
)

// prefixCache is the expected content of an engine's prefix cache, built from its cache events.
type prefixCache struct {
	sequence uint64 // of the last event
	hashes   map[uint64]bool
}

// applyCache applies a cache event. The events lost in a gap of the sequence may have been evictions, so all hashes
// from before the gap are dropped: a stale hash sends requests to a worse target, a missing one only costs the
// processing of a prompt.
func (r *Router) applyCache(in message.CacheChanged) {
	t := r.targets.Get(in.Target)
	if t == nil || r.options.IgnoreCache || in.Sequence <= t.cache.sequence {
		return
	}
	if in.Sequence != t.cache.sequence+1 {
		for hash := range t.cache.hashes {
			r.removePrefix(t, hash)
		}
	}
	t.cache.sequence = in.Sequence
	for _, hash := range in.Evicted {
		r.removePrefix(t, hash)
	}
	for _, hash := range in.Added {
		r.addPrefix(t, hash)
	}
}

func (r *Router) addPrefix(t *target, hash uint64) {
	if t.cache.hashes[hash] || len(t.cache.hashes) >= maxCachedPrefixes {
		return
	}
	if t.cache.hashes == nil {
		t.cache.hashes = make(map[uint64]bool)
	}
	t.cache.hashes[hash] = true
	r.prefixHolders[hash] = append(r.prefixHolders[hash], t)
}

func (r *Router) removePrefix(t *target, hash uint64) {
	if !t.cache.hashes[hash] {
		return
	}
	delete(t.cache.hashes, hash)
	i := slices.Index(r.prefixHolders[hash], t)
	remaining := slices.Delete(r.prefixHolders[hash], i, i+1)
	if r.prefixHolders[hash] = remaining; len(remaining) == 0 {
		delete(r.prefixHolders, hash)
	}
}

// cachedFraction returns the fraction of the request's prompt that the target's cache holds, from 0 to 1. Equal hashes
// mean equal prefixes, so a target that holds one prefix holds the shorter ones too.
func (t *target) cachedFraction(q *request) float64 {
	if len(t.cache.hashes) == 0 || len(q.PrefixHashes) == 0 {
		return 0
	}
	low, high := 0, len(q.PrefixHashes)
	for low < high {
		middle := (low + high) / 2
		if t.cache.hashes[q.PrefixHashes[middle]] {
			low = middle + 1
		} else {
			high = middle
		}
	}
	return float64(low) / float64(len(q.PrefixHashes))
}

// preferredNodes returns a random sample of the targets that hold the longest known prefix of the request, as
// candidates for its chain. The slice is valid until the next call.
func (r *Router) preferredNodes(q *request) []chain.Node {
	for i := len(q.PrefixHashes) - 1; i >= 0; i-- {
		holders := r.prefixHolders[q.PrefixHashes[i]]
		if len(holders) == 0 {
			continue
		}
		r.preferred = r.preferred[:0]
		for range min(len(holders), maxPreferredNodes) {
			t := holders[r.random.IntN(len(holders))]
			if !t.unavailable() && t.Model == q.Model {
				r.preferred = append(r.preferred, chain.Node{Index: t.index, Layers: t.Layers})
			}
		}
		return r.preferred
	}
	return nil
}
