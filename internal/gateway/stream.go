package gateway

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssophoist/hyssophoist/core/dispatch"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

const (
	// firstEventTimeout and eventTimeout bound the wait for the first and each further event if no engine is found to
	// be faulty and another attempt is allowed. Callers disconnect after two seconds without an event.
	firstEventTimeout = 1500 * time.Millisecond
	eventTimeout      = 1200 * time.Millisecond
	// pathTimeout bounds the wait for a path while layers are missing: other engines load them in about a second, and a
	// refused caller retries only once. waitInterval is the interval between two tries to find a path or take a retry.
	pathTimeout = time.Second
	// fullTimeout bounds the wait while engines are there but full. It leaves time for a first event within half a second.
	fullTimeout  = 300 * time.Millisecond
	waitInterval = 100 * time.Millisecond
	// begunWait bounds each wait of a stream that has begun, for a path or for a retry, and maxBegunSends replaces maxSends
	// for it: it can no longer be refused, and callers wait for its next event for two seconds or more. extraRunWait replaces
	// begunWait once it has used as many attempts as its route allows targets.
	begunWait        = 3 * time.Second
	extraRunWait     = time.Second
	maxBegunSends    = 16
	eventBufferBytes = 2 << 10
	// maxRefusalTime distinguishes an engine that refuses for a reason of its own, which it does at once, from one that
	// has waited for an engine that was lost.
	maxRefusalTime = time.Second
)

// errTimedOut is returned if the first event of a stream arrives when the request has timed out.
var errTimedOut = errors.New("first event arrived after the request had timed out")

var errNoPath = errors.New("no engines with enough free KV cache cover all layers")

// stream is a streaming request in progress.
type stream struct {
	*request
	size dispatch.GenerationSize
	// avoid holds the engines that failed or refused this stream; path, attemptCtx and cancelAttempt are the path and
	// the context of the attempt in progress. They are guarded by gateway.mu.
	avoid map[entity.TargetID]bool
	path  *dispatch.Path
	// next is the path that is reserved for the next attempt, nil for none; guarded by gateway.mu.
	next          *dispatch.Path
	attemptCtx    context.Context
	cancelAttempt context.CancelFunc
	// reroutes counts the reroutes of the stream; rerouteMu is held during each.
	reroutes  atomic.Int32
	rerouteMu sync.Mutex
	// headWritten reports whether the head of the response has been sent to the caller.
	headWritten atomic.Bool
	// lastEventID is the id of the last event forwarded to the caller, events is the number of forwarded events.
	lastEventID int64
	events      int
	controller  *http.ResponseController
	watchdog    *watchdog
	// eventForwarded reports whether an event has been forwarded; forwardedAt is the age of the gateway at the last
	// one, in nanoseconds.
	eventForwarded atomic.Bool
	forwardedAt    atomic.Int64
	// attemptProgressed reports whether the attempt in progress has got an event.
	attemptProgressed atomic.Bool
	// firstEventDelay is the time from the arrival of the request to the first event, longestPause the longest time
	// between two events.
	firstEventDelay, longestPause time.Duration
	lastEventTime                 time.Time
	// offeredRank is the rank of a stream that has been counted as offered; -1 for others. lateCounted reports whether it has
	// been counted as late too. Guarded by gateway.mu.
	offeredRank int
	lateCounted bool
	// gaveUp is why no further attempt was made; empty while one may follow.
	gaveUp giveUpReason
}

// serveStream serves a request whose response is forwarded event by event. A stream that is interrupted is resumed on
// another path if its route allows it.
func (q *request) serveStream(ctx context.Context) {
	s := &stream{
		request: q, avoid: make(map[entity.TargetID]bool), lastEventID: q.LastEventID, offeredRank: -1,
		controller: http.NewResponseController(q.writer),
	}
	q.stats = func() streamStats {
		return streamStats{
			events: s.events, reroutes: int(s.reroutes.Load()),
			firstEvent: s.firstEventDelay, longestPause: s.longestPause, idle: s.idle(), gaveUp: s.gaveUp,
		}
	}
	if q.service.Engine == nil {
		q.endWithError(errkind.NoCapacity)
		return
	}
	q.setWriteTimeout(q.streamTimeLeft() + streamWriteTimeout)
	s.setCountsEnded(true)
	s.size = dispatch.EstimateGeneration(q.service.Engine, q.PromptTokens, q.ExpectedTokens, q.MaxTokens)
	if !q.mayRelay() && s.sheds() { // another instance decides on its own load
		s.gaveUp = overloaded
		q.endWithError(errkind.Overloaded)
		return
	}
	defer s.releaseNext()
	for q.hasTime(ctx) {
		done, retry := s.runAttempt(ctx)
		if done {
			return
		}
		if s.gaveUp = s.admitRetry(ctx, retry); s.gaveUp != "" {
			break
		}
	}
	if s.gaveUp == "" {
		s.gaveUp = s.timeReason()
	}
	s.endFailed(ctx)
}

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

