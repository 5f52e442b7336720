package fleet

import (
	"maps"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

const (
	// departureMemory is how long a dropped target is remembered. The store's copies are seconds old.
	departureMemory = time.Minute
	// absenceTime is how long after a restore of the store a target that was known to be gone is not used although it is
	// in the list again: the platform drops the entry of a process after three missed heartbeats, so one that is still
	// listed then is alive.
	absenceTime = 5 * time.Second
)

// departure is the last entry of a target that was dropped.
type departure struct {
	born, revision int64
	at             time.Time
	// backoff is kept for the case that only the entry of the process expired.
	backoff backoff
}

type departures map[entity.TargetID]departure

func (d departures) prune(now time.Time) {
	for id, departed := range d {
		if now.Sub(departed.at) > departureMemory {
			delete(d, id)
		}
	}
}

// olderThan reports whether the entry was written before that of the process born at the given time with the given
// revision. Entries without a revision cannot be compared.
func (t Target) olderThan(born, revision int64) bool {
	if t.Revision == 0 || revision == 0 {
		return false
	}
	return t.Born < born || t.Born == born && t.Revision < revision
}

// StoreRestored records that the store has come back at time now from an older copy of its content. What is known of the
// targets is then newer than the list: entries may be missing until the targets write them again, those of targets that
// have gone are back, and targets that are leaving may be listed as ready.
func (f *Fleet) StoreRestored(now time.Time) {
	f.restoredAt = now
	f.Tick(now)
	// The removal of a target that was only kept in case its entry had lapsed is newer than the copy.
	for _, state := range f.targets.All {
		if !state.removeAt.IsZero() {
			f.drop(now, state)
		}
	}
	maps.Copy(f.departedBefore, f.departed)
	clear(f.departed)
	for _, state := range f.targets.All {
		state.beforeRestore = true
		if now.Before(state.absentUntil) {
			state.absentUntil = now.Add(absenceTime)
		}
	}
}

// drop removes a target from the table.
func (f *Fleet) drop(now time.Time, state *State) {
	f.departed[state.ID] = departure{born: state.Born, revision: state.Revision, at: now, backoff: state.backoff}
	f.targets.Delete(state.ID)
}

// absentUntil returns how long a target that is not in the table must be listed before it is used: zero unless it was
// dropped before the store was restored and the entry is not a later one.
func (f *Fleet) absentUntil(target Target) time.Time {
	departed, known := f.departedBefore[target.ID]
	if !known || target.Revision == 0 || target.Born > departed.born ||
		target.Born == departed.born && target.Revision > departed.revision {
		return time.Time{}
	}
	return f.restoredAt.Add(absenceTime)
}
