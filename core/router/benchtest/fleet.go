// Package benchtest simulates engines, links, plain services and callers in virtual time and drives several routers
// through their message types. It models only what is needed to measure routing policies.
package benchtest

import (
	"fmt"
	"math"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/flow"
)

const (
	layers      = 32
	modelName   = "model"
	serviceID   = "ledger"
	ratedLayers = 8  // layers for which an accelerator's rate is stated
	batchUnits  = 16 // work units in a full engine step
	// promptTokensPerUnit is the number of prompt tokens that cost as much as one output token.
	promptTokensPerUnit = 16
	chunkTokens         = 128 // prompt tokens per work item and per block of the prefix cache
	// slotSeconds times the token rate of an engine is its number of KV slots, that is, of concurrent streams.
	slotSeconds = 0.16
)

// accelerators holds the token rates of the five accelerator types at a full batch and 8 layers, in tokens/s.
var accelerators = []struct {
	name string
	rate float64
}{{"a", 2400}, {"b", 1600}, {"c", 1200}, {"d", 800}, {"e", 400}}

// linkTokensPerSecond holds the token rates of the three link classes, which span a factor of 100.
var linkTokensPerSecond = [3]float64{300_000, 30_000, 3_000}

// Fleet is the set of engines and plain service targets of one deployment.
type Fleet struct {
	Configuration *entity.Configuration
	Zones         int
	rates         []float64 // per target, in work units/s
	targetZones   []int     // zone index per target
	accounts      []account
	longShare     float64 // share of long prompts
}

type account struct {
	id    entity.AccountID
	large bool
}

// Deployment describes one of the two deployments that the benchmarks simulate.
type Deployment struct {
	Name      string
	Objective entity.Objective
	LongShare float64 // share of long prompts
}

// Abay and Banaue are the deployments that the benchmarks simulate.
var (
	Abay   = Deployment{Name: "abay", Objective: entity.ThroughputObjective, LongShare: 0.2}
	Banaue = Deployment{Name: "banaue", Objective: entity.RecoveryObjective, LongShare: 0.1}
)

// layerRanges holds the layer ranges of the 13 engines of one zone.
var layerRanges = []entity.LayerRange{
	{From: 0, To: 8}, {From: 8, To: 16}, {From: 16, To: 24}, {From: 24, To: 32},
	{From: 0, To: 8}, {From: 8, To: 16}, {From: 16, To: 24}, {From: 24, To: 32},
	{From: 0, To: 16}, {From: 16, To: 32}, {From: 0, To: 8}, {From: 8, To: 24}, {From: 24, To: 32},
}

// NewFleet returns the fleet of a deployment at its present size: 40 engines over three zones and 3 plain service
// targets.
func NewFleet(d Deployment) *Fleet {
	f := &Fleet{Zones: 3, longShare: d.LongShare}
	preset := entity.Preset{Name: d.Name, Kind: entity.OrdinaryPreset, Objective: d.Objective,
		Models:   []entity.Model{{ID: modelName, Layers: layers, MaxTokens: 8192}},
		Services: []entity.Service{{ID: serviceID, TimeoutSeconds: 5}},
		Limits:   entity.Limits{QueueLength: 1000, TimeoutSeconds: 60},
	}
	for i := range 40 {
		zone, accelerator := i%3, accelerators[(i/3*3+i%3+i/15)%5]
		r := layerRanges[i/3%len(layerRanges)]
		preset.Targets = append(preset.Targets, entity.Target{
			ID: entity.TargetID(fmt.Sprintf("engine-%02d", i)), Kind: entity.EngineTarget, Zone: zoneID(zone),
			Model: modelName, Layers: r, Accelerator: accelerator.name,
		})
		f.rates = append(f.rates, accelerator.rate*ratedLayers/float64(r.Len()))
		f.targetZones = append(f.targetZones, zone)
	}
	for i := range 3 {
		preset.Targets = append(preset.Targets, entity.Target{
			ID: entity.TargetID(fmt.Sprintf("service-%d", i)), Kind: entity.ServiceTarget, Zone: zoneID(i),
			Service: serviceID,
		})
		f.rates = append(f.rates, 0)
		f.targetZones = append(f.targetZones, i)
	}
	for i := range 10 {
		a := account{id: entity.AccountID(fmt.Sprintf("account-%d", i)), large: i < 3}
		f.accounts = append(f.accounts, a)
		preset.Accounts = append(preset.Accounts, entity.Account{ID: a.id, Weight: 1})
	}
	f.Configuration = &entity.Configuration{Version: 1, Preset: preset}
	return f
}

// NewPairFleet returns a fleet of two stages with two equal engines each, in one zone.
func NewPairFleet(d Deployment) *Fleet {
	f := NewFleet(d)
	preset := &f.Configuration.Preset
	f.Zones, f.rates, f.targetZones, preset.Targets = 1, nil, nil, nil
	for i := range 4 {
		from := i / 2 * layers / 2
		preset.Targets = append(preset.Targets, entity.Target{
			ID: entity.TargetID(fmt.Sprintf("engine-%02d", i)), Kind: entity.EngineTarget, Zone: zoneID(0),
			Model: modelName, Layers: entity.LayerRange{From: from, To: from + layers/2}, Accelerator: "b"})
		f.rates, f.targetZones = append(f.rates, 800), append(f.targetZones, 0)
	}
	return f
}

func zoneID(zone int) entity.ZoneID { return entity.ZoneID(fmt.Sprintf("zone-%d", zone)) }

// linkClass assigns each link to a class by a hash: most links inside a zone are fast, links between zones are not.
func (f *Fleet) linkClass(from, to int) int {
	hash := uint64(from*1009+to)*0x9e3779b97f4a7c15 ^ 0x5bd1e995
	hash ^= hash >> 31
	hash *= 0xbf58476d1ce4e5b9
	draw := (hash >> 33) % 10
	local := f.targetZones[from] == f.targetZones[to]
	switch {
	case draw == 0:
		return 2
	case !local || draw < 4:
		return 1
	default:
		return 0
	}
}

// latency returns the one-way latency between zones.
func latency(a, b int) time.Duration {
	if a == b {
		return 50 * time.Microsecond
	}
	return 250 * time.Microsecond
}

// size is the size of a request, in tokens.
type size struct{ prompt, output int }

func (s size) units() float64 { return float64(s.prompt)/promptTokensPerUnit + float64(s.output) }

// meanSizes returns the mean lengths of prompt and output, in tokens.
func (f *Fleet) meanSizes() (prompt, output float64) {
	return f.longShare*3000 + (1-f.longShare)*200, f.longShare*300 + (1-f.longShare)*100
}

// MeanUnits returns the mean work of a request, in units.
func (f *Fleet) MeanUnits() float64 {
	prompt, output := f.meanSizes()
	return prompt/promptTokensPerUnit + output
}

// Bound returns the upper bound on throughput, the maximum flow in work units/s. On a link, prompt and output tokens
// cost the same, so the link rates are converted to work units with the mean request.
func (f *Fleet) Bound() float64 {
	prompt, output := f.meanSizes()
	ratio := f.MeanUnits() / (prompt + output)
	var nodes []flow.Node
	for i, t := range f.Configuration.Preset.Targets {
		if t.Kind == entity.EngineTarget {
			nodes = append(nodes, flow.Node{Layers: t.Layers, Rate: f.rates[i]})
		}
	}
	return flow.MaxFlow(layers, nodes, func(from, to int) float64 {
		return linkTokensPerSecond[f.linkClass(from, to)] * ratio
	}).Total
}

func seconds(s float64) time.Duration { return time.Duration(math.Round(s * 1e9)) }
