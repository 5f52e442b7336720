package postingstore

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/api/platformapi"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/internal/platform"
)

const (
	// maxGroupBytes bounds the total size of the values in one transaction, so that large outcomes do not delay claims.
	maxGroupBytes = 1 << 20
	// maxFlushes is the maximum number of concurrent transactions. While they run, further writes form the next
	// group, so groups grow with the load and an idle daemon adds no delay.
	maxFlushes = 2
	// maxTries bounds the transactions tried for a write while the platform refuses them, as it does above its write
	// limit. The delays in between add up to at most 0.3 s, and writes that arrive meanwhile join the group.
	maxTries       = 4
	retryBaseDelay = 20 * time.Millisecond
)

// committer commits writes of single rows in groups, one transaction per group. A write that conflicts is removed from
// its group and the rest is committed again, so that the writes stay independent of each other.
type committer struct {
	table    platform.TableStore
	maxGroup int
	// linger is how long a write that is not urgent waits for others to join its group.
	linger  time.Duration
	timeout time.Duration
	metrics *Metrics

	mu            sync.Mutex
	queue         []*groupedWrite
	activeFlushes int
	timerActive   bool
	draining      bool
}

type groupedWrite struct {
	ctx    context.Context
	write  platformapi.Write
	urgent bool
	tries  int
	// inFlight reports whether the write has left the queue.
	inFlight bool
	result   chan commitResult // buffered, capacity 1
}

type commitResult struct {
	version uint64
	err     error
}

// commit writes one row and returns its new version. Errors are those of platform.TableStore.Commit; a write whose
// ctx ends while it is in flight has an unknown outcome.
func (c *committer) commit(ctx context.Context, write platformapi.Write, urgent bool) (uint64, error) {
	w := &groupedWrite{ctx: ctx, write: write, urgent: urgent, result: make(chan commitResult, 1)}
	c.mu.Lock()
	c.queue = append(c.queue, w)
	c.scheduleFlush()
	c.mu.Unlock()
	select {
	case result := <-w.result:
		return result.version, result.err
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !w.inFlight {
		c.queue = slices.DeleteFunc(c.queue, func(queued *groupedWrite) bool { return queued == w })
		return 0, errkind.Wrap(errkind.PlatformUnavailable, ctx.Err(), "platform write was not applied")
	}
	return 0, errkind.Wrap(errkind.OutcomeUnknown, ctx.Err(), "platform write got no result")
}

// scheduleFlush starts a flush if a write is urgent or a full group waits, and the linger timer otherwise. The caller
// holds c.mu.
func (c *committer) scheduleFlush() {
	if len(c.queue) == 0 {
		return
	}
	ready := c.draining || c.linger == 0 || len(c.queue) >= c.maxGroup
	for _, w := range c.queue {
		ready = ready || w.urgent
	}
	switch {
	case ready && c.activeFlushes < maxFlushes:
		c.activeFlushes++
		go c.flush()
	case !ready && !c.timerActive:
		c.timerActive = true
		time.AfterFunc(c.linger, c.lingerExpired)
	}
}

func (c *committer) lingerExpired() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.timerActive = false
	for _, w := range c.queue {
		w.urgent = true
	}
	c.scheduleFlush()
}

// drain makes all queued and later writes urgent.
func (c *committer) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.scheduleFlush()
}

func (c *committer) flush() {
	for {
		c.mu.Lock()
		group := c.takeGroup()
		if len(group) == 0 {
			c.activeFlushes--
			c.scheduleFlush()
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		if wait := c.commitGroup(group); wait > 0 {
			time.Sleep(wait)
		}
	}
}

// takeGroup removes the next group from the queue. Two writes of one row never share a group. The caller holds c.mu.
func (c *committer) takeGroup() []*groupedWrite {
	var group, rest []*groupedWrite
	ready := c.draining || c.linger == 0 || len(c.queue) >= c.maxGroup
	keys := make(map[string]bool)
	size := 0
	for _, w := range c.queue {
		ready = ready || w.urgent
	}
	if !ready {
		return nil
	}
	for _, w := range c.queue {
		size += len(w.write.Value)
		switch {
		case w.ctx.Err() != nil:
			w.result <- commitResult{
				err: errkind.Wrap(errkind.PlatformUnavailable, w.ctx.Err(), "platform write was not applied"),
			}
		case len(group) >= c.maxGroup || keys[w.write.Key] || len(group) > 0 && size > maxGroupBytes:
			rest = append(rest, w)
		default:
			keys[w.write.Key] = true
			w.inFlight = true
			group = append(group, w)
		}
	}
	c.queue = rest
	return group
}

// commitGroup commits a group and delivers the results to its writes. If the platform refused the group, the writes
// with tries left go back to the queue, and wait is the delay before they are tried again.
func (c *committer) commitGroup(group []*groupedWrite) (wait time.Duration) {
	for len(group) > 0 {
		writes := make([]platformapi.Write, len(group))
		for i, w := range group {
			writes[i] = w.write
		}
		c.metrics.transactions.Inc()
		c.metrics.rows.Add(float64(len(writes)))
		// The transaction must not depend on the context of any single write.
		ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
		versions, err := c.table.Commit(ctx, writes...)
		cancel()
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			if rest, found := removeConflicting(group, conflict); found {
				group = rest
				continue
			}
		}
		if err != nil && errkind.Of(err) == errkind.PlatformUnavailable && conflict == nil {
			group, wait = c.requeue(group)
		}
		for i, w := range group {
			if err != nil {
				w.result <- commitResult{err: err}
			} else {
				w.result <- commitResult{version: versions[i]}
			}
		}
		return wait
	}
	return 0
}

// requeue puts the writes of a refused group that have tries left back at the front of the queue. It returns the
// others and the delay before the next try.
func (c *committer) requeue(group []*groupedWrite) (exhausted []*groupedWrite, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var retried []*groupedWrite
	for _, w := range group {
		w.tries++
		if w.tries >= maxTries {
			exhausted = append(exhausted, w)
			continue
		}
		delay := retryBaseDelay << w.tries
		wait = max(wait, delay/2+rand.N(delay/2))
		w.inFlight = false
		retried = append(retried, w)
	}
	c.queue = append(retried, c.queue...)
	return exhausted, wait
}

// removeConflicting fails the write that conflicted and returns the others.
func removeConflicting(group []*groupedWrite, conflict *platform.ConflictError) (rest []*groupedWrite, found bool) {
	for _, w := range group {
		if w.write.Key == conflict.Row.Key {
			w.result <- commitResult{err: conflict}
			found = true
			continue
		}
		rest = append(rest, w)
	}
	return rest, found
}
