package dispatch

import (
	"slices"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/linkshare"
	"github.com/hyssophoist/hyssophoist/core/routing"
)

// Reroute returns a path on which other engines replace the faulty ones. The remaining engines keep their KV cache of
// the request, so only the replacements have to prefill its tokens. Restarting all streams after the loss of an engine
// would make the remaining engines prefill them in full, and would use up the retry budget.
//
// Without crossZone, the replacements are in the zones of their neighbours on the path. Sending the tokens so far of
// many streams to another zone would saturate the link between zones and take longer than prefilling them anew on a
// path within another zone.
//
// The new path is counted as in progress until Release, in addition to the old one. Reroute returns nil if the first
// engine is faulty, since it holds the connection, if no other engines with enough free KV cache cover the layers, or if the
// tokens so far would pass a link between zones of which this instance's share is used up.
func (d *Dispatcher) Reroute(now time.Time, service *routing.Service, path *Path,
	faulty, avoid map[entity.TargetID]bool, crossZone bool) *Path {
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
	added, transfer := addedCrossings(path.Stages, rerouted.Stages), transferTime(service.Engine, path.size)
	if !d.linksAllow(now, added, transfer, true) {
		return nil
	}
	d.reserve(rerouted)
	d.takeLinks(now, added, transfer)
	return rerouted
}

// replacementStages returns stages that cover gap, or nil if there are none. zones holds the zones of the neighbouring
// stages; without crossZone only engines in these are used. Suspected engines are not used: it is better to restart a
// request that has already stalled once.
func (d *Dispatcher) replacementStages(now time.Time, service *routing.Service, size GenerationSize,
	gap entity.LayerRange, zones []entity.ZoneID, crossZone bool, excluded map[entity.TargetID]bool) []Stage {
	d.collectNodes(now, service, size, excluded, false)
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
	return d.chooseStages(gap, d.nodes[:kept], costs)
}

// addedCrossings returns the links over which the new path passes tokens between two engines that do not follow each other
// on the old one.
func addedCrossings(before, after []Stage) (links []linkshare.Link) {
	adjacent := make(map[[2]entity.TargetID]bool)
	for i := 1; i < len(before); i++ {
		adjacent[[2]entity.TargetID{before[i-1].Target.ID, before[i].Target.ID}] = true
	}
	for i := 1; i < len(after); i++ {
		if !adjacent[[2]entity.TargetID{after[i-1].Target.ID, after[i].Target.ID}] {
			links = append(links, crossings(after[i-1:i+1])...)
		}
	}
	return links
}

// Targets returns the engines of a path in order.
func (p *Path) Targets() []fleet.Target {
	targets := make([]fleet.Target, len(p.Stages))
	for i, stage := range p.Stages {
		targets[i] = stage.Target
	}
	return targets
}

// RunsLayersOutside reports whether the path makes the engine id run layers outside held.
func (p *Path) RunsLayersOutside(id entity.TargetID, held entity.LayerRange) bool {
	for _, stage := range p.Stages {
		if stage.Target.ID == id {
			return stage.Layers.From < held.From || stage.Layers.To > held.To
		}
	}
	return false
}

// TargetByAddress returns the engine of a path with the given address.
func (p *Path) TargetByAddress(address string) (fleet.Target, bool) {
	i := slices.IndexFunc(p.Stages, func(stage Stage) bool { return stage.Target.Address == address })
	if i < 0 {
		return fleet.Target{}, false
	}
	return p.Stages[i].Target, true
}
