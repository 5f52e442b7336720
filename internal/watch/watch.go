// Package watch follows tables of the store: the configuration, which operators write, and the list of targets, which
// targets write. An instance reads a table with long polls while it is the reader of its zone; otherwise other
// instances pass the changes on to it, and it reads the store only if its copy gets too old (see core/tablecache).
package watch

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/core/retry"
	"github.com/hyssophoist/hyssophoist/core/rowversion"
	"github.com/hyssophoist/hyssophoist/core/tablecache"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
	"github.com/hyssophoist/hyssophoist/internal/logging"
)

const (
	// minBackoff and maxBackoff limit the delay after a failed call of a reader. It recovers from an outage up to one
	// delay after the store does.
	minBackoff = 100 * time.Millisecond
	maxBackoff = 500 * time.Millisecond
	// maxLag is how long a row that another instance has seen may take to arrive here. The store answers pending long
	// polls as soon as there is a change.
	maxLag = 250 * time.Millisecond
	// maxSharedLag is the same for an instance that is not a reader: the row takes two exchanges between instances.
	maxSharedLag = time.Second
	// lateResponse is how much longer than its wait a call may take before its response counts as old: the process may
	// have been paused while the response was waiting.
	lateResponse = 500 * time.Millisecond
	// failingTime is how long after a failed read another instance is preferred as the reader.
	failingTime = 5 * time.Second
)

// ErrHistoryLost means that the store has discarded the changes after a version; the whole table must be read again.
var ErrHistoryLost = errors.New("store has discarded the changes after the version")

// Feed reads tables of the store and their changes.
type Feed interface {
	// Snapshot returns all rows of a table.
	Snapshot(ctx context.Context, table string) (tablecache.Batch, error)
	// Changes returns the changes of a table after a version. It blocks until there is one or wait has passed.
	Changes(ctx context.Context, table string, after rowversion.Version, wait time.Duration) (tablecache.Batch, error)
}

// Observer receives the rows that a watcher reads or is offered. Its methods are not called concurrently.
type Observer interface {
	// StoreRestored is called before the rows of a store that has come back from an older copy of its content.
	StoreRestored(era uint64)
	// Replaced is called with all rows of the table, which replace those known before.
	Replaced(change tablecache.Change, version rowversion.Version)
	// Changed is called with changed rows in order.
	Changed(change tablecache.Change, version rowversion.Version)
	// StoreLost is called after each failed read except for ErrHistoryLost. Confirmed is called after each successful
	// read, even without changes: what is known is then up to date.
	StoreLost(err error)
	Confirmed()
}

var log = logging.For("watch")

// errLagging means that another instance saw a newer row of the table more than maxLag ago.
var errLagging = errors.New("another instance has a newer row; the connection is unresponsive")

// errSilent means that the store has not answered a call although its wait has passed.
var errSilent = errors.New("the store does not answer; the connection is unresponsive")

// errRoleChanged means that a call was canceled because other instances now rely on this reader.
var errRoleChanged = errors.New("the reader role has changed")

// errRestored means that a call was canceled because another one has shown that the store was restored.
var errRestored = errors.New("the store was restored from a copy during the call")

// errOldAnswer means that the store answered with an older state than it has shown before.
var errOldAnswer = errors.New("store answered with an older version than the copy has")

// Options configures a Watcher.
type Options struct {
	Feed   Feed
	Table  string
	Policy tablecache.ReadPolicy
	// CoalesceInterval is the minimum time between two reads of changes.
	CoalesceInterval time.Duration
	// JoinTime is how long the first read waits for another instance to offer the table. A reader does not wait.
	JoinTime time.Duration
}

