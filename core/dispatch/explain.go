package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/layerpath"
	"github.com/hyssophoist/hyssophoist/core/routing"
)

const (
	// maxExplainedTargets bounds the targets of an explanation that can be chosen, and maxExplainedExclusions those that
	// cannot: operators read it as text, and a deployment can have hundreds.
	maxExplainedTargets    = 20
	maxExplainedExclusions = 20
	// maxExplainedLinks bounds the closed links of an explanation; there are as many as pairs of zones.
	maxExplainedLinks = 20
)

// Reasons that exclude an engine, in addition to those of package fleet.
const (
	ExcludedNoLayers    fleet.Exclusion = "no_layers"
	ExcludedUnknownCard fleet.Exclusion = "unknown_card"
	// ExcludedFull engines have refused requests for lack of room, ExcludedCache engines have no free KV cache for one layer,
	// and ExcludedPartly engines have it only for a part of their layers, which a path may still use.
	ExcludedFull   fleet.Exclusion = "full"
	ExcludedCache  fleet.Exclusion = "not_enough_cache"
	ExcludedPartly fleet.Exclusion = "cache_for_some_layers"
)

// Shortage is why there is no path for a generation.
type Shortage string

// The shortages.
const (
	// ShortageAskedForTime means that all engines that can be the first one asked for time.
	ShortageAskedForTime Shortage = "asked_for_time"
	// ShortageFull means that the engines of a zone cover all layers, but are full or asked for time.
	ShortageFull Shortage = "engines_full"
	// ShortageLayers means that the engines of no zone cover all layers.
	ShortageLayers Shortage = "layers_missing"
)

// GenerationExplanation says which path ChoosePath would choose for a generation, and why.
type GenerationExplanation struct {
	PromptTokens float64 `json:"prompt_tokens"`
	AnswerTokens float64 `json:"answer_tokens"`
	// Path is nil if there is none; Shortage then says why.
	Path     *PathExplanation `json:"path"`
	Shortage Shortage         `json:"shortage,omitempty"`
	// ClosedLinks holds the links between zones of which this instance's share is used up.
	ClosedLinks []ClosedLink `json:"closed_links,omitempty"`
	// Engines is the number of engines of the service, Excluded that of those with each reason.
	Engines  int                     `json:"engines"`
	Excluded map[fleet.Exclusion]int `json:"excluded,omitempty"`
	// Candidates holds the engines of the path in order, then the cheapest others without a reason, then engines with one.
	Candidates []EngineCandidate `json:"candidates"`
}

// PathExplanation is a path with its cost.
type PathExplanation struct {
	CostSeconds float64            `json:"cost_seconds"`
	Stages      []StageExplanation `json:"stages"`
}

// StageExplanation is one engine of a path and the layers that it runs: from FromLayer, up to but without ToLayer.
type StageExplanation struct {
	Target    entity.TargetID `json:"target"`
	Zone      entity.ZoneID   `json:"zone"`
	FromLayer int             `json:"from_layer"`
	ToLayer   int             `json:"to_layer"`
}

// ClosedLink is a link between two zones over which no prompt may be sent at present.
type ClosedLink struct {
	From entity.ZoneID `json:"from"`
	To   entity.ZoneID `json:"to"`
}

// EngineCandidate is an engine as the choice of a path sees it.
type EngineCandidate struct {
	Target    entity.TargetID `json:"target"`
	Zone      entity.ZoneID   `json:"zone"`
	Card      string          `json:"card"`
	FromLayer int             `json:"from_layer"`
	ToLayer   int             `json:"to_layer"`
	// InProgressOwn counts this instance's generations. InProgressOthers is the number of those of all other instances as the
	// choice assumes it, see fleet.Load.
	InProgressOwn    int     `json:"in_progress_own"`
	InProgressOthers float64 `json:"in_progress_others"`
	// CacheInUse and CacheCapacity are the KV cache of all instances' generations and that of the engine, in tokens times
	// layers. LayersWithCache is the number of layers that it has free KV cache for.
	CacheInUse      float64 `json:"cache_in_use"`
	CacheCapacity   float64 `json:"cache_capacity"`
	LayersWithCache int     `json:"layers_with_cache"`
	// CostPerLayerSeconds and FixedCostSeconds are 0 for engines that are left out of the choice.
	CostPerLayerSeconds float64 `json:"cost_per_layer_seconds"`
	FixedCostSeconds    float64 `json:"fixed_cost_seconds"`
	Slowdown            float64 `json:"slowdown"`
	SuspectedByOthers   bool    `json:"suspected_by_others"`
	// InPath reports whether the engine is on the path that would be chosen.
	InPath bool            `json:"in_path"`
	Reason fleet.Exclusion `json:"reason,omitempty"`
}

