package routing

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// Card is the published performance of one accelerator type.
type Card struct {
	// MemoryBytes holds weights of layers and the KV cache of requests.
	MemoryBytes float64
	// Pace multiplies the time of decode steps.
	Pace float64
	// ReadFactor multiplies the time of prefill.
	ReadFactor float64
}

// Engine holds the published figures of the model engines of a service. Times hold for a pass through all layers and
// scale with the share of the layers that a target runs.
type Engine struct {
	Model entity.ModelID
	// Layers is the number of layers of the model, LayerBytes the weights of one.
	Layers     int
	LayerBytes float64
	// TokenBytes is the KV cache of one token over all layers.
	KVBytesPerToken float64
	// MaxSequences bounds the requests of a target as the first of a path.
	MaxSequences int
	// Stride is the number of decode steps, and so of tokens, in one pass.
	Stride int
	// StepTime is the time of one decode step; SequenceTime is added for each sequence of the batch and ContextTime
	// for each 1,000 tokens of its context.
	StepTime     time.Duration
	SequenceTime time.Duration
	ContextTime  time.Duration
	// PrefillRate is in prompt tokens per second.
	PrefillRate float64
	// ActivationBytes passes between two targets of a path for each token.
	ActivationBytes float64
	// PipeRate is the rate between two zones, shared by all paths, in bytes per second.
	InterZoneBandwidth float64
	// LoadTime is the time to load all layers; LoadsAtOnce such loads run at full speed.
	LoadTime    time.Duration
	LoadsAtOnce int
	// UsualPrompt and UsualAnswer are mean sizes of requests in tokens.
	UsualPrompt, UsualAnswer float64
	Cards                    map[string]Card
	// Delays holds the one-way delay between two zones, both ways.
	Delays map[[2]entity.ZoneID]time.Duration
}

// MaxLayers returns how many layers fit into a card that keeps room for the KV cache of tokens tokens in each layer.
func (e *Engine) MaxLayers(card Card, tokens float64) int {
	bytesPerLayer := e.LayerBytes + tokens*e.KVBytesPerToken/float64(e.Layers)
	return min(e.Layers, int(card.MemoryBytes/bytesPerLayer))
}

// CacheRoom returns the KV cache that a card holds beside the weights of layers layers, in tokens times layers.
func (e *Engine) CacheCapacity(card Card, layers int) float64 {
	free := card.MemoryBytes - float64(layers)*e.LayerBytes
	return max(0, free) / (e.KVBytesPerToken / float64(e.Layers))
}

// DecodeTime returns the time of one decode step of a target over layers layers with a batch of sequences requests.
func (e *Engine) DecodeTime(card Card, layers int, sequences float64) time.Duration {
	contextTime := (e.UsualPrompt + e.UsualAnswer/2) / 1000 * float64(e.ContextTime)
	stepTime := float64(e.StepTime) + sequences*(float64(e.SequenceTime)+contextTime)
	return time.Duration(card.Pace * stepTime * float64(layers) / float64(e.Layers))
}

// PrefillTime returns the time of a target to read a prompt of tokens tokens with layers layers.
func (e *Engine) PrefillTime(card Card, layers int, tokens float64) time.Duration {
	seconds := tokens / e.PrefillRate * card.ReadFactor * float64(layers) / float64(e.Layers)
	return time.Duration(seconds * float64(time.Second))
}
