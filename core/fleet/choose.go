package fleet

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

const (
	// defaultLatency is the assumed latency of a target without samples.
	defaultLatency = 20 * time.Millisecond
	// latencyWeight is the weight of a new sample in the moving average of the latency.
	latencyWeight = 0.2
	// crossZonePenalty is the relative extra cost of a target in another zone, since traffic between zones is more
	// expensive. Among equally loaded targets those of the own zone are preferred.
	crossZonePenalty = 0.25
	// suspectPenalty is added to the cost of a target that is suspected or down, in seconds, so that it is chosen last.
	suspectPenalty = 1000.0
	// lastResortPenalty is added to the cost of a target that leaves by its own response, in seconds, so that it is chosen
	// only if there is no other.
	lastResortPenalty = 1e6
)

// ChoosePlain returns the target with the lowest expected latency for a plain service, whose calls are each served by a
// single target, or nil if there is none. Targets in tried and those that asked for time are skipped; a target that is
// suspected or down is chosen only if there is no other, and one that leaves by its own response only as a last resort.
// backedOff reports whether there are some that asked for time.
func (f *Fleet) ChoosePlain(now time.Time, service entity.ServiceID, zone entity.ZoneID,
	tried map[entity.TargetID]bool) (best *State, backedOff bool) {
	bestCost := 0.0
	for id, state := range f.targets.All {
		if state.Service != service || tried[id] || !state.InService(now) && !f.LastResort(now, state) {
			continue
		}
		if !state.AcceptsAttempt(now) {
			backedOff = true
			continue
		}
		cost := plainCost(now, state, zone)
		if !state.InService(now) {
			cost += lastResortPenalty
		}
		if best == nil || cost < bestCost {
			best, bestCost = state, cost
		}
	}
	return best, backedOff
}

// plainCost returns the expected latency of a call at a target, in seconds, with the penalties added.
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

// ObserveLatency adds the duration of a plain call to the moving average of the target's latency.
func (s *State) ObserveLatency(d time.Duration) {
	if s.Latency == 0 {
		s.Latency = d
		return
	}
	s.Latency += time.Duration(latencyWeight * float64(d-s.Latency))
}