// runAttempt makes one attempt on one path. done reports whether the request has ended, retry whether another attempt
// is allowed.
func (s *stream) runAttempt(ctx context.Context) (done, retry bool) {
	if s.quarantined() {
		s.gaveUp = partsQuarantined
		return false, false
	}
	if s.mayRelay() {
		return s.runRelayedAttempt(ctx)
	}
	path := s.awaitPath(ctx)
	if path == nil {
		s.lastErr, s.lastKind, s.gaveUp = errNoPath, errkind.NoCapacity, noPathFound
		return false, false
	}
	defer s.release()
	if s.quarantined() { // others may have reported crashes during the wait
		s.gaveUp = partsQuarantined
		return false, false
	}
	s.sends++
	s.attemptedTargets = append(s.attemptedTargets, formatPath(path))
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.register(attemptCtx, cancel)
	sends := s.sends
	s.attemptProgressed.Store(false)
	s.watchdog = s.gateway.inspector.watch(attemptCtx, watchedAttempt{
		requestID: s.ID, targets: s.targets, targetsWithoutProgress: s.targetsWithoutProgress,
		stallTimeout: s.stallTimeout, replaceable: func() bool { return s.resumable() && s.replaceable(sends) },
		begun:       s.headWritten.Load,
		reserveNext: func(faulty []fleet.Target, usable bool) bool { return s.reserveNext(attemptCtx, faulty, usable) },
		reroute:     s.reroute, cancel: cancel,
	})
	defer s.watchdog.stop()
	sent := time.Now()
	x, err := s.gateway.send(attemptCtx, s.newAttempt(path), false, s.streamTimeLeft())
	if err != nil {
		return s.handleInterruption(ctx, err)
	}
	if x.head.NotRun {
		x.releaseRefused()
		if !x.head.asksForTime(path.Stages[0].Target.Address) {
			s.handleRefusal(ctx, x, time.Since(sent))
		}
		s.lastErr, s.lastKind = errors.New("engines of the path did not run the request"), errkind.Overloaded
		return false, true
	}
	if x.head.Status != http.StatusOK || !x.head.FromTarget || x.head.ContentEncoded {
		return s.handleNonStream(ctx, x)
	}
	x.setTimeout(s.streamTimeLeft())
	err = s.forwardEvents(x)
	if err == nil {
		err = s.writeHead(x) // even a response without events needs the header field that shows that the target wrote it
	}
	if err == nil {
		s.recordRun(path.Stages[0].Target, true)
		x.releaseConn()
		s.gateway.recordSuccess(path.Stages[0].Target.ID)
		s.recordEnd(resultOK, "200")
		return true, false
	}
	x.abort()
	return s.handleInterruption(ctx, err)
}

// sendLimit returns the maximum number of attempts, including those that engines rejected without running them.
func (s *stream) sendLimit() int {
	if s.headWritten.Load() {
		return maxBegunSends
	}
	return maxSends
}

// register adds the stream to gateway.streams, where RerouteFromUnloadingEngine finds its attempt, until release.
func (s *stream) register(ctx context.Context, cancel context.CancelFunc) {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	s.attemptCtx, s.cancelAttempt = ctx, cancel
	s.gateway.streams[s] = struct{}{}
}

// release unregisters the stream and releases the reservation of the attempt's path.
func (s *stream) release() {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	delete(s.gateway.streams, s)
	s.gateway.dispatcher.Release(s.path)
	s.path = nil
}

// currentPath returns the path of the attempt in progress.
func (s *stream) currentPath() *dispatch.Path {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	return s.path
}

// targets returns the engines of the attempt in progress, or nil if it has ended.
func (s *stream) targets() []fleet.Target {
	if path := s.currentPath(); path != nil {
		return path.Targets()
	}
	return nil
}

func (s *stream) newAttempt(path *dispatch.Path) *Attempt {
	attempt := &Attempt{
		Call: s.Call, Target: path.Stages[0].Target, Account: s.account.ID, Timeout: s.streamTimeLeft(), LastEventID: s.lastEventID,
		Priority: s.enginePriority(),
	}
	attempt.Path = hopsOf(path)
	return attempt
}

func hopsOf(path *dispatch.Path) []Hop {
	hops := make([]Hop, len(path.Stages))
	for i, stage := range path.Stages {
		hops[i] = Hop{Target: stage.Target.ID, Address: stage.Target.Address, Layers: stage.Layers}
	}
	return hops
}

// formatPath returns the path as it appears in logs.
func formatPath(path *dispatch.Path) string {
	var b strings.Builder
	for i, stage := range path.Stages {
		if i > 0 {
			b.WriteByte('>')
		}
		fmt.Fprintf(&b, "%s[%d-%d]", stage.Target.ID, stage.Layers.From, stage.Layers.To)
	}
	return b.String()
}

