package router

import (
	"slices"

	"github.com/hyssophoist/hyssophoist/core/chain"
)

// costs returns the costs by which the selected policy compares chains for a request.
func (r *Router) costs(q *request) chain.Costs {
	switch r.options.Policy {
	case RoundRobin:
		return roundRobinCosts{fewestInProgressCosts{r, q}}
	case FewestInProgress:
		return fewestInProgressCosts{r, q}
	}
	return r.expectedCosts(q)
}

// fewestInProgressCosts makes the cost of a target the number of its requests in progress from this daemon.
type fewestInProgressCosts struct {
	r *Router
	q *request
}

func (f fewestInProgressCosts) Node(index int) (float64, bool) {
	t := f.r.byIndex[index]
	cost := float64(t.inProgress + 1)
	if f.r.suspect(t) || slices.Contains(f.q.avoid, t) {
		cost += suspectPenalty
	}
	return cost, true
}

func (f fewestInProgressCosts) Link(_, _ int) float64 { return 0 }

// roundRobinCosts makes the cost of a target the number of attempts started on it, so that targets take turns.
type roundRobinCosts struct{ fewestInProgressCosts }

func (f roundRobinCosts) Node(index int) (float64, bool) {
	t := f.r.byIndex[index]
	cost := float64(t.attemptsStarted)
	if f.r.suspect(t) || slices.Contains(f.q.avoid, t) {
		cost += suspectPenalty
	}
	return cost, true
}