// Watcher follows a table. Its methods are safe for concurrent use.
type Watcher struct {
	options Options
	// wake makes Run check again whether it is time to read.
	wake chan struct{}

	// delivery is held while a change is applied and passed to the observer, so that changes arrive in order.
	delivery sync.Mutex
	observer Observer

	mu    sync.Mutex
	cache tablecache.Cache
	role  tablecache.Role
	// needSnapshot is set when the store has lost the history after the version of the cache, or has entered a later era.
	needSnapshot bool
	// observedEra is the highest era of the store that a call for something else has shown.
	observedEra uint64
	// readNow is set when the next read must not wait for its time; no read takes place before notBefore.
	readNow   bool
	notBefore time.Time
	// failedAt is when the last read failed; zero after a successful one. failures counts the failures since then.
	failedAt time.Time
	failures int
	// peerVersion is the highest version that another instance has reported. lagSince is when a version above that of
	// the cache was first reported; zero if there is none.
	peerVersion rowversion.Version
	lagSince    time.Time
	// cancelCall cancels the call in progress, which began at callStart.
	cancelCall context.CancelCauseFunc
	callStart  time.Time
}

// New returns a watcher of a table.
func New(options Options) *Watcher {
	return &Watcher{
		options: options, wake: make(chan struct{}, 1), cache: tablecache.Cache{Bound: options.Policy.Bound},
	}
}

// NewestVersion returns the highest version of a row known, to be reported to other instances.
func (w *Watcher) NewestVersion() rowversion.Version {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cache.Newest()
}

// State returns the state of this instance's copy of the table.
func (w *Watcher) State() tablecache.State {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cache.State(boottime.Now())
}

// Since returns what an instance with a copy in the given state lacks, or nil if it must read the store.
func (w *Watcher) Since(state tablecache.State) *tablecache.Batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.cache.Since(boottime.Now(), state)
}

// News is like Since, but also returns nil if this instance's copy is not newer.
func (w *Watcher) News(state tablecache.State) *tablecache.Batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := boottime.Now()
	if !w.cache.IsNews(now, state) {
		return nil
	}
	return w.cache.Since(now, state)
}

// ReadsFailing reports whether a read of this instance failed within failingTime and none has succeeded since.
func (w *Watcher) ReadsFailing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return !w.failedAt.IsZero() && boottime.Now().Sub(w.failedAt) < failingTime
}

// Reader reports whether this instance follows the table in the store.
func (w *Watcher) Reader() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.role.Reader
}

// Stale reports whether the copy is so old that this instance should read the store whatever its role.
func (w *Watcher) Stale() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	readAt := w.options.Policy.ReadAt(w.cache.ConfirmedAt(), tablecache.Role{})
	return !w.cache.Loaded() || !boottime.Now().Before(readAt)
}

// SetRole sets the part of this instance in reading the table.
func (w *Watcher) SetRole(role tablecache.Role) {
	w.mu.Lock()
	changed := role.Reader != w.role.Reader
	if changed && role.Reader {
		w.notBefore = time.Time{}
	}
	reliedOn := role.Followed && !w.role.Followed || role.ServesZones && !w.role.ServesZones
	if reliedOn && w.cancelCall != nil && w.cache.Loaded() {
		w.cancelCall(errRoleChanged)
	}
	w.role = role
	version, age := w.cache.Version(), w.cache.State(boottime.Now()).Age
	w.mu.Unlock()
	if changed {
		log.Event("reader role changed", "table", w.options.Table, "reader", role.Reader, "version", version,
			"age", age.Round(time.Millisecond))
		w.Wake()
	}
}

// Wake makes Run check at once whether it is time to read, for instance after a pause of the process.
func (w *Watcher) Wake() {
	select {
	case w.wake <- struct{}{}:
	default: // Run is already due to check
	}
}

// Offer applies a batch from another instance.
func (w *Watcher) Offer(batch tablecache.Batch) {
	w.delivery.Lock()
	defer w.delivery.Unlock()
	if w.observer == nil {
		return
	}
	w.mu.Lock()
	change := w.cache.ApplyShared(boottime.Now(), batch)
	version := w.cache.Version()
	if change.Restored && version.Era() >= w.observedEra {
		w.needSnapshot = false
	}
	w.mu.Unlock()
	w.deliver(change, version)
}