// PlainExplanation says which targets ChooseTarget would choose for a call, one after the other.
type PlainExplanation struct {
	// Total is the number of targets of the service.
	Total int `json:"targets_total"`
	// Targets holds the targets in order of choice, then those that are not chosen.
	Targets []PlainCandidate `json:"targets"`
}

// PlainCandidate is a target of a plain service as the choice sees it.
type PlainCandidate struct {
	// Order is 1 for the target of the first attempt, 2 for that of the second, and so on; 0 if the target is not chosen.
	Order      int             `json:"order"`
	Target     entity.TargetID `json:"target"`
	Zone       entity.ZoneID   `json:"zone"`
	Slots      int             `json:"slots"`
	InProgress int             `json:"in_progress"`
	// LatencySeconds is the average latency of calls at the target; 0 before the first one.
	LatencySeconds float64         `json:"latency_seconds"`
	Reason         fleet.Exclusion `json:"reason,omitempty"`
}

// ExplainGeneration explains the path that ChoosePath would choose, and changes nothing that affects it.
func (d *Dispatcher) ExplainGeneration(now time.Time, service *routing.Service, size GenerationSize) GenerationExplanation {
	// The choice of a path counts this instance among those that share a link.
	links := d.Links
	d.Links = links.Clone()
	defer func() { d.Links = links }()
	explanation := GenerationExplanation{PromptTokens: size.Prompt, AnswerTokens: size.Answer}
	stages, _ := d.findStages(now, service, size, nil, nil)
	if stages != nil {
		explanation.Path = &PathExplanation{CostSeconds: finite(d.pathCost)}
		for _, stage := range stages {
			explanation.Path.Stages = append(explanation.Path.Stages, StageExplanation{
				Target: stage.Target.ID, Zone: stage.Target.Zone, FromLayer: stage.Layers.From, ToLayer: stage.Layers.To,
			})
		}
	} else {
		explanation.Shortage = d.shortage(now, service, size)
	}
	for link := range d.Links.Closed(now) {
		explanation.ClosedLinks = append(explanation.ClosedLinks, ClosedLink{From: link.From, To: link.To})
	}
	slices.SortFunc(explanation.ClosedLinks, func(a, b ClosedLink) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	explanation.ClosedLinks = explanation.ClosedLinks[:min(len(explanation.ClosedLinks), maxExplainedLinks)]
	d.explainEngines(now, service, size, stages, &explanation)
	return explanation
}

// shortage returns why there is no path for a generation.
func (d *Dispatcher) shortage(now time.Time, service *routing.Service, size GenerationSize) Shortage {
	if _, all := d.AllBackOff(now, service, true); all {
		return ShortageAskedForTime
	}
	if d.Covered(now, service, size) {
		return ShortageFull
	}
	return ShortageLayers
}

// explainEngines adds the engines of the service to an explanation. stages is the path that would be chosen.
func (d *Dispatcher) explainEngines(now time.Time, service *routing.Service, size GenerationSize, stages []Stage,
	explanation *GenerationExplanation) {
	d.collectNodes(now, service, size, nil, true)
	nodes := make(map[entity.TargetID]*layerpath.Node, len(d.nodes))
	for i := range d.nodes {
		nodes[d.states[d.nodes[i].Index].ID] = &d.nodes[i]
	}
	var chosen, free, excluded []EngineCandidate
	for id, state := range d.Fleet.All {
		if state.Service != service.ID {
			continue
		}
		explanation.Engines++
		candidate := d.explainEngine(now, service.Engine, state, nodes[id])
		if candidate.Reason != "" {
			if explanation.Excluded == nil {
				explanation.Excluded = make(map[fleet.Exclusion]int)
			}
			explanation.Excluded[candidate.Reason]++
		}
		candidate.InPath = stageIndex(stages, id) >= 0
		switch {
		case candidate.InPath:
			chosen = append(chosen, candidate)
		case candidate.Reason == "":
			free = append(free, candidate)
		default:
			excluded = append(excluded, candidate)
		}
	}
	slices.SortFunc(chosen, func(a, b EngineCandidate) int {
		return cmp.Compare(stageIndex(stages, a.Target), stageIndex(stages, b.Target))
	})
	slices.SortFunc(free, func(a, b EngineCandidate) int {
		return cmp.Or(cmp.Compare(a.meanLayerCost(), b.meanLayerCost()), cmp.Compare(a.Target, b.Target))
	})
	slices.SortFunc(excluded, func(a, b EngineCandidate) int { return cmp.Compare(a.Target, b.Target) })
	free = free[:min(len(free), max(0, maxExplainedTargets-len(chosen)))]
	excluded = excluded[:min(len(excluded), maxExplainedExclusions)]
	explanation.Candidates = slices.Concat(chosen, free, excluded)
}

func stageIndex(stages []Stage, id entity.TargetID) int {
	return slices.IndexFunc(stages, func(stage Stage) bool { return stage.Target.ID == id })
}

// meanLayerCost returns the cost of a layer if a path uses all layers of the engine.
func (c *EngineCandidate) meanLayerCost() float64 {
	return c.CostPerLayerSeconds + c.FixedCostSeconds/float64(max(1, c.ToLayer-c.FromLayer))
}

// explainEngine describes an engine. node is nil if collectNodes leaves it out.
func (d *Dispatcher) explainEngine(now time.Time, engine *routing.Engine, state *fleet.State,
	node *layerpath.Node) EngineCandidate {
	sequences, cache := d.Fleet.Load(now, state)
	card, known := engine.Cards[state.Card]
	candidate := EngineCandidate{
		Target: state.ID, Zone: state.Zone, Card: state.Card, FromLayer: state.Layers.From, ToLayer: state.Layers.To,
		InProgressOwn: state.InProgress, InProgressOthers: sequences - float64(state.InProgress), CacheInUse: cache,
		Slowdown: state.SlowdownFactor(now), SuspectedByOthers: state.OtherSuspected,
	}
	if known {
		candidate.CacheCapacity = finite(engine.CacheCapacity(card, state.Layers.Len()))
	}
	if node != nil {
		candidate.CostPerLayerSeconds, candidate.FixedCostSeconds = finite(node.CostPerLayer), node.FixedCost
		candidate.LayersWithCache = min(node.LayerCapacity, state.Layers.Len())
	}
	candidate.Reason = d.engineExclusion(now, state, known, node)
	return candidate
}

// finite returns x, or the nearest number that JSON can hold. A configuration without performance figures gives infinite ones.
func finite(x float64) float64 {
	if math.IsNaN(x) {
		return 0
	}
	return min(math.MaxFloat64, max(-math.MaxFloat64, x))
}

// engineExclusion returns the first reason that excludes an engine, or "". An engine that asked for time can still be a later
// stage of a path.
func (d *Dispatcher) engineExclusion(now time.Time, state *fleet.State, known bool, node *layerpath.Node) fleet.Exclusion {
	holdsLayers := state.Layers.Len() > 0
	reason := state.Exclusion(now, holdsLayers && state.Layers.From == 0)
	switch {
	case reason != "" && reason != fleet.ExcludedSuspected:
		return reason
	case !holdsLayers:
		return ExcludedNoLayers
	case !known:
		return ExcludedUnknownCard
	case d.Fleet.Full(now, state):
		return ExcludedFull
	case node != nil && node.LayerCapacity == 0:
		return ExcludedCache
	case reason == "" && node != nil && node.LayerCapacity < state.Layers.Len():
		return ExcludedPartly
	}
	return reason
}

// ExplainPlain explains which targets ChooseTarget would choose for a call that is not a generation, and changes nothing.
func (d *Dispatcher) ExplainPlain(now time.Time, service entity.ServiceID) PlainExplanation {
	explanation := PlainExplanation{Targets: []PlainCandidate{}}
	tried := make(map[entity.TargetID]bool)
	for order := 1; order <= maxExplainedTargets; order++ {
		state, _ := d.Fleet.ChoosePlain(now, service, d.Zone, tried)
		if state == nil {
			break
		}
		tried[state.ID] = true
		explanation.Targets = append(explanation.Targets, explainTarget(now, state, order))
	}
	excluded := 0
	for id, state := range d.Fleet.All {
		if state.Service != service {
			continue
		}
		explanation.Total++
		if tried[id] || excluded == maxExplainedExclusions || state.Exclusion(now, true) == "" {
			continue
		}
		excluded++
		explanation.Targets = append(explanation.Targets, explainTarget(now, state, 0))
	}
	return explanation
}

func explainTarget(now time.Time, state *fleet.State, order int) PlainCandidate {
	return PlainCandidate{
		Order: order, Target: state.ID, Zone: state.Zone, Slots: state.Slots, InProgress: state.InProgress,
		LatencySeconds: state.Latency.Seconds(), Reason: state.Exclusion(now, true),
	}
}
