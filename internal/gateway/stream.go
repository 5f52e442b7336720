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
	// firstEventTimeout and eventTimeout bound the wait for the first and each further event although no engine is found to
	// be at fault, while another path may still be tried. Callers leave after a pause of two seconds.
	firstEventTimeout = 1500 * time.Millisecond
	eventTimeout      = 1200 * time.Millisecond
	// pathWait bounds the wait for a path while layers are missing: they are loaded again in about a second, and a caller
	// that is refused comes back once only. pathRetry is the pause between two looks.
	pathTimeout       = time.Second
	pathRetryInterval = 100 * time.Millisecond
	eventBufferBytes  = 2 << 10
	// maxShedTime tells an engine that refuses by itself, which it does at once, from one that has waited for a lost engine.
	maxRefusalTime = time.Second
)

var errNoPath = errors.New("no engines cover all layers")

// stream is a streaming request in progress.
type stream struct {
	*request
	size dispatch.GenerationSize
	// avoid holds the engines that failed this stream, path is the path of the attempt in progress and attempt its context.
	// They are guarded by the mutex of the gateway.
	avoid      map[entity.TargetID]bool
	path       *dispatch.Path
	attemptCtx context.Context
	// reroutes counts the changes of path within an attempt; rerouting is held while one is made.
	reroutes  atomic.Int32
	rerouteMu sync.Mutex
	// resumable says that another attempt may follow the one in progress.
	resumable bool
	// begun says that the head of the answer has been sent, with the first event.
	headWritten bool
	// lastEvent is the id of the last event passed on, events their number.
	lastEventID int64
	events      int
	controller  *http.ResponseController
	watchdog    *watchdog
	// moving says that an event has been passed on, movedAt when the last one was, in nanoseconds of the
	// gateway's age.
	eventForwarded atomic.Bool
	forwardedAt    atomic.Int64
	// firstEvent is the time from arrival to the first event, longestPause the longest pause behind it.
	firstEventDelay, longestPause time.Duration
	lastEventTime                 time.Time
}

// serveStream serves a request whose answer is passed on event by event. A stream that breaks off goes on at another path
// if its route allows it.
func (q *request) serveStream(ctx context.Context) {
	s := &stream{
		request: q, avoid: make(map[entity.TargetID]bool), lastEventID: q.LastEventID,
		controller: http.NewResponseController(q.writer),
	}
	q.stats = func() streamStats {
		return streamStats{events: s.events, reroutes: int(s.reroutes.Load()), firstEvent: s.firstEventDelay, longestPause: s.longestPause}
	}
	if q.service.Engine == nil {
		q.endWithError(errkind.NoCapacity)
		return
	}
	s.size = dispatch.EstimateGeneration(q.service.Engine, q.PromptTokens, q.ExpectedTokens, q.MaxTokens)
	for {
		done, retry := s.runAttempt(ctx)
		if done {
			return
		}
		if !retry || ctx.Err() != nil || q.sends >= maxSends || !q.takeRetry() {
			s.endFailed()
			return
		}
	}
}

// fail ends a stream for which no further attempt is made.
func (s *stream) endFailed() {
	switch {
	case s.headWritten:
		s.recordEnd(string(unknownIfNotRun(s.lastKind)), "200")
		// The caller must not take what it has for the whole answer.
		panic(http.ErrAbortHandler)
	case s.runs > 0:
		s.endWithError(unknownIfNotRun(s.lastKind))
	default:
		s.endWithError(errkind.NoCapacity)
	}
}

