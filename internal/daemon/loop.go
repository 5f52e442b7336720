package daemon

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/message"
	"github.com/hyssophoist/hyssophoist/core/router"
	"github.com/hyssophoist/hyssophoist/internal/callerapi"
	"github.com/hyssophoist/hyssophoist/internal/engine"
	"github.com/hyssophoist/hyssophoist/internal/invariant"
	"github.com/hyssophoist/hyssophoist/internal/logging"
	"github.com/hyssophoist/hyssophoist/internal/metrics"
	"github.com/hyssophoist/hyssophoist/internal/service"
)

// TickInterval is the maximum time between two steps of the router.
const TickInterval = 10 * time.Millisecond

var log = logging.For("daemon")

// LoopOptions configures a Loop.
type LoopOptions struct {
	Daemon entity.DaemonID
	Zone   entity.ZoneID
	// Incarnation differs between runs of the same daemon; request ids contain it.
	Incarnation uint64
	Seed        uint64
	Engines     *engine.Client
	Services    *service.Client
	// Postings runs calls that are not idempotent; they are refused if it is nil.
	Postings PostingRunner
	Metrics  *metrics.Metrics
}

// Loop is the event loop that owns the router: the goroutine of Run passes inputs to the router and carries out its
// commands. All other exported methods may be called from any goroutine. Except for View and Call they do not wait for
// the router.
type Loop struct {
	options       LoopOptions
	router        *router.Router
	requestNumber atomic.Uint64
	config        atomic.Pointer[entity.Configuration]
	stopped       chan struct{} // closed on StopCompleted
	notify        chan struct{} // wakes Run before the next tick
	attemptWG     sync.WaitGroup

	mu     sync.Mutex
	inbox  []message.Input
	opened []*session // sessions whose RequestArrived is in the inbox
	views  []func()   // calls of View to run after the next step

	// The following fields are used only by the goroutine of Run.
	sessions        map[entity.RequestID]*session
	runningAttempts map[entity.AttemptID]*attempt
	targets         map[entity.TargetID]entity.Target
}

// NewLoop returns a loop that is not running yet.
func NewLoop(options LoopOptions) *Loop {
	l := &Loop{
		options:         options,
		stopped:         make(chan struct{}),
		notify:          make(chan struct{}, 1),
		sessions:        make(map[entity.RequestID]*session),
		runningAttempts: make(map[entity.AttemptID]*attempt),
		targets:         make(map[entity.TargetID]entity.Target),
	}
	l.router = router.New(router.Options{
		Daemon: options.Daemon, Zone: options.Zone, Seed: options.Seed,
		OnViolation: func(v router.Violation) {
			invariant.ReportViolation(invariantOf(v.Invariant), "%s: %s", v.Invariant, v.Message)
		},
	})
	return l
}

func invariantOf(id router.Invariant) invariant.ID {
	switch id {
	case router.InvariantChainCoversLayers:
		return invariant.LayersOnce
	case router.InvariantNoLeavingTarget:
		return invariant.NoWorkToLeavingTarget
	case router.InvariantOneOutcome:
		return invariant.ResponseIntegrity
	case router.InvariantRunsOnce:
		return invariant.AtMostOnce
	case router.InvariantVersionNotLower:
		return invariant.MonotonicConfiguration
	}
	return invariant.Internal
}

// Configuration returns the configuration in force, or nil if there is none. It must not be modified.
func (l *Loop) Configuration() *entity.Configuration { return l.config.Load() }

// Stopped returns a channel that is closed when, after StopRequested, no request is in progress any more.
func (l *Loop) Stopped() <-chan struct{} { return l.stopped }

// Post queues inputs for the router.
func (l *Loop) Post(inputs ...message.Input) { l.post(nil, inputs...) }

func (l *Loop) post(opened *session, inputs ...message.Input) {
	l.mu.Lock()
	l.inbox = append(l.inbox, inputs...)
	if opened != nil {
		l.opened = append(l.opened, opened)
	}
	l.mu.Unlock()
	l.wake()
}

func (l *Loop) wake() {
	select {
	case l.notify <- struct{}{}:
	default:
	}
}

