package router

import (
	"github.com/hyssophoist/hyssophoist/core/entity"
)

// Counts holds event counters since the router was created. They only increase.
type Counts struct {
	Arrived, Finished, Refused  uint64
	Attempts, Retries, Timeouts uint64
	// Hedges counts second attempts at slow service calls.
	Hedges uint64
	// Stalls counts timeouts after the first token.
	Stalls     uint64
	Violations uint64
}

// Status is a summary for status pages and metrics.
type Status struct {
	// Version is the configuration version in force; 0 if there is none.
	Version    uint64
	Preset     string
	InProgress int
	Queued     int
	Stopping   bool
	// RetryBudget is the number of retries left in the retry budget.
	RetryBudget float64
	Counts      Counts
}

// Status returns a summary of the router.
func (r *Router) Status() Status {
	s := Status{
		InProgress: r.requests.Len(), Queued: r.queue.Len(), Stopping: r.stopping,
		RetryBudget: r.retryBudget.Balance(), Counts: r.counts,
	}
	if r.configuration != nil {
		s.Version, s.Preset = r.configuration.Version, r.configuration.Preset.Name
	}
	return s
}

// TargetStatus is the status of one target.
type TargetStatus struct {
	Target  entity.Target
	Leaving bool
	// InProgress counts this daemon's attempts that use the target.
	InProgress int
}

// Targets returns the status of all targets in the order in which they were added. The slice is a copy.
func (r *Router) Targets() []TargetStatus {
	all := make([]TargetStatus, 0, len(r.byIndex))
	for _, t := range r.byIndex {
		all = append(all, TargetStatus{Target: t.Target, Leaving: t.leaving, InProgress: t.inProgress})
	}
	return all
}

// Configuration returns the configuration in force, or nil. It must not be changed.
func (r *Router) Configuration() *entity.Configuration { return r.configuration }
