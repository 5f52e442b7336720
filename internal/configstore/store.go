// Package configstore reads and writes configurations, presets, marks and the audit trail in the table service.
package configstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/joomcode/errorx"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/rollout"
	"github.com/hyssophoist/hyssophoist/internal/logging"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

const (
	// DefaultSettleTime bounds the time that a writer spends on establishing whether a write took effect.
	DefaultSettleTime = 6 * time.Second

	// DefaultRetryPause is the pause between two attempts at establishing it.
	DefaultRetryPause = 200 * time.Millisecond
)

var log = logging.For("configstore")

// Options configures a Store.
type Options struct {
	Table platform.TableStore
	// SettleTime bounds the time spent on a write whose response was lost; DefaultSettleTime if 0.
	SettleTime time.Duration
	// RetryPause is the pause between attempts within SettleTime; DefaultRetryPause if 0.
	RetryPause time.Duration
}

// Store reads and writes configurations. It is safe for concurrent use.
type Store struct {
	table      platform.TableStore
	settleTime time.Duration
	retryPause time.Duration
}

// New returns a store.
func New(options Options) *Store {
	if options.SettleTime == 0 {
		options.SettleTime = DefaultSettleTime
	}
	if options.RetryPause == 0 {
		options.RetryPause = DefaultRetryPause
	}
	return &Store{table: options.Table, settleTime: options.SettleTime, retryPause: options.RetryPause}
}

// ConflictError says that another change took effect first. It is the cause of an error of kind errkind.Conflict.
type ConflictError struct {
	// Now is the record in force; nil if there is none.
	Now *rollout.Record
	// By is the audit entry of the change that made Now; nil if it could not be read.
	By *AuditEntry
}

// Accepted is the result of a change that took effect.
type Accepted struct {
	// Version is the version that the change made.
	Version uint64
	// Current is the latest record that was read or written; its version is at least Version.
	Current *rollout.Record
}

// AsConflict returns the ConflictError in the chain of causes of err, or nil. The errors of errorx hide their causes
// from errors.As.
func AsConflict(err error) *ConflictError {
	for err != nil {
		if conflict, ok := err.(*ConflictError); ok {
			return conflict
		}
		wrapped := errorx.Cast(err)
		if wrapped == nil {
			return nil
		}
		err = wrapped.Cause()
	}
	return nil
}

// Error implements error.
func (e *ConflictError) Error() string {
	if e.Now == nil {
		return "there is no configuration yet"
	}
	text := fmt.Sprintf("version %d by %s is in force with preset %s", e.Now.Version, e.Now.ChangedBy, e.Now.Preset)
	if e.By != nil {
		text += "; last change: " + e.By.Change.Summary()
	}
	return text
}

// Current returns the record in force, or nil if there is none yet. It fails with errkind.PlatformUnavailable.
func (s *Store) Current(ctx context.Context) (*rollout.Record, error) {
	record, _, err := s.current(ctx)
	return record, err
}

// current also returns the row version, which is 0 if there is no row.
func (s *Store) current(ctx context.Context) (*rollout.Record, uint64, error) {
	row, err := s.table.Get(ctx, platform.ConfigurationTable, platform.CurrentKey)
	if err != nil || row == nil {
		return nil, 0, err
	}
	record, err := decodeRow[rollout.Record](row)
	return record, row.Version, err
}

func decodeRow[T any](row *platformapi.Row) (*T, error) {
	value := new(T)
	if err := json.Unmarshal(row.Value, value); err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "decode row %q of table %q", row.Key, row.Table)
	}
	return value, nil
}

// Apply writes the change and its audit entry in one transaction. A change that already took effect under the same ID
// is accepted again with the version that it made.
//
// The error kinds are Conflict (nothing was written; the cause is a *ConflictError), PlatformUnavailable (nothing was
// written), BadRequest and NotFound (nothing was written), and OutcomeUnknown (the change may have taken effect or may
// still do so).
func (s *Store) Apply(ctx context.Context, change rollout.Change) (*Accepted, error) {
	before, row, err := s.current(ctx)
	if err != nil {
		return nil, err
	}
	if beforeVersion(before) != change.Expect || (before != nil && before.ChangeID == change.ID) {
		return s.settledBy(ctx, before, change)
	}
	after, err := change.Apply(before)
	if err != nil {
		return nil, err
	}
	writes, err := transaction(before, after, change, row)
	if err != nil {
		return nil, err
	}
	return s.commitChange(ctx, writes, after, change)
}