// deliver passes a change to the observer. The caller holds w.delivery.
func (w *Watcher) deliver(change tablecache.Change, version rowversion.Version) {
	if change.Restored {
		w.observer.StoreRestored(version.Era())
	}
	switch {
	case change.Replaced:
		w.observer.Replaced(change, version)
	case len(change.Rows) > 0:
		w.observer.Changed(change, version)
	}
}

// ObservePeerVersion records the highest version of a row that another instance has read. It cancels the call in
// progress if a newer row has not arrived within maxLag. This detects a dead connection that returns no error and whose
// keepalive probes are still answered, for instance by a proxy in front of the store. An instance that waits for rows
// from others reads the store if a newer row has not arrived within maxSharedLag.
func (w *Watcher) ObservePeerVersion(version rowversion.Version) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.peerVersion = max(w.peerVersion, version)
	switch {
	case w.peerVersion <= w.cache.Version():
		w.lagSince = time.Time{}
	case w.lagSince.IsZero():
		w.lagSince = now
	case w.cancelCall != nil && now.Sub(w.lagSince) > maxLag && now.Sub(w.callStart) > maxLag:
		w.needSnapshot = w.needSnapshot || w.peerVersion.Era() > w.cache.Version().Era()
		w.cancelCall(errLagging)
		w.lagSince = time.Time{}
	case w.cancelCall == nil && !w.role.Reader && now.Sub(w.lagSince) > maxSharedLag:
		w.needSnapshot = w.needSnapshot || w.peerVersion.Era() > w.cache.Version().Era()
		w.readNow = true
		w.lagSince = time.Time{}
		w.Wake()
	}
}

// ObserveEra records the era of the store that a call for something else has shown. If it is a later one than that of the
// copy, the next read is one of the whole table: a call for the changes after the version of the copy, like one in
// progress, would wait for a version that the store may already have passed.
func (w *Watcher) ObserveEra(era uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.observedEra = max(w.observedEra, era)
	if !w.cache.Loaded() || w.cache.Version().Era() >= era {
		return
	}
	w.needSnapshot = true
	if w.cancelCall != nil {
		w.cancelCall(errRestored)
	}
	w.Wake()
}

// Run follows the table until ctx ends.
func (w *Watcher) Run(ctx context.Context, observer Observer) {
	w.delivery.Lock()
	w.observer = observer
	w.delivery.Unlock()
	w.startJoining()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	for w.awaitTurn(ctx) {
		batch, err := w.fetch(ctx)
		switch {
		case ctx.Err() != nil:
			return
		case errors.Is(err, errRoleChanged), errors.Is(err, errRestored):
			w.recordReachable()
		case errors.Is(err, ErrHistoryLost):
			w.recordHistoryLoss()
		case err != nil:
			w.recordFailure(err, random)
			observer.StoreLost(err)
		default:
			w.applyRead(batch)
			observer.Confirmed()
		}
	}
}

// startJoining delays the first read by Options.JoinTime.
func (w *Watcher) startJoining() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.role.Reader {
		w.notBefore = boottime.Now().Add(w.options.JoinTime)
	}
}

// awaitTurn waits until it is time for this instance to read the store. It returns false when ctx has ended.
func (w *Watcher) awaitTurn(ctx context.Context) bool {
	for ctx.Err() == nil {
		w.mu.Lock()
		wait := w.untilTurn(boottime.Now())
		w.mu.Unlock()
		if wait <= 0 {
			return true
		}
		timer := time.NewTimer(wait)
		select {
		case <-ctx.Done():
		case <-w.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
	return false
}

// untilTurn returns the time until the next read. The caller holds w.mu.
func (w *Watcher) untilTurn(now time.Time) time.Duration {
	wait := w.notBefore.Sub(now)
	if !w.cache.Loaded() || w.needSnapshot || w.readNow {
		return wait
	}
	return max(wait, w.options.Policy.ReadAt(w.cache.ConfirmedAt(), w.role).Sub(now))
}

func (w *Watcher) recordHistoryLoss() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.needSnapshot = true
	w.cache.RecordReachable(boottime.Now())
	log.Event("history lost, reading the whole table", "table", w.options.Table, "version", w.cache.Version())
}

// recordReachable records that a call was canceled although the store may have answered.
func (w *Watcher) recordReachable() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cache.RecordReachable(boottime.Now())
}

