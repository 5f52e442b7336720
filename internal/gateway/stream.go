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
	pathWait    = time.Second
	pathRetry   = 100 * time.Millisecond
	eventBuffer = 2 << 10
	// maxShedTime tells an engine that refuses by itself, which it does at once, from one that has waited for a lost engine.
	maxShedTime = time.Second
)

var errNoPath = errors.New("no engines cover all layers")

// stream is a streaming request in progress.
type stream struct {
	*request
	size dispatch.GenerationSize
	// avoid holds the engines that failed this stream, path is the path of the attempt in progress and attempt its context.
	// They are guarded by the mutex of the gateway.
	avoid   map[entity.TargetID]bool
	path    *dispatch.Path
	attempt context.Context
	// reroutes counts the changes of path within an attempt; rerouting is held while one is made.
	reroutes  atomic.Int32
	rerouting sync.Mutex
	// resumable says that another attempt may follow the one in progress.
	resumable bool
	// begun says that the head of the answer has been sent, with the first event.
	begun bool
	// lastEvent is the id of the last event passed on, events their number.
	lastEvent int64
	events    int
	control   *http.ResponseController
	watchdog  *watchdog
	// moving says that an event has been passed on, movedAt when the last one was, in nanoseconds of the
	// gateway's age.
	moving  atomic.Bool
	movedAt atomic.Int64
	// firstEvent is the time from arrival to the first event, longestPause the longest pause behind it.
	firstEvent, longestPause time.Duration
	lastAt                   time.Time
}

// serveStream serves a request whose answer is passed on event by event. A stream that breaks off goes on at another path
// if its route allows it.
func (q *request) serveStream(ctx context.Context) {
	s := &stream{
		request: q, avoid: make(map[entity.TargetID]bool), lastEvent: q.LastEvent,
		control: http.NewResponseController(q.writer),
	}
	q.progress = func() progress {
		return progress{events: s.events, reroutes: int(s.reroutes.Load()), first: s.firstEvent, longestPause: s.longestPause}
	}
	if q.service.Engine == nil {
		q.refuse(errkind.NoCapacity)
		return
	}
	s.size = dispatch.EstimateGeneration(q.service.Engine, q.PromptTokens, q.ExpectedTokens, q.MaxTokens)
	for {
		done, again := s.try(ctx)
		if done {
			return
		}
		if !again || ctx.Err() != nil || q.sends >= maxSends || !q.repeat() {
			s.fail()
			return
		}
	}
}

// fail ends a stream for which no further attempt is made.
func (s *stream) fail() {
	switch {
	case s.begun:
		s.ended(string(unknownOr(s.lastKind)), "200")
		// The caller must not take what it has for the whole answer.
		panic(http.ErrAbortHandler)
	case s.runs > 0:
		s.refuse(unknownOr(s.lastKind))
	default:
		s.refuse(errkind.NoCapacity)
	}
}

// try sends the stream along one path. done says that the request has ended, again that another attempt is allowed.
func (s *stream) try(ctx context.Context) (done, again bool) {
	path := s.awaitPath(ctx)
	if path == nil {
		s.last, s.lastKind = errNoPath, errkind.NoCapacity
		return false, false
	}
	defer s.release()
	s.sends++
	s.trail = append(s.trail, pathName(path))
	s.resumable = s.route.Repeatable() && s.runs+1 < s.route.MaxAttempts
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	s.enlist(attemptCtx)
	s.watchdog = s.gateway.inspector.watch(attemptCtx, watched{
		requestID: s.ID, targets: s.targets, silent: s.silent, patience: s.patience, reroute: s.reroute, giveUp: cancel,
	})
	defer s.watchdog.stop()
	sent := time.Now()
	x, err := s.gateway.send(attemptCtx, s.newAttempt(path), false, s.left())
	if err != nil {
		return s.broken(ctx, err)
	}
	if x.reply.NotRun {
		x.abort()
		s.refused(ctx, x.reply, time.Since(sent))
		s.last, s.lastKind = errors.New("the path did not run the request"), errkind.Overloaded
		return false, true
	}
	if x.reply.Status != http.StatusOK || !x.reply.Genuine || x.reply.Encoded {
		return s.notStream(x)
	}
	x.deadline(s.left())
	err = s.copyEvents(x)
	if err == nil {
		s.runs++
		x.finish()
		s.begin(x) // also an answer without events bears the target's mark
		s.gateway.succeeded(path.Stages[0].Target.ID)
		s.ended(resultOK, "200")
		return true, false
	}
	x.abort()
	return s.broken(ctx, err)
}

