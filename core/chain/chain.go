// Package chain selects chains of targets whose layer ranges cover the layers [0, L) of a model once, in order.
package chain

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// Node is a target as a stage of a chain.
type Node struct {
	// Index identifies the target in calls of Costs. It is assigned by the caller.
	Index  int
	Layers entity.LayerRange
	// Local is true if the target is in the daemon's zone.
	Local bool
}

// Costs returns the current costs of nodes and links, in seconds.
type Costs interface {
	// Node returns the cost of using the node as a stage, or false if the node accepts no work at present.
	Node(index int) (float64, bool)
	// Link returns the cost of sending activations from one node to another.
	Link(from, to int) float64
}

// Graph holds the nodes of a model, grouped by the first layer of their range.
// It reuses buffers between calls and is not safe for concurrent use.
type Graph struct {
	layers     int
	boundaries []boundary
	candidates []candidate
	picked     []Node
}

type boundary struct {
	layer int
	nodes []Node
	local []Node
}

// candidate is a node considered by the current call of choose, with the cheapest path to it.
type candidate struct {
	node        Node
	cost        float64
	predecessor int
}

// NewGraph returns a graph of those nodes that are part of at least one chain over [0, layers).
func NewGraph(layers int, nodes []Node) *Graph {
	onChain := onSomeChain(layers, nodes)
	g := &Graph{layers: layers}
	for _, node := range onChain {
		at, found := slices.BinarySearchFunc(g.boundaries, node.Layers.From,
			func(b boundary, layer int) int { return b.layer - layer })
		if !found {
			g.boundaries = slices.Insert(g.boundaries, at, boundary{layer: node.Layers.From})
		}
		b := &g.boundaries[at]
		b.nodes = append(b.nodes, node)
		if node.Local {
			b.local = append(b.local, node)
		}
	}
	return g
}

// onSomeChain returns the nodes that are reachable from layer 0 and from which the last layer is reachable, sorted by
// their first layer.
func onSomeChain(layers int, nodes []Node) []Node {
	sorted := slices.Clone(nodes)
	slices.SortStableFunc(sorted, func(a, b Node) int { return a.Layers.From - b.Layers.From })
	reachable := map[int]bool{0: true}
	for _, node := range sorted {
		if reachable[node.Layers.From] && node.Layers.Len() > 0 && node.Layers.To <= layers {
			reachable[node.Layers.To] = true
		}
	}
	reachesEnd := map[int]bool{layers: true}
	for _, node := range slices.Backward(sorted) {
		if reachesEnd[node.Layers.To] && node.Layers.Len() > 0 {
			reachesEnd[node.Layers.From] = true
		}
	}
	return slices.DeleteFunc(sorted, func(n Node) bool {
		return !reachable[n.Layers.From] || !reachesEnd[n.Layers.To] || n.Layers.Len() <= 0 || n.Layers.To > layers
	})
}

// Empty reports whether no chain exists.
func (g *Graph) Empty() bool { return len(g.boundaries) == 0 }

// Choose returns the node indexes of the cheapest chain among sampled candidates, and its cost in seconds. At each
// layer boundary it samples up to samples nodes, half of them from the local zone; 0 means all nodes. Sampling keeps
// daemons that see the same stale load reports from all choosing the same target. If the samples contain no chain,
// Choose considers all nodes. preferred lists nodes that are always candidates. The result is false if no chain is
// available.
func (g *Graph) Choose(costs Costs, random *rand.Rand, samples int, preferred []Node) ([]int, float64, bool) {
	if samples > 0 {
		if best, total, ok := g.choose(costs, random, samples, preferred); ok {
			return best, total, true
		}
	}
	return g.choose(costs, random, 0, nil)
}

func (g *Graph) choose(costs Costs, random *rand.Rand, samples int, preferred []Node) ([]int, float64, bool) {
	g.candidates = g.candidates[:0]
	best := -1
	for i := range g.boundaries {
		numEarlier := len(g.candidates)
		for _, node := range g.pick(&g.boundaries[i], random, samples, preferred) {
			c, ok := g.cheapestPath(costs, node, numEarlier)
			if !ok {
				continue
			}
			g.candidates = append(g.candidates, c)
			if node.Layers.To == g.layers && (best < 0 || c.cost < g.candidates[best].cost) {
				best = len(g.candidates) - 1
			}
		}
	}
	if best < 0 {
		return nil, 0, false
	}
	total := g.candidates[best].cost
	var indexes []int
	for at := best; at >= 0; at = g.candidates[at].predecessor {
		indexes = append(indexes, g.candidates[at].node.Index)
	}
	slices.Reverse(indexes)
	return indexes, total, true
}

// cheapestPath returns node with the cheapest path to it through the first numEarlier candidates, or false if there is
// none.
func (g *Graph) cheapestPath(costs Costs, node Node, numEarlier int) (candidate, bool) {
	nodeCost, ok := costs.Node(node.Index)
	if !ok {
		return candidate{}, false
	}
	if node.Layers.From == 0 {
		return candidate{node: node, cost: nodeCost, predecessor: -1}, true
	}
	c := candidate{node: node, cost: math.Inf(1), predecessor: -1}
	for i := range g.candidates[:numEarlier] {
		previous := &g.candidates[i]
		if previous.node.Layers.To != node.Layers.From {
			continue
		}
		total := previous.cost + costs.Link(previous.node.Index, node.Index) + nodeCost
		if total < c.cost {
			c.cost, c.predecessor = total, i
		}
	}
	return c, c.predecessor >= 0
}

// pick returns the nodes of one boundary that choose considers, without duplicates.
func (g *Graph) pick(b *boundary, random *rand.Rand, samples int, preferred []Node) []Node {
	if samples == 0 || len(b.nodes) <= samples {
		return b.nodes
	}
	g.picked = g.picked[:0]
	for _, node := range preferred {
		if node.Layers.From == b.layer {
			g.addPicked(node)
		}
	}
	for i := range samples {
		from := b.nodes
		if i%2 == 0 && len(b.local) > 0 {
			from = b.local
		}
		g.addPicked(from[random.IntN(len(from))])
	}
	return g.picked
}

func (g *Graph) addPicked(node Node) {
	for i := range g.picked {
		if g.picked[i].Index == node.Index {
			return
		}
	}
	g.picked = append(g.picked, node)
}
