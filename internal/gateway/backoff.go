package gateway

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/routing"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

// errBackedOff is returned if a request was not sent because its target has asked to get none.
var errBackedOff = fmt.Errorf("%w: target asked for time", errNotSent)

// asksForTime reports whether the target at address, which sent the response, asks to get no requests because of itself
// and not because of another engine of the path.
func (h *ResponseHead) asksForTime(address string) bool {
	return h.RetryAfter > 0 && (h.FaultyAddress == "" || h.FaultyAddress == address)
}

// noAnswer reports whether the engine was asked for its report and gave none.
func (r reportResult) noAnswer() bool {
	var refused *fleet.BackoffError
	return r.err != nil && !errors.Is(r.err, errBackedOff) && !errors.As(r.err, &refused)
}

// recordHead records whether the response to an attempt that was sent at the given time asks for time.
func (g *Gateway) recordHead(attempt *Attempt, head ResponseHead, sentAt time.Time) {
	target := attempt.Target
	if head.RetryAfterMalformed {
		log.Event("retry delay of target not understood", "target", target.ID, "request", attempt.Call.ID)
	}
	if head.Status != http.StatusMisdirectedRequest { // comes from another target with the same address
		g.WithFleet(func(f *fleet.Fleet) { f.RecordAnswer(target) })
	}
	if head.RetryAfter > 0 {
		g.recordBackoff(target, head.RetryAfter)
		return
	}
	g.mu.Lock()
	recovered := g.dispatcher.Fleet.RecordResponse(target.ID, target.Born, sentAt)
	g.mu.Unlock()
	if recovered {
		log.Event("target takes requests again", "target", target.ID, "request", attempt.Call.ID)
	}
}

// recordBackoff records that a target asked to get no requests.
func (g *Gateway) recordBackoff(target fleet.Target, wait time.Duration) {
	now := boottime.Now()
	g.mu.Lock()
	until, changed := g.dispatcher.Fleet.RecordBackoff(now, target.ID, target.Born, wait)
	g.mu.Unlock()
	if changed {
		log.Event("target asked for time", "target", target.ID, "born", target.Born, "asked", wait, "for", until.Sub(now))
	}
}

// backsOff reports whether a target has asked to get no requests now.
func (g *Gateway) backsOff(id entity.TargetID) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.targetBacksOff(id)
}

// targetBacksOff is backsOff for callers that hold g.mu.
func (g *Gateway) targetBacksOff(id entity.TargetID) bool {
	state := g.dispatcher.Fleet.Get(id)
	return state != nil && state.BacksOff(boottime.Now())
}

// backoffLeft returns the shortest time for which the targets of the request's service get no attempts if they all asked
// for time.
func (q *request) backoffLeft() (left time.Duration, all bool) {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	return q.gateway.dispatcher.AllBackOff(boottime.Now(), q.service, q.route.Kind == routing.Streaming)
}

// allBackOff reports whether all targets of the request's service asked for time.
func (q *request) allBackOff() bool {
	_, all := q.backoffLeft()
	return all
}

// endRefused ends a request that has not run. If all targets asked for time, its caller is told to retry after the
// shortest time that is left; the jitter prevents refused callers from retrying at the same time.
func (q *request) endRefused(kind errkind.Kind) {
	left, all := q.backoffLeft()
	if !all {
		q.endWithError(kind)
		return
	}
	q.gateway.mu.Lock()
	q.gateway.dispatcher.SavedAttempts++
	q.gateway.mu.Unlock()
	q.lastErr = errBackedOff
	after := max(q.retryAfter(errkind.Overloaded), time.Duration(float64(left)*(1+retryAfterJitter*rand.Float64())))
	q.endWithRetryAfter(errkind.Overloaded, after.Truncate(time.Millisecond)+time.Millisecond)
}

// Backoffs returns the number of targets that asked to get no requests, and the number of attempts that were not sent to
// a target for that reason.
func (g *Gateway) Backoffs() (targets int, savedAttempts uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.Fleet.BackoffCount(boottime.Now()), g.dispatcher.SavedAttempts
}
