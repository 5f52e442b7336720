// Package dispatch selects the targets for the calls of an instance: the path of engines for a generation, or the
// single target for any other call. It selects none if the call cannot be served and has to be rejected.
//
// It performs no I/O and reads no clock: callers pass in the configuration, the target entries and the monotonic time.
// A Dispatcher is not safe for concurrent use.
package dispatch

import (
	"slices"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/layerpath"
	"github.com/hyssophoist/hyssophoist/core/linkshare"
	"github.com/hyssophoist/hyssophoist/core/routing"
)

const (
	// hopDelay is the network delay between two engines of a zone, incurred for each token.
	hopDelay = 300 * time.Microsecond
	// linkContentionFactor multiplies the time that a prompt occupies the link between two zones, since other prompts
	// queue behind it.
	linkContentionFactor = 60.0
	// remoteEntryCost keeps generations in the zone of the instance while its engines have free KV cache: each zone has
	// a share of the callers in proportion to its engines.
	remoteEntryCost = time.Second
	// peerSuspicionCost is the cost of an engine that only another instance suspects, in seconds. It is far below
	// suspectCost, so that the engine is avoided only if there is a good path without it: the network link of that
	// instance may be at fault instead.
	peerSuspicionCost = 2.0
	// maxSlowdownFactor bounds the factor by which slowness raises the cost of an engine. Many engines may be slow at
	// once, and paths that avoid all of them saturate the links between zones.
	maxSlowdownFactor = 4.0
	// suspectCost is the cost of a suspected engine, in seconds. It makes a path through one the last resort.
	suspectCost = 100.0
)

// Dispatcher selects targets for the calls of one instance and counts the calls in progress on them.
type Dispatcher struct {
	Zone  entity.ZoneID
	Fleet *fleet.Fleet

	// SavedAttempts counts the attempts that were not sent to a target because it asked for time.
	SavedAttempts uint64
	// Links limits the prompts that cross zones.
	Links linkshare.Limiter

	chooser layerpath.Chooser
	// states and nodes are buffers filled by collectNodes.
	states []*fleet.State
	nodes  []layerpath.Node
	// pathCost is the cost of the stages that chooseStages last returned, in seconds.
	pathCost float64
}

// GenerationSize is the size of a request to a model, in tokens.
type GenerationSize struct {
	Prompt, Answer float64
}

// EstimateGeneration returns the expected size of a request. prompt is the length of its prompt, expected that of its
// answer and limit the maximum of the latter, in tokens; each is 0 if it is unknown.
func EstimateGeneration(engine *routing.Engine, prompt, expected, limit int) GenerationSize {
	size := GenerationSize{Prompt: float64(prompt), Answer: engine.UsualAnswer}
	if prompt == 0 {
		size.Prompt = engine.UsualPrompt
	}
	if expected > 0 {
		size.Answer = float64(expected)
	}
	if limit > 0 {
		size.Answer = min(size.Answer, float64(limit))
	}
	return size
}

// Stage is one engine of a path.
type Stage struct {
	Target fleet.Target
	Layers entity.LayerRange
}

// Path is a path reserved for a generation.
type Path struct {
	Stages []Stage
	size   GenerationSize
}

// ChoosePath returns the cheapest path for a generation and counts it as in progress until Release. It returns nil if
// no engines with enough free KV cache cover all layers: an engine would reject such a generation or evict another one.
// Engines in avoid are excluded, and those that asked for time from being the first one. Engines that leave by their own
// response are only used as a last resort. The path does not cross zones over a link of which this instance's share is used
// up: the prompt would wait there for longer than its caller.
func (d *Dispatcher) ChoosePath(now time.Time, service *routing.Service, size GenerationSize,
	avoid map[entity.TargetID]bool) *Path {
	return d.ChoosePathFrom(now, service, size, avoid, nil)
}

// ChoosePathFrom is ChoosePath with a path that begins with one of the engines in firsts, unless that is nil.
func (d *Dispatcher) ChoosePathFrom(now time.Time, service *routing.Service, size GenerationSize,
	avoid map[entity.TargetID]bool, firsts *Runs) *Path {
	stages, backedOff := d.findStages(now, service, size, avoid, firsts)
	if stages == nil {
		return nil
	}
	return d.reserveStages(now, service, stages, size, backedOff)
}

