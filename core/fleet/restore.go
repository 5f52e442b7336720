package fleet

import (
	"maps"
	"time"
)

// absenceTime is how long after a restore of the store a target that was known to be gone is not used although it is
// in the list again: the platform drops the entry of a process after three missed heartbeats, so one that is still
// listed then is alive.
const absenceTime = 5 * time.Second

// StoreRestored records that the store has come back at time now from an older copy of its content. What is known of the
// targets is then newer than the list: entries may be missing until the targets write them again, those of targets that
// have gone are back, and targets that are leaving may be listed as ready.
func (f *Fleet) StoreRestored(now time.Time) {
	f.restoredAt = now
	f.Tick(now)
	// The removal of a target that was only kept in case its entry had lapsed is newer than the copy.
	for _, state := range f.targets.All {
		if !state.removeAt.IsZero() {
			f.drop(now, state, false)
		}
	}
	maps.Copy(f.departedBefore, f.departed)
	clear(f.departed)
	for _, state := range f.targets.All {
		if now.Before(state.absentUntil) {
			state.absentUntil = now.Add(absenceTime)
		}
	}
}

// absentAfterRestore is absentUntil for a target that was dropped before the store was restored: zero unless the entry is not a later
// one.
func (f *Fleet) absentAfterRestore(target Target) time.Time {
	departed, known := f.departedBefore[target.ID]
	if !known || target.Revision == 0 || departed.version.olderThan(target.version()) {
		return time.Time{}
	}
	return f.restoredAt.Add(absenceTime)
}
