// Package tablecache keeps an instance's copy of a table of the platform's store, and decides which instances read the
// table from the store.
//
// With hundreds of instances, a read by each of them for each change is most of the load on the store. In each zone one
// instance therefore follows the table in the store, and the others take its changes from other instances. Each message
// between them carries the version up to which it is complete and the time since the store confirmed that, so that an
// instance knows how old its copy is whichever way the rows came. An instance whose copy is too old reads the store
// itself.
//
// The package does no I/O and reads no clock: callers pass the time in.
package tablecache

import (
	"cmp"
	"slices"
	"time"

	"github.com/hyssophoist/hyssophoist/core/rowversion"
)

const (
	// maxBatchRows bounds the rows of a batch for another instance, so that a batch passes within the timeout of a call
	// on the slowest link.
	maxBatchRows = 500
	// maxTombstones bounds the deleted rows that are remembered for instances that have not received the deletion.
	maxTombstones = 2000
	// recoveryMemory is how long it is passed on to other instances that reads succeeded again.
	recoveryMemory = 10 * time.Second
)

// Row is a row of a table, or its deletion if Deleted is set.
type Row struct {
	Key     string
	Version rowversion.Version
	Value   []byte
	Deleted bool
}

// Batch holds rows of a table: all changes after the version After, or the whole table if Full is set.
type Batch struct {
	After rowversion.Version
	Full  bool
	Rows  []Row
	// Version is the version of the store up to which the batch is complete.
	Version rowversion.Version
	// Age is the time since the store confirmed that there are no changes after Version other than those in Rows.
	Age time.Duration
	// Held is how long the store held the call that returned the batch, which shows that it was there; 0 in batches
	// from other instances, and if the response was late.
	Held time.Duration
	// StableFor is how long before the confirmation the sender knows the store to have answered without a gap of the
	// bound, and AfterOutage whether there was such a gap before that time.
	StableFor   time.Duration
	AfterOutage bool
	// OutageAge is the time since reads of the store succeeded again after failed ones; 0 if none has failed lately.
	OutageAge time.Duration
	// FailingFor and FailedAge are the times since the first and the last of the failed reads of the store since it
	// last confirmed the sender's copy; 0 if there are none. The next successful read, by whichever instance, then
	// follows an outage.
	FailingFor, FailedAge time.Duration
}

// State describes the copy of an instance to the others.
type State struct {
	// Loaded reports whether the instance has a copy.
	Loaded bool
	// Version is the version up to which the copy is complete, and Age the time since the store confirmed it.
	Version rowversion.Version
	Age     time.Duration
	// Failing reports whether a read of the store is known to have failed since it last confirmed the copy.
	Failing bool
}

// Change is what a batch has changed in a cache.
type Change struct {
	// Replaced reports whether Rows holds the whole table; it then has no deletions.
	Replaced bool
	// Restored reports whether the store has come back from an older copy: rows may be older than those known before,
	// and lack what was acknowledged since.
	Restored bool
	// Rows holds the new and changed rows in the order of their versions.
	Rows []Row
	// After is when the store last confirmed the copy that the batch was applied to: the rows have changed since.
	After time.Time
	// ReturnedAt is when the store came back from its last outage that lasted for the bound or longer, or from an older
	// copy; zero if there was none as far as known.
	ReturnedAt time.Time
	// RecoveredAt is when reads of the store last succeeded again after failed ones; zero if none has failed. The store
	// may have been there all the while, for other instances than those that failed.
	RecoveredAt time.Time
}

// Cache is an instance's copy of a table. Rows never go back to an earlier version, but versions of a later era of the
// store can have an older content. It is not safe for concurrent use.
type Cache struct {
	// Bound is the time within which a change must be known. While instances that reach the store keep to it, a longer
	// gap between two confirmations is an outage of the store, or this instance was cut off or paused. No gap counts as
	// one if Bound is 0.
	Bound time.Duration

	loaded bool
	// rows holds the rows by key, including deleted ones after completeSince.
	rows       map[string]Row
	tombstones int
	// completeSince is the version after which rows holds all changes, including deletions.
	completeSince rowversion.Version
	// version is the version up to which rows is complete, newest the highest version of a row.
	version, newest rowversion.Version
	confirmedAt     time.Time
	// reachableAt is when the store was last known to be there without a confirmation.
	reachableAt time.Time
	// stableSince is since when all gaps between two confirmations are shorter than Bound, as far as known. afterOutage
	// reports whether there was a longer one before; else nothing is known of that time.
	stableSince time.Time
	afterOutage bool
	// recoveredAt is when reads last succeeded again after failed ones.
	recoveredAt time.Time
	// failedSince and failedAt are the times of the first and the last failed read of this instance or another one. The
	// reads before confirmedAt do not count.
	failedSince, failedAt time.Time
}

// Loaded reports whether the cache has a copy of the table.
func (c *Cache) Loaded() bool { return c.loaded }

// Version returns the version up to which the copy is complete.
func (c *Cache) Version() rowversion.Version { return c.version }

// Newest returns the highest version of a row.
func (c *Cache) Newest() rowversion.Version { return c.newest }

// ConfirmedAt returns the time at which the store last confirmed the copy.
func (c *Cache) ConfirmedAt() time.Time { return c.confirmedAt }

// State returns the state to tell other instances.
func (c *Cache) State(now time.Time) State {
	return State{Loaded: c.loaded, Version: c.version, Age: c.age(now), Failing: c.failing()}
}

func (c *Cache) age(now time.Time) time.Duration { return max(0, now.Sub(c.confirmedAt)) }

