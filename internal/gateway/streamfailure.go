package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

// maxRefusalTime distinguishes an engine that refuses for a reason of its own, which it does at once, from one that has waited for
// an engine that was lost.
const maxRefusalTime = time.Second

// endFailed ends a stream for which no further attempt is made.
func (s *stream) endFailed(ctx context.Context) {
	switch {
	case s.headWritten.Load() && s.gaveUp == callerLeft:
		s.endCanceled(s.lastErr)
	case s.headWritten.Load():
		s.gateway.recordBroken(s.gaveUp)
		s.recordEnd(string(s.failureKind(ctx)), "200")
		// Closes the connection, so that the caller does not take the partial response for a complete one.
		panic(http.ErrAbortHandler)
	case s.runs > 0:
		s.endWithError(s.failureKind(ctx))
	case s.lastKind == errkind.CrashesTarget:
		s.endWithError(errkind.CrashesTarget)
	default:
		kind := s.refusalKind(ctx, errkind.NoCapacity)
		if s.lacksCapacity(kind) || s.overdue(time.Since(s.arrivedAt)) {
			s.recordLate()
		}
		s.endRefused(kind)
	}
}

// endCanceled ends a stream whose caller has disconnected, or has closed its sending side and still reads.
func (s *stream) endCanceled(err error) {
	s.gaveUp = callerLeft
	if s.headWritten.Load() {
		s.recordEnd(string(errkind.Canceled), "200")
		panic(http.ErrAbortHandler) // as in endFailed
	}
	kind := errkind.OutcomeUnknown
	if errors.Is(err, errNotSent) && s.runs == 0 {
		kind = errkind.NoCapacity
	}
	s.endWithError(kind)
}

// handleInterruption handles an attempt that ended without a complete response.
func (s *stream) handleInterruption(ctx context.Context, err error) (done, retry bool) {
	s.lastErr = err
	if s.Request.Context().Err() != nil {
		s.endCanceled(err)
		return true, false
	}
	if errors.Is(err, errBackedOff) {
		s.keepRetry()
		s.lastKind = errkind.Overloaded
		return false, true
	}
	if errors.Is(err, errNotSent) {
		s.keepRetry()
		s.lastKind = errkind.NoCapacity
		s.recordFault(s.currentPath().Stages[0].Target.Address, err.Error())
		return false, true
	}
	s.recordRun(s.currentPath().Stages[0].Target, false)
	s.lastKind = s.unknownOutcomeKind(ctx, err)
	s.recordCrash(ctx, err)
	faulty := s.watchdog.stop()
	for _, target := range faulty {
		s.lastErr = fmt.Errorf("no progress, engine %s is at fault", target.ID)
		s.recordFault(target.Address, s.lastErr.Error())
	}
	if len(faulty) == 0 {
		s.recordFault("", err.Error())
	}
	resume := s.mayResume(ctx)
	ended := s.gateway.targetEnded(s.currentPath().Stages[0].Target)
	_, counted := s.runCounts()
	log.Event("stream interrupted", "request", s.ID, "events", s.events, "lastEvent", s.lastEventID,
		"idleMs", s.idle().Milliseconds(), "cancelled", s.watchdog.hasCancelled(),
		"path", formatPath(s.currentPath()), "reason", s.lastErr.Error(), "resume", resume,
		"parts", strings.Join(s.PromptParts, ","), "ended", ended, "counted", counted)
	return false, resume
}

// handleRefusal records which engine of the path refused the request; elapsed is the time until the response. If the
// response came at once, that engine has no capacity, is shutting down or unloading layers, or cannot be reached;
// reading its report shows which.
func (s *stream) handleRefusal(ctx context.Context, x *exchange, elapsed time.Duration) {
	head := x.head
	target, found := s.currentPath().TargetByAddress(head.FaultyAddress)
	if !found || head.Status != http.StatusServiceUnavailable || elapsed > maxRefusalTime {
		log.Event("stream not run for another reason than a full engine", "request", s.ID, "status", head.Status,
			"faulty", head.FaultyAddress, "path", formatPath(s.currentPath()), "ms", elapsed.Milliseconds(),
			"conn", x.conn.LocalAddr().String(), "reused", x.reused)
		s.recordFault(head.FaultyAddress, "engines of the path did not run the request")
		return
	}
	s.gateway.mu.Lock()
	s.avoid[target.ID] = true
	s.gateway.dispatcher.Fleet.RecordOverload(boottime.Now(), target.ID)
	s.gateway.mu.Unlock()
	log.Event("engine refused a stream", "target", target.ID, "request", s.ID, "ms", elapsed.Milliseconds(),
		"conn", x.conn.LocalAddr().String(), "reused", x.reused)
	answered := s.currentPath().Stages[0].Target.ID == target.ID
	go s.gateway.suspectAfterRefusal(context.WithoutCancel(ctx), target, s.ID, answered)
}

// suspectAfterRefusal marks an engine that refused a stream as suspected if its report shows that it has capacity. Such
// an engine is shutting down, which its entry may not show while the store is down, or is unloading layers. answered reports
// whether the engine has written the refusal itself. If it was full shortly before, its report is not read again; that of
// another engine of the path is, since it may have failed.
func (g *Gateway) suspectAfterRefusal(ctx context.Context, target fleet.Target, requestID string, answered bool) {
	if answered && g.inspector.wasFullSince(target, time.Now().Add(-fullReportTTL)) {
		return
	}
	report, err := g.inspector.inspect(ctx, target)
	if err == nil && !report.Full() {
		g.recordFailure(target.ID, requestID, "engine refused a stream although it has capacity")
	}
}

// recordFault records that the engine at address failed, and makes this stream avoid it. If the path has no such
// engine, the stream avoids all engines of the path.
func (s *stream) recordFault(address, reason string) {
	path := s.currentPath()
	target, found := path.TargetByAddress(address)
	s.gateway.mu.Lock()
	if found {
		s.avoid[target.ID] = true
	} else {
		for _, stage := range path.Stages {
			s.avoid[stage.Target.ID] = true
		}
	}
	s.gateway.mu.Unlock()
	if found {
		s.gateway.recordFailure(target.ID, s.ID, reason)
	}
}

// handleNonStream handles a response whose body cannot be forwarded as an event stream: its status is not 200, it was
// not written by the target itself, or it has a content coding.
func (s *stream) handleNonStream(ctx context.Context, x *exchange) (done, retry bool) {
	body, err := x.readBody(s.request, s.timeLeft())
	s.recordRun(s.currentPath().Stages[0].Target, err == nil)
	if err != nil || !x.head.FromTarget || x.head.ContentEncoded || s.headWritten.Load() {
		s.lastErr, s.lastKind = fmt.Errorf("response with status %d cannot be forwarded", x.head.Status), errkind.TargetFailed
		s.recordFault("", s.lastErr.Error())
		return false, s.mayResume(ctx)
	}
	if x.head.Status >= http.StatusInternalServerError && s.mayResume(ctx) {
		s.lastErr, s.lastKind = errors.New("target responded with status "+strconv.Itoa(x.head.Status)), errkind.TargetFailed
		return false, true
	}
	s.writeResponse(&bufferedResponse{head: x.head, body: body})
	return true, false
}
