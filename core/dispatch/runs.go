package dispatch

import (
	"slices"

	"github.com/hyssophoist/hyssophoist/core/fleet"
)

// Runs holds the targets on which a request may have run; for a generation, the first engines of its paths.
type Runs struct{ runs []run }

// run is a run on one process of a target, or several. responded reports whether one has ended with a complete response.
type run struct {
	target    fleet.Target
	responded bool
}

// Add records a run on a target, and whether it has ended with a complete response.
func (r *Runs) Add(target fleet.Target, responded bool) {
	if i := r.index(target); i >= 0 {
		r.runs[i].responded = r.runs[i].responded || responded
		return
	}
	r.runs = append(r.runs, run{target: target, responded: responded})
}

// Includes reports whether the request may have run on this process of the target.
func (r *Runs) Includes(target fleet.Target) bool { return r.index(target) >= 0 }

func (r *Runs) index(target fleet.Target) int {
	return slices.IndexFunc(r.runs, func(other run) bool {
		return other.target.ID == target.ID && other.target.Born == target.Born
	})
}

// Len returns the number of targets on which the request may have run, each once.
func (r *Runs) Len() int { return len(r.runs) }

// Counted returns the number of targets that count towards the limit on the targets of one request: those on which it may
// have run, each once, without the processes that are known to have ended before a complete response.
func (r *Runs) Counted(f *fleet.Fleet) (counted int) {
	for _, run := range r.runs {
		if run.responded || !f.Ended(run.target) {
			counted++
		}
	}
	return counted
}

// With returns the runs with one more in progress.
func (r *Runs) With(target fleet.Target) *Runs {
	with := &Runs{runs: slices.Clone(r.runs)}
	with.Add(target, false)
	return with
}

// Unconfirmed returns the counted targets that have not responded, so that they may have ended.
func (r *Runs) Unconfirmed(f *fleet.Fleet) (targets []fleet.Target) {
	for _, run := range r.runs {
		if !run.responded && !f.Ended(run.target) {
			targets = append(targets, run.target)
		}
	}
	return targets
}
