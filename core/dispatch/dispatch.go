// Package dispatch decides where an instance sends its calls: which engines a generation passes through, which target
// serves a plain call, and when a call is refused because nothing can serve it.
//
// It is pure: the configuration, the entries of targets and the time of a monotonic clock are passed in. A Dispatcher is
// not safe for concurrent use.
package dispatch

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/layerpath"
	"github.com/hyssophoist/hyssophoist/core/routing"
)

const (
	// hopDelay is the network delay between two engines of a zone, paid for each token.
	hopDelay = 300 * time.Microsecond
	// pipeWeight multiplies the time that a prompt occupies the pipe between two zones, since other prompts wait behind
	// it.
	pipeWeight = 60.0
	// entryCost keeps generations in the zone of the instance while its engines have room: every zone has a share of the
	// callers in proportion to its engines.
	entryCost = time.Second
	// otherSuspicionCost avoids an engine that another instance suspects while there is a good path without it, in seconds.
	// That instance's link may be at fault instead.
	otherSuspicionCost = 2.0
	// maxSlowCost bounds the factor by which a slow engine is dearer. Many engines may be slow at once, and paths around
	// all of them fill the pipes between zones.
	maxSlowCost = 4.0
	// suspectCost makes a path through a suspected engine the last choice, in seconds.
	suspectCost = 100.0
)

// Dispatcher holds what an instance knows of the targets.
type Dispatcher struct {
	Zone  entity.ZoneID
	Fleet *fleet.Fleet

	chooser layerpath.Chooser
	// states and nodes are buffers of ChoosePath.
	states []*fleet.State
	nodes  []layerpath.Node
}

// Generation is the size of a request to a model, in tokens.
type Generation struct {
	Prompt, Answer float64
}

// EstimateGeneration returns the expected size of a request. expected and limit are 0 if they are unknown.
func EstimateGeneration(engine *routing.Engine, prompt, expected, limit int) Generation {
	size := Generation{Prompt: float64(prompt), Answer: engine.UsualAnswer}
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

// Path is the reservation of a generation's path.
type Path struct {
	Stages []Stage
	size   Generation
}

// ChoosePath returns the path of a generation and counts it as in progress until Release. It returns nil if no engines with
// room for the KV cache cover all layers: such a generation would be refused by an engine or displace another one. Engines
// in avoid are left out.
func (d *Dispatcher) ChoosePath(now time.Time, service *routing.Service, size Generation,
	avoid map[entity.TargetID]bool) *Path {
	d.collect(now, service, size, avoid)
	stages, cost, ok := d.chooser.Choose(service.Engine.Layers, d.nodes, d.costs(service.Engine, size))
	if !ok || cost >= layerpath.NoRoom {
		return nil
	}
	path := &Path{size: size}
	for _, stage := range stages {
		path.Stages = append(path.Stages, Stage{Target: d.states[stage.Index].Target, Layers: stage.Layers})
	}
	d.reserve(path)
	return path
}

// costs returns what the passage between engines costs a generation.
func (d *Dispatcher) costs(engine *routing.Engine, size Generation) layerpath.Costs {
	crossing := float64(0)
	for _, delay := range engine.Delays {
		crossing = max(crossing, delay.Seconds())
	}
	return layerpath.Costs{
		Hop:      hopDelay.Seconds() * size.Answer,
		Crossing: crossing*size.Answer + pipeWeight*pipeTime(engine, size),
		Entry:    entryCost.Seconds(),
		Zone:     d.Zone,
	}
}

// reserve counts a path as in progress on its engines.
func (d *Dispatcher) reserve(path *Path) {
	for _, stage := range path.Stages {
		state := d.Fleet.Get(stage.Target.ID)
		if state == nil || state.Born != stage.Target.Born {
			continue
		}
		state.InProgress++
		state.CallsSinceShared++
		state.CacheInUse += path.cache(stage)
	}
}

// cache returns the KV cache of a generation on one engine of its path, in tokens times layers.
func (p *Path) cache(stage Stage) float64 {
	return (p.size.Prompt + p.size.Answer) * float64(stage.Layers.Len())
}

// Release ends the reservation of a path.
func (d *Dispatcher) Release(path *Path) {
	for _, stage := range path.Stages {
		state := d.Fleet.Get(stage.Target.ID)
		if state == nil || state.Born != stage.Target.Born {
			continue
		}
		state.InProgress = max(0, state.InProgress-1)
		state.CacheInUse = max(0, state.CacheInUse-path.cache(stage))
	}
}

// pipeTime returns how long a prompt occupies the pipe between two zones, in seconds.
func pipeTime(engine *routing.Engine, size Generation) float64 {
	if engine.PipeRate <= 0 {
		return 0
	}
	return size.Prompt * engine.ActivationBytes / engine.PipeRate
}

// collect fills the buffers with the engines that a generation may use.
func (d *Dispatcher) collect(now time.Time, service *routing.Service, size Generation, avoid map[entity.TargetID]bool) {
	d.states, d.nodes = d.states[:0], d.nodes[:0]
	for id, state := range d.Fleet.All {
		card, known := service.Engine.Cards[state.Card]
		if state.Service != service.ID || !known || state.Layers.Len() == 0 || avoid[id] || !state.InService(now) ||
			state.Down(now) {
			continue
		}
		node := layerpath.Node{Index: len(d.states), Layers: state.Layers, Zone: state.Zone}
		sequences, cache := d.Fleet.Load(now, state)
		node.PerLayer = layerCost(service.Engine, card, size, sequences)
		room := service.Engine.CacheRoom(card, state.Layers.Len()) - cache
		node.Room = max(0, int(room/max(1, size.Prompt+size.Answer)))
		if d.Fleet.Full(now, state) {
			node.Room = 0
		}
		node.PerLayer *= min(maxSlowCost, state.SlowdownFactor(now))
		switch {
		case !state.Usable(now):
			node.Fixed += suspectCost
		case state.OtherSuspected:
			node.Fixed += otherSuspicionCost
		}
		d.states = append(d.states, state)
		d.nodes = append(d.nodes, node)
	}
}

// layerCost returns the expected time of a request for each layer on an engine with a batch of sequences requests.
func layerCost(engine *routing.Engine, card routing.Card, size Generation, sequences float64) float64 {
	decode := size.Answer * engine.DecodeTime(card, engine.Layers, sequences+1).Seconds()
	prefill := engine.PrefillTime(card, engine.Layers, size.Prompt).Seconds()
	load := 1 + sequences/float64(max(1, engine.MaxSequences))
	return (decode + prefill) * load / float64(engine.Layers)
}

// ChoosePlain returns the target of a plain call and counts it as in progress until ReleasePlain. It returns nil if there
// is none.
func (d *Dispatcher) ChoosePlain(now time.Time, service entity.ServiceID, tried map[entity.TargetID]bool) *fleet.Target {
	state := d.Fleet.ChoosePlain(now, service, d.Zone, tried)
	if state == nil {
		return nil
	}
	state.InProgress++
	target := state.Target
	return &target
}

// ReleasePlain ends a plain call at a target. duration is 0 if the target did not serve it.
func (d *Dispatcher) ReleasePlain(target *fleet.Target, duration time.Duration) {
	state := d.Fleet.Get(target.ID)
	if state == nil || state.Born != target.Born {
		return
	}
	state.InProgress = max(0, state.InProgress-1)
	if duration > 0 {
		state.ObserveLatency(duration)
	}
}
