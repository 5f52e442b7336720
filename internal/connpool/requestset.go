package connpool

import (
	"hash/maphash"
	"slices"
)

// requestSeed makes the hashes of request ids, which callers choose, unpredictable.
var requestSeed = maphash.MakeSeed()

// requestSet is a set of request ids. It holds their hashes, so that long ids take no more memory than short ones; two requests
// with the same hash count as the same one.
type requestSet []uint64

func (s *requestSet) add(id string) {
	if !s.has(id) {
		*s = append(*s, maphash.String(requestSeed, id))
	}
}

func (s requestSet) has(id string) bool { return slices.Contains(s, maphash.String(requestSeed, id)) }
