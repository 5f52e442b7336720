package configstore

import (
	"context"
	"fmt"

	"github.com/hyssophoist/hyssophoist/core/rollout"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

// maxAuditPageSize is the maximum number of entries in one page of the audit trail.
const maxAuditPageSize = 200

// AuditEntry is one accepted change.
type AuditEntry struct {
	Change rollout.Change `json:"change"`
	// Before and After are the records before and after the change; Before has version 0 for the first change. They
	// contain only the marks with the IDs of the change, since all marks would make each entry as large as the record.
	Before rollout.Record `json:"before"`
	After  rollout.Record `json:"after"`
}

func newAuditEntry(before, after *rollout.Record, change rollout.Change) AuditEntry {
	entry := AuditEntry{Change: change, After: withChangedMarks(after, change)}
	if before != nil {
		entry.Before = withChangedMarks(before, change)
	}
	return entry
}

// withChangedMarks returns a copy of the record with only those marks whose IDs are in the change.
func withChangedMarks(record *rollout.Record, change rollout.Change) rollout.Record {
	reduced := *record
	reduced.Marks = nil
	for _, mark := range change.Marks {
		if found := record.Mark(mark.ID); found != nil {
			reduced.Marks = append(reduced.Marks, *found)
		}
	}
	return reduced
}

// auditKey returns the key of a version, zero-padded so that keys sort in order of versions.
func auditKey(version uint64) string { return fmt.Sprintf("%020d", version) }

// auditEntry returns the entry of a version, or nil if there is none.
func (s *Store) auditEntry(ctx context.Context, version uint64) (*AuditEntry, error) {
	row, err := s.table.Get(ctx, platform.AuditTable, auditKey(version))
	if err != nil || row == nil {
		return nil, err
	}
	return decodeRow[AuditEntry](row)
}

// Audit returns at most limit entries with versions below before (0: up to the latest), newest first. The limit is at
// most 200. It fails with errkind.PlatformUnavailable.
func (s *Store) Audit(ctx context.Context, before uint64, limit int) ([]AuditEntry, error) {
	limit = min(max(limit, 1), maxAuditPageSize)
	if before == 0 {
		current, err := s.Current(ctx)
		if err != nil {
			return nil, err
		}
		before = versionOf(current) + 1
	}
	after := ""
	if before > uint64(limit) {
		after = auditKey(before - uint64(limit) - 1)
	}
	rows, err := s.table.List(ctx, platform.AuditTable, "", after, limit)
	if err != nil {
		return nil, err
	}
	entries := make([]AuditEntry, 0, len(rows))
	for i := len(rows) - 1; i >= 0; i-- {
		entry, err := decodeRow[AuditEntry](&rows[i])
		if err != nil {
			return nil, err
		}
		if entry.After.Version < before {
			entries = append(entries, *entry)
		}
	}
	return entries, nil
}
