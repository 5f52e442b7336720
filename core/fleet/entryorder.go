package fleet

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

const (
	// departureMemory is how long a dropped target is remembered. The store performs writes seconds late, and its copies are
	// seconds old.
	departureMemory = time.Minute
	// lateWriteTime is the longest time for which entries that are older than the known one can be late writes. An older process
	// that goes on writing is the one that runs: its start time is wrong, or that of the known entry is.
	lateWriteTime = 10 * time.Second
)

// entryVersion orders the entries of a target. The order in which the store performs their writes does not: one that gets no
// response may be performed seconds later.
type entryVersion struct {
	// born is the start time of the process, 0 if it is not known; revision counts the entries of the process.
	born, revision int64
}

func (t Target) version() entryVersion { return entryVersion{born: t.Born, revision: t.Revision} }

// olderThan reports whether an entry was written before another one, by the same process or by an earlier one. Entries whose process is
// not known cannot be compared.
func (v entryVersion) olderThan(other entryVersion) bool {
	if v.born == 0 || other.born == 0 {
		return false
	}
	return v.born < other.born || v.born == other.born && v.revision < other.revision
}

// lateEntries records the entries of a target that are ignored since they are older than the known one. The zero value means none.
type lateEntries struct {
	// first is the first one since the known entry was written, seen at since.
	first entryVersion
	since time.Time
}

// ignores reports whether an entry that is written at time now is ignored because the known one is newer, and records it if so.
func (l *lateEntries) ignores(now time.Time, entry, known entryVersion) bool {
	if !entry.olderThan(known) {
		return false
	}
	if *l == (lateEntries{}) {
		*l = lateEntries{first: entry, since: now}
	}
	goesOn := l.first.olderThan(entry) && now.Sub(l.since) >= lateWriteTime
	return !goesOn
}

// departure is what is remembered of a target that was dropped.
type departure struct {
	// version is that of its last entry.
	version entryVersion
	at      time.Time
	// late records the older entries that are written after it.
	late *lateEntries
	// deliberate reports whether the entry was removed and cannot merely have lapsed.
	deliberate bool
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

// drop removes a target from the table. deliberate reports whether its entry cannot merely have lapsed.
func (f *Fleet) drop(now time.Time, state *State, deliberate bool) {
	late := state.late
	f.departed[state.ID] = departure{
		version: state.version(), at: now, late: &late, deliberate: deliberate, backoff: state.backoff,
	}
	f.targets.Delete(state.ID)
}

// absentUntil returns how long a target that is not in the table must be listed before it is used; zero if it is used at once. An entry of
// a process whose entry was removed can be a late write, also if it is newer than the last one that is known: the next entry shows
// that the process writes again.
func (f *Fleet) absentUntil(target Target) time.Time {
	if departed, known := f.departed[target.ID]; known && departed.deliberate && departed.version.born == target.Born {
		return departed.at.Add(lateWriteTime)
	}
	return f.absentAfterRestore(target)
}
