package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssophoist/hyssophoist/core/dispatch"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
	"github.com/hyssophoist/hyssophoist/internal/httpstatus"
)

const (
	// maxSends is the maximum number of attempts of one request, including those that targets rejected without running
	// them.
	maxSends = 4
	// secondAttemptShare is the fraction of the remaining time after which a repeatable call that has no response yet gets
	// an attempt on another target as well, so that this one still has time to serve it.
	secondAttemptShare = 0.4
)

// bufferedResponse is a complete response of a target.
type bufferedResponse struct {
	head ResponseHead
	body []byte
}

// bufferedCall is a call in progress whose response is buffered until it is complete. Only the goroutine of the request
// uses its fields; attempts run in goroutines of their own.
type bufferedCall struct {
	*request
	// attemptsCtx is the context of all attempts, which cancelAttempts ends.
	attemptsCtx    context.Context
	cancelAttempts context.CancelFunc
	// tried holds the targets of all attempts, of which inProgress have no outcome yet.
	tried      map[entity.TargetID]bool
	inProgress int
	outcomes   chan attemptOutcome
	// latest is the target of the latest attempt. After secondAttempt, another attempt may follow while it is in progress.
	latest        entity.TargetID
	secondAttempt *time.Timer
	// newConn requests new connections for further attempts.
	newConn bool
	// fallback is the response of a target that has failed the call, forwarded if no attempt has a better one; fallbackFrom is
	// that target. holdTimer ends the wait for a better one, timeLeftWhenHeld is the time that was left at its start.
	fallback         *bufferedResponse
	fallbackFrom     entity.TargetID
	timeLeftWhenHeld time.Duration
	holdTimer        *time.Timer
	// refusal is the kind of the refusal if no target can have run the call.
	refusal errkind.Kind
}

// attemptOutcome is the outcome of one attempt: an error, or a response that is complete unless its target has not run
// the call.
type attemptOutcome struct {
	target *fleet.Target
	bufferedResponse
	err error
}

// served reports whether the target has run the call and its response can be forwarded.
func (o *attemptOutcome) served() bool {
	return o.err == nil && !o.head.NotRun && o.head.FromTarget && !o.head.ContentEncoded
}

// serveBuffered serves a call whose response is buffered until it is complete, and then forwarded.
func (q *request) serveBuffered(ctx context.Context) {
	if q.mayRelay() {
		q.relayBuffered(ctx)
		return
	}
	attemptsCtx, cancel := context.WithCancel(ctx)
	c := &bufferedCall{
		request: q, attemptsCtx: attemptsCtx, cancelAttempts: cancel, tried: make(map[entity.TargetID]bool),
		outcomes: make(chan attemptOutcome, maxSends), secondAttempt: time.NewTimer(maxTimeout),
		holdTimer: time.NewTimer(maxTimeout), refusal: errkind.Overloaded,
	}
	defer c.awaitAttempts()
	defer cancel()
	defer c.secondAttempt.Stop()
	defer c.holdTimer.Stop()
	response := c.run(ctx)
	cancel()
	if response != nil {
		q.runs += c.inProgress
		q.writeResponse(response)
		return
	}
	if c.fallback == nil && q.reachedNoTarget(ctx) && q.hasTime(ctx) && q.takeRetry() {
		q.relayBuffered(ctx)
		return
	}
	q.endBuffered(ctx, c.fallback, c.refusal)
}

// run makes attempts until one has a response to forward, which it returns, or until none is in progress and no other may
// follow.
func (c *bufferedCall) run(ctx context.Context) *bufferedResponse {
	if c.hasTime(ctx) {
		c.beginAttempt()
	}
	for c.inProgress > 0 {
		select {
		case <-c.secondAttempt.C:
			c.beginSecondAttempt(ctx)
		case <-c.holdTimer.C:
			if held := c.heldResponse(); !held.Forward() {
				c.holdTimer.Reset(held.Wait())
				continue
			}
			if c.latest != c.fallbackFrom {
				c.suspectLatest()
			}
			return c.fallback
		case outcome := <-c.outcomes:
			c.inProgress--
			response, retry := c.handleOutcome(ctx, &outcome)
			if response != nil && !retry {
				return response
			}
			if response != nil {
				c.hold(response, outcome.target.ID)
			}
			if errors.Is(outcome.err, errStaleConn) { // the target may serve it on a new connection
				c.newConn = true
				delete(c.tried, outcome.target.ID)
			}
			if retry && c.hasTime(ctx) && !c.mayRelay() && c.mayBeginAttempt() && c.takeRetry() {
				c.beginAttempt()
			}
		}
	}
	return nil
}

