package tokenizer

import (
	"slices"
	"strings"
	"testing"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
)

// TestEncodeAndPrefixHashes guards against equal tokens for words that differ in leading whitespace, against different
// hashes for equal prefixes, and against equal hashes for different prefixes.
func TestEncodeAndPrefixHashes(t *testing.T) {
	if got := Encode("a bb  a\n"); len(got) != 4 || got[0] == got[2] {
		t.Errorf("Encode returned %v, want 4 tokens that depend on the leading whitespace", got)
	}
	if len(Encode("")) != 0 {
		t.Error("Encode of an empty text returned tokens")
	}
	words := strings.Repeat("word ", 3*engineapi.PrefixBlockTokens)
	long, other := Encode(words+"end"), Encode("other "+words)
	hashes := engineapi.PrefixHashes(long)
	if len(hashes) != 3 || hashes[0] == hashes[1] {
		t.Errorf("hashes are %v, want 3 different ones", hashes)
	}
	if !slices.Equal(hashes[:2], engineapi.PrefixHashes(long[:2*engineapi.PrefixBlockTokens+1])) {
		t.Error("equal prefixes have different hashes")
	}
	if engineapi.PrefixHashes(other)[2] == hashes[2] {
		t.Error("different prefixes have equal hashes")
	}
}
