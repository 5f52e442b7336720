package gateway

import (
	"context"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/timing"
)

// giveUpReason is why no further attempt of a stream was made.
type giveUpReason string

const (
	attemptsUsed     giveUpReason = "attempts"    // it may not run again
	overloaded       giveUpReason = "overloaded"  // less urgent streams are refused while the service is overloaded
	sendsUsed        giveUpReason = "sends"       // it was sent maxSends or maxBegunSends times
	retryLimitUsed   giveUpReason = "retry_limit" // the instance's share of the retry limit is used up
	noPathFound      giveUpReason = "no_path"
	partsQuarantined giveUpReason = "quarantine"
	timePassed       giveUpReason = "time"   // its time has passed, or the grace time of a stop
	callerLeft       giveUpReason = "caller" // the caller has disconnected
)

// timeReason distinguishes the reasons for which the context of the request's attempts has ended.
func (s *stream) timeReason() giveUpReason {
	if s.Request.Context().Err() != nil {
		return callerLeft
	}
	return timePassed
}

// admitRetry takes the retry of a further attempt, or returns why there is none. retry reports whether the last attempt
// allows one.
func (s *stream) admitRetry(ctx context.Context, retry bool) giveUpReason {
	switch {
	case !s.hasTime(ctx):
		return s.timeReason()
	case s.gaveUp != "":
		return s.gaveUp
	case !retry:
		return attemptsUsed
	case s.mayCrashEngines():
		return partsQuarantined
	case s.sends >= s.sendLimit():
		return sendsUsed
	case s.awaitRetry(ctx):
		return ""
	case !s.hasTime(ctx):
		return s.timeReason()
	}
	return retryLimitUsed
}

// awaitRetry takes a retry and reports whether one was left. A stream that has begun waits for one up to resumeWait.
func (s *stream) awaitRetry(ctx context.Context) bool {
	for waited := time.Duration(0); !s.takeRetry(); waited += waitInterval {
		if !s.headWritten.Load() || waited >= s.resumeWait() || ctx.Err() != nil {
			return false
		}
		timing.Sleep(ctx, waitInterval)
	}
	return true
}

// idle returns the time since the last event, or since the arrival of the request if there was none.
func (s *stream) idle() time.Duration {
	if s.events == 0 {
		return time.Since(s.arrivedAt)
	}
	return time.Since(s.lastEventTime)
}

// recordBroken passes the end of a begun stream that is not complete to Options.OnStreamBroken.
func (g *Gateway) recordBroken(reason giveUpReason) {
	if g.options.OnStreamBroken != nil {
		g.options.OnStreamBroken(string(reason))
	}
}

// resumeWait bounds each wait of a stream that has begun, for a path or for a retry. One that has used as many attempts as its
// route allows targets is closed soon, so that its caller can resume it with a request of its own, which takes no retry.
func (s *stream) resumeWait() time.Duration {
	if s.runs >= s.route.MaxAttempts {
		return extraRunWait
	}
	return begunWait
}
