package fleet

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

const (
	// lastResortShare is the fraction of the drain bound for which a target that leaves by its own response may still be
	// chosen if there is no other. The rest covers the time until the request is sent.
	lastResortShare = 0.5
	// leavingMemory is how long it is remembered that a process leaves after its entry was last seen.
	leavingMemory = time.Minute
)

// process identifies the process of a target. A successor under the same id has another start time.
type process struct {
	id   entity.TargetID
	born int64
}

// leavingProcess is a process that has said in a response that it leaves.
type leavingProcess struct {
	// since is the time of its first such response, lastSeen when it was last in the table.
	since, lastSeen time.Time
}

// RecordLeaving records that the process of a target that was started at born has said in a response that it leaves. It
// reports whether that was not known. No later entry of the same process undoes it.
func (f *Fleet) RecordLeaving(now time.Time, id entity.TargetID, born int64) (changed bool) {
	key := process{id: id, born: born}
	if f.leaving[key] != nil {
		return false
	}
	f.leaving[key] = &leavingProcess{since: now, lastSeen: now}
	if state := f.targets.Get(id); state != nil && state.Born == born {
		state.leavingSince = now
	}
	return true
}

// OtherAt returns the only other target than id that is listed under an address.
func (f *Fleet) OtherAt(address string, id entity.TargetID) (other Target, found bool) {
	for otherID, state := range f.targets.All {
		if otherID == id || state.Address != address {
			continue
		}
		if found {
			return Target{}, false
		}
		other, found = state.Target, true
	}
	return other, found
}

// Replaced reports whether a target is no longer in the table, another process has taken its place, or it leaves by its
// own response. Its connections are then not used for further requests: they may lead to a process that others under the
// same address have replaced.
func (f *Fleet) Replaced(target Target) bool {
	state := f.targets.Get(target.ID)
	return state == nil || state.Born != target.Born || !state.leavingSince.IsZero()
}

// LastResort reports whether a target that leaves by its own response may still be chosen if there is no other.
func (f *Fleet) LastResort(now time.Time, s *State) bool {
	if s.leavingSince.IsZero() || !s.listedAsReady(now) {
		return false
	}
	return now.Sub(s.leavingSince) < time.Duration(lastResortShare*float64(f.DrainBound))
}

// CountLeaving returns the number of targets that leave according to the list, and according to their own responses.
func (f *Fleet) CountLeaving() (byList, byResponse int) {
	for _, state := range f.targets.All {
		if state.Draining {
			byList++
		}
		if !state.leavingSince.IsZero() {
			byResponse++
		}
	}
	return byList, byResponse
}

// leavingSince returns when the process of an entry first said in a response that it leaves; zero if it has not.
func (f *Fleet) leavingSince(target Target) time.Time {
	if known := f.leaving[process{id: target.ID, born: target.Born}]; known != nil {
		return known.since
	}
	return time.Time{}
}

// pruneLeaving forgets the processes whose entries have been gone for long.
func (f *Fleet) pruneLeaving(now time.Time) {
	for key, known := range f.leaving {
		if state := f.targets.Get(key.id); state != nil && state.Born == key.born {
			known.lastSeen = now
		}
		if now.Sub(known.lastSeen) > leavingMemory {
			delete(f.leaving, key)
		}
	}
}
