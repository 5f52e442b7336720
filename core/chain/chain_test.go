package chain

import (
	"math"
	"math/rand/v2"
	"testing"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

type randomCosts struct {
	node map[int]float64
	link map[[2]int]float64
}

func (c randomCosts) Node(index int) (float64, bool) {
	cost := c.node[index]
	return cost, cost < 0.9 // a tenth of the nodes accepts no work
}

func (c randomCosts) Link(from, to int) float64 { return c.link[[2]int{from, to}] }

// cheapest returns the cost of the cheapest chain over [from, layers), by exhaustive search.
func cheapest(costs randomCosts, nodes []Node, from, layers, previous int) float64 {
	if from == layers {
		return 0
	}
	best := math.Inf(1)
	for _, n := range nodes {
		cost, ok := costs.Node(n.Index)
		if n.Layers.From != from || n.Layers.Len() <= 0 || n.Layers.To > layers || !ok {
			continue
		}
		if previous >= 0 {
			cost += costs.Link(previous, n.Index)
		}
		best = math.Min(best, cost+cheapest(costs, nodes, n.Layers.To, layers, n.Index))
	}
	return best
}

// Guards against a chain that has a gap, repeats a layer, uses an unavailable node or is not the cheapest, and
// against sampling that finds no chain although one exists.
func TestChooseAgainstExhaustiveSearch(t *testing.T) {
	const layers = 6
	random := rand.New(rand.NewPCG(1, 1))
	for trial := range 2000 {
		costs := randomCosts{node: map[int]float64{}, link: map[[2]int]float64{}}
		var nodes []Node
		for i := range 1 + random.IntN(10) {
			from := random.IntN(layers)
			nodes = append(nodes, Node{Index: i, Layers: entity.LayerRange{From: from, To: from + random.IntN(layers)},
				Local: random.IntN(2) == 0})
			costs.node[i] = random.Float64()
			for j := range 10 {
				costs.link[[2]int{i, j}] = random.Float64()
			}
		}
		want := cheapest(costs, nodes, 0, layers, -1)
		g := NewGraph(layers, nodes)
		indexes, total, ok := g.Choose(costs, random, 0, nil)
		if ok != !math.IsInf(want, 1) || ok && math.Abs(total-want) > 1e-9 {
			t.Fatalf("trial %d: cost %v, %v, want %v", trial, total, ok, want)
		}
		at := 0
		for _, index := range indexes {
			if nodes[index].Layers.From != at {
				t.Fatalf("trial %d: chain %v of %v has a gap or an overlap", trial, indexes, nodes)
			}
			at = nodes[index].Layers.To
		}
		if _, _, sampled := g.Choose(costs, random, 1, nil); sampled != ok {
			t.Fatalf("trial %d: sampling finds a chain: %v, want %v", trial, sampled, ok)
		}
	}
}
