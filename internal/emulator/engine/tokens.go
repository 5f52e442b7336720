package engine

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// VocabularySize is the number of distinct tokens that the emulator generates.
const VocabularySize = 50_000

// emptyContextHash is the hash of an empty context. It differs from 0 so that an unset hash can be told from it.
const emptyContextHash uint64 = 0x9e3779b97f4a7c15

// ExtendContext returns the hash of the context with hash contextHash followed by tokens. A contextHash of 0 stands for
// an empty context.
func ExtendContext(contextHash uint64, tokens ...uint32) uint64 {
	if contextHash == 0 {
		contextHash = emptyContextHash
	}
	var block [12]byte
	for _, token := range tokens {
		binary.LittleEndian.PutUint64(block[:8], contextHash)
		binary.LittleEndian.PutUint32(block[8:], token)
		contextHash = xxhash.Sum64(block[:])
	}
	return contextHash
}

// NextToken returns the token that follows the context with hash contextHash.
func NextToken(contextHash uint64) uint32 {
	if contextHash == 0 {
		contextHash = emptyContextHash
	}
	return uint32(contextHash % VocabularySize)
}

// ExpectedAnswer returns the answer of length tokens that a correct chain of engines without a stop interval generates
// for prompt.
func ExpectedAnswer(prompt []uint32, length int) []uint32 {
	return ExpectedAnswerWithStop(prompt, length, 0)
}

// ExpectedAnswerWithStop returns the answer of at most length tokens for engines that stop after a token that is a
// multiple of stopInterval. A stopInterval of 0 means that answers end only by length.
func ExpectedAnswerWithStop(prompt []uint32, length, stopInterval int) []uint32 {
	answer := make([]uint32, 0, length)
	contextHash := ExtendContext(0, prompt...)
	for len(answer) < length {
		token := NextToken(contextHash)
		answer = append(answer, token)
		if isStopToken(token, stopInterval) {
			break
		}
		contextHash = ExtendContext(contextHash, token)
	}
	return answer
}

func isStopToken(token uint32, stopInterval int) bool {
	return stopInterval > 0 && token%uint32(stopInterval) == 0
}

// TokenText returns the text of a token: one word with a leading space.
func TokenText(token uint32) string { return " w" + strconv.FormatUint(uint64(token), 10) }

// ExpectedText returns the text of the tokens of ExpectedAnswer.
func ExpectedText(prompt []uint32, length int) string {
	var text []byte
	for _, token := range ExpectedAnswer(prompt, length) {
		text = append(text, TokenText(token)...)
	}
	return string(text)
}
