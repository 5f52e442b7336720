package fleet

import (
	"fmt"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

const (
	// MaxBackoff is the longest time for which a target can ask to get no requests.
	MaxBackoff = 30 * time.Second
	// minExtension is the least extension of a backoff that is reported as a change: requests that were sent together
	// are refused together.
	minExtension = 500 * time.Millisecond
)

// BackoffError is the error of a request that a target refused while it asked to get no further ones for some time.
type BackoffError struct{ For time.Duration }

// Error implements error.
func (e *BackoffError) Error() string {
	return fmt.Sprintf("target asked for no requests for %v", e.For)
}

// backoff is the time for which a target asked to get no requests. The zero value means that it did not ask.
type backoff struct {
	// until is the end of that time.
	until time.Time
	// recovering reports whether no attempt that was sent after that time has got another response yet. Until then the
	// target gets one attempt at a time: trial is the one in progress.
	recovering bool
	trial      *Target
}

// RecordBackoff records that the process of a target that was started at born refused a request at time now and asked
// to get none for the given time, of which at most MaxBackoff counts. It returns the time until which the target gets
// none, and whether that is news.
func (f *Fleet) RecordBackoff(now time.Time, id entity.TargetID, born int64,
	d time.Duration) (until time.Time, changed bool) {
	asked := now.Add(min(d, MaxBackoff))
	state := f.targets.Get(id)
	if state == nil {
		if departed, known := f.departed[id]; known && departed.version.born == born && d > 0 {
			departed.backoff.extend(asked)
			f.departed[id] = departed
		}
		return time.Time{}, false
	}
	if state.Born != born || d <= 0 {
		return time.Time{}, false
	}
	changed = !state.BacksOff(now) || asked.Sub(state.backoff.until) >= minExtension
	state.backoff.extend(asked)
	return state.backoff.until, changed
}

// extend makes the backoff last at least until the given time.
func (b *backoff) extend(until time.Time) {
	if until.After(b.until) {
		b.until = until
	}
	b.recovering = true
}

// departedBackoff returns the backoff of a target that was dropped, if the entry is of the same process.
func (f *Fleet) departedBackoff(target Target) backoff {
	for _, departures := range []departures{f.departed, f.departedBefore} {
		if departed, known := departures[target.ID]; known && departed.version.born == target.Born {
			return departed.backoff
		}
	}
	return backoff{}
}

// RecordResponse records a response to an attempt by which the target did not ask for time. It reports whether it ends
// the recovery of the target, which an attempt that was sent before the end of the time does not.
func (f *Fleet) RecordResponse(id entity.TargetID, born int64, sentAt time.Time) (recovered bool) {
	state := f.targets.Get(id)
	if state == nil || state.Born != born || !state.backoff.recovering || sentAt.Before(state.backoff.until) {
		return false
	}
	state.backoff = backoff{}
	return true
}

// BacksOff reports whether the target asked to get no requests at time now, neither attempts nor any others.
func (s *State) BacksOff(now time.Time) bool { return now.Before(s.backoff.until) }

// AcceptsAttempt reports whether an attempt may be sent to the target with regard to the time that it asked for. After
// that time it gets one attempt at a time until it responds to one.
func (s *State) AcceptsAttempt(now time.Time) bool { return !s.BacksOff(now) && s.backoff.trial == nil }

// BeginAttempt records an attempt at the target, which is identified by its reservation.
func (s *State) BeginAttempt(reservation *Target) {
	if s.backoff.recovering {
		s.backoff.trial = reservation
	}
}

// EndAttempt records the end of the attempt with the given reservation, also if the target was dropped in the meantime.
func (f *Fleet) EndAttempt(reservation *Target) {
	if state := f.targets.Get(reservation.ID); state != nil && state.backoff.trial == reservation {
		state.backoff.trial = nil
	}
	for _, departures := range []departures{f.departed, f.departedBefore} {
		if departed, known := departures[reservation.ID]; known && departed.backoff.trial == reservation {
			departed.backoff.trial = nil
			departures[reservation.ID] = departed
		}
	}
}

// ReplaceAttempt gives an attempt in progress another reservation.
func (s *State) ReplaceAttempt(before, after *Target) {
	if s.backoff.trial == before {
		s.backoff.trial = after
	}
}

// AllBackOff reports whether there are targets in service for which include is true, and all of them asked for time or
// are still recovering. shortest is the shortest time that is left.
func (f *Fleet) AllBackOff(now time.Time, include func(*State) bool) (shortest time.Duration, all bool) {
	for _, state := range f.targets.All {
		if !state.InService(now) || !include(state) {
			continue
		}
		if state.AcceptsAttempt(now) {
			return 0, false
		}
		left := max(0, state.backoff.until.Sub(now))
		if !all || left < shortest {
			shortest = left
		}
		all = true
	}
	return shortest, all
}

// BackoffCount returns the number of targets that asked to get no requests at time now.
func (f *Fleet) BackoffCount(now time.Time) (count int) {
	for _, state := range f.targets.All {
		if state.BacksOff(now) {
			count++
		}
	}
	return count
}
