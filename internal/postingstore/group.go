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
	// maxGroupBytes bounds the values of one transaction, so that large outcomes do not delay claims.
	maxGroupBytes = 1 << 20
	// maxFlushes is the number of transactions under way at once. While they are, further writes form the next
	// group, so groups grow with the load and an idle daemon adds no delay.
	maxFlushes = 2
	// maxTries bounds the transactions tried for a write while the platform refuses them, which it does above its
	// write limit. The waits in between add up to at most 0.3 s, and later writes join the group.
	maxTries     = 4
	firstRefusal = 20 * time.Millisecond
)

// committer commits writes of single rows, several in one transaction. A write that conflicts is taken out of its
// group and the rest is committed again, so that the writes stay independent of each other.
type committer struct {
	table    platform.TableStore
	maxGroup int
	// linger is how long a write that is not urgent waits for company.
	linger  time.Duration
	timeout time.Duration
	metrics *Metrics

	mu       sync.Mutex
	queue    []*groupedWrite
	flushes  int
	armed    bool
	draining bool
}

type groupedWrite struct {
	ctx    context.Context
	write  platformapi.Write
	urgent bool
	tries  int
	// underway says that the write has left the queue.
	underway bool
	result   chan commitResult // holds one
}

type commitResult struct {
	version uint64
	err     error
}

// commit writes one row and returns its new version. Errors are those of platform.TableStore.Commit; a write whose ctx
// ends while it is under way has an unknown outcome.
func (c *committer) commit(ctx context.Context, write platformapi.Write, urgent bool) (uint64, error) {
	w := &groupedWrite{ctx: ctx, write: write, urgent: urgent, result: make(chan commitResult, 1)}
	c.mu.Lock()
	c.queue = append(c.queue, w)
	c.wake()
	c.mu.Unlock()
	select {
	case result := <-w.result:
		return result.version, result.err
	case <-ctx.Done():
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if !w.underway {
		c.queue = slices.DeleteFunc(c.queue, func(queued *groupedWrite) bool { return queued == w })
		return 0, errkind.Wrap(errkind.PlatformUnavailable, ctx.Err(), "platform write not begun")
	}
	return 0, errkind.Wrap(errkind.OutcomeUnknown, ctx.Err(), "platform write not awaited")
}

// wake starts a flush if a write is urgent or a full group waits, and a timer otherwise. The caller holds c.mu.
func (c *committer) wake() {
	if len(c.queue) == 0 {
		return
	}
	ready := c.draining || c.linger == 0 || len(c.queue) >= c.maxGroup
	for _, w := range c.queue {
		ready = ready || w.urgent
	}
	switch {
	case ready && c.flushes < maxFlushes:
		c.flushes++
		go c.flush()
	case !ready && !c.armed:
		c.armed = true
		time.AfterFunc(c.linger, c.lingered)
	}
}

func (c *committer) lingered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.armed = false
	for _, w := range c.queue {
		w.urgent = true
	}
	c.wake()
}

// drain makes all later writes urgent.
func (c *committer) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.draining = true
	c.wake()
}

func (c *committer) flush() {
	for {
		c.mu.Lock()
		group := c.take()
		if len(group) == 0 {
			c.flushes--
			c.wake()
			c.mu.Unlock()
			return
		}
		c.mu.Unlock()
		if wait := c.commitGroup(group); wait > 0 {
			time.Sleep(wait)
		}
	}
}

// take removes the next group from the queue. Two writes of one row never share a group. The caller holds c.mu.
func (c *committer) take() []*groupedWrite {
	var group, rest []*groupedWrite
	urgent := c.draining || c.linger == 0 || len(c.queue) >= c.maxGroup
	keys := make(map[string]bool)
	size := 0
	for _, w := range c.queue {
		urgent = urgent || w.urgent
	}
	if !urgent {
		return nil
	}
	for _, w := range c.queue {
		size += len(w.write.Value)
		switch {
		case w.ctx.Err() != nil:
			w.result <- commitResult{err: errkind.Wrap(errkind.PlatformUnavailable, w.ctx.Err(), "platform write not begun")}
		case len(group) >= c.maxGroup || keys[w.write.Key] || len(group) > 0 && size > maxGroupBytes:
			rest = append(rest, w)
		default:
			keys[w.write.Key] = true
			w.underway = true
			group = append(group, w)
		}
	}
	c.queue = rest
	return group
}

// commitGroup commits a group and answers its writes. If the platform refused it, the writes that may be tried again
// go back to the queue, and the result is the time to wait before.
func (c *committer) commitGroup(group []*groupedWrite) (wait time.Duration) {
	for len(group) > 0 {
		writes := make([]platformapi.Write, len(group))
		for i, w := range group {
			writes[i] = w.write
		}
		c.metrics.transactions.Inc()
		c.metrics.rows.Add(float64(len(writes)))
		// The group outlives the caller of any of its writes.
		ctx, cancel := context.WithTimeout(context.Background(), c.timeout)
		versions, err := c.table.Commit(ctx, writes...)
		cancel()
		var conflict *platform.ConflictError
		if errors.As(err, &conflict) {
			if rest, found := without(group, conflict); found {
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

// requeue puts the writes of a refused group that have tries left back to the front of the queue. It returns the
// others and the time to wait.
func (c *committer) requeue(group []*groupedWrite) (rest []*groupedWrite, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var again []*groupedWrite
	for _, w := range group {
		w.tries++
		if w.tries >= maxTries {
			rest = append(rest, w)
			continue
		}
		step := firstRefusal << w.tries
		wait = max(wait, step/2+rand.N(step/2))
		w.underway = false
		again = append(again, w)
	}
	c.queue = append(again, c.queue...)
	return rest, wait
}

// without answers the write that conflicted and returns the others.
func without(group []*groupedWrite, conflict *platform.ConflictError) (rest []*groupedWrite, found bool) {
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
