// Package watch follows tables of the store with long polls: the configuration, which operators write, and the list of
// targets, which targets write.
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/core/retry"
	"github.com/hyssophoist/hyssophoist/internal/logging"
)

const (
	// longPollWait is how long one call waits for a change. It is long because calls are billed, and can be long because
	// dead connections are detected by keepalive probes.
	longPollWait = 20 * time.Second
	// minBackoff and maxBackoff limit the delay after a failed call. This instance recovers from an outage up to one
	// delay after the store does.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxLag is how long a row that another instance has seen may take to arrive here. The store answers pending long
	// polls as soon as there is a change.
	maxLag = 250 * time.Millisecond
)

// ErrHistoryLost means that the store has discarded the changes after a version; the whole table must be read again.
var ErrHistoryLost = errors.New("store has discarded the changes after the version")

// Row is a row of a table, or its deletion if Deleted is set.
type Row struct {
	Key     string
	Version uint64
	Value   []byte
	Deleted bool
}

// Batch is the result of a read. Version is the version of the store up to which it is complete.
type Batch struct {
	Rows    []Row
	Version uint64
}

// Feed reads tables of the store and their changes.
type Feed interface {
	// Snapshot returns all rows of a table.
	Snapshot(ctx context.Context, table string) (Batch, error)
	// Changes returns the changes of a table after a version. It blocks until there is one or wait has passed.
	Changes(ctx context.Context, table string, after uint64, wait time.Duration) (Batch, error)
}

// Observer receives the rows that a watcher reads. Its methods are not called concurrently.
type Observer interface {
	// Replaced is called with all rows of the table, which replace those known before.
	Replaced(rows []Row, version uint64)
	// Changed is called with changed rows in order.
	Changed(rows []Row, version uint64)
	// StoreLost is called after each failed read except for ErrHistoryLost. Confirmed is called after each successful
	// read, even without changes: what is known is then up to date.
	StoreLost(err error)
	Confirmed()
}

var log = logging.For("watch")

// errLagging means that another instance saw a newer row of the table more than maxLag ago.
var errLagging = errors.New("another instance has a newer row; the connection is unresponsive")

// Watcher follows a table. Its methods are safe for concurrent use.
type Watcher struct {
	feed             Feed
	table            string
	coalesceInterval func() time.Duration

	mu sync.Mutex
	// syncedVersion is the version up to which all rows are known; newestVersion is the highest version of a row read.
	syncedVersion, newestVersion uint64
	// peerVersion is the highest version that another instance has reported. lagSince is when a version above
	// syncedVersion was first reported; zero if there is none.
	peerVersion uint64
	lagSince    time.Time
	// cancelCall cancels the call in progress, which began at callStart.
	cancelCall context.CancelCauseFunc
	callStart  time.Time
}

// New returns a watcher of a table. coalesceInterval returns the minimum time between two reads of changes.
func New(feed Feed, table string, coalesceInterval func() time.Duration) *Watcher {
	return &Watcher{feed: feed, table: table, coalesceInterval: coalesceInterval}
}

// NewestVersion returns the highest version of a row read, to be reported to other instances.
func (w *Watcher) NewestVersion() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.newestVersion
}

// ObservePeerVersion records the highest version of a row that another instance has read. It cancels the call in
// progress if a newer row has not arrived within maxLag. This detects a dead connection that returns no error and whose
// keepalive probes are still answered, for instance by a proxy in front of the store.
func (w *Watcher) ObservePeerVersion(version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.peerVersion = max(w.peerVersion, version)
	switch {
	case w.peerVersion <= w.syncedVersion:
		w.lagSince = time.Time{}
	case w.lagSince.IsZero():
		w.lagSince = now
	case now.Sub(w.lagSince) > maxLag && now.Sub(w.callStart) > maxLag && w.cancelCall != nil:
		w.cancelCall(errLagging)
		w.lagSince = time.Time{}
	}
}

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context, observer Observer) {
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	version, loaded, failures := uint64(0), false, 0
	for ctx.Err() == nil {
		batch, err := w.fetch(ctx, version, loaded)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, ErrHistoryLost):
			log.Event("history lost, reading the whole table", "table", w.table, "version", version)
			loaded = false
			continue
		case err != nil:
			failures++
			if failures == 1 {
				log.Event("store lost", "table", w.table, "version", version, "error", err.Error())
			}
			observer.StoreLost(err)
			if !errors.Is(err, errLagging) {
				sleep(ctx, retry.Backoff(random, failures, minBackoff, maxBackoff))
			}
			continue
		}
		if failures > 0 {
			log.Event("store regained", "table", w.table, "version", batch.Version, "failures", failures)
			failures = 0
		}
		if !loaded {
			observer.Replaced(batch.Rows, batch.Version)
		} else if len(batch.Rows) > 0 {
			observer.Changed(batch.Rows, batch.Version)
		}
		version, loaded = batch.Version, true
		w.recordBatch(batch)
		observer.Confirmed()
		sleep(ctx, w.coalesceInterval())
	}
}

// recordBatch updates the known versions after a successful read.
func (w *Watcher) recordBatch(batch Batch) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.syncedVersion = max(w.syncedVersion, batch.Version)
	for _, row := range batch.Rows {
		w.newestVersion = max(w.newestVersion, row.Version)
	}
}

// fetch reads the changes after version, or the whole table if it is not loaded yet. ObservePeerVersion can cancel it.
func (w *Watcher) fetch(ctx context.Context, version uint64, loaded bool) (Batch, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w.mu.Lock()
	w.cancelCall, w.callStart = cancel, time.Now()
	w.mu.Unlock()
	var batch Batch
	var err error
	if loaded {
		batch, err = w.feed.Changes(ctx, w.table, version, longPollWait)
	} else {
		batch, err = w.feed.Snapshot(ctx, w.table)
	}
	w.mu.Lock()
	w.cancelCall = nil
	w.mu.Unlock()
	if err != nil && errors.Is(context.Cause(ctx), errLagging) {
		return Batch{}, errLagging
	}
	return batch, err
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
