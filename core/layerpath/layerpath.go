// Package layerpath finds the path of a request through the engines that runs each layer once and in order at the least
// expected cost.
//
// The layer ranges of engines may overlap, and a request may use only part of an engine's range. The package performs
// no I/O.
package layerpath

import (
	"math"
	"slices"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// Node is an engine that holds a contiguous range of layers.
type Node struct {
	// Index is the caller's index of the engine.
	Index  int
	Layers entity.LayerRange
	Zone   entity.ZoneID
	// FixedCost is the cost of using the engine, regardless of the number of layers, and CostPerLayer the cost of each
	// layer, in seconds.
	FixedCost, CostPerLayer float64
	// LayerCapacity is the number of layers that the engine can run for this request without running out of KV cache.
	// Each layer above it adds OverCapacityCost.
	LayerCapacity int
}

// OverCapacityCost is the cost of each layer above the LayerCapacity of an engine, in seconds. A path whose cost
// reaches it cannot be used.
const OverCapacityCost = 1000.0

// Stage is the part of a path that runs on one engine.
type Stage struct {
	Index  int
	Layers entity.LayerRange
}

// Costs holds the costs of transfers between engines, in seconds.
type Costs struct {
	// Hop is the cost of each engine after the first; CrossZone is added if it is in another zone than its predecessor.
	Hop, CrossZone float64
	// RemoteEntry is the cost of a first engine outside Zone, the zone from which the request enters the path, such as
	// that of the instance.
	RemoteEntry float64
	Zone        entity.ZoneID
	// Closed reports whether no path may go from an engine of one zone to one of another; nil if all may.
	Closed func(from, to entity.ZoneID) bool
}

// Chooser finds paths. It reuses its buffers between calls and is not safe for concurrent use.
type Chooser struct {
	boundaries []int
	// best holds the cheapest partial path to each boundary with each node as the last one, by boundary and node.
	best []partialPath
	// bestByZone holds the two cheapest last nodes of each zone at the current boundary.
	bestByZone []zoneBest
	zones      []entity.ZoneID
	zoneIndex  []int
	// crossing holds the cost of a step from one zone to another, by the index of the first and of the second.
	crossing []float64
}

// zoneBest holds the two cheapest last nodes of a zone; -1 for none. The second cheapest is used if the node to be added
// is itself the cheapest, since a node cannot follow itself.
type zoneBest struct {
	node [2]int
	cost [2]float64
}

// Choose returns the cheapest path over [0, layers) and its cost. If that path uses an engine twice, Choose returns the
// cheapest one on which each stage runs up to the end of its engine's range. It reports false if no path covers all
// layers.
func (c *Chooser) Choose(layers int, nodes []Node, costs Costs) ([]Stage, float64, bool) {
	path, cost, ok := c.choose(layers, nodes, costs, false)
	if ok && hasRepeatedEngine(path) {
		return c.choose(layers, nodes, costs, true)
	}
	return path, cost, ok
}

// hasRepeatedEngine reports whether an engine appears twice in path. Engines reject such paths.
func hasRepeatedEngine(path []Stage) bool {
	seen := make(map[int]bool, len(path))
	for _, stage := range path {
		if seen[stage.Index] {
			return true
		}
		seen[stage.Index] = true
	}
	return false
}

// partialPath is the cheapest path through all layers below a boundary with a given node as the last one.
type partialPath struct {
	cost float64
	// from is the index of the boundary at which the last node starts, and previous the index of the node before it; -1
	// for none.
	from, previous int
}

// choose finds the cheapest path by dynamic programming over the boundaries of the layer ranges. With toRangeEnd set,
// a stage always runs up to the end of its node's range, so that no node can appear twice.
func (c *Chooser) choose(layers int, nodes []Node, costs Costs, toRangeEnd bool) ([]Stage, float64, bool) {
	c.prepare(layers, nodes)
	c.prepareCrossings(costs)
	for b, from := range c.boundaries[:len(c.boundaries)-1] {
		if from > 0 {
			c.rankLastNodes(b, len(nodes))
		}
		for n := range nodes {
			if from < nodes[n].Layers.From || from >= nodes[n].Layers.To {
				continue
			}
			arrivalCost, previous := c.cheapestArrival(nodes, n, from, costs)
			if math.IsInf(arrivalCost, 1) {
				continue
			}
			c.relax(layers, nodes, n, b, partialPath{cost: arrivalCost, from: b, previous: previous}, toRangeEnd)
		}
	}
	return c.backtrack(nodes)
}

// prepare initializes the buffers for nodes.
func (c *Chooser) prepare(layers int, nodes []Node) {
	c.boundaries = append(c.boundaries[:0], 0, layers)
	c.zones, c.zoneIndex = c.zones[:0], c.zoneIndex[:0]
	for _, node := range nodes {
		for _, boundary := range [...]int{node.Layers.From, node.Layers.To} {
			if boundary > 0 && boundary < layers {
				c.boundaries = append(c.boundaries, boundary)
			}
		}
		zone := slices.Index(c.zones, node.Zone)
		if zone < 0 {
			zone = len(c.zones)
			c.zones = append(c.zones, node.Zone)
		}
		c.zoneIndex = append(c.zoneIndex, zone)
	}
	slices.Sort(c.boundaries)
	c.boundaries = slices.Compact(c.boundaries)
	c.bestByZone = slices.Grow(c.bestByZone[:0], len(c.zones))[:len(c.zones)]
	size := len(c.boundaries) * len(nodes)
	c.best = slices.Grow(c.best[:0], size)[:size]
	for i := range c.best {
		c.best[i].cost = math.Inf(1)
	}
}

// prepareCrossings fills the costs of steps between zones.
func (c *Chooser) prepareCrossings(costs Costs) {
	c.crossing = c.crossing[:0]
	for _, from := range c.zones {
		for _, to := range c.zones {
			cost := costs.CrossZone
			switch {
			case from == to:
				cost = 0
			case costs.Closed != nil && costs.Closed(from, to):
				cost = math.Inf(1)
			}
			c.crossing = append(c.crossing, cost)
		}
	}
}

// rankLastNodes finds the two cheapest last nodes of each zone at boundary b.
func (c *Chooser) rankLastNodes(b, nodeCount int) {
	for zone := range c.bestByZone {
		c.bestByZone[zone] = zoneBest{node: [2]int{-1, -1}, cost: [2]float64{math.Inf(1), math.Inf(1)}}
	}
	for n, partial := range c.best[b*nodeCount : (b+1)*nodeCount] {
		zone := &c.bestByZone[c.zoneIndex[n]]
		switch {
		case partial.cost < zone.cost[0]:
			zone.node[1], zone.cost[1] = zone.node[0], zone.cost[0]
			zone.node[0], zone.cost[0] = n, partial.cost
		case partial.cost < zone.cost[1]:
			zone.node[1], zone.cost[1] = n, partial.cost
		}
	}
}

// cheapestArrival returns the least cost at which node n can start at layer from, and the node before it; -1 for none.
func (c *Chooser) cheapestArrival(nodes []Node, n, from int, costs Costs) (float64, int) {
	if from == 0 {
		if nodes[n].Zone != costs.Zone {
			return costs.RemoteEntry, -1
		}
		return 0, -1
	}
	least, previous := math.Inf(1), -1
	for zone := range c.bestByZone {
		best := &c.bestByZone[zone]
		choice := 0
		if best.node[0] == n {
			choice = 1
		}
		cost := best.cost[choice] + costs.Hop + c.crossing[zone*len(c.zones)+c.zoneIndex[n]]
		if cost < least {
			least, previous = cost, best.node[choice]
		}
	}
	return least, previous
}

// relax updates the cheapest partial paths with those on which node n starts at boundary b and ends at a later one.
// arrival holds the cost up to boundary b and the node before n.
func (c *Chooser) relax(layers int, nodes []Node, n, b int, arrival partialPath, toRangeEnd bool) {
	node := &nodes[n]
	for e := b + 1; e < len(c.boundaries) && c.boundaries[e] <= node.Layers.To; e++ {
		if toRangeEnd && c.boundaries[e] != min(node.Layers.To, layers) {
			continue
		}
		cost := arrival.cost + stageCost(node, c.boundaries[e]-c.boundaries[b])
		if best := &c.best[e*len(nodes)+n]; cost < best.cost {
			*best = partialPath{cost: cost, from: b, previous: arrival.previous}
		}
	}
}

func stageCost(node *Node, layers int) float64 {
	cost := node.FixedCost + node.CostPerLayer*float64(layers)
	if layers > node.LayerCapacity {
		cost += OverCapacityCost * float64(layers-node.LayerCapacity)
	}
	return cost
}

// backtrack returns the cheapest path to the last boundary and its cost.
func (c *Chooser) backtrack(nodes []Node) ([]Stage, float64, bool) {
	last := len(c.boundaries) - 1
	n := -1
	for i := range nodes {
		cost := c.best[last*len(nodes)+i].cost
		if !math.IsInf(cost, 1) && (n < 0 || cost < c.best[last*len(nodes)+n].cost) {
			n = i
		}
	}
	if n < 0 {
		return nil, 0, false
	}
	cost := c.best[last*len(nodes)+n].cost
	var path []Stage
	for b := last; n >= 0; {
		partial := c.best[b*len(nodes)+n]
		path = append(path, Stage{
			Index:  nodes[n].Index,
			Layers: entity.LayerRange{From: c.boundaries[partial.from], To: c.boundaries[b]},
		})
		b, n = partial.from, partial.previous
	}
	slices.Reverse(path)
	return path, cost, true
}