// try sends the stream along one path. done says that the request has ended, again that another attempt is allowed.
func (s *stream) runAttempt(ctx context.Context) (done, retry bool) {
	path := s.awaitPath(ctx)
	if path == nil {
		s.lastErr, s.lastKind = errNoPath, errkind.NoCapacity
		return false, false
	}
	defer s.release()
	s.sends++
	s.attemptedTargets = append(s.attemptedTargets, formatPath(path))
	s.resumable = s.route.Repeatable() && s.runs+1 < s.route.MaxAttempts
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.register(attemptCtx)
	s.watchdog = s.gateway.inspector.watch(attemptCtx, watchedAttempt{
		requestID: s.ID, targets: s.targets, targetsWithoutProgress: s.targetsWithoutProgress, stallTimeout: s.stallTimeout, reroute: s.reroute, cancel: cancel,
	})
	defer s.watchdog.stop()
	sent := time.Now()
	x, err := s.gateway.send(attemptCtx, s.newAttempt(path), false, s.timeLeft())
	if err != nil {
		return s.handleInterruption(ctx, err)
	}
	if x.head.NotRun {
		x.abort()
		s.handleRefusal(ctx, x.head, time.Since(sent))
		s.lastErr, s.lastKind = errors.New("the path did not run the request"), errkind.Overloaded
		return false, true
	}
	if x.head.Status != http.StatusOK || !x.head.FromTarget || x.head.ContentEncoded {
		return s.handleNonStream(x)
	}
	x.setTimeout(s.timeLeft())
	err = s.forwardEvents(x)
	if err == nil {
		s.runs++
		x.releaseConn()
		s.writeHead(x) // also an answer without events bears the target's mark
		s.gateway.recordSuccess(path.Stages[0].Target.ID)
		s.recordEnd(resultOK, "200")
		return true, false
	}
	x.abort()
	return s.handleInterruption(ctx, err)
}

// awaitPath returns a path, and waits a little for one if engines are missing or have just refused the stream. It returns
// nil if there is none in that time.
func (s *stream) awaitPath(ctx context.Context) *dispatch.Path {
	for waited := time.Duration(0); ; waited += pathRetryInterval {
		if path := s.choosePath(); path != nil || waited >= pathTimeout || ctx.Err() != nil {
			return path
		}
		// An engine that refused may have room again, and there may be no other.
		s.gateway.mu.Lock()
		clear(s.avoid)
		s.gateway.mu.Unlock()
		timer := time.NewTimer(pathRetryInterval)
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
		}
	}
}

// choosePath chooses and reserves the path of an attempt.
func (s *stream) choosePath() *dispatch.Path {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	s.path = s.gateway.dispatcher.ChoosePath(boottime.Now(), s.service, s.size, s.avoid)
	return s.path
}

// enlist makes the attempt known to Evacuate, until release.
func (s *stream) register(ctx context.Context) {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	s.attemptCtx = ctx
	s.gateway.streams[s] = struct{}{}
}

// release ends the reservation of the attempt's path.
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

// targets returns the engines of the attempt in progress, none if it has ended.
func (s *stream) targets() []fleet.Target {
	if path := s.currentPath(); path != nil {
		return path.Targets()
	}
	return nil
}

func (s *stream) newAttempt(path *dispatch.Path) *Attempt {
	attempt := &Attempt{
		Call: s.Call, Target: path.Stages[0].Target, Account: s.account.ID, Timeout: s.timeLeft(), LastEventID: s.lastEventID,
		Priority: min(9, max(0, s.priority())),
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

// patience returns how long the stream waits for its next event although no engine is found to be at fault.
func (s *stream) stallTimeout() time.Duration {
	switch {
	case !s.resumable:
		return s.timeLeft()
	case s.eventForwarded.Load():
		return eventTimeout
	default:
		return firstEventTimeout
	}
}

// copyEvents passes events on until the stream ends. Only whole events are passed on.
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
			return fmt.Errorf("event %d follows event %d", e.id, s.lastEventID)
		}
		if err := s.forwardEvent(x, e); err != nil {
			return err
		}
	}
}

// pass writes one event to the caller, with the head of the first attempt's answer before the first one.
func (s *stream) forwardEvent(x *exchange, e event) error {
	now := time.Now()
	s.watchdog.recordArrival()
	s.eventForwarded.Store(true)
	s.forwardedAt.Store(int64(s.gateway.age()))
	if !s.headWritten {
		s.firstEventDelay = now.Sub(s.arrivedAt)
		s.writeHead(x)
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastEventTime))
	}
	s.lastEventTime = now
	if _, err := s.writer.Write(e.raw); err != nil {
		return err
	}
	if err := s.controller.Flush(); err != nil {
		return err
	}
	s.events++
	if e.id >= 0 {
		s.lastEventID = e.id
	}
	return nil
}

