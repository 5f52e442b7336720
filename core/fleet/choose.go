package fleet

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

const (
	// usualLatency stands for the latency of a target without samples.
	defaultLatency = 20 * time.Millisecond
	// latencyWeight is the share of a new sample in the smoothed latency.
	latencySmoothing = 0.2
	// zonePenalty prefers targets of the own zone among equally loaded ones: traffic between zones is dearer.
	crossZonePenalty = 0.25
	// suspectPenalty makes a suspected target the last choice.
	suspectPenalty = 1000.0
)

// ChoosePlain returns the target of a plain service with the least expected waiting time, or nil. Targets in tried are
// left out; a suspected target is chosen only if there is no other.
func (f *Fleet) ChoosePlain(now time.Time, service entity.ServiceID, zone entity.ZoneID,
	tried map[entity.TargetID]bool) *State {
	var best *State
	bestCost := 0.0
	for id, state := range f.targets.All {
		if state.Service != service || tried[id] || !state.InService(now) {
			continue
		}
		cost := plainCost(now, state, zone)
		if best == nil || cost < bestCost {
			best, bestCost = state, cost
		}
	}
	return best
}

func plainCost(now time.Time, state *State, zone entity.ZoneID) float64 {
	latency := state.Latency
	if latency == 0 {
		latency = defaultLatency
	}
	cost := latency.Seconds() * (1 + 2*float64(state.InProgress)/float64(max(1, state.Slots)))
	if state.Zone != zone {
		cost *= 1 + crossZonePenalty
	}
	if !state.Usable(now) {
		cost += suspectPenalty
	}
	return cost
}

// ObserveLatency takes the duration of a plain call at a target.
func (s *State) ObserveLatency(d time.Duration) {
	if s.Latency == 0 {
		s.Latency = d
		return
	}
	s.Latency += time.Duration(latencySmoothing * float64(d-s.Latency))
}