// hold keeps the response of a target that has failed the call as the fallback. A further one is held for no longer than the
// first one.
func (c *bufferedCall) hold(response *bufferedResponse, from entity.TargetID) {
	c.fallback, c.fallbackFrom = response, from
	if c.heldSince.IsZero() {
		c.heldSince, c.timeLeftWhenHeld = time.Now(), c.timeLeft()
		c.holdTimer.Reset(c.heldResponse().Wait())
	}
}

func (c *bufferedCall) heldResponse() dispatch.HeldResponse {
	return dispatch.HeldResponse{Left: c.timeLeftWhenHeld, Held: time.Since(c.heldSince)}
}

// awaitAttempts returns when all attempts have ended. Their context must have ended.
func (c *bufferedCall) awaitAttempts() {
	for ; c.inProgress > 0; c.inProgress-- {
		<-c.outcomes
	}
}

// mayBeginAttempt reports whether the limits allow another attempt. Beside attempts in progress, all of which may run the
// call, one is only of use on another target.
func (c *bufferedCall) mayBeginAttempt() bool {
	if c.sends >= maxSends || c.inProgress == 0 {
		return c.sends < maxSends
	}
	return c.countedTargets()+c.inProgress < c.route.MaxAttempts && c.hasUntriedTarget()
}

// beginSecondAttempt begins an attempt on another target beside one that takes long, if another target and a retry are
// left. The one in progress goes on: its target may be silent for a while, and the other may do no better.
func (c *bufferedCall) beginSecondAttempt(ctx context.Context) {
	if !c.route.Repeatable() || !c.hasTime(ctx) {
		return
	}
	if c.mayRelay() && c.countedTargets()+c.inProgress < c.route.MaxAttempts {
		c.cancelAttempts() // serveBuffered then relays the call
		return
	}
	if !c.mayBeginAttempt() || !c.takeRetry() {
		return
	}
	c.suspectLatest()
	c.beginAttempt()
}

// suspectLatest records that the target of the latest attempt sends no response. The calls that wait for it during one
// silence count as one failure: it gets less new work the more failures it has.
func (c *bufferedCall) suspectLatest() {
	now := boottime.Now()
	c.gateway.mu.Lock()
	state := c.gateway.dispatcher.Fleet.Get(c.latest)
	if state == nil || !state.Usable(now) {
		c.gateway.mu.Unlock()
		return
	}
	until := c.gateway.dispatcher.Fleet.RecordFailure(now, c.latest)
	c.gateway.mu.Unlock()
	log.Event("target suspected", "target", c.latest, "request", c.ID, "reason", "no response in time for another attempt",
		"for", until.Sub(now).Round(time.Millisecond))
}

// beginAttempt begins an attempt on a target that has not been tried, if there is one.
func (c *bufferedCall) beginAttempt() {
	target := c.chooseTarget(c.tried)
	if target == nil {
		c.refusal = errkind.NoCapacity
		return
	}
	timeout := c.timeLeft()
	c.tried[target.ID] = true
	c.latest = target.ID
	c.sends++
	c.attemptedTargets = append(c.attemptedTargets, string(target.ID))
	c.inProgress++
	c.secondAttempt.Reset(time.Duration(secondAttemptShare * float64(timeout)))
	// A call that may run only once uses a new connection, since the target may already have closed a reused one.
	newConn := c.newConn || !c.route.Repeatable()
	go func() { c.outcomes <- c.attemptTarget(c.attemptsCtx, target, timeout, newConn) }()
}

// chooseTarget chooses a target that is not in tried and counts the call as in progress there. It returns nil if there
// is none.
func (q *request) chooseTarget(tried map[entity.TargetID]bool) *fleet.Target {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	return q.gateway.dispatcher.ChooseTarget(boottime.Now(), q.service.ID, tried)
}

// hasUntriedTarget reports whether there is a target that is not in tried and not suspected.
func (c *bufferedCall) hasUntriedTarget() bool {
	c.gateway.mu.Lock()
	defer c.gateway.mu.Unlock()
	now := boottime.Now()
	next, _ := c.gateway.dispatcher.Fleet.ChoosePlain(now, c.service.ID, c.gateway.options.Zone, c.tried)
	return next != nil && next.Usable(now)
}

// attemptTarget sends the call to a target chosen by chooseTarget and returns the outcome. Several attempts of a request
// may run at the same time.
func (q *request) attemptTarget(ctx context.Context, target *fleet.Target, timeout time.Duration,
	newConn bool) attemptOutcome {
	started := time.Now()
	outcome := attemptOutcome{target: target}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	attempt := &Attempt{
		Call: q.Call, Target: *target, Account: q.account.ID, Timeout: dispatch.TargetTimeout(timeout),
		LastEventID: q.LastEventID,
	}
	x, err := q.gateway.send(ctx, attempt, newConn, timeout)
	if err == nil {
		outcome.head = x.head
		if x.head.NotRun {
			x.releaseRefused()
		} else {
			outcome.body, err = x.readBody(q, timeout)
		}
	}
	outcome.err = err
	servedFor := time.Duration(0)
	if outcome.served() {
		servedFor = time.Since(started)
	}
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	q.gateway.dispatcher.ReleaseTarget(target, servedFor)
	return outcome
}

