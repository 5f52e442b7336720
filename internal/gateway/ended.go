package gateway

import (
	"context"
	"errors"
	"maps"
	"sync"
	"syscall"
	"time"

	"github.com/hyssophoist/hyssophoist/core/dispatch"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
	"github.com/hyssophoist/hyssophoist/internal/connpool"
)

const (
	// endedCheckTimeout bounds the wait for the checks whether targets have ended, and endedCheckShare the part of the time left
	// that it takes. An address without a process refuses connections at once.
	endedCheckTimeout = 100 * time.Millisecond
	endedCheckShare   = 0.25
	// endedCheckInterval is the minimum time between two checks whether a target that refuses connections has ended.
	endedCheckInterval = 500 * time.Millisecond
	// maxWitnesses is the number of other targets to which a check connects: one may be about to end itself.
	maxWitnesses = 2
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

// contact reads the report of an engine, or connects to a target of a plain service, and records whether it has ended.
func (g *Gateway) contact(ctx context.Context, target fleet.Target, since time.Time) error {
	var err error
	if target.Card != "" {
		_, err = g.inspector.inspectSince(ctx, target, since)
	} else {
		err = g.connect(ctx, target, endedCheckTimeout)
	}
	g.confirmIfRefused(ctx, target, err)
	return err
}

// connect opens a new connection to a target and closes it. An open one may live on while a partition refuses new ones.
func (g *Gateway) connect(ctx context.Context, target fleet.Target, timeout time.Duration) error {
	conn, err := g.options.Pool.Get(ctx, connpool.Use{Address: target.Address, New: true, Timeout: timeout})
	if err != nil {
		return err
	}
	return conn.Close() // a connection from the pool counts as one that has carried a request
}

// confirmIfRefused checks whether a target has ended whose address has refused a connection with the given error, and records
// it. A partition can refuse connections too. So the target has ended only if it refuses another connection after another
// target of its zone has accepted one. Concurrent checks of a target are one, and it is not repeated within endedCheckInterval.
func (g *Gateway) confirmIfRefused(ctx context.Context, target fleet.Target, err error) {
	if !errors.Is(err, syscall.ECONNREFUSED) || g.targetEnded(target) {
		return
	}
	_, _, _ = g.endedChecks.Do(string(target.ID), func() (any, error) {
		if !g.beginEndedCheck(target.ID, time.Now()) {
			return nil, nil
		}
		if !g.reachesZone(ctx, target) {
			log.Debugf("target %s refuses connections, and so does its zone", target.ID)
			return nil, nil
		}
		if err := g.connect(ctx, target, endedCheckTimeout); errors.Is(err, syscall.ECONNREFUSED) {
			g.recordEnded(target, err.Error())
		}
		return nil, nil
	})
}

// beginEndedCheck reports whether to check again whether a target has ended.
func (g *Gateway) beginEndedCheck(id entity.TargetID, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	maps.DeleteFunc(g.endedChecksAt, func(_ entity.TargetID, at time.Time) bool { return now.Sub(at) >= endedCheckInterval })
	if _, recent := g.endedChecksAt[id]; recent {
		return false
	}
	g.endedChecksAt[id] = now
	return true
}

// reachesZone reports whether another target in the zone of a target accepts a new connection of this instance. Concurrent
// checks for one target are merged.
func (g *Gateway) reachesZone(ctx context.Context, target fleet.Target) bool {
	reached, _, _ := g.zoneChecks.Do(string(target.ID), func() (any, error) {
		g.mu.Lock()
		witnesses := g.dispatcher.Fleet.Witnesses(boottime.Now(), target, maxWitnesses)
		g.mu.Unlock()
		return g.anyAccepts(context.WithoutCancel(ctx), witnesses, endedCheckTimeout), nil
	})
	return reached.(bool)
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

// isOfLater reports whether the report is that of a later process of the engine, so that this one has ended. A target whose
// entry does not tell its start can have written the report itself.
func (r reportResult) isOfLater(target fleet.Target) bool {
	return r.isOfOther(target) && target.Born != 0 && r.report.Born > target.Born
}
