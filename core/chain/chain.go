// Package chain chooses chains of targets that cover the layers [0, L) of a model once, in order.
package chain

import (
	"math"
	"math/rand/v2"
	"slices"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// Node is a target seen as one stage of a chain.
type Node struct {
	// Index is the caller's number for the target; Costs are asked for by it.
	Index  int
	Layers entity.LayerRange
	// Local says that the target is in the daemon's own zone.
	Local bool
}

// Costs gives the current costs of nodes and links. All costs are in seconds.
type Costs interface {
	// Node returns the cost of using the node as a stage, or false if the node takes no work at present.
	Node(index int) (float64, bool)
	// Link returns the cost of passing activations between two nodes.
	Link(from, to int) float64
}

// Graph holds the nodes of one model, indexed by the layer at which their range begins.
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

// candidate is a node of the current choice with the cheapest way to it.
type candidate struct {
	node        Node
	cost        float64
	predecessor int
}

// NewGraph returns the graph of the nodes that lie on at least one chain over [0, layers).
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

// onSomeChain drops the nodes that cannot be reached from layer 0 or cannot reach the last layer.
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

// Empty says that no chain exists.
func (g *Graph) Empty() bool { return len(g.boundaries) == 0 }

// Choose returns the indexes of the cheapest chain among sampled candidates and its cost in seconds. At each layer
// boundary it samples up to samples nodes, half of them from the own zone; 0 means all nodes. Sampling keeps daemons
// that see the same stale reports from choosing the same target. If the samples hold no chain, all nodes are tried.
// prefer lists nodes that are always candidates. The result is false if no chain is available.
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
		earlier := len(g.candidates)
		for _, node := range g.pick(&g.boundaries[i], random, samples, preferred) {
			c, ok := g.cheapestPath(costs, node, earlier)
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

// reach returns the cheapest way to node through the first candidates, or false if there is none.
func (g *Graph) cheapestPath(costs Costs, node Node, earlier int) (candidate, bool) {
	nodeCost, ok := costs.Node(node.Index)
	if !ok {
		return candidate{}, false
	}
	if node.Layers.From == 0 {
		return candidate{node: node, cost: nodeCost, predecessor: -1}, true
	}
	c := candidate{node: node, cost: math.Inf(1), predecessor: -1}
	for i := range g.candidates[:earlier] {
		before := &g.candidates[i]
		if before.node.Layers.To != node.Layers.From {
			continue
		}
		total := before.cost + costs.Link(before.node.Index, node.Index) + nodeCost
		if total < c.cost {
			c.cost, c.predecessor = total, i
		}
	}
	return c, c.predecessor >= 0
}

// pick returns the candidates of one boundary without repetition.
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
