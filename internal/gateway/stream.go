package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssophoist/hyssophoist/core/dispatch"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/fleet"
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
	begunWait     = 3 * time.Second
	extraRunWait  = time.Second
	maxBegunSends = 16
)

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
