package fleet

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// endedMemory is how long the end of a process is remembered. No request lasts longer.
const endedMemory = time.Minute

// RecordEnded records that the process of a target that was started at born has ended: a later process answers under its id,
// or its address refuses connections while its zone is reachable, see Witnesses. It reports whether that was not known. A
// broken connection, an entry that is gone, a query without an answer or a refused connection alone does not show it: the
// path to a process that works on can cause each of them.
func (f *Fleet) RecordEnded(now time.Time, id entity.TargetID, born int64) (changed bool) {
	key := process{id: id, born: born}
	_, known := f.ended[key]
	f.ended[key] = now
	return !known
}

// Ended reports whether the process of a target is known to have ended, or a later one is listed under its id.
func (f *Fleet) Ended(target Target) bool {
	if _, known := f.ended[process{id: target.ID, born: target.Born}]; known {
		return true
	}
	state := f.targets.Get(target.ID)
	return state != nil && target.Born != 0 && state.Born > target.Born
}

// RecordAnswer records that the process of a target has answered, so that it has not ended.
func (f *Fleet) RecordAnswer(target Target) {
	delete(f.ended, process{id: target.ID, born: target.Born})
}

// Witnesses returns up to limit targets that show whether this instance reaches the zone of a target: others in the same zone
// that are usable. The selection begins after the target in the table, so that it differs between targets.
func (f *Fleet) Witnesses(now time.Time, target Target, limit int) []Target {
	var before, after []Target
	passed := false
	for id, state := range f.targets.All {
		switch {
		case id == target.ID:
			passed = true
		case state.Zone != target.Zone || state.Address == target.Address || !state.Usable(now):
		case passed:
			after = append(after, state.Target)
		default:
			before = append(before, state.Target)
		}
	}
	witnesses := append(after, before...)
	return witnesses[:min(limit, len(witnesses))]
}

// pruneEnded forgets the processes that ended long ago.
func (f *Fleet) pruneEnded(now time.Time) {
	for key, at := range f.ended {
		if now.Sub(at) > endedMemory {
			delete(f.ended, key)
		}
	}
}