// recordFailure records a failed read and sets the time of the next one.
func (w *Watcher) recordFailure(err error, random *rand.Rand) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := boottime.Now()
	w.cache.RecordFailure(now)
	w.failures++
	w.failedAt = now
	switch {
	case errors.Is(err, errLagging):
		w.cache.RecordReachable(now) // another instance has read a newer row
	case w.role.Reader || !w.cache.Loaded():
		w.notBefore = now.Add(retry.Backoff(random, w.failures, minBackoff, maxBackoff))
	default:
		w.notBefore = now.Add(w.options.Policy.RetryDelay(random.Float64()))
	}
	if w.failures == 1 {
		log.Event("store lost", "table", w.options.Table, "version", w.cache.Version(), "reader", w.role.Reader,
			"error", err.Error())
	}
}

// applyRead applies a batch read from the store and passes the changes to the observer.
func (w *Watcher) applyRead(batch tablecache.Batch) {
	w.delivery.Lock()
	defer w.delivery.Unlock()
	w.mu.Lock()
	now := boottime.Now()
	change := w.cache.ApplyRead(now, batch)
	version := w.cache.Version()
	if w.failures > 0 {
		log.Event("store regained", "table", w.options.Table, "version", batch.Version, "failures", w.failures)
	}
	w.failures, w.failedAt = 0, time.Time{}
	w.needSnapshot = version.Era() < w.observedEra
	w.notBefore = now.Add(w.options.CoalesceInterval)
	w.mu.Unlock()
	w.deliver(change, version)
}

// fetch reads the changes after the version of the cache, or the whole table if there is no copy that changes could be
// applied to. ObservePeerVersion can cancel it.
func (w *Watcher) fetch(ctx context.Context) (tablecache.Batch, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	w.mu.Lock()
	w.cancelCall, w.callStart = cancel, time.Now()
	started := boottime.Now()
	whole, version := !w.cache.Loaded() || w.needSnapshot, w.cache.Version()
	wait := w.options.Policy.PollWait(w.role, w.cache.State(started).Age)
	if w.failures > 0 {
		wait = 0 // the store may be another one, whose era only an answer shows
	}
	if silentAfter := w.options.Policy.SilentAfter(w.role, wait); !whole && wait > 0 && silentAfter > 0 {
		silent := time.AfterFunc(silentAfter, func() { cancel(errSilent) })
		defer silent.Stop()
	}
	w.readNow = false
	w.mu.Unlock()
	var batch tablecache.Batch
	var err error
	if whole {
		batch, err = w.options.Feed.Snapshot(ctx, w.options.Table)
	} else {
		batch, err = w.options.Feed.Changes(ctx, w.options.Table, version, wait)
	}
	w.mu.Lock()
	w.cancelCall = nil
	w.mu.Unlock()
	if err != nil {
		for _, reason := range []error{errLagging, errRoleChanged, errRestored, errSilent} {
			if errors.Is(context.Cause(ctx), reason) {
				return tablecache.Batch{}, reason
			}
		}
		return tablecache.Batch{}, err
	}
	if batch.Version < version {
		return tablecache.Batch{}, errOldAnswer
	}
	if elapsed := boottime.Now().Sub(started); whole || wait == 0 || elapsed > wait+lateResponse {
		batch.Age = elapsed
	} else {
		batch.Held = elapsed
	}
	return batch, nil
}
