package engineapi

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockTokens is the number of tokens in one block of the prefix cache.
const PrefixBlockTokens = 16

// PrefixHashes returns one hash for each complete block of tokens. Hash i covers the first i+1 blocks, so equal hashes
// mean equal prefixes. Cache events identify blocks by these hashes.
func PrefixHashes(tokens []uint32) []uint64 {
	hashes := make([]uint64, 0, len(tokens)/PrefixBlockTokens)
	var block [8 + 4*PrefixBlockTokens]byte
	for len(tokens) >= PrefixBlockTokens {
		for i, token := range tokens[:PrefixBlockTokens] {
			binary.LittleEndian.PutUint32(block[8+4*i:], token)
		}
		hash := xxhash.Sum64(block[:])
		hashes = append(hashes, hash)
		binary.LittleEndian.PutUint64(block[:8], hash)
		tokens = tokens[PrefixBlockTokens:]
	}
	return hashes
}