// awaitPath returns a path, and waits a little for one if engines are missing or have just refused the stream. It returns
// nil if there is none in that time.
func (s *stream) awaitPath(ctx context.Context) *dispatch.Path {
	for waited := time.Duration(0); ; waited += pathRetry {
		if path := s.choosePath(); path != nil || waited >= pathWait || ctx.Err() != nil {
			return path
		}
		// An engine that refused may have room again, and there may be no other.
		s.gateway.mu.Lock()
		clear(s.avoid)
		s.gateway.mu.Unlock()
		timer := time.NewTimer(pathRetry)
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
func (s *stream) enlist(ctx context.Context) {
	s.gateway.mu.Lock()
	defer s.gateway.mu.Unlock()
	s.attempt = ctx
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
		Call: s.Call, Target: path.Stages[0].Target, Account: s.account.ID, Left: s.left(), LastEvent: s.lastEvent,
		Urgency: min(9, max(0, s.priority())),
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

func pathName(path *dispatch.Path) string {
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
func (s *stream) patience() time.Duration {
	switch {
	case !s.resumable:
		return s.left()
	case s.moving.Load():
		return eventTimeout
	default:
		return firstEventTimeout
	}
}

// copyEvents passes events on until the stream ends. Only whole events are passed on.
func (s *stream) copyEvents(x *exchange) error {
	events := eventReader{in: bufio.NewReaderSize(x.response.Body, eventBuffer)}
	for {
		e, err := events.read()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if e.id >= 0 && s.lastEvent >= 0 && e.id != s.lastEvent+1 {
			return fmt.Errorf("event %d follows event %d", e.id, s.lastEvent)
		}
		if err := s.pass(x, e); err != nil {
			return err
		}
	}
}

// pass writes one event to the caller, with the head of the first attempt's answer before the first one.
func (s *stream) pass(x *exchange, e event) error {
	now := time.Now()
	s.watchdog.moved()
	s.moving.Store(true)
	s.movedAt.Store(int64(s.gateway.age()))
	if !s.begun {
		s.firstEvent = now.Sub(s.arrived)
		s.begin(x)
	} else {
		s.longestPause = max(s.longestPause, now.Sub(s.lastAt))
	}
	s.lastAt = now
	if _, err := s.writer.Write(e.raw); err != nil {
		return err
	}
	if err := s.control.Flush(); err != nil {
		return err
	}
	s.events++
	if e.id >= 0 {
		s.lastEvent = e.id
	}
	return nil
}

// begin writes the head of the answer, unless an earlier attempt has.
func (s *stream) begin(x *exchange) {
	if s.begun {
		return
	}
	s.begun = true
	copyHeader(s.writer.Header(), x.reply.Header)
	s.writer.WriteHeader(x.reply.Status)
}

// broken handles an attempt that ended without a whole answer.
func (s *stream) broken(ctx context.Context, err error) (done, again bool) {
	s.last = err
	if s.Request.Context().Err() != nil {
		s.ended(string(errkind.Canceled), "")
		return true, false
	}
	if errors.Is(err, errNotSent) {
		s.lastKind = errkind.NoCapacity
		s.blame(s.currentPath().Stages[0].Target.Address, err.Error())
		return false, true
	}
	s.runs++
	s.lastKind = unknownKind(err, ctx)
	faults := s.watchdog.stop()
	for _, fault := range faults {
		s.last = fmt.Errorf("no progress, engine %s is at fault", fault.ID)
		s.blame(fault.Address, s.last.Error())
	}
	if len(faults) == 0 {
		s.blame("", err.Error())
	}
	log.Event("stream interrupted", "request", s.ID, "events", s.events, "lastEvent", s.lastEvent, "path", pathName(s.currentPath()),
		"reason", s.last.Error(), "resume", s.mayRunAgain())
	return false, s.mayRunAgain()
}

// refused notes which engine did not take the request, after the time that its answer took. One that refuses at once has no
// room, is leaving or is lost; its report tells.
func (s *stream) refused(ctx context.Context, reply Reply, after time.Duration) {
	target, found := s.currentPath().TargetByAddress(reply.FaultAddress)
	if !found || reply.Status != http.StatusServiceUnavailable || after > maxShedTime {
		s.blame(reply.FaultAddress, "the path did not run the request")
		return
	}
	s.gateway.mu.Lock()
	s.avoid[target.ID] = true
	s.gateway.dispatcher.Fleet.RecordOverload(boottime.Now(), target.ID)
	s.gateway.mu.Unlock()
	log.Event("engine refused a stream", "target", target.ID, "request", s.ID, "ms", after.Milliseconds())
	go s.gateway.explainRefusal(context.WithoutCancel(ctx), target, s.ID)
}

// explainRefusal suspects an engine that refused a stream although it has room: it is leaving, which its entry may not show
// while the store is down, or gives up layers.
func (g *Gateway) explainRefusal(ctx context.Context, target fleet.Target, requestID string) {
	report, err := g.inspector.inspect(ctx, target)
	if err == nil && !report.Full() {
		g.failed(target.ID, requestID, "refused a stream although it has room")
	}
}

// blame notes which engine of the attempt's path failed: the one at address. Without one this stream avoids the whole path.
func (s *stream) blame(address, reason string) {
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
		s.gateway.failed(target.ID, s.ID, reason)
	}
}

// notStream handles an answer of a target that is not a stream.
func (s *stream) notStream(x *exchange) (done, again bool) {
	s.runs++
	body, err := x.body(s.left())
	if err != nil || !x.reply.Genuine || x.reply.Encoded || s.begun {
		s.last, s.lastKind = fmt.Errorf("the answer is not a stream: status %d", x.reply.Status), errkind.TargetFailed
		s.blame("", s.last.Error())
		return false, s.mayRunAgain()
	}
	if x.reply.Status >= http.StatusInternalServerError && s.mayRunAgain() {
		s.last, s.lastKind = errors.New("the target failed with status "+strconv.Itoa(x.reply.Status)), errkind.TargetFailed
		return false, true
	}
	s.deliver(&answer{reply: x.reply, body: body})
	return true, false
}
