package fleet

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

const (
	// lapseRecoveryTime is how long after the return of the store a target without an entry is still used. Entries that
	// expired during an outage are written again within that time.
	lapseRecoveryTime = 2 * time.Second
	// removalShare is the fraction of the drain bound within which a target is dropped if its entry may have been
	// removed on purpose. The rest covers the time until requests that have chosen it are sent.
	removalShare = 0.9
)

// Removal tells what is known of the store when an entry disappears from the list.
type Removal struct {
	// After is when the store last confirmed a list that had the entry.
	After time.Time
	// ReturnedAt is when the store came back from its last outage that lasted for the drain bound or longer, or from an
	// older copy; zero if there was none.
	ReturnedAt time.Time
	// RecoveredAt is when reads last succeeded again after failed ones; zero if none has failed. Other instances may have
	// reached the store all the while.
	RecoveredAt time.Time
	// Overwritten reports whether the entry was not removed but replaced by one that no target has written. The target may be
	// sound and write its own entry again.
	Overwritten bool
}

// usableUntil returns until when the target is still used, since its entry may only have lapsed in an outage. An entry
// that may have been removed on purpose while other instances reached the store counts as removed right after it was last
// confirmed, and so does one that was overwritten: it may have said before that the target is leaving.
func (r Removal) usableUntil(drainBound time.Duration) time.Time {
	limit := r.After.Add(time.Duration(removalShare * float64(drainBound)))
	afterOutage := r.ReturnedAt.Add(lapseRecoveryTime)
	if !r.After.Before(r.ReturnedAt) {
		afterOutage = earlier(afterOutage, limit)
	}
	afterFailures := earlier(r.RecoveredAt.Add(lapseRecoveryTime), limit)
	if r.Overwritten {
		afterFailures = limit
	}
	if afterFailures.After(afterOutage) {
		return afterFailures
	}
	return afterOutage
}

// deliberate reports whether an entry that is dropped at once was removed and has not merely lapsed or been overwritten.
func (r Removal) deliberate() bool { return !r.After.IsZero() && !r.Overwritten }

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Remove handles the removal of a target's entry from the list. It reports whether the target stays in use for some time,
// because its entry may only have lapsed in an outage of the store, or has been overwritten.
func (f *Fleet) Remove(now time.Time, id entity.TargetID, removal Removal) (kept bool) {
	f.now = now
	state := f.targets.Get(id)
	if state == nil {
		return false
	}
	until := removal.usableUntil(f.DrainBound)
	if !now.Before(until) {
		f.drop(now, state, removal.deliberate() && state.removeAt.IsZero())
		return false
	}
	if state.removeAt.IsZero() {
		state.removeAt = until
	}
	return true
}

// Retain removes all targets that are not in listed, as Remove does, and returns the number of those that stay in use.
func (f *Fleet) Retain(now time.Time, listed map[entity.TargetID]bool, removal Removal) (kept int) {
	for id := range f.targets.All {
		if !listed[id] && f.Remove(now, id, removal) {
			kept++
		}
	}
	return kept
}