// transaction returns the writes of a change: the record, on condition of the row version, and its audit entry.
func transaction(before, after *rollout.Record, change rollout.Change, row uint64) ([]platformapi.Write, error) {
	current, err := platform.NewWrite(platform.ConfigurationTable, platform.CurrentKey, row, after)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode configuration")
	}
	entry := newAuditEntry(before, after, change)
	audit, err := platform.NewWrite(platform.AuditTable, auditKey(after.Version), 0, entry)
	if err != nil {
		return nil, errkind.Wrap(errkind.Internal, err, "encode audit entry")
	}
	return []platformapi.Write{current, audit}, nil
}

// commitChange commits the transaction until its outcome is known. Repeating the identical transaction is safe: both
// writes are conditional, so at most one of the repetitions takes effect, and a delayed one finds another row version.
func (s *Store) commitChange(
	ctx context.Context, writes []platformapi.Write, after *rollout.Record, change rollout.Change,
) (*Accepted, error) {
	_, err := s.table.Commit(ctx, writes...)
	if err == nil {
		return &Accepted{Version: after.Version, Current: after}, nil
	}
	if !isConflict(err) && errkind.Of(err) != errkind.OutcomeUnknown {
		return nil, err
	}
	log.Warningf("outcome of change %s is open, reading it back: %v", change.ID, err)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.settleTime)
	defer cancel()
	for {
		accepted, known, err := s.readBack(ctx, change)
		if known {
			return accepted, err
		}
		if _, err := s.table.Commit(ctx, writes...); err == nil {
			return &Accepted{Version: after.Version, Current: after}, nil
		}
		if !pause(ctx, s.retryPause) {
			return nil, errkind.New(errkind.OutcomeUnknown,
				"change %s may or may not have taken effect: the platform gave no response within %s", change.ID, s.settleTime)
		}
	}
}

// readBack establishes from the table whether the change took effect. It reports false if the row is still at the
// expected version, since a delayed write can still take effect then, or if the table cannot be read.
func (s *Store) readBack(ctx context.Context, change rollout.Change) (*Accepted, bool, error) {
	now, _, err := s.current(ctx)
	if err != nil || beforeVersion(now) <= change.Expect {
		return nil, false, nil
	}
	accepted, err := s.settledBy(ctx, now, change)
	if err != nil && errkind.Of(err) != errkind.Conflict {
		return nil, false, nil
	}
	return accepted, true, err
}

// settledBy tells whether the change was accepted as version Expect+1 or another change was, which is a conflict. now
// is the record in the table; the change made it or its version differs from the one that the change expects.
func (s *Store) settledBy(ctx context.Context, now *rollout.Record, change rollout.Change) (*Accepted, error) {
	if now != nil && now.ChangeID == change.ID {
		return &Accepted{Version: now.Version, Current: now}, nil
	}
	if beforeVersion(now) > change.Expect {
		entry, err := s.auditEntry(ctx, change.Expect+1)
		if err != nil {
			return nil, err
		}
		if entry != nil && entry.Change.ID == change.ID {
			return &Accepted{Version: entry.After.Version, Current: now}, nil
		}
	}
	cause := &ConflictError{Now: now}
	if now != nil {
		cause.By, _ = s.auditEntry(ctx, now.Version)
	}
	return nil, errkind.Wrap(errkind.Conflict, cause, "version %d was expected", change.Expect)
}

func isConflict(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict)
}

func beforeVersion(record *rollout.Record) uint64 {
	if record == nil {
		return 0
	}
	return record.Version
}

// pause waits and reports whether the context is still live.
func pause(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
