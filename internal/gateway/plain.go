package gateway

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

const (
	// maxSends is the maximum number of attempts of one request, including those that targets rejected without running
	// them.
	maxSends = 4
	// repeatableTimeoutShare is the fraction of the remaining time after which an attempt of a repeatable call is cancelled
	// if another may follow, so that another target still has time to serve it.
	repeatableTimeoutShare = 0.4
)

// bufferedResponse is a complete response of a target.
type bufferedResponse struct {
	head ResponseHead
	body []byte
}

// serveBuffered serves a call whose response is buffered until it is complete, and then forwarded.
func (q *request) serveBuffered(ctx context.Context) {
	tried := make(map[entity.TargetID]bool)
	var fallback *bufferedResponse
	for q.hasTime(ctx) {
		target := q.chooseTarget(tried)
		if target == nil {
			q.endBuffered(ctx, fallback, errkind.NoCapacity)
			return
		}
		tried[target.ID] = true
		response, retry := q.attemptTarget(ctx, target, tried)
		if response != nil && !retry {
			q.writeResponse(response)
			return
		}
		if response != nil {
			fallback = response
		}
		if !retry || !q.hasTime(ctx) || q.sends >= maxSends || !q.takeRetry() {
			break
		}
	}
	q.endBuffered(ctx, fallback, errkind.Overloaded)
}

// chooseTarget chooses a target that is not in tried and counts the call as in progress there. It returns nil if there
// is none.
func (q *request) chooseTarget(tried map[entity.TargetID]bool) *fleet.Target {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	return q.gateway.dispatcher.ChooseTarget(boottime.Now(), q.service.ID, tried)
}

// limitAttempt cancels an attempt of a repeatable call after repeatableTimeoutShare of the remaining time if another
// target and a retry are left then. An attempt that no other may follow gets all the time: its target may be silent for a
// while and go on. The returned function ends this.
func (q *request) limitAttempt(attempt context.Context, cancel context.CancelFunc,
	tried map[entity.TargetID]bool) (stop func() bool) {
	if !q.route.Repeatable() || q.runs+1 >= q.route.MaxAttempts || q.sends >= maxSends {
		return func() bool { return true }
	}
	limit := time.Duration(repeatableTimeoutShare * float64(q.timeLeft()))
	return time.AfterFunc(limit, func() {
		if q.hasUntriedTarget(tried) && q.reserveRetry(attempt) {
			cancel()
		}
	}).Stop
}

// hasUntriedTarget reports whether there is a target that is not in tried and not suspected.
func (q *request) hasUntriedTarget(tried map[entity.TargetID]bool) bool {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	now := boottime.Now()
	next, _ := q.gateway.dispatcher.Fleet.ChoosePlain(now, q.service.ID, q.gateway.options.Zone, tried)
	return next != nil && next.Usable(now)
}

// attemptTarget sends the call to a target, the last one in tried. It returns the target's response, if there is one, and
// whether another attempt is allowed and useful.
func (q *request) attemptTarget(ctx context.Context, target *fleet.Target,
	tried map[entity.TargetID]bool) (response *bufferedResponse, retry bool) {
	started := time.Now()
	servedFor := time.Duration(0)
	defer func() {
		q.gateway.mu.Lock()
		q.gateway.dispatcher.ReleaseTarget(target, servedFor)
		q.gateway.mu.Unlock()
	}()
	q.sends++
	q.attemptedTargets = append(q.attemptedTargets, string(target.ID))
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer q.limitAttempt(attemptCtx, cancel, tried)()
	timeout := q.timeLeft()
	attempt := &Attempt{
		Call: q.Call, Target: *target, Account: q.account.ID, Timeout: q.timeLeft(), LastEventID: q.LastEventID,
	}
	// A call that may run only once uses a new connection, since the target may already have closed a reused one.
	x, err := q.gateway.send(attemptCtx, attempt, !q.route.Repeatable(), timeout)
	var body []byte
	if err == nil && !x.head.NotRun {
		body, err = x.readBody(q, timeout)
	}
	switch {
	case errors.Is(err, errBackedOff):
		q.keepRetry()
		q.lastErr, q.lastKind = err, errkind.Overloaded
		return nil, true
	case errors.Is(err, errNotSent):
		q.keepRetry()
		q.recordAttemptFailure(target.ID, errkind.NoCapacity, err)
		return nil, true
	case err != nil:
		q.runs++
		q.recordAttemptFailure(target.ID, q.unknownOutcomeKind(ctx, err), err)
		return nil, q.mayRunAgain()
	case x.head.NotRun:
		x.abort()
		if x.head.RetryAfter > 0 { // not a failure: the target gets no requests while it wants none
			q.lastErr, q.lastKind = &fleet.BackoffError{For: x.head.RetryAfter}, errkind.Overloaded
			return nil, true
		}
		q.recordAttemptFailure(target.ID, errkind.Overloaded, errors.New("target did not run the request"))
		return nil, true
	}
	q.runs++
	if !x.head.FromTarget || x.head.ContentEncoded {
		q.recordAttemptFailure(target.ID, errkind.TargetFailed,
			errors.New("response was not written by the target or was re-encoded"))
		return nil, q.mayRunAgain()
	}
	servedFor = time.Since(started)
	response = &bufferedResponse{head: x.head, body: body}
	if x.head.Status >= http.StatusInternalServerError {
		q.lastErr = errors.New("target responded with status " + strconv.Itoa(x.head.Status))
		return response, q.mayRunAgain()
	}
	q.gateway.recordSuccess(target.ID)
	return response, false
}

// mayRunAgain reports whether another attempt may run the call.
func (q *request) mayRunAgain() bool {
	return q.route.Repeatable() && q.runs < q.route.MaxAttempts && q.timeLeft() > 0
}

// recordAttemptFailure records a failed attempt. It does not count as a failure of the target if the caller has
// disconnected or the deadline has passed.
func (q *request) recordAttemptFailure(id entity.TargetID, kind errkind.Kind, err error) {
	q.lastErr, q.lastKind = err, kind
	if q.Request.Context().Err() == nil && kind != errkind.DeadlineExceeded {
		q.gateway.recordFailure(id, q.ID, err.Error())
	}
}

// endBuffered ends a call for which no further attempt is made. It uses the kind refusal, which says that the call has
// not run, only if no target can have run it.
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

// writeResponse forwards a target's complete response to the caller.
func (q *request) writeResponse(response *bufferedResponse) {
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

func copyHeader(to, from http.Header) {
	for name, values := range from {
		to[name] = values
	}
}