// View runs f with the router between two steps and waits until f has returned. f must not retain the router. The error
// kind is DeadlineExceeded if ctx ends first.
func (l *Loop) View(ctx context.Context, f func(*router.Router)) error {
	done := make(chan struct{})
	l.mu.Lock()
	l.views = append(l.views, func() { f(l.router); close(done) })
	l.mu.Unlock()
	l.wake()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return errkind.Wrap(errkind.DeadlineExceeded, ctx.Err(), "the router did not respond")
	}
}

// Run steps the router until ctx ends. It then cancels the attempts in progress and waits until they have ended.
func (l *Loop) Run(ctx context.Context) {
	ticker := time.NewTicker(TickInterval)
	defer ticker.Stop()
	var buffer []message.Input
	for {
		select {
		case <-ctx.Done():
			l.abort()
			return
		case <-l.notify:
		case <-ticker.C:
		}
		buffer = l.step(buffer)
	}
}

// step passes the inputs in the inbox to the router and carries out its commands. The inbox continues with buffer; the
// slice that held the inputs is returned as the next buffer.
func (l *Loop) step(buffer []message.Input) []message.Input {
	l.mu.Lock()
	inputs, opened, views := l.inbox, l.opened, l.views
	l.inbox, l.opened, l.views = buffer[:0], nil, nil
	l.mu.Unlock()
	for _, s := range opened {
		l.sessions[s.id] = s
	}
	for _, input := range inputs {
		switch in := input.(type) {
		case message.ConfigurationChanged:
			l.applyConfiguration(in.Configuration)
		case message.AttemptFinished:
			delete(l.runningAttempts, in.Attempt)
		case message.AttemptFailed:
			delete(l.runningAttempts, in.Attempt)
		}
	}
	start := time.Now()
	commands := l.router.Step(start, inputs)
	l.options.Metrics.StepSeconds.Observe(time.Since(start).Seconds())
	for _, command := range commands {
		l.execute(command)
	}
	for _, view := range views {
		view()
	}
	clear(inputs)
	return inputs
}

// applyConfiguration stores a configuration and its targets for use outside the router. Like the router, it ignores a
// version that is not higher than the current one.
func (l *Loop) applyConfiguration(c *entity.Configuration) {
	current := l.config.Load()
	if c == nil || current != nil && c.Version <= current.Version {
		return
	}
	clear(l.targets)
	keep := make(map[string]bool)
	for _, target := range Targets(c) {
		l.targets[target.ID] = target
		keep[target.URL] = true
	}
	l.options.Engines.Retain(keep)
	l.config.Store(c)
	l.options.Metrics.ConfigurationVersion.Set(float64(c.Version))
	log.Infof("configuration version %d with preset %q is in force", c.Version, c.Preset.Name)
}

// Targets returns the targets of a configuration: those of the preset and those added by join marks. The target of a
// join mark replaces a target of the preset with the same id.
func Targets(c *entity.Configuration) []entity.Target {
	targets := slices.Clone(c.Preset.Targets)
	for _, mark := range c.Marks {
		if mark.Target == nil || mark.State != entity.JoinMark {
			continue
		}
		same := func(t entity.Target) bool { return t.ID == mark.Target.ID }
		targets = append(slices.DeleteFunc(targets, same), *mark.Target)
	}
	return targets
}

func (l *Loop) execute(command message.Command) {
	switch c := command.(type) {
	case message.StartAttempt:
		l.startAttempt(c)
	case message.CancelAttempt:
		l.cancelAttempt(c)
	case message.RefuseRequest:
		l.endSession(c.Request, func(s *session) {
			err := errkind.WithRun(errkind.New(c.Kind, "%s", s.refusalMessage(c.Kind, c.Message)), c.Run)
			if c.RetryAfter > 0 {
				err = errkind.WithRetryAfter(err, c.RetryAfter)
			}
			s.refuse(err)
		})
	case message.FinishRequest:
		l.endSession(c.Request, func(s *session) {
			if !invariant.Check(s.isComplete(), invariant.ResponseIntegrity,
				"request %s finished without a complete response", s.id) {
				s.refuse(errkind.New(errkind.InvariantViolated, "the response is incomplete"))
			}
		})
	case message.StopCompleted:
		close(l.stopped)
	}
}