// ChooseNextPath is like ChoosePathFrom for the generation on the path current, as if it had left that path. usable excludes
// paths with suspected engines.
func (d *Dispatcher) ChooseNextPath(now time.Time, service *routing.Service, current *Path,
	avoid map[entity.TargetID]bool, firsts *Runs, usable bool) *Path {
	d.addLoad(current, -1)
	defer d.addLoad(current, 1)
	stages, backedOff := d.findStages(now, service, current.size, avoid, firsts)
	if stages == nil || usable && d.anySuspected(now, stages) {
		return nil
	}
	return d.reserveStages(now, service, stages, current.size, backedOff)
}

// Covered reports whether the engines of a zone that a generation may use cover all layers, whether or not they have free KV
// cache. Where ChoosePath finds no path then, they are full; otherwise layers are missing and will be loaded by others.
func (d *Dispatcher) Covered(now time.Time, service *routing.Service, size GenerationSize) bool {
	d.collectNodes(now, service, size, nil, true)
	for i := range d.nodes {
		d.nodes[i].LayerCapacity = d.nodes[i].Layers.Len()
	}
	costs := d.transferCosts(service.Engine, size)
	costs.Closed = func(entity.ZoneID, entity.ZoneID) bool { return true }
	return d.chooseStages(entity.LayerRange{To: service.Engine.Layers}, d.nodes, costs) != nil
}

// findStages returns the stages of the cheapest path for a generation, or nil. backedOff reports whether engines were left
// out as first ones because they asked for time.
func (d *Dispatcher) findStages(now time.Time, service *routing.Service, size GenerationSize,
	avoid map[entity.TargetID]bool, firsts *Runs) (stages []Stage, backedOff bool) {
	layers := entity.LayerRange{To: service.Engine.Layers}
	costs := d.transferCosts(service.Engine, size)
	leaving := d.collectNodes(now, service, size, avoid, false)
	backedOff = d.restrictFirstEngines(now, firsts)
	stages = d.chooseOpenStages(now, layers, costs, transferTime(service.Engine, size))
	if stages == nil && leaving > 0 {
		d.collectNodes(now, service, size, avoid, true)
		backedOff = d.restrictFirstEngines(now, firsts)
		stages = d.chooseOpenStages(now, layers, costs, transferTime(service.Engine, size))
	}
	return stages, backedOff
}

// reserveStages counts a path with these stages as in progress.
func (d *Dispatcher) reserveStages(now time.Time, service *routing.Service, stages []Stage, size GenerationSize,
	backedOff bool) *Path {
	path := &Path{Stages: stages, size: size}
	d.reserve(path)
	d.takeLinks(now, crossings(stages), transferTime(service.Engine, size))
	d.beginAttempt(&path.Stages[0].Target, backedOff)
	return path
}

// anySuspected reports whether one of the engines is suspected.
func (d *Dispatcher) anySuspected(now time.Time, stages []Stage) bool {
	return slices.ContainsFunc(stages, func(stage Stage) bool {
		state := d.Fleet.Get(stage.Target.ID)
		return state == nil || !state.Usable(now)
	})
}

// chooseStages returns the cheapest stages that cover layers, or nil if no nodes with enough free KV cache do. The
// layers of the nodes count from layers.From.
func (d *Dispatcher) chooseStages(layers entity.LayerRange, nodes []layerpath.Node, costs layerpath.Costs) []Stage {
	chosen, cost, ok := d.chooser.Choose(layers.Len(), nodes, costs)
	if !ok || cost >= layerpath.OverCapacityCost {
		return nil
	}
	d.pathCost = cost
	stages := make([]Stage, len(chosen))
	for i, stage := range chosen {
		held := entity.LayerRange{From: layers.From + stage.Layers.From, To: layers.From + stage.Layers.To}
		stages[i] = Stage{Target: d.states[stage.Index].Target, Layers: held}
	}
	return stages
}

// transferCosts returns the costs of passing a generation from engine to engine.
func (d *Dispatcher) transferCosts(engine *routing.Engine, size GenerationSize) layerpath.Costs {
	crossZoneDelay := float64(0)
	for _, delay := range engine.Delays {
		crossZoneDelay = max(crossZoneDelay, delay.Seconds())
	}
	return layerpath.Costs{
		Hop:         hopDelay.Seconds() * size.Answer,
		CrossZone:   crossZoneDelay*size.Answer + linkContentionFactor*linkTime(engine, size),
		RemoteEntry: remoteEntryCost.Seconds(),
		Zone:        d.Zone,
	}
}

// reserve counts a path as in progress on its engines.
func (d *Dispatcher) reserve(path *Path) {
	d.addLoad(path, 1)
	for _, stage := range path.Stages {
		if state := d.stateOf(stage); state != nil {
			state.CallsSinceShared++
		}
	}
}

