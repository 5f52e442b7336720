package fleet

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// endedMemory is how long the end of a process is remembered. No request lasts longer.
const endedMemory = time.Minute

// RecordEnded records that the process of a target that was started at born has ended: its address refuses connections, or
// another process answers there. It reports whether that was not known. A broken connection, an entry that is gone or a
// query without an answer does not show it.
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

// pruneEnded forgets the processes that ended long ago.
func (f *Fleet) pruneEnded(now time.Time) {
	for key, at := range f.ended {
		if now.Sub(at) > endedMemory {
			delete(f.ended, key)
		}
	}
}
