// Package tokenizer splits text into words and maps each to a 32-bit token id. It is used in place of a model's own
// tokenizer: it is deterministic, needs no vocabulary file, and gives equal words equal ids on every daemon.
package tokenizer

import (
	"unicode"

	"github.com/cespare/xxhash/v2"
)

// Encode returns one token id for each word of text. A word includes the whitespace before it, so that texts that
// differ only in whitespace have different tokens.
func Encode(text string) []uint32 {
	tokens := make([]uint32, 0, len(text)/5+1)
	for len(text) > 0 {
		end := wordEnd(text)
		tokens = append(tokens, uint32(xxhash.Sum64String(text[:end])))
		text = text[end:]
	}
	return tokens
}

// wordEnd returns the length in bytes of the first word of text, including the whitespace before it.
func wordEnd(text string) int {
	inWord := false
	for i, r := range text {
		space := unicode.IsSpace(r)
		if space && inWord {
			return i
		}
		if !space {
			inWord = true
		}
	}
	return len(text)
}
