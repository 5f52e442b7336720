package gateway

import (
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/hyssophoist/hyssophoist/core/dispatch"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

const (
	// endedCheckTimeout bounds the wait for the checks whether targets have ended, and endedCheckShare the part of the time left
	// that it takes. An address without a process refuses connections at once.
	endedCheckTimeout = 100 * time.Millisecond
	endedCheckShare   = 0.25
	// maxEndedTargets is the maximum number of targets that have ended and need not count towards the route's maximum before
	// the caller has got a part of the response.
	maxEndedTargets = 1
)

// recordRun records that the request may have run on a target, and whether it has responded in full.
func (q *request) recordRun(target fleet.Target, responded bool) {
	q.runs++
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	q.ran.Add(target, responded)
}

// countedTargets returns the number of targets that count towards the route's maximum.
func (q *request) countedTargets() int {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	return q.counted(&q.ran)
}

// counted returns the number of targets of the given runs that count. The caller holds gateway.mu.
func (q *request) counted(runs *dispatch.Runs) int {
	if q.countsEnded {
		return runs.Len()
	}
	return runs.Counted(q.gateway.dispatcher.Fleet)
}

// setCountsEnded sets whether targets that have ended count.
func (q *request) setCountsEnded(countsEnded bool) {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	q.countsEnded = countsEnded
}

// targetEnded reports whether the process of a target is known to have ended.
func (g *Gateway) targetEnded(target fleet.Target) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.Fleet.Ended(target)
}

// runCounts returns the number of targets on which the request may have run, and of those that count.
func (q *request) runCounts() (ran, counted int) {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	return q.ran.Len(), q.counted(&q.ran)
}

// hasTargetLeft reports whether the request may run on one more target. If too many count, it first checks whether those that
// have not responded have ended. Checks that take too long go on in the background.
func (q *request) hasTargetLeft(ctx context.Context) bool {
	if q.countedTargets() < q.route.MaxAttempts {
		return true
	}
	q.gateway.mu.Lock()
	countsEnded, unconfirmed := q.countsEnded, q.ran.Unconfirmed(q.gateway.dispatcher.Fleet)
	q.gateway.mu.Unlock()
	if countsEnded {
		return false
	}
	timeout := min(endedCheckTimeout, time.Duration(endedCheckShare*float64(q.timeLeft())))
	select {
	case <-q.gateway.checkEnded(ctx, unconfirmed, time.Now()):
	case <-time.After(timeout):
	}
	return q.countedTargets() < q.route.MaxAttempts
}

// checkEnded checks concurrently whether the processes of targets have ended, and records what it finds. A report of an engine
// that was read after the given time is not read again. The channel is closed after the last check.
func (g *Gateway) checkEnded(ctx context.Context, targets []fleet.Target, since time.Time) (done <-chan struct{}) {
	ctx = context.WithoutCancel(ctx)
	finished := make(chan struct{})
	var wg sync.WaitGroup
	for _, target := range targets {
		wg.Go(func() {
			err := g.contact(ctx, target, since)
			log.Debugf("checked whether target %s, born %d, has ended: %v", target.ID, target.Born, err)
		})
	}
	go func() {
		wg.Wait()
		close(finished)
	}()
	return finished
}

// contact reads the report of an engine, or connects to a target of a plain service.
func (g *Gateway) contact(ctx context.Context, target fleet.Target, since time.Time) error {
	if target.Card != "" {
		_, err := g.inspector.inspectSince(ctx, target, since)
		return err
	}
	conn, err := g.options.Pool.Get(ctx, target.Address, true, endedCheckTimeout)
	if err != nil {
		g.recordIfRefused(target, err)
		return err
	}
	return conn.Close() // a connection from the pool counts as one that has carried a request
}

// recordIfRefused records that a target has ended if its address refused a connection.
func (g *Gateway) recordIfRefused(target fleet.Target, err error) {
	if errors.Is(err, syscall.ECONNREFUSED) {
		g.recordEnded(target, err.Error())
	}
}

// recordEnded records that the process of a target has ended.
func (g *Gateway) recordEnded(target fleet.Target, reason string) {
	g.mu.Lock()
	changed := g.dispatcher.Fleet.RecordEnded(boottime.Now(), target.ID, target.Born)
	g.mu.Unlock()
	if changed {
		log.Event("target has ended", "target", target.ID, "born", target.Born, "address", target.Address, "reason", reason)
	}
}

// isOfOther reports whether the report is that of another process of the engine.
func (r reportResult) isOfOther(target fleet.Target) bool {
	return r.err == nil && r.report.Born != 0 && r.report.Born != target.Born
}