// handleOutcome records the outcome of an attempt. It returns the target's response, if there is one to forward, and
// whether another attempt is allowed and useful.
func (q *request) handleOutcome(ctx context.Context, o *attemptOutcome) (response *bufferedResponse, retry bool) {
	id := o.target.ID
	switch {
	case errors.Is(o.err, errBackedOff):
		q.keepRetry()
		q.lastErr, q.lastKind = o.err, errkind.Overloaded
		return nil, true
	case errors.Is(o.err, errNotSent):
		q.keepRetry()
		q.recordAttemptFailure(id, errkind.NoCapacity, o.err)
		return nil, true
	case o.err != nil:
		q.recordRun(*o.target, false)
		q.recordAttemptFailure(id, q.unknownOutcomeKind(ctx, o.err), o.err)
		return nil, q.mayRunAgain(ctx)
	case o.head.NotRun && o.head.RetryAfter > 0: // not a failure: the target gets no requests while it wants none
		q.lastErr, q.lastKind = &fleet.BackoffError{For: o.head.RetryAfter}, errkind.Overloaded
		return nil, true
	case o.head.NotRun:
		q.recordAttemptFailure(id, errkind.Overloaded, errors.New("target did not run the request"))
		return nil, true
	}
	q.recordRun(*o.target, true)
	if !o.served() {
		q.recordAttemptFailure(id, errkind.TargetFailed,
			errors.New("response was not written by the target or was re-encoded"))
		return nil, q.mayRunAgain(ctx)
	}
	if o.head.Status >= http.StatusInternalServerError {
		q.lastErr = errors.New("target responded with status " + strconv.Itoa(o.head.Status))
		return &o.bufferedResponse, q.mayRunAgain(ctx)
	}
	q.gateway.recordSuccess(id)
	return &o.bufferedResponse, false
}

// mayRunAgain reports whether another attempt may run the call. A call may itself be why its targets end, so that only
// maxEndedTargets are made up for.
func (q *request) mayRunAgain(ctx context.Context) bool {
	withinRuns := q.runs < q.route.MaxAttempts+maxEndedTargets
	return withinRuns && q.route.Repeatable() && q.timeLeft() > 0 && q.hasTargetLeft(ctx)
}

// recordAttemptFailure records a failed attempt. It does not count as a failure of the target if the caller has
// disconnected or the deadline has passed.
func (q *request) recordAttemptFailure(id entity.TargetID, kind errkind.Kind, err error) {
	q.lastErr, q.lastKind = err, kind
	if q.Request.Context().Err() == nil && kind != errkind.DeadlineExceeded {
		q.gateway.recordFailure(id, q.ID, err.Error())
	}
}

// endBuffered ends a call for which no further attempt is made. It uses the kind refusal, which promises that the call
// has not run, only if no target can have run it.
func (q *request) endBuffered(ctx context.Context, fallback *bufferedResponse, refusal errkind.Kind) {
	switch {
	case fallback != nil:
		q.writeResponse(fallback)
	case q.runs > 0:
		q.endWithError(q.failureKind(ctx))
	default:
		q.endRefused(q.refusalKind(ctx, refusal))
	}
}

// writeResponse forwards a complete response to the caller: that of a target, or of another instance that has taken the request. All
// responses but streams pass through it.
func (q *request) writeResponse(response *bufferedResponse) {
	if q.promisesFalsely(&response.head) {
		q.lastErr = fmt.Errorf("target that may have run the request responded with status %d, which promises the opposite",
			response.head.Status)
		q.endWithError(errkind.TargetFailed)
		return
	}
	q.setWriteTimeout(responseWriteTimeout)
	copyHeader(q.writer.Header(), response.head.Header)
	q.closeWhileStopping()
	q.writer.Header().Set("Content-Length", strconv.Itoa(len(response.body)))
	q.writer.WriteHeader(response.head.Status)
	if _, err := q.writer.Write(response.body); err != nil {
		q.lastErr = err
		q.recordEnd(string(errkind.Canceled), strconv.Itoa(response.head.Status))
		return
	}
	q.recordEnd(resultOK, strconv.Itoa(response.head.Status))
}

// promisesFalsely reports whether a response of a target has a status that promises that the request has not run, for a request that may
// run only once. Only a response that is marked as such states that, and those are not forwarded; this one may follow a run. The
// failures of other requests are forwarded as they are, since their callers may repeat them in any case.
func (q *request) promisesFalsely(head *ResponseHead) bool {
	return head.FromTarget && !head.NotRun && !q.route.Repeatable() && httpstatus.PromisesNotRun(head.Status)
}

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
