package flow

import (
	"math"
	"testing"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

func node(from, to int, rate float64) Node {
	return Node{Layers: entity.LayerRange{From: from, To: to}, Rate: rate}
}

// Guards against a maximum flow that ignores a node's rate, a link's rate, a gap between ranges, or the need to reroute
// flow. The expected values are minimum cuts computed by hand.
func TestMaxFlowOfSmallGraphs(t *testing.T) {
	limited := func(rates map[[2]int]float64) LinkRate {
		return func(from, to int) float64 {
			if rate, ok := rates[[2]int{from, to}]; ok {
				return rate
			}
			return math.Inf(1)
		}
	}
	tests := []struct {
		name  string
		nodes []Node
		link  LinkRate
		want  float64
	}{
		{"single node", []Node{node(0, 4, 7)}, Unlimited, 7},
		{"slowest stage", []Node{node(0, 2, 7), node(2, 4, 5)}, Unlimited, 5},
		{"two nodes in the second stage", []Node{node(0, 2, 7), node(2, 4, 5), node(2, 4, 1)}, Unlimited, 6},
		{"gap between ranges", []Node{node(0, 2, 7), node(3, 4, 5)}, Unlimited, 0},
		{"overlap does not count", []Node{node(0, 3, 7), node(2, 4, 5)}, Unlimited, 0},
		{"whole-model node beside a chain", []Node{node(0, 4, 3), node(0, 2, 7), node(2, 4, 5)}, Unlimited, 8},
		{"slow link", []Node{node(0, 2, 7), node(2, 4, 5)}, limited(map[[2]int]float64{{0, 1}: 2}), 2},
		{"missing link", []Node{node(0, 2, 7), node(2, 4, 5)}, limited(map[[2]int]float64{{0, 1}: 0}), 0},
		// Links 0-2 (rate 4), 1-3 (rate 4) and 0-3 (rate 1): node 2 gets 4, node 3 gets 1 + 4 = 5.
		{"links share the flow", []Node{node(0, 2, 5), node(0, 2, 5), node(2, 4, 6), node(2, 4, 6)},
			limited(map[[2]int]float64{{0, 2}: 4, {1, 3}: 4, {0, 3}: 1, {1, 2}: 0}), 9},
		// Node 0 (layers 0-1) feeds both node 1 (layers 1-3) and node 2 (layers 1-2); nodes 3 (layers 2-4) and 4
		// (layers 3-4) have rates 4 and 3; node 2 limits the path through node 3 to rate 2.
		{"ranges of different lengths", []Node{node(0, 1, 9), node(1, 3, 5), node(1, 2, 2), node(2, 4, 4), node(3, 4, 3)},
			Unlimited, 5},
	}
	for _, test := range tests {
		got := MaxFlow(4, test.nodes, test.link)
		if math.Abs(got.Total-test.want) > 1e-3 {
			t.Errorf("%s: maximum flow %v, want %v", test.name, got.Total, test.want)
		}
		checkFlow(t, test.name, test.nodes, test.link, got)
	}
}

// checkFlow checks that no node or link exceeds its rate and that flow is conserved at the nodes.
func checkFlow(t *testing.T, name string, nodes []Node, link LinkRate, result Result) {
	t.Helper()
	in, out := make([]float64, len(nodes)), make([]float64, len(nodes))
	for _, l := range result.Links {
		if l.Rate > link(l.From, l.To)+1e-3 {
			t.Errorf("%s: link %d-%d carries %v, more than its rate", name, l.From, l.To, l.Rate)
		}
		out[l.From] += l.Rate
		in[l.To] += l.Rate
	}
	for i, n := range nodes {
		flow := result.Nodes[i]
		if flow > n.Rate+1e-3 {
			t.Errorf("%s: node %d carries %v, more than its rate %v", name, i, flow, n.Rate)
		}
		if n.Layers.From > 0 && math.Abs(in[i]-flow) > 1e-3 || n.Layers.To < 4 && math.Abs(out[i]-flow) > 1e-3 {
			t.Errorf("%s: node %d: in %v, through %v, out %v", name, i, in[i], flow, out[i])
		}
	}
}