// endSession calls end with the session of a request and removes the session. It is called once for each request, since
// the router gives each request exactly one outcome.
func (l *Loop) endSession(id entity.RequestID, end func(*session)) {
	s, ok := l.sessions[id]
	if !invariant.Check(ok, invariant.Internal, "outcome for request %s, which is not in progress", id) {
		return
	}
	end(s)
	delete(l.sessions, id)
	kind := "completion"
	if s.call != nil {
		kind = "service_call"
	}
	l.options.Metrics.Requests.WithLabelValues(kind, s.resultLabel()).Inc()
	l.options.Metrics.InProgress.Dec()
}

// abort cancels all attempts, ends all requests with an error and waits until the attempts have ended. After a graceful
// shutdown no request is left, so any that remains violates invariant.GracefulStop.
func (l *Loop) abort() {
	for _, a := range l.runningAttempts {
		a.cancel()
	}
	for _, s := range l.sessions {
		invariant.ReportViolation(invariant.GracefulStop, "request %s was still in progress when the event loop stopped", s.id)
		s.refuse(errkind.WithRun(errkind.New(errkind.Stopping, "this daemon has stopped"), errkind.Unknown))
	}
	l.attemptWG.Wait()
}

// openSession creates the session of a new request with create and queues its arrival for the router.
func (l *Loop) openSession(create func(id entity.RequestID) (*session, message.RequestArrived)) *session {
	id := entity.RequestID(fmt.Sprintf("%s.%x.%d", l.options.Daemon, l.options.Incarnation, l.requestNumber.Add(1)))
	s, arrived := create(id)
	l.options.Metrics.InProgress.Inc()
	l.post(s, arrived)
	return s
}

// Complete implements callerapi.Dispatcher.
func (l *Loop) Complete(completion callerapi.Completion) (callerapi.Stream, error) {
	// Engines identify the blocks of their prefix caches by the same hashes.
	hashes := engineapi.PrefixHashes(completion.Prompt)
	return l.openSession(func(id entity.RequestID) (*session, message.RequestArrived) {
		s := newSession(id, func() { l.Post(message.RequestCanceled{Request: id}) })
		s.completion = &completion
		return s, message.RequestArrived{
			Request: id, Account: completion.Account, Kind: message.Completion, Model: completion.Model,
			PromptTokens: len(completion.Prompt), MaxTokens: completion.MaxTokens, PrefixHashes: hashes,
			Idempotent: true, Priority: completion.Priority, Deadline: completion.Deadline,
		}
	}), nil
}

// Call implements callerapi.Dispatcher.
func (l *Loop) Call(ctx context.Context, call callerapi.ServiceCall) (*service.Response, error) {
	if !call.Idempotent && l.options.Postings == nil {
		return nil, errkind.New(errkind.PlatformUnavailable, "this daemon cannot record non-idempotent calls")
	}
	s := l.openSession(func(id entity.RequestID) (*session, message.RequestArrived) {
		s := newSession(id, func() { l.Post(message.RequestCanceled{Request: id}) })
		s.call = &call
		return s, message.RequestArrived{
			Request: id, Account: call.Account, Kind: message.ServiceCall, Service: call.Service,
			Idempotent: call.Idempotent, Priority: call.Priority, Deadline: call.Deadline,
		}
	})
	select {
	case <-s.done:
	case <-ctx.Done():
		s.disconnect()
		<-s.done
	}
	return s.response, s.err
}

// Outcome implements callerapi.Dispatcher.
func (l *Loop) Outcome(ctx context.Context, account entity.AccountID, id entity.ServiceID,
	key string) (*service.Response, error) {
	if l.options.Postings == nil {
		return nil, errkind.New(errkind.PlatformUnavailable, "this daemon cannot read recorded outcomes")
	}
	return l.options.Postings.Outcome(ctx, account, id, key)
}
