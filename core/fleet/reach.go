package fleet

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

const (
	// lostAfter is how long an engine must not answer before its layers are placed elsewhere. The list of targets drops it
	// only after three of its heartbeats, and an engine that crashed holds nothing when it is back.
	lostAfter = 1200 * time.Millisecond
	// maxLostShare is the part of a zone's engines that may be lost at once. If more do not answer, the zone is cut off
	// from this instance, and its engines still hold what they held.
	maxLostShare = 0.5
)

// reach is what an instance knows about whether an engine answers it. The zero value says that it does.
type reachability struct {
	// since is when the first question in a row without an answer was asked, until how long the last one counts.
	unansweredSince, downUntil time.Time
}

// Unreachable notes at the time now that an engine did not answer a question of this instance; life is how long that
// counts without another question. It says whether that is news.
func (f *Fleet) RecordNoAnswer(now time.Time, id entity.TargetID, ttl time.Duration) (changed bool) {
	state := f.targets.Get(id)
	if state == nil {
		return false
	}
	changed = !state.Down(now)
	if changed {
		state.reachability.unansweredSince = now
	}
	state.reachability.downUntil = now.Add(ttl)
	return changed
}

// Down says whether the engine does not answer this instance. Such an engine gets no requests: each would come back
// unserved and use up a repetition.
func (s *State) Down(now time.Time) bool { return now.Before(s.reachability.downUntil) }

// DownTargets returns the engines that do not answer this instance.
func (f *Fleet) DownTargets(now time.Time) (down []Target) {
	for _, state := range f.targets.All {
		if state.Down(now) {
			down = append(down, state.Target)
		}
	}
	return down
}

// Lost returns the engines whose layers are gone: those that are leaving or gone from the list, and those that have not
// answered for some time although most engines of their zone do.
func (f *Fleet) LostTargets(now time.Time) map[entity.TargetID]bool {
	type count struct{ engines, down int }
	zones := make(map[entity.ZoneID]*count)
	for _, state := range f.targets.All {
		if state.Card == "" {
			continue
		}
		zone := zones[state.Zone]
		if zone == nil {
			zone = &count{}
			zones[state.Zone] = zone
		}
		zone.engines++
		if state.Down(now) {
			zone.down++
		}
	}
	lost := make(map[entity.TargetID]bool)
	for id, state := range f.targets.All {
		zone := zones[state.Zone]
		unresponsive := state.Card != "" && state.Down(now) && now.Sub(state.reachability.unansweredSince) >= lostAfter &&
			float64(zone.down) <= maxLostShare*float64(zone.engines)
		if unresponsive || !state.InService(now) {
			lost[id] = true
		}
	}
	return lost
}
