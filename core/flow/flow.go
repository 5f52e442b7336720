// Package flow computes an upper bound of a model's throughput as the maximum token flow through its layer graph.
package flow

import (
	"math"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// Node is a target as a node of the layer graph.
type Node struct {
	Layers entity.LayerRange
	// Rate is the capacity of the target in tokens/s.
	Rate float64
}

// LinkRate returns the capacity in tokens/s of the link between two nodes, given by their indexes in the list of nodes.
// It may be infinite. A rate of 0 means that there is no link.
type LinkRate func(from, to int) float64

// Unlimited is a LinkRate with infinite capacity for every link.
func Unlimited(_, _ int) float64 { return math.Inf(1) }

// LinkFlow is the flow over one link.
type LinkFlow struct {
	From, To int
	// Rate is in tokens/s.
	Rate float64
}

// Result is a maximum flow. Total and the flows through nodes are in tokens/s.
type Result struct {
	Total float64
	// Nodes holds the flow through each node, in the order of the input.
	Nodes []float64
	// Links holds the links with positive flow.
	Links []LinkFlow
}

// MaxFlow returns the maximum flow from layer 0 to the last layer. Each unit of flow follows a chain of nodes whose
// ranges cover [0, layers) once, in order; no node or link exceeds its rate.
func MaxFlow(layers int, nodes []Node, link LinkRate) Result {
	g := newGraph(2*len(nodes) + 2)
	source, sink := 2*len(nodes), 2*len(nodes)+1
	nodeEdges := make([]int, len(nodes))
	byFirstLayer := make(map[int][]int)
	for i, node := range nodes {
		nodeEdges[i] = g.addEdge(2*i, 2*i+1, node.Rate)
		if node.Layers.From == 0 {
			g.addEdge(source, 2*i, math.Inf(1))
		} else {
			byFirstLayer[node.Layers.From] = append(byFirstLayer[node.Layers.From], i)
		}
		if node.Layers.To == layers {
			g.addEdge(2*i+1, sink, math.Inf(1))
		}
	}
	var links []LinkFlow
	var linkEdges []int
	for i, node := range nodes {
		for _, next := range byFirstLayer[node.Layers.To] {
			if rate := link(i, next); rate > 0 {
				linkEdges = append(linkEdges, g.addEdge(2*i+1, 2*next, rate))
				links = append(links, LinkFlow{From: i, To: next})
			}
		}
	}
	result := Result{Total: g.maxFlow(source, sink), Nodes: make([]float64, len(nodes))}
	for i, edge := range nodeEdges {
		result.Nodes[i] = g.flowOf(edge)
	}
	for i, edge := range linkEdges {
		if links[i].Rate = g.flowOf(edge); links[i].Rate > 0 {
			result.Links = append(result.Links, links[i])
		}
	}
	return result
}

// graph is a residual graph for Dinic's algorithm. Edge i^1 is the reverse of edge i.
type graph struct {
	edges    []edge
	out      [][]int
	level    []int
	nextEdge []int
}

type edge struct {
	to       int
	capacity float64 // residual
	flow     float64
}

func newGraph(vertices int) *graph {
	return &graph{out: make([][]int, vertices), level: make([]int, vertices), nextEdge: make([]int, vertices)}
}

func (g *graph) addEdge(from, to int, capacity float64) int {
	id := len(g.edges)
	g.edges = append(g.edges, edge{to: to, capacity: capacity}, edge{to: from})
	g.out[from] = append(g.out[from], id)
	g.out[to] = append(g.out[to], id+1)
	return id
}

func (g *graph) flowOf(id int) float64 { return math.Max(0, g.edges[id].flow) }

// epsilon is the residual capacity, in tokens/s, below which an edge counts as saturated. Otherwise the rounding errors
// of repeated subtractions would leave an endless number of augmenting paths.
const epsilon = 1e-6

func (g *graph) maxFlow(source, sink int) float64 {
	total := 0.0
	for g.assignLevels(source, sink) {
		for i := range g.nextEdge {
			g.nextEdge[i] = 0
		}
		for {
			pushed := g.augment(source, sink, math.Inf(1))
			if pushed < epsilon {
				break
			}
			total += pushed
		}
	}
	return total
}

// assignLevels sets the level of each vertex to its distance from the source in the residual graph. It reports whether
// the sink is reachable.
func (g *graph) assignLevels(source, sink int) bool {
	for i := range g.level {
		g.level[i] = -1
	}
	g.level[source] = 0
	queue := []int{source}
	for len(queue) > 0 {
		vertex := queue[0]
		queue = queue[1:]
		for _, id := range g.out[vertex] {
			e := &g.edges[id]
			if e.capacity >= epsilon && g.level[e.to] < 0 {
				g.level[e.to] = g.level[vertex] + 1
				queue = append(queue, e.to)
			}
		}
	}
	return g.level[sink] >= 0
}

func (g *graph) augment(vertex, sink int, limit float64) float64 {
	if vertex == sink {
		return limit
	}
	for ; g.nextEdge[vertex] < len(g.out[vertex]); g.nextEdge[vertex]++ {
		id := g.out[vertex][g.nextEdge[vertex]]
		e := &g.edges[id]
		if e.capacity < epsilon || g.level[e.to] != g.level[vertex]+1 {
			continue
		}
		pushed := g.augment(e.to, sink, math.Min(limit, e.capacity))
		if pushed >= epsilon {
			g.addFlow(id, pushed)
			return pushed
		}
	}
	return 0
}

func (g *graph) addFlow(id int, amount float64) {
	g.edges[id].capacity -= amount
	g.edges[id].flow += amount
	g.edges[id^1].capacity += amount
	g.edges[id^1].flow -= amount
}