// ApplyRead applies a batch that this instance has read from the store. If reads have failed before and no other
// instance has read the table meanwhile, the store has recovered now; else only some instances were cut off.
func (c *Cache) ApplyRead(now time.Time, batch Batch) Change {
	if c.failing() {
		c.recoveredAt = now
	}
	c.failedSince, c.failedAt = time.Time{}, time.Time{}
	return c.apply(batch, now.Add(-batch.Age), now.Add(-batch.Held), now)
}

// ApplyShared applies a batch from another instance. A batch that leaves a gap after this copy, or comes from an earlier
// era of the store, is ignored.
func (c *Cache) ApplyShared(now time.Time, batch Batch) Change {
	if batch.Version.Era() < c.version.Era() {
		return Change{}
	}
	if at := now.Add(-batch.OutageAge); batch.OutageAge > 0 && at.After(c.recoveredAt) {
		c.recoveredAt = at
	}
	if first := now.Add(-batch.FailingFor); batch.FailingFor > 0 && first.After(c.confirmedAt) {
		c.recordFailures(first, now.Add(-batch.FailedAge))
	}
	confirmed := now.Add(-batch.Age)
	stableSince := confirmed.Add(-batch.StableFor)
	return c.apply(batch, confirmed, stableSince, stableSince)
}

// apply applies a batch that the store confirmed at the time confirmed, at the end of a time without a gap that began at
// since. If there was a gap before, the store came back at the time returned.
func (c *Cache) apply(batch Batch, confirmed, since, returned time.Time) Change {
	if !batch.Full && (!c.loaded || batch.After > c.version) {
		return Change{}
	}
	after := c.confirmedAt
	c.confirm(batch, confirmed, since, returned)
	var change Change
	if batch.Full && (!c.loaded || batch.Version > c.version) {
		change = c.replace(batch)
	} else {
		change = c.merge(batch)
	}
	change.After, change.RecoveredAt = after, c.recoveredAt
	if c.afterOutage {
		change.ReturnedAt = c.stableSince
	}
	return change
}

// merge applies changed rows. Those up to the version of the copy are already reflected in it.
func (c *Cache) merge(batch Batch) Change {
	var change Change
	for _, row := range batch.Rows {
		known := c.rows[row.Key]
		if row.Version <= max(c.version, known.Version) {
			continue
		}
		c.put(row)
		change.Rows = append(change.Rows, row)
	}
	c.version = max(c.version, batch.Version)
	c.pruneTombstones()
	return change
}

// replace replaces the copy by a whole table. Rows that are newer than the table stay; those of an earlier era of the
// store are not.
func (c *Cache) replace(batch Batch) Change {
	previous, restored := c.rows, c.loaded && batch.Version.Era() > c.version.Era()
	c.rows, c.tombstones = make(map[string]Row, len(batch.Rows)), 0
	c.loaded, c.completeSince, c.version = true, batch.Version, batch.Version
	for _, row := range batch.Rows {
		c.put(row)
	}
	for key, row := range previous {
		if row.Version > batch.Version && row.Version > c.rows[key].Version {
			c.put(row)
		}
	}
	return Change{Replaced: true, Restored: restored, Rows: c.Rows()}
}

func (c *Cache) put(row Row) {
	if c.rows[row.Key].Deleted {
		c.tombstones--
	}
	if row.Deleted {
		c.tombstones++
	}
	c.rows[row.Key] = row
	c.newest = max(c.newest, row.Version)
}

// pruneTombstones forgets the deleted rows when there are too many. Instances whose copies are older then get the whole
// table.
func (c *Cache) pruneTombstones() {
	if c.tombstones <= maxTombstones {
		return
	}
	for key, row := range c.rows {
		if row.Deleted && row.Version <= c.version {
			delete(c.rows, key)
			c.tombstones--
		}
	}
	c.completeSince = c.version
}

// Rows returns the rows that are not deleted, in the order of their versions.
func (c *Cache) Rows() []Row {
	return c.collect(func(row Row) bool { return !row.Deleted })
}

func (c *Cache) collect(include func(Row) bool) []Row {
	var rows []Row
	for _, row := range c.rows {
		if include(row) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Key, b.Key))
	})
	return rows
}

// Since returns a batch for an instance whose copy is in the given state. It returns nil if this copy is of no use to
// that instance: this one has no copy, or the batch would have too many rows, so that the other instance must read the
// store.
func (c *Cache) Since(now time.Time, state State) *Batch {
	if !c.loaded {
		return nil
	}
	batch := &Batch{
		After: state.Version, Version: c.version, Age: c.age(now),
		StableFor: max(0, c.confirmedAt.Sub(c.stableSince)), AfterOutage: c.afterOutage,
	}
	if !c.recoveredAt.IsZero() && now.Sub(c.recoveredAt) < recoveryMemory {
		batch.OutageAge = max(1, now.Sub(c.recoveredAt))
	}
	if c.failing() {
		batch.FailingFor, batch.FailedAge = max(1, now.Sub(c.failedSince)), now.Sub(c.failedAt)
	}
	switch {
	case !state.Loaded || state.Version < c.completeSince:
		batch.Full, batch.Rows = true, c.Rows()
	case state.Version < c.newest:
		batch.Rows = c.collect(func(row Row) bool { return row.Version > state.Version })
	}
	if len(batch.Rows) > maxBatchRows {
		return nil
	}
	return batch
}

// IsNews reports whether this copy has changes, a clearly later confirmation or a failed read for an instance in the
// given state.
func (c *Cache) IsNews(now time.Time, state State) bool {
	if !c.loaded {
		return false
	}
	fresher := c.age(now)+minFresher < state.Age
	return !state.Loaded || c.version > state.Version || fresher || c.failing() && !state.Failing
}
