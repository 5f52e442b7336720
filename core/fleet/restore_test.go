package fleet

import (
	"testing"
	"time"
)

// TestEntriesAfterRestore guards against requests to targets that are leaving or gone because an older copy of the list
// has them as ready, and against targets that serve and are not used because the copy lacks them.
func TestEntriesAfterRestore(t *testing.T) {
	const restoredAt = 100 * time.Second
	entry := func(born, revision int64, draining bool) *Target {
		return &Target{ID: "t", Born: born, Revision: revision, Draining: draining}
	}
	for _, test := range []struct {
		name         string
		known        *Target
		gone         bool // known is removed before the restore
		copied       *Target
		later        *Target // written one second after the restore
		atOnce       bool    // in service when the copy has been read
		afterASecond bool
		afterAMinute bool
	}{
		{name: "ready", known: entry(1, 5, false), copied: entry(1, 3, false), atOnce: true, afterASecond: true, afterAMinute: true},
		{name: "leaving", known: entry(1, 5, true), copied: entry(1, 3, false)},
		{name: "leaving, says so again", known: entry(1, 5, true), copied: entry(1, 3, false), later: entry(1, 9, true)},
		{name: "leaves after the restore", known: entry(1, 5, false), copied: entry(1, 3, false), later: entry(1, 9, true), atOnce: true},
		{name: "leaving, then started again", known: entry(1, 5, true), copied: entry(1, 3, false), later: entry(2, 1, false),
			afterASecond: true, afterAMinute: true},
		{name: "older process in the copy", known: entry(2, 1, true), copied: entry(1, 9, false)},
		{name: "gone", known: entry(1, 5, false), gone: true, copied: entry(1, 3, false), afterAMinute: true},
		{name: "gone, then written again", known: entry(1, 5, false), gone: true, copied: entry(1, 3, false), later: entry(1, 9, false),
			afterASecond: true, afterAMinute: true},
		{name: "gone, then started again", known: entry(1, 5, false), gone: true, later: entry(2, 1, false),
			afterASecond: true, afterAMinute: true},
		{name: "not in the copy", known: entry(1, 5, false), atOnce: true, afterASecond: true},
		{name: "not in the copy, written again", known: entry(1, 5, false), later: entry(1, 6, false), atOnce: true,
			afterASecond: true, afterAMinute: true},
		{name: "entries without a revision", known: entry(1, 0, true), copied: entry(1, 0, false), atOnce: true,
			afterASecond: true, afterAMinute: true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := New()
			f.DrainBound = drainBound
			at := func(d time.Duration) time.Time { return time.Unix(0, 0).Add(d) }
			f.Put(*test.known)
			if test.gone {
				f.Remove(at(restoredAt-10*time.Second), "t", Removal{})
			}
			inService := func(now time.Time) bool {
				f.Tick(now)
				state := f.Get("t")
				return state != nil && state.InService(now)
			}
			f.StoreRestored(at(restoredAt))
			if test.copied != nil {
				f.Put(*test.copied)
			} else {
				f.Retain(at(restoredAt), nil, Removal{After: at(restoredAt), ReturnedAt: at(restoredAt)})
			}
			if got := inService(at(restoredAt)); got != test.atOnce {
				t.Errorf("in service at once: %v, want %v", got, test.atOnce)
			}
			if test.later != nil {
				f.Put(*test.later)
			}
			if got := inService(at(restoredAt + time.Second)); got != test.afterASecond {
				t.Errorf("in service after a second: %v, want %v", got, test.afterASecond)
			}
			if got := inService(at(restoredAt + time.Minute)); got != test.afterAMinute {
				t.Errorf("in service after a minute: %v, want %v", got, test.afterAMinute)
			}
		})
	}
}

// TestLapsedEntryIsUsedAgain guards against a target that is not used although it has written its entry again after an
// outage of the store.
func TestLapsedEntryIsUsedAgain(t *testing.T) {
	f := New()
	now := time.Unix(100, 0)
	f.Put(Target{ID: "t", Born: 1, Revision: 5})
	f.Remove(now, "t", Removal{})
	f.Put(Target{ID: "t", Born: 1, Revision: 5})
	if state := f.Get("t"); state == nil || !state.InService(now) {
		t.Error("the target is not in service")
	}
}

// TestSecondRestore guards against a target that is known to be gone and is used because the store was restored twice.
func TestSecondRestore(t *testing.T) {
	at := func(d time.Duration) time.Time { return time.Unix(100, 0).Add(d) }
	gone := Target{ID: "t", Born: 1, Revision: 3}
	for _, listedBetween := range []bool{false, true} {
		f := New()
		f.Put(gone)
		f.Remove(at(0), "t", Removal{})
		f.StoreRestored(at(time.Second))
		if listedBetween {
			f.Put(gone)
		}
		f.StoreRestored(at(5 * time.Second))
		f.Put(gone)
		if state := f.Get("t"); state.InService(at(8 * time.Second)) {
			t.Errorf("in the first copy %v: in service 3 s after the second restore", listedBetween)
		}
	}
}

// TestRemovedTargetStaysGoneAfterRestore guards against a target whose removal is known, and that was only kept in case its
// entry had lapsed, and is used on because the copy that the store was restored from has the entry.
func TestRemovedTargetStaysGoneAfterRestore(t *testing.T) {
	f := newBoundFleet()
	now := time.Unix(100, 0)
	f.Put(Target{ID: "t", Born: 1, Revision: 3})
	f.Remove(now, "t", Removal{After: now, RecoveredAt: now})
	now = now.Add(time.Second)
	f.StoreRestored(now)
	f.Put(Target{ID: "t", Born: 1, Revision: 3})
	if f.Get("t").InService(now.Add(time.Second)) {
		t.Error("the target is in service")
	}
	f.Put(Target{ID: "t", Born: 1, Revision: 4})
	if !f.Get("t").InService(now.Add(time.Second)) {
		t.Error("the target is not in service although it has written its entry again")
	}
}

// TestTargetPastItsGracePeriodIsGone guards against a target that left during an outage and is used again because a copy
// was read before the table was tidied up.
func TestTargetPastItsGracePeriodIsGone(t *testing.T) {
	f := New()
	now := time.Unix(100, 0)
	f.Put(Target{ID: "t", Born: 1, Revision: 3})
	if !f.Remove(now, "t", Removal{ReturnedAt: now}) {
		t.Error("a target whose entry may have lapsed is dropped at once")
	}
	now = now.Add(lapseRecoveryTime)
	f.StoreRestored(now)
	f.Put(Target{ID: "t", Born: 1, Revision: 3})
	if f.Get("t").InService(now) {
		t.Error("the target is in service")
	}
}
