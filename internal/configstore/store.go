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
	"github.com/hyssophoist/hyssophoist/internal/timing"
)

const (
	// DefaultResolveTimeout limits the time spent on finding out whether a write took effect.
	DefaultResolveTimeout = 6 * time.Second

	// DefaultRetryInterval is the delay between two attempts to find out.
	DefaultRetryInterval = 200 * time.Millisecond
)

var log = logging.For("configstore")

// Options configures a Store.
type Options struct {
	Table platform.TableStore
	// ResolveTimeout limits the time spent on a write whose response was lost; DefaultResolveTimeout if 0.
	ResolveTimeout time.Duration
	// RetryInterval is the delay between attempts within ResolveTimeout; DefaultRetryInterval if 0.
	RetryInterval time.Duration
}

// Store reads and writes configurations. It is safe for concurrent use.
type Store struct {
	table          platform.TableStore
	resolveTimeout time.Duration
	retryInterval  time.Duration
}

// New returns a store.
func New(options Options) *Store {
	if options.ResolveTimeout == 0 {
		options.ResolveTimeout = DefaultResolveTimeout
	}
	if options.RetryInterval == 0 {
		options.RetryInterval = DefaultRetryInterval
	}
	return &Store{table: options.Table, resolveTimeout: options.ResolveTimeout, retryInterval: options.RetryInterval}
}

// ConflictError means that another change took effect first. It is the cause of an error of kind errkind.Conflict.
type ConflictError struct {
	// Current is the record in force; nil if there is none.
	Current *rollout.Record
	// LastChange is the audit entry of the change that produced Current; nil if it could not be read.
	LastChange *AuditEntry
}

// Accepted is the result of a change that took effect.
type Accepted struct {
	// Version is the version that the change produced.
	Version uint64
	// Current is the latest record that was read or written; its version is at least Version.
	Current *rollout.Record
}

// AsConflict returns the ConflictError in the chain of causes of err, or nil. errors.As does not work here, since
// errors of errorx hide their causes from it.
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
	if e.Current == nil {
		return "there is no configuration yet"
	}
	text := fmt.Sprintf("version %d by %s is in force with preset %s",
		e.Current.Version, e.Current.ChangedBy, e.Current.Preset)
	if e.LastChange != nil {
		text += "; last change: " + e.LastChange.Change.Summary()
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

// Apply writes the change and its audit entry in one transaction. It is idempotent: a change that already took effect
// under the same ID is accepted again with the version that it produced.
//
// The error kinds are Conflict (nothing was written; the cause is a *ConflictError), PlatformUnavailable (nothing was
// written), BadRequest and NotFound (nothing was written), and OutcomeUnknown (the change may have taken effect or may
// still do so).
func (s *Store) Apply(ctx context.Context, change rollout.Change) (*Accepted, error) {
	before, rowVersion, err := s.current(ctx)
	if err != nil {
		return nil, err
	}
	if versionOf(before) != change.Expect || (before != nil && before.ChangeID == change.ID) {
		return s.outcomeOf(ctx, before, change)
	}
	after, err := change.Apply(before)
	if err != nil {
		return nil, err
	}
	writes, err := changeWrites(before, after, change, rowVersion)
	if err != nil {
		return nil, err
	}
	return s.commitChange(ctx, writes, after, change)
}

// changeWrites returns the writes of a change: the record, conditional on the row version, and its audit entry.
func changeWrites(before, after *rollout.Record, change rollout.Change, rowVersion uint64) ([]platformapi.Write, error) {
	current, err := platform.NewWrite(platform.ConfigurationTable, platform.CurrentKey, rowVersion, after)
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

// commitChange commits the transaction and retries it until its outcome is known. Retrying the identical transaction is
// safe: both writes are conditional, so at most one attempt takes effect, and a delayed one fails on the row version.
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
	log.Warningf("outcome of change %s is unknown, reading it back: %v", change.ID, err)
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), s.resolveTimeout)
	defer cancel()
	for {
		accepted, known, err := s.readBack(ctx, change)
		if known {
			return accepted, err
		}
		if _, err := s.table.Commit(ctx, writes...); err == nil {
			return &Accepted{Version: after.Version, Current: after}, nil
		}
		if !timing.Sleep(ctx, s.retryInterval) {
			return nil, errkind.New(errkind.OutcomeUnknown,
				"change %s may or may not have taken effect: the platform gave no response within %s", change.ID, s.resolveTimeout)
		}
	}
}

// readBack reads from the table whether the change took effect. It reports false if the row is still at the expected
// version, since a delayed write can still take effect then, or if the table cannot be read.
func (s *Store) readBack(ctx context.Context, change rollout.Change) (*Accepted, bool, error) {
	current, _, err := s.current(ctx)
	if err != nil || versionOf(current) <= change.Expect {
		return nil, false, nil
	}
	accepted, err := s.outcomeOf(ctx, current, change)
	if err != nil && errkind.Of(err) != errkind.Conflict {
		return nil, false, nil
	}
	return accepted, true, err
}

// outcomeOf returns whether the change was accepted as version Expect+1, or a conflict if another change was. current
// is the record in the table: either the change produced it, or its version differs from the one that the change
// expects.
func (s *Store) outcomeOf(ctx context.Context, current *rollout.Record, change rollout.Change) (*Accepted, error) {
	if current != nil && current.ChangeID == change.ID {
		return &Accepted{Version: current.Version, Current: current}, nil
	}
	if versionOf(current) > change.Expect {
		entry, err := s.auditEntry(ctx, change.Expect+1)
		if err != nil {
			return nil, err
		}
		if entry != nil && entry.Change.ID == change.ID {
			return &Accepted{Version: entry.After.Version, Current: current}, nil
		}
	}
	cause := &ConflictError{Current: current}
	if current != nil {
		cause.LastChange, _ = s.auditEntry(ctx, current.Version)
	}
	return nil, errkind.Wrap(errkind.Conflict, cause, "version %d was expected but is not in force", change.Expect)
}

func isConflict(err error) bool {
	var conflict *platform.ConflictError
	return errors.As(err, &conflict)
}

// versionOf returns the version of the record, or 0 if there is none.
func versionOf(record *rollout.Record) uint64 {
	if record == nil {
		return 0
	}
	return record.Version
}