// addLoad adds the load of n generations on a path to its engines.
func (d *Dispatcher) addLoad(path *Path, n int) {
	for _, stage := range path.Stages {
		if state := d.stateOf(stage); state != nil {
			state.InProgress = max(0, state.InProgress+n)
			state.CacheInUse = max(0, state.CacheInUse+float64(n)*path.cacheUse(stage))
		}
	}
}

// stateOf returns the state of a stage's engine, or nil if it is gone or has started again.
func (d *Dispatcher) stateOf(stage Stage) *fleet.State {
	state := d.Fleet.Get(stage.Target.ID)
	if state == nil || state.Born != stage.Target.Born {
		return nil
	}
	return state
}

// cacheUse returns the KV cache that a generation occupies on one engine of its path, in tokens times layers.
func (p *Path) cacheUse(stage Stage) float64 {
	return (p.size.Prompt + p.size.Answer) * float64(stage.Layers.Len())
}

// Release ends the reservation of a path.
func (d *Dispatcher) Release(path *Path) {
	d.Fleet.EndAttempt(&path.Stages[0].Target)
	d.addLoad(path, -1)
}

// linkTime returns how long a prompt occupies the link between two zones, in seconds.
func linkTime(engine *routing.Engine, size GenerationSize) float64 {
	if engine.InterZoneBandwidth <= 0 {
		return 0
	}
	return size.Prompt * engine.ActivationBytes / engine.InterZoneBandwidth
}

// collectNodes fills the buffers with the engines that a generation may use and their costs. It includes those that are
// a last resort only if lastResort is true, and returns the number of these.
func (d *Dispatcher) collectNodes(now time.Time, service *routing.Service, size GenerationSize,
	avoid map[entity.TargetID]bool, lastResort bool) (leaving int) {
	d.states, d.nodes = d.states[:0], d.nodes[:0]
	for id, state := range d.Fleet.All {
		card, known := service.Engine.Cards[state.Card]
		if state.Service != service.ID || !known || state.Layers.Len() == 0 || avoid[id] || state.Down(now) {
			continue
		}
		if !state.InService(now) {
			if !d.Fleet.LastResort(now, state) {
				continue
			}
			leaving++
			if !lastResort {
				continue
			}
		}
		node := layerpath.Node{Index: len(d.states), Layers: state.Layers, Zone: state.Zone}
		sequences, cache := d.Fleet.Load(now, state)
		node.CostPerLayer = layerCost(service.Engine, card, size, sequences)
		freeCache := service.Engine.CacheCapacity(card, state.Layers.Len()) - cache
		node.LayerCapacity = max(0, int(freeCache/max(1, size.Prompt+size.Answer)))
		if d.Fleet.Full(now, state) {
			node.LayerCapacity = 0
		}
		node.CostPerLayer *= min(maxSlowdownFactor, state.SlowdownFactor(now))
		switch {
		case !state.Usable(now):
			node.FixedCost += suspectCost
		case state.OtherSuspected:
			node.FixedCost += peerSuspicionCost
		}
		d.states = append(d.states, state)
		d.nodes = append(d.nodes, node)
	}
	return leaving
}

// layerCost returns the expected time per layer, in seconds, of a request on an engine with the given number of
// requests in progress.
func layerCost(engine *routing.Engine, card routing.Card, size GenerationSize, sequences float64) float64 {
	decode := size.Answer * engine.DecodeTime(card, engine.Layers, sequences+1).Seconds()
	prefill := engine.PrefillTime(card, engine.Layers, size.Prompt).Seconds()
	loadFactor := 1 + sequences/float64(max(1, engine.MaxSequences))
	return (decode + prefill) * loadFactor / float64(engine.Layers)
}

// ChooseTarget returns the target for a call that is not a generation and counts it as in progress until ReleaseTarget.
// It returns nil if there is none. Targets in tried are excluded.
func (d *Dispatcher) ChooseTarget(now time.Time, service entity.ServiceID, tried map[entity.TargetID]bool) *fleet.Target {
	state, backedOff := d.Fleet.ChoosePlain(now, service, d.Zone, tried)
	if state == nil {
		return nil
	}
	state.InProgress++
	target := state.Target
	d.beginAttempt(&target, backedOff)
	return &target
}

// ReleaseTarget ends a call on a target chosen by ChooseTarget. duration is 0 if the target did not serve the call.
func (d *Dispatcher) ReleaseTarget(target *fleet.Target, duration time.Duration) {
	d.Fleet.EndAttempt(target)
	state := d.Fleet.Get(target.ID)
	if state == nil || state.Born != target.Born {
		return
	}
	state.InProgress = max(0, state.InProgress-1)
	if duration > 0 {
		state.ObserveLatency(duration)
	}
}
