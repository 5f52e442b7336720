package shedding

import "time"

const (
	// returnedShare is the part of the longest time limit below which a caller has probably spent some of it on an
	// earlier attempt that was refused. Limits of first attempts differ by up to a sixth.
	returnedShare = 0.8
	// limitLifetime is how long a time limit counts as the longest one after it was last seen.
	limitLifetime = 30 * time.Second
)

// TimeLimits finds the callers that come back after a refusal, among callers of one route that all begin with about the
// same time limit. The zero value knows no limit.
type TimeLimits struct {
	longest time.Duration
	seenAt  time.Time
}

// Returned reports whether a caller with the given time left has probably been refused before, and records its limit.
func (l *TimeLimits) Returned(now time.Time, limit time.Duration) bool {
	if limit >= l.longest || now.Sub(l.seenAt) > limitLifetime {
		l.longest, l.seenAt = limit, now
		return false
	}
	if float64(limit) >= returnedShare*float64(l.longest) {
		l.seenAt = now
		return false
	}
	return true
}
