package gateway

import (
	"context"
	"errors"
	"time"

	"github.com/hyssophoist/hyssophoist/core/errkind"
)

// minTimeLeft is the time below which a request counts as timed out. Its target has been given the same time, and may
// end the attempt a moment before the gateway does.
const minTimeLeft = 10 * time.Millisecond

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
