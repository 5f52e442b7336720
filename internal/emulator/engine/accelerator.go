package engine

import "time"

// Accelerator describes the performance of one accelerator type.
type Accelerator struct {
	Name string
	// LayerStep is the time to run one layer on a batch of one sequence with one token. Each additional sequence adds
	// LayerPerSequence and each additional token of a sequence (prefill) adds LayerPerToken.
	LayerStep, LayerPerSequence, LayerPerToken time.Duration
	// LayerLoad is the time to load the weights of one layer.
	LayerLoad time.Duration
	// MaxBatch is the maximum number of sequences in one step.
	MaxBatch int
	// KVTokens is the KV cache capacity in tokens.
	KVTokens int
	// PrefixBlocks is the prefix cache capacity in blocks of engineapi.PrefixBlockTokens tokens.
	PrefixBlocks int
}

// Accelerators lists the emulated types, fastest first. The slowest takes about 13 times as long as the fastest for a
// step of one sequence, with 1/8 of its batch size and 1/20 of its KV capacity.
var Accelerators = []Accelerator{
	{"datacenter-2", 150 * time.Microsecond, 6 * time.Microsecond, 8 * time.Microsecond, 20 * time.Millisecond, 64, 400_000, 8192},
	{"datacenter-1", 300 * time.Microsecond, 12 * time.Microsecond, 16 * time.Microsecond, 40 * time.Millisecond, 48, 200_000, 4096},
	{"workstation", 500 * time.Microsecond, 25 * time.Microsecond, 30 * time.Microsecond, 80 * time.Millisecond, 32, 100_000, 2048},
	{"desktop", 800 * time.Microsecond, 50 * time.Microsecond, 60 * time.Microsecond, 150 * time.Millisecond, 16, 50_000, 1024},
	{"embedded", 2 * time.Millisecond, 150 * time.Microsecond, 200 * time.Microsecond, 400 * time.Millisecond, 8, 20_000, 256},
}

// DefaultAccelerator is the name of the type that is used if none is given.
const DefaultAccelerator = "datacenter-1"

// AcceleratorNamed returns the accelerator type with the given name.
func AcceleratorNamed(name string) (Accelerator, bool) {
	for _, accelerator := range Accelerators {
		if accelerator.Name == name {
			return accelerator, true
		}
	}
	return Accelerator{}, false
}

// DecodeRate returns the tokens per second that an engine with the given number of layers generates with full batches
// and no prefill.
func (a Accelerator) DecodeRate(layers int) float64 {
	step := time.Duration(layers) * (a.LayerStep + time.Duration(a.MaxBatch-1)*a.LayerPerSequence)
	return float64(a.MaxBatch) / step.Seconds()
}