// begin writes the head of the answer, unless an earlier attempt has.
func (s *stream) writeHead(x *exchange) {
	if s.headWritten {
		return
	}
	s.headWritten = true
	copyHeader(s.writer.Header(), x.head.Header)
	s.writer.WriteHeader(x.head.Status)
}

// broken handles an attempt that ended without a whole answer.
func (s *stream) handleInterruption(ctx context.Context, err error) (done, retry bool) {
	s.lastErr = err
	if s.Request.Context().Err() != nil {
		s.recordEnd(string(errkind.Canceled), "")
		return true, false
	}
	if errors.Is(err, errNotSent) {
		s.lastKind = errkind.NoCapacity
		s.recordFault(s.currentPath().Stages[0].Target.Address, err.Error())
		return false, true
	}
	s.runs++
	s.lastKind = unknownOutcomeKind(err, ctx)
	faults := s.watchdog.stop()
	for _, fault := range faults {
		s.lastErr = fmt.Errorf("no progress, engine %s is at fault", fault.ID)
		s.recordFault(fault.Address, s.lastErr.Error())
	}
	if len(faults) == 0 {
		s.recordFault("", err.Error())
	}
	log.Event("stream interrupted", "request", s.ID, "events", s.events, "lastEvent", s.lastEventID, "path", formatPath(s.currentPath()),
		"reason", s.lastErr.Error(), "resume", s.mayRunAgain())
	return false, s.mayRunAgain()
}

// refused notes which engine did not take the request, after the time that its answer took. One that refuses at once has no
// room, is leaving or is lost; its report tells.
func (s *stream) handleRefusal(ctx context.Context, reply ResponseHead, elapsed time.Duration) {
	target, found := s.currentPath().TargetByAddress(reply.FaultyAddress)
	if !found || reply.Status != http.StatusServiceUnavailable || elapsed > maxRefusalTime {
		s.recordFault(reply.FaultyAddress, "the path did not run the request")
		return
	}
	s.gateway.mu.Lock()
	s.avoid[target.ID] = true
	s.gateway.dispatcher.Fleet.RecordOverload(boottime.Now(), target.ID)
	s.gateway.mu.Unlock()
	log.Event("engine refused a stream", "target", target.ID, "request", s.ID, "ms", elapsed.Milliseconds())
	go s.gateway.suspectAfterRefusal(context.WithoutCancel(ctx), target, s.ID)
}

// explainRefusal suspects an engine that refused a stream although it has room: it is leaving, which its entry may not show
// while the store is down, or gives up layers.
func (g *Gateway) suspectAfterRefusal(ctx context.Context, target fleet.Target, requestID string) {
	report, err := g.inspector.inspect(ctx, target)
	if err == nil && !report.Full() {
		g.recordFailure(target.ID, requestID, "refused a stream although it has room")
	}
}

// blame notes which engine of the attempt's path failed: the one at address. Without one this stream avoids the whole path.
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

// notStream handles an answer of a target that is not a stream.
func (s *stream) handleNonStream(x *exchange) (done, retry bool) {
	s.runs++
	body, err := x.readBody(s.timeLeft())
	if err != nil || !x.head.FromTarget || x.head.ContentEncoded || s.headWritten {
		s.lastErr, s.lastKind = fmt.Errorf("the answer is not a stream: status %d", x.head.Status), errkind.TargetFailed
		s.recordFault("", s.lastErr.Error())
		return false, s.mayRunAgain()
	}
	if x.head.Status >= http.StatusInternalServerError && s.mayRunAgain() {
		s.lastErr, s.lastKind = errors.New("the target failed with status "+strconv.Itoa(x.head.Status)), errkind.TargetFailed
		return false, true
	}
	s.writeResponse(&bufferedResponse{head: x.head, body: body})
	return true, false
}
