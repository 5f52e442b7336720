package router

import (
	"fmt"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/message"
)

// Invariant names a property that the router asserts about its own decisions.
type Invariant string

// The asserted invariants.
const (
	InvariantChainCoversLayers Invariant = "chain_covers_layers_once"
	InvariantNoLeavingTarget   Invariant = "no_attempt_to_leaving_target"
	InvariantOneOutcome        Invariant = "one_outcome_per_request"
	InvariantRunsOnce          Invariant = "non_idempotent_runs_once"
	InvariantVersionNotLower   Invariant = "configuration_version_not_lower"
)

// Violation is a violated invariant.
type Violation struct {
	Invariant Invariant
	Message   string
}

func (r *Router) reportViolation(invariant Invariant, format string, args ...any) {
	r.counts.Violations++
	if r.options.OnViolation != nil {
		r.options.OnViolation(Violation{Invariant: invariant, Message: fmt.Sprintf(format, args...)})
	}
}

// checkStart asserts the invariants of a new attempt. It looks the targets up again by id instead of using the rows
// that the chain was chosen from.
func (r *Router) checkStart(q *request, hops entity.Chain) {
	if !q.Idempotent && q.runOutcome() != errkind.NotRun {
		r.reportViolation(InvariantRunsOnce, "non-idempotent request %s may have run and is started again", q.Request)
	}
	for _, hop := range hops {
		t := r.targets.Get(hop.Target)
		if t == nil || t.unavailable() || r.listedLeaving[hop.Target] {
			r.reportViolation(InvariantNoLeavingTarget, "request %s is sent to unavailable target %s", q.Request, hop.Target)
		}
	}
	if q.Kind != message.Completion {
		return
	}
	layer := 0
	for _, hop := range hops {
		if hop.Layers.From != layer || hop.Layers.Len() <= 0 {
			r.reportViolation(InvariantChainCoversLayers, "request %s: hop from layer %d follows layers up to %d",
				q.Request, hop.Layers.From, layer)
		}
		layer = hop.Layers.To
	}
	if m := r.models.Get(q.Model); m == nil || layer != m.Layers {
		r.reportViolation(InvariantChainCoversLayers, "request %s: chain ends at layer %d", q.Request, layer)
	}
}
