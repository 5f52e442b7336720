package tablecache

import "time"

// RecordFailure records that a read of the store by this instance failed at time now.
func (c *Cache) RecordFailure(now time.Time) { c.recordFailures(now, now) }

// recordFailures records reads that failed from first to last.
func (c *Cache) recordFailures(first, last time.Time) {
	if !c.failing() || first.Before(c.failedSince) {
		c.failedSince = first
	}
	if last.After(c.failedAt) {
		c.failedAt = last
	}
}

// RecordReachable records that a call to the store was canceled at time now for another reason than an outage.
func (c *Cache) RecordReachable(now time.Time) { c.reachableAt = now }

// failing reports whether a read of the store has failed since the store last confirmed the copy.
func (c *Cache) failing() bool { return !c.failedSince.IsZero() && c.confirmedAt.Before(c.failedSince) }

// confirm records a confirmation with the times of apply. The confirmation of an earlier version holds for this copy as
// well: all changes before that time are in the batch, and so in the copy.
func (c *Cache) confirm(batch Batch, confirmed, since, returned time.Time) {
	lastKnown := later(c.confirmedAt, c.reachableAt)
	gap := c.Bound > 0 && since.Sub(lastKnown) >= c.Bound
	switch {
	case !c.loaded:
		c.stableSince, c.afterOutage = returned, batch.AfterOutage
	case gap, batch.Version.Era() > c.version.Era():
		c.stableSince, c.afterOutage = returned, true
	case since.Before(c.stableSince) && c.stableSince.Sub(confirmed) < c.Bound:
		// The other instance knows of confirmations in or before the gap seen here.
		c.stableSince, c.afterOutage = since, batch.AfterOutage
	}
	c.confirmedAt = later(c.confirmedAt, confirmed)
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