// stallTimeout returns how long the stream waits for its next event if no engine is found to be faulty and another
// attempt may follow. A begun stream that could only go on at an engine on which it has run waits for the first event of its
// attempt however long that takes: a further attempt would have to wait for it again.
func (s *stream) stallTimeout() time.Duration {
	switch {
	case !s.eventForwarded.Load():
		return firstEventTimeout
	case !s.attemptProgressed.Load() && s.usedItsTargets():
		return maxTimeout
	default:
		return eventTimeout
	}
}

// usedItsTargets reports whether an attempt after the one in progress may only run on engines on which the stream has run.
func (s *stream) usedItsTargets() bool {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	return s.firstEngines() != nil
}

// replaceable reports whether another attempt may follow the one that is the attempt number sends, apart from the retry and
// the path that it needs.
func (s *stream) replaceable(sends int) bool {
	if sends >= s.sendLimit() {
		return false
	}
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	return s.eventForwarded.Load() || !s.gateway.quarantine.Suspected(s.PromptParts)
}

// resumable reports whether the route and the limit on targets allow another attempt after the one in progress.
func (s *stream) resumable() bool {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	return s.path != nil && s.route.Repeatable() && (s.headWritten.Load() || s.firstEngines() == nil)
}

// mayResume reports whether another attempt may follow one that has ended. A stream that has begun can no longer be refused:
// if it may run on no further engine, it goes on at one on which it has run.
func (s *stream) mayResume(ctx context.Context) bool {
	if s.hasNext() {
		return true
	}
	return s.mayRunAgain(ctx) || s.headWritten.Load() && s.route.Repeatable() && s.timeLeft() > 0
}

// forwardEvents forwards events to the caller until the stream ends. Only complete events are forwarded.
func (s *stream) forwardEvents(x *exchange) error {
	events := eventReader{in: bufio.NewReaderSize(x.response.Body, eventBufferBytes)}
	for {
		e, err := events.read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if e.id >= 0 && s.lastEventID >= 0 && e.id != s.lastEventID+1 {
			return fmt.Errorf("received event %d after event %d", e.id, s.lastEventID)
		}
		if err := s.forwardEvent(x, e); err != nil {
			return err
		}
	}
}

// forwardEvent writes one event to the caller, and before the first event the head of the response.
func (s *stream) forwardEvent(x *exchange, e event) error {
	// An engine that has stalled may go on sending comments.
	if !e.comment {
		s.recordArrival()
	}
	if err := s.writeHead(x); err != nil {
		return err
	}
	if err := s.writeEvent(e); err != nil {
		return err
	}
	if !e.comment {
		s.events++
	}
	if e.id >= 0 {
		s.lastEventID = e.id
	}
	return nil
}

// writeEvent writes one event to the caller.
func (s *stream) writeEvent(e event) error {
	s.watchdog.beginWrite()
	defer s.watchdog.endWrite()
	if _, err := s.writer.Write(e.raw); err != nil {
		return err
	}
	return s.controller.Flush()
}

// recordArrival records the arrival of an event, which shows that the engines of the path make progress.
func (s *stream) recordArrival() {
	now := time.Now()
	s.watchdog.recordArrival()
	s.eventForwarded.Store(true)
	s.attemptProgressed.Store(true)
	s.forwardedAt.Store(int64(s.gateway.age()))
	if s.events == 0 {
		s.firstEventDelay = now.Sub(s.arrivedAt)
		if s.overdue(s.firstEventDelay) {
			s.recordLate()
		}
		s.setCountsEnded(false)
		s.recordServed()
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventTime))
	}
	s.lastEventTime = now
}

// writeHead writes the head of the response unless an earlier call has, or the stream has timed out before its first event.
func (s *stream) writeHead(x *exchange) error {
	if s.headWritten.Load() {
		return nil
	}
	if !s.beginStream() {
		return errTimedOut
	}
	s.headWritten.Store(true)
	s.recordAdmission()
	copyHeader(s.writer.Header(), x.head.Header)
	s.closeWhileStopping()
	s.writer.WriteHeader(x.head.Status)
	return nil
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
	conn := []any{"conn", x.conn.LocalAddr().String(), "reused", x.conn.Reused}
	target, found := s.currentPath().TargetByAddress(head.FaultyAddress)
	if !found || head.Status != http.StatusServiceUnavailable || elapsed > maxRefusalTime {
		log.Event("stream not run for another reason than a full engine", append([]any{"request", s.ID, "status", head.Status,
			"faulty", head.FaultyAddress, "path", formatPath(s.currentPath()), "ms", elapsed.Milliseconds()}, conn...)...)
		s.recordFault(head.FaultyAddress, "engines of the path did not run the request")
		return
	}
	s.gateway.mu.Lock()
	s.avoid[target.ID] = true
	s.gateway.dispatcher.Fleet.RecordOverload(boottime.Now(), target.ID)
	s.gateway.mu.Unlock()
	log.Event("engine refused a stream", append([]any{"target", target.ID, "request", s.ID, "ms", elapsed.Milliseconds()}, conn...)...)
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
