package dispatch

import (
	"slices"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/layerpath"
	"github.com/hyssophoist/hyssophoist/core/routing"
)

// Reroute returns a path in which other engines take the layers of those at fault. The engines that stay keep what they
// hold of the request, so only the new ones read its tokens. It answers the loss of engines: streams that start anew would
// all be read whole by the engines that are left, and would draw on the limit of repetitions.
//
// Without crossing, the new engines are in the zones of their neighbours on the path: the tokens so far of many streams
// would fill the pipe between zones, which takes longer than reading them anew on a path of another zone.
//
// The new path is counted as in progress until Release, beside the old one. Reroute returns nil if the first engine is at
// fault, which holds the connection, or if no other engines with room cover the layers.
func (d *Dispatcher) Reroute(now time.Time, service *routing.Service, path *Path, faulty, avoid map[entity.TargetID]bool,
	crossZone bool) *Path {
	if faulty[path.Stages[0].Target.ID] {
		return nil
	}
	excluded := make(map[entity.TargetID]bool, len(avoid)+len(path.Stages))
	for id := range avoid {
		excluded[id] = true
	}
	for _, stage := range path.Stages {
		excluded[stage.Target.ID] = true
	}
	rerouted := &Path{size: path.size}
	for i := 0; i < len(path.Stages); {
		stage := path.Stages[i]
		if !faulty[stage.Target.ID] {
			rerouted.Stages = append(rerouted.Stages, stage)
			i++
			continue
		}
		end := i + 1
		for end < len(path.Stages) && faulty[path.Stages[end].Target.ID] {
			end++
		}
		gap := entity.LayerRange{From: stage.Layers.From, To: path.Stages[end-1].Layers.To}
		zones := []entity.ZoneID{path.Stages[i-1].Target.Zone}
		if end < len(path.Stages) {
			zones = append(zones, path.Stages[end].Target.Zone)
		}
		replacements := d.replacementStages(now, service, path.size, gap, zones, crossZone, excluded)
		if replacements == nil {
			return nil
		}
		for _, added := range replacements {
			excluded[added.Target.ID] = true
		}
		rerouted.Stages = append(rerouted.Stages, replacements...)
		i = end
	}
	d.reserve(rerouted)
	return rerouted
}

// detour returns engines that cover gap between engines of the given zones, or nil. Suspected ones are not used: a request
// that has stalled once is better started anew.
func (d *Dispatcher) replacementStages(now time.Time, service *routing.Service, size GenerationSize, gap entity.LayerRange,
	zones []entity.ZoneID, crossZone bool, excluded map[entity.TargetID]bool) []Stage {
	d.collectNodes(now, service, size, excluded)
	kept := 0
	for _, node := range d.nodes {
		from, to := max(node.Layers.From, gap.From), min(node.Layers.To, gap.To)
		if from >= to || node.FixedCost >= suspectCost || !crossZone && !slices.Contains(zones, node.Zone) {
			continue
		}
		node.Layers = entity.LayerRange{From: from - gap.From, To: to - gap.From}
		d.nodes[kept] = node
		kept++
	}
	costs := d.transferCosts(service.Engine, size)
	costs.RemoteEntry, costs.Zone = costs.CrossZone, zones[0]
	stages, cost, ok := d.chooser.Choose(gap.Len(), d.nodes[:kept], costs)
	if !ok || cost >= layerpath.OverCapacityCost {
		return nil
	}
	replacements := make([]Stage, len(stages))
	for i, stage := range stages {
		layers := entity.LayerRange{From: gap.From + stage.Layers.From, To: gap.From + stage.Layers.To}
		replacements[i] = Stage{Target: d.states[stage.Index].Target, Layers: layers}
	}
	return replacements
}

// Targets returns the engines of a path in order.
func (p *Path) Targets() []fleet.Target {
	targets := make([]fleet.Target, len(p.Stages))
	for i, stage := range p.Stages {
		targets[i] = stage.Target
	}
	return targets
}

// RunsOthers says whether the path runs layers on an engine that are not among those the engine holds.
func (p *Path) RunsLayersOutside(id entity.TargetID, held entity.LayerRange) bool {
	for _, stage := range p.Stages {
		if stage.Target.ID == id {
			return stage.Layers.From < held.From || stage.Layers.To > held.To
		}
	}
	return false
}

// Target returns the engine of a path with the given address.
func (p *Path) TargetByAddress(address string) (fleet.Target, bool) {
	i := slices.IndexFunc(p.Stages, func(stage Stage) bool { return stage.Target.Address == address })
	if i < 0 {
		return fleet.Target{}, false
	}
	return p.Stages[i].Target, true
}
