package fleet

import "time"

// Exclusion is why a target gets no new requests, or gets them only as a last resort.
type Exclusion string

// The reasons that hold for targets of all kinds. A suspected target, and one that leaves by its own response, may still
// be chosen as a last resort.
const (
	ExcludedDraining     Exclusion = "draining"
	ExcludedUnlisted     Exclusion = "unlisted" // its entry has lapsed, or comes from an older copy of the store
	ExcludedLeaving      Exclusion = "leaving"  // by its own response
	ExcludedDown         Exclusion = "down"
	ExcludedAskedForTime Exclusion = "asked_for_time"
	ExcludedRecovering   Exclusion = "recovering" // asked for time before and has not yet responded to the one attempt in progress
	ExcludedSuspected    Exclusion = "suspected"
)

// Exclusion returns the first reason that excludes the target at time now, or "". attempts reports whether the target
// would get attempts, rather than requests that another engine passes on.
func (s *State) Exclusion(now time.Time, attempts bool) Exclusion {
	switch {
	case s.Draining:
		return ExcludedDraining
	case !s.listedAsReady(now):
		return ExcludedUnlisted
	case !s.leavingSince.IsZero():
		return ExcludedLeaving
	case s.Down(now):
		return ExcludedDown
	case attempts && s.BacksOff(now):
		return ExcludedAskedForTime
	case attempts && !s.AcceptsAttempt(now):
		return ExcludedRecovering
	case !s.Usable(now):
		return ExcludedSuspected
	}
	return ""
}

// SharedLoadAge returns the time since the other instances last shared their load, negative if they never have, and
// whether that load is still valid.
func (f *Fleet) SharedLoadAge(now time.Time) (age time.Duration, valid bool) {
	if f.loadsSharedAt.IsZero() {
		return -1, false
	}
	age = now.Sub(f.loadsSharedAt)
	return age, age <= sharedLoadTTL
}
