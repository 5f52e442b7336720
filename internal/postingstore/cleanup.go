package postingstore

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"time"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/posting"
	"github.com/hyssophoist/hyssophoist/internal/platform"
	"github.com/hyssophoist/hyssophoist/internal/timing"
)

const (
	// cleanupKey is the key of the row that stores the cleanup cursor. Unlike the key of a posting it contains no '/'.
	cleanupKey = "cleanup"
	// cleanupPageSize is the number of rows of one page. Each page costs one read and at most one transaction.
	cleanupPageSize = 100
	// cleanupPageInterval is the minimum time between two pages in the whole deployment. It allows at most two
	// transactions and two listings a second, which covers 17 million rows a day.
	cleanupPageInterval = 500 * time.Millisecond
	// cleanupMaxPages is the number of consecutive pages that one daemon handles before it leaves the cleanup to others.
	cleanupMaxPages = 40
)

// cleanupCursor is the value of the row cleanupKey.
type cleanupCursor struct {
	// After is the last key handled; empty at the start of a pass.
	After string `json:"after"`
	// NextMS is the time from which the next page may be handled, in milliseconds of Unix time.
	NextMS int64 `json:"next_ms"`
	// By is the daemon that handled the last page.
	By entity.DaemonID `json:"by"`
}

// RunCleanup deletes expired rows until ctx ends. On average once per interval, with jitter, it handles up to
// cleanupMaxPages pages, and stops early if another daemon is handling them. With 410 daemons and an interval of a
// minute, the checks of the cursor cost 7 reads/s.
func (r *Runner) RunCleanup(ctx context.Context, interval time.Duration) {
	for timing.Sleep(ctx, interval/2+rand.N(interval)) {
		for range cleanupMaxPages {
			handled, err := r.CleanUpPage(ctx)
			if err != nil {
				log.Debugf("failed to clean up expired postings: %v", err)
			}
			if err != nil || !handled {
				break
			}
			if !timing.Sleep(ctx, cleanupPageInterval) {
				return
			}
		}
	}
}

// CleanUpPage handles one page of rows: it deletes the expired ones and advances the shared cursor, in one
// transaction. It reports false if another daemon has handled the page or the next page is not due. Errors are those
// of the platform, or of kind Internal if the cursor cannot be decoded.
func (r *Runner) CleanUpPage(ctx context.Context) (handled bool, err error) {
	now := r.options.Now()
	var cursor cleanupCursor
	stored, err := r.options.Table.Get(ctx, platform.PostingsTable, cleanupKey)
	if err != nil {
		return false, err
	}
	var version uint64
	if stored != nil {
		version = stored.Version
		if err := json.Unmarshal(stored.Value, &cursor); err != nil {
			return false, errkind.Wrap(errkind.Internal, err, "decode row %q", cleanupKey)
		}
	}
	if now.UnixMilli() < cursor.NextMS {
		return false, nil
	}
	rows, err := r.options.Table.List(ctx, platform.PostingsTable, "", cursor.After, cleanupPageSize)
	if err != nil {
		return false, err
	}
	next := cleanupCursor{NextMS: now.Add(cleanupPageInterval).UnixMilli(), By: r.options.Daemon}
	if len(rows) == cleanupPageSize {
		next.After = rows[len(rows)-1].Key
	}
	cursorWrite, err := platform.NewWrite(platform.PostingsTable, cleanupKey, version, next)
	if err != nil {
		return false, err
	}
	writes := append([]platformapi.Write{cursorWrite}, expiredDeletions(rows, now)...)
	r.metrics.transactions.Inc()
	_, err = r.options.Table.Commit(ctx, writes...)
	var conflict *platform.ConflictError
	switch {
	case errors.As(err, &conflict) && conflict.Row.Key != cleanupKey:
		// A row has changed since it was listed. Advance the cursor; the next pass handles the rows of this page.
		_, err = r.options.Table.Commit(ctx, cursorWrite)
		return err == nil, err
	case conflict != nil:
		return false, nil
	case err != nil:
		return false, err
	}
	r.metrics.expired.Add(float64(len(writes) - 1))
	return true, nil
}

// expiredDeletions returns the deletions of the rows whose retention has passed.
func expiredDeletions(rows []platformapi.Row, now time.Time) []platformapi.Write {
	var writes []platformapi.Write
	for _, row := range rows {
		var record posting.Record
		if row.Key == cleanupKey || json.Unmarshal(row.Value, &record) != nil || record.ExpiresMS == 0 {
			continue
		}
		if now.UnixMilli() >= record.ExpiresMS {
			writes = append(writes, platformapi.Write{
				Table: row.Table, Key: row.Key, Expect: row.Version, Delete: true,
			})
		}
	}
	return writes
}
