package routing

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// Card describes the published performance of one accelerator type.
type Card struct {
	// MemoryBytes is the memory for the weights of layers and the KV cache of requests.
	MemoryBytes float64
	// DecodeFactor multiplies the duration of decode steps.
	DecodeFactor float64
	// PrefillFactor multiplies the duration of prefill.
	PrefillFactor float64
}

// Engine holds the published performance figures of the model engines of a service. Durations are those of a pass
// through all layers and scale with the share of the layers that a target runs.
type Engine struct {
	Model entity.ModelID
	// Layers is the number of layers of the model, LayerBytes the size of the weights of one.
	Layers     int
	LayerBytes float64
	// KVBytesPerToken is the size of the KV cache of one token over all layers.
	KVBytesPerToken float64
	// MaxSequences bounds the concurrent requests for which a target is the first engine of the path.
	MaxSequences int
	// Stride is the number of decode steps, and thus of tokens, in one pass.
	Stride int
	// StepTime is the base duration of one decode step; SequenceTime is added for each sequence of the batch and
	// ContextTime for each 1,000 tokens of its context.
	StepTime     time.Duration
	SequenceTime time.Duration
	ContextTime  time.Duration
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// ActivationBytes is the data transferred between two consecutive targets of a path for each token.
	ActivationBytes float64
	// InterZoneBandwidth is the bandwidth between two zones, shared by all paths, in bytes per second.
	InterZoneBandwidth float64
	// LoadTime is the time to load all layers; up to LoadsAtOnce concurrent loads run at full speed.
	LoadTime    time.Duration
	LoadsAtOnce int
	// UsualPrompt and UsualAnswer are the mean lengths of prompts and answers, in tokens.
	UsualPrompt, UsualAnswer float64
	Cards                    map[string]Card
	// Delays holds the one-way network delay between two zones, for each direction.
	Delays map[[2]entity.ZoneID]time.Duration
}

// MaxLayers returns how many layers fit on card if each also needs KV cache for the given number of tokens.
func (e *Engine) MaxLayers(card Card, tokens float64) int {
	bytesPerLayer := e.LayerBytes + tokens*e.KVBytesPerToken/float64(e.Layers)
	return min(e.Layers, int(card.MemoryBytes/bytesPerLayer))
}

// CacheCapacity returns the KV cache that fits on card beside the weights of the given number of layers, in tokens
// times layers.
func (e *Engine) CacheCapacity(card Card, layers int) float64 {
	free := card.MemoryBytes - float64(layers)*e.LayerBytes
	return max(0, free) / (e.KVBytesPerToken / float64(e.Layers))
}

// DecodeTime returns the duration of one decode step of a target that runs the given number of layers, for a batch of
// the given number of sequences.
func (e *Engine) DecodeTime(card Card, layers int, sequences float64) time.Duration {
	contextTime := (e.UsualPrompt + e.UsualAnswer/2) / 1000 * float64(e.ContextTime)
	stepTime := float64(e.StepTime) + sequences*(float64(e.SequenceTime)+contextTime)
	return time.Duration(card.DecodeFactor * stepTime * float64(layers) / float64(e.Layers))
}

// PrefillTime returns the duration of the prefill of a prompt of the given number of tokens on a target that runs the
// given number of layers.
func (e *Engine) PrefillTime(card Card, layers int, tokens float64) time.Duration {
	seconds := tokens / e.PrefillRate * card.PrefillFactor * float64(layers) / float64(e.Layers)
	return time.Duration(seconds * float64(time.Second))
}
