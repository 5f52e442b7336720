package posting

import "github.com/hyssophoist/hyssophoist/core/entity"

// AttemptStatus is what a daemon reports about one of its attempts.
type AttemptStatus string

// The statuses of an attempt.
const (
	// AttemptActive means that the attempt may be sent, has been sent, or has an outcome that is not yet stored.
	AttemptActive AttemptStatus = "active"
	// AttemptAbandoned means that the attempt has not run and never will.
	AttemptAbandoned AttemptStatus = "abandoned"
	// AttemptUnknown means that this process does not know the attempt: the process was restarted, or the attempt has
	// ended or is no longer remembered.
	AttemptUnknown AttemptStatus = "unknown"
)

// Attempts tracks the status of the attempts of one process.
type Attempts struct {
	active    map[entity.AttemptID]struct{}
	abandoned map[entity.AttemptID]struct{}
	// abandonedRing is a ring buffer of the abandoned attempts, in which the newest replaces the oldest.
	abandonedRing []entity.AttemptID
	next          int
}

// NewAttempts returns an empty Attempts that remembers the last maxAbandoned abandoned attempts. A forgotten attempt
// has status AttemptUnknown, which is safe: its key is then treated as one that may have run.
func NewAttempts(maxAbandoned int) *Attempts {
	return &Attempts{
		active:        make(map[entity.AttemptID]struct{}),
		abandoned:     make(map[entity.AttemptID]struct{}),
		abandonedRing: make([]entity.AttemptID, maxAbandoned),
	}
}

// Begin makes an attempt active. It reports false if the attempt is known already.
func (a *Attempts) Begin(attempt entity.AttemptID) bool {
	if a.Status(attempt) != AttemptUnknown {
		return false
	}
	a.active[attempt] = struct{}{}
	return true
}

// Abandon marks an attempt as one that has not run and never will. This is never undone.
func (a *Attempts) Abandon(attempt entity.AttemptID) {
	delete(a.active, attempt)
	if _, ok := a.abandoned[attempt]; ok || len(a.abandonedRing) == 0 {
		return
	}
	delete(a.abandoned, a.abandonedRing[a.next])
	a.abandonedRing[a.next] = attempt
	a.next = (a.next + 1) % len(a.abandonedRing)
	a.abandoned[attempt] = struct{}{}
}

// End removes an active attempt that will not be sent any more and whose outcome, if it has one, will not be written
// any more. An abandoned attempt stays abandoned.
func (a *Attempts) End(attempt entity.AttemptID) { delete(a.active, attempt) }

// Active returns the number of active attempts.
func (a *Attempts) Active() int { return len(a.active) }

// Status returns what is known of an attempt.
func (a *Attempts) Status(attempt entity.AttemptID) AttemptStatus {
	if _, ok := a.abandoned[attempt]; ok {
		return AttemptAbandoned
	}
	if _, ok := a.active[attempt]; ok {
		return AttemptActive
	}
	return AttemptUnknown
}
