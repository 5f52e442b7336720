package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/hyssophoist/hyssophoist/core/errkind"
)

// minTimeLeft is the time below which a request counts as timed out. Its target has been given less time than the request
// has, and may end the attempt a moment before the gateway does.
const minTimeLeft = 10 * time.Millisecond

// startTimer sets the time after which the request times out, and the limit for a stream that has begun by then. Both count
// from the arrival of the request.
func (q *request) startTimer(timeout, limit time.Duration) {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	q.deadline, q.limit = q.arrivedAt.Add(timeout), q.arrivedAt.Add(limit)
	q.timer = time.AfterFunc(time.Until(q.deadline), func() {
		q.gateway.mu.Lock()
		defer q.gateway.mu.Unlock()
		q.expireAtDeadline()
	})
}

// expireAtDeadline cancels the attempts of the request if its deadline has passed, and otherwise sets its timer. The caller
// holds gateway.mu.
func (q *request) expireAtDeadline() {
	if left := time.Until(q.deadline); left > 0 {
		q.timer.Reset(left)
		return
	}
	q.expireAttempts()
}

// expireAttempts cancels the attempts of the request because its time has passed. The caller holds gateway.mu.
func (q *request) expireAttempts() {
	q.expired = true
	q.cancel(context.DeadlineExceeded)
}

// beginStream gives a stream whose first event has arrived the whole time of its caller. It returns false if the request has timed
// out, so that its caller gets either a response that says so in time, or a stream that goes on.
func (q *request) beginStream() bool {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	if q.expired || time.Until(q.deadline) <= 0 {
		return false
	}
	q.deadline = q.limit
	q.timer.Reset(time.Until(q.limit))
	return true
}

// timeLeft returns the time until the deadline.
func (q *request) timeLeft() time.Duration {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	return time.Until(q.deadline)
}

// streamTimeLeft returns the time until the limit of a stream that begins in time.
func (q *request) streamTimeLeft() time.Duration {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	return time.Until(q.limit)
}

// hasTime reports whether another attempt may be made before the request times out. ctx is the context of the request's
// attempts, which also ends if the caller disconnects or the instance stops.
func (q *request) hasTime(ctx context.Context) bool {
	return ctx.Err() == nil && q.timeLeft() > minTimeLeft
}

// timedOut reports whether the request has run out of time, whichever timer has noticed it first: that of ctx, that of the
// connection to the target, or that of the target.
func (q *request) timedOut(ctx context.Context) bool {
	disconnected := q.Request.Context().Err() != nil
	return !disconnected && !q.hasTime(ctx)
}

// unknownOutcomeKind returns the error kind of an attempt whose outcome is unknown.
func (q *request) unknownOutcomeKind(ctx context.Context, err error) errkind.Kind {
	if !q.hasTime(ctx) || errors.Is(err, context.DeadlineExceeded) {
		return errkind.DeadlineExceeded
	}
	return errkind.OutcomeUnknown
}

// failureKind returns the error kind of a request that may have run. It never promises that the request has not run.
func (q *request) failureKind(ctx context.Context) errkind.Kind {
	switch {
	case q.timedOut(ctx):
		return errkind.DeadlineExceeded
	case errkind.ResponseFor(q.lastKind).Run == errkind.NotRun:
		return errkind.OutcomeUnknown
	}
	return q.lastKind
}

// refusalKind returns the error kind of a request that has not run: refusal, unless only the lack of time has prevented an
// attempt.
func (q *request) refusalKind(ctx context.Context, refusal errkind.Kind) errkind.Kind {
	if q.sends == 0 && q.lastErr == nil && q.timedOut(ctx) {
		return errkind.DeadlineInfeasible
	}
	return refusal
}
