// Package postingstore runs the state machine of core/posting against the table service and the object store.
package postingstore

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/api/engineapi"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/posting"
	"github.com/hyssophoist/hyssophoist/internal/invariant"
	"github.com/hyssophoist/hyssophoist/internal/logging"
	"github.com/hyssophoist/hyssophoist/internal/platform"
	"github.com/hyssophoist/hyssophoist/internal/service"
)

// Defaults of Options, and the timeout of a call whose context has no deadline.
const (
	DefaultRetention       = 48 * time.Hour
	DefaultCallTimeout     = 30 * time.Second
	DefaultMaxPending      = 4096
	DefaultMaxPendingBytes = 32 << 20
	DefaultMaxGroup        = 64
	DefaultOutcomeLinger   = 50 * time.Millisecond

	// maxInlineBytes is the size of the largest response that is stored in the row.
	maxInlineBytes = 64 << 10
	// maxAbandoned is the number of abandoned attempts that are remembered, at about 100 bytes each.
	maxAbandoned  = 16 << 10
	statusTimeout = time.Second
	// maxLookups bounds the lookups of one request for an outcome while other daemons keep changing the row.
	maxLookups = 8
	// The claim of a call times out before the deadline of the call, by 1/claimMarginDivisor of the time left and at
	// most maxClaimMargin, because the router reports an unknown outcome for a posting in progress at its deadline.
	claimMarginDivisor = 4
	maxClaimMargin     = time.Second
)

var log = logging.For("postings")

// Response is a complete response of a service.
type Response = service.Response

// Call is one posting: a service call that must run at most once.
type Call struct {
	Account entity.AccountID
	Service entity.ServiceID
	// Key is the idempotency key, which must not be empty.
	Key string
	// RequestHash identifies method, path and body.
	RequestHash string
	// Attempt must be new: no process has used it before.
	Attempt entity.AttemptID
	Target  entity.Target
	// Send sends the call to Target once. A response with Hyssophoist-Run: not-run or an error with run outcome NotRun
	// means that the target did not begin it, a StaleFencingNumber error that it has seen a higher fencing number.
	Send func(ctx context.Context, fencing uint64) (*Response, error)
	// SendTo sends the call once to another target of the service, the one named in an earlier claim of the key. If it
	// is nil, a key that may have been sent to another target is not sent again.
	SendTo func(ctx context.Context, target entity.Target, fencing uint64) (*Response, error)
}

// StatusClient queries other daemons for the status of their attempts.
type StatusClient interface {
	// ClaimStatus returns the status of an attempt as reported by the process that now runs as daemon. ctx has a
	// deadline.
	ClaimStatus(ctx context.Context, daemon entity.DaemonID, attempt entity.AttemptID) (posting.AttemptStatus, error)
}

// Options configures a Runner. Zero durations and bounds are replaced by the defaults.
type Options struct {
	Daemon      entity.DaemonID
	Incarnation uint64
	Table       platform.TableStore
	Objects     platform.ObjectStore
	// StatusClient queries other daemons. If it is nil, every query fails.
	StatusClient StatusClient
	// Target looks up a target of the configuration in force; nil finds none.
	Target func(entity.TargetID) (entity.Target, bool)
	// Retention is how long an outcome is kept.
	Retention time.Duration
	// Timeout bounds a platform call.
	Timeout time.Duration
	// MaxPending bounds the calls in progress plus the outcomes that are not yet stored, and MaxPendingBytes the
	// total size of these outcomes. Once either is reached, calls are refused as overloaded and do not run.
	MaxPending      int
	MaxPendingBytes int64
	// MaxGroup bounds the rows of one transaction; 1 gives each write a transaction of its own.
	MaxGroup int
	// OutcomeLinger is how long an outcome waits to share a transaction. Negative means not at all.
	OutcomeLinger time.Duration
	Seed          uint64
	Metrics       *Metrics
	// Now returns the time; time.Now if nil.
	Now func() time.Time
}

// Runner runs postings. It is safe for concurrent use.
type Runner struct {
	options Options
	commits *committer
	breaker *breaker
	metrics *Metrics

	mu          sync.Mutex
	attempts    *posting.Attempts
	random      *rand.Rand
	activeCalls int
	pending     map[entity.AttemptID]*pendingOutcome
	// pendingByKey holds the pending outcomes with a response, by row key.
	pendingByKey    map[string]*pendingOutcome
	pendingBytes    int64
	outcomeFinished chan struct{} // closed and replaced when an OutcomeWriter ends
	// stopping is closed when the graceful shutdown begins.
	stopping chan struct{}
}

// New returns a runner.
func New(options Options) *Runner {
	setDefault(&options.Retention, DefaultRetention)
	setDefault(&options.Timeout, platform.DefaultTimeout)
	setDefault(&options.MaxPending, DefaultMaxPending)
	setDefault(&options.MaxPendingBytes, DefaultMaxPendingBytes)
	setDefault(&options.MaxGroup, DefaultMaxGroup)
	setDefault(&options.OutcomeLinger, DefaultOutcomeLinger)
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Metrics == nil {
		options.Metrics = NewMetrics()
	}
	random := rand.New(rand.NewPCG(options.Seed, options.Incarnation))
	return &Runner{
		options: options,
		commits: &committer{
			table: options.Table, maxGroup: options.MaxGroup, linger: max(0, options.OutcomeLinger),
			timeout: options.Timeout, metrics: options.Metrics,
		},
		breaker:         newBreaker(),
		metrics:         options.Metrics,
		attempts:        posting.NewAttempts(maxAbandoned),
		random:          random,
		pending:         make(map[entity.AttemptID]*pendingOutcome),
		pendingByKey:    make(map[string]*pendingOutcome),
		outcomeFinished: make(chan struct{}),
		stopping:        make(chan struct{}),
	}
}

func setDefault[T comparable](value *T, defaultValue T) {
	var zero T
	if *value == zero {
		*value = defaultValue
	}
}

// rowKey returns the key of a posting's row. Account and service are escaped, so that the key is unique.
func rowKey(account entity.AccountID, id entity.ServiceID, key string) string {
	return url.PathEscape(string(account)) + "/" + url.PathEscape(string(id)) + "/" + key
}

// ClaimStatus returns what this daemon knows of one of its attempts.
func (r *Runner) ClaimStatus(attempt entity.AttemptID) posting.AttemptStatus {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts.Status(attempt)
}

// execution is one call in progress.
type execution struct {
	*Runner
	ctx context.Context
	// claimCtx ends before ctx, so that a call whose claim is not answered in time can still return NotRun.
	claimCtx context.Context
	call     Call
	key      string
	machine  *posting.Machine
	started  time.Time
	sent     bool
	// sendErr is the error of the send. The error of the call wraps it.
	sendErr error
}

// Run runs a call, or returns the stored response of its key. Errors have a kind and a run outcome: NotRun means that
// this attempt has not run and never will; after Unknown, a later request with the key returns the final outcome.
func (r *Runner) Run(ctx context.Context, call Call) (*Response, error) {
	if call.Key == "" {
		return nil, errkind.New(errkind.BadRequest, "posting has no idempotency key")
	}
	key := rowKey(call.Account, call.Service, call.Key)
	if response, err, ok := r.pendingResponse(key, call.RequestHash); ok {
		return response, err
	}
	if err := r.begin(call.Attempt); err != nil {
		r.metrics.results.WithLabelValues(string(errkind.Of(err))).Inc()
		return nil, err
	}
	now := r.options.Now()
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = now.Add(DefaultCallTimeout)
	}
	claimCtx, cancel := context.WithDeadline(ctx, deadline.Add(-min(maxClaimMargin, deadline.Sub(now)/claimMarginDivisor)))
	defer cancel()
	e := &execution{Runner: r, ctx: ctx, claimCtx: claimCtx, call: call, key: key, started: now}
	e.machine = posting.New(posting.Call{
		Daemon: r.options.Daemon, Incarnation: r.options.Incarnation, Attempt: call.Attempt,
		RequestHash: call.RequestHash, Target: call.Target.ID, Fenced: call.Target.ChecksFencing,
		CanResendTo: e.canResendTo, Deadline: deadline, Retention: r.options.Retention,
	})
	response, err := e.loop()
	r.end(call.Attempt)
	result := "ok"
	if err != nil {
		result = string(errkind.Of(err))
	}
	r.metrics.results.WithLabelValues(result).Inc()
	return response, err
}

// begin admits a call.
func (r *Runner) begin(attempt entity.AttemptID) error {
	if !r.breaker.allow(r.options.Now()) {
		return errkind.New(errkind.PlatformUnavailable, "circuit breaker for claims is open because the platform fails")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.activeCalls+len(r.pending) >= r.options.MaxPending || r.pendingBytes >= r.options.MaxPendingBytes {
		return errkind.New(errkind.Overloaded,
			"limit of pending postings reached: %d calls in progress and %d outcomes not yet stored",
			r.activeCalls, len(r.pending))
	}
	if !r.attempts.Begin(attempt) {
		return errkind.WithRun(errkind.New(errkind.Internal, "attempt %q was used before", attempt), errkind.NotRun)
	}
	r.activeCalls++
	return nil
}

// end ends a call. Its attempt stays active until its outcome is stored.
func (r *Runner) end(attempt entity.AttemptID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.activeCalls--
	if r.pending[attempt] == nil {
		r.attempts.End(attempt)
	}
}

func (e *execution) loop() (*Response, error) {
	var event posting.Event = posting.Started{}
	for {
		actions := e.machine.Step(e.options.Now(), event)
		if len(actions) == 0 {
			invariant.ReportViolation(invariant.Internal, "state machine of posting %q returned no action for event %T",
				e.key, event)
			return nil, errkind.New(errkind.Internal, "state machine of posting %q returned no action for event %T",
				e.key, event)
		}
		for _, action := range actions {
			switch a := action.(type) {
			case posting.Write:
				event = e.write(a)
			case posting.Read:
				ctx := e.claimCtx
				if e.sent {
					ctx = e.ctx
				}
				event = e.read(ctx, e.key)
			case posting.AskStatus:
				event = e.askStatus(e.claimCtx, a)
			case posting.Send:
				event = e.send(a)
			case posting.Abandon:
				e.abandon(e.call.Attempt)
			case posting.StoreOutcome:
				e.storeOutcome(e.key, a.Outcome)
			case posting.Finish:
				return e.responseFor(a.Answer)
			}
		}
	}
}

func (r *Runner) abandon(attempt entity.AttemptID) {
	r.metrics.abandoned.Inc()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts.Abandon(attempt)
}

func (e *execution) canResendTo(id entity.TargetID) bool {
	if e.call.SendTo == nil || e.options.Target == nil {
		return false
	}
	target, ok := e.options.Target(id)
	return ok && target.ChecksFencing
}

// send sends the posting once and returns what is known of it.
func (e *execution) send(action posting.Send) posting.Event {
	if err := e.ctx.Err(); err != nil {
		kind := errkind.Canceled
		if errors.Is(err, context.DeadlineExceeded) {
			kind = errkind.DeadlineExceeded
		}
		return posting.SendRefused{Kind: kind}
	}
	if e.sent {
		invariant.ReportViolation(invariant.AtMostOnce, "attempt %s of %q was to be sent twice", e.call.Attempt, e.key)
		return posting.SendUnknown{Kind: errkind.InvariantViolated}
	}
	e.sent = true
	e.metrics.claimSeconds.Observe(e.options.Now().Sub(e.started).Seconds())
	response, err := e.deliver(action)
	switch {
	case err == nil && strings.EqualFold(response.Header.Get(engineapi.RunHeader), engineapi.RunNotRun):
		return posting.SendRefused{Kind: errkind.TargetRefused}
	case err == nil:
		encoded, err := json.Marshal(response)
		if err != nil {
			return posting.SendUnknown{Kind: errkind.OutcomeUnknown}
		}
		return posting.Responded{Result: posting.Result{Inline: encoded}}
	}
	e.sendErr = err
	kind := errkind.Of(err)
	switch {
	case kind == errkind.StaleFencingNumber:
		return posting.SendStale{}
	case errkind.RunOf(err) == errkind.NotRun:
		retryAfter, _ := errkind.RetryAfterOf(err)
		return posting.SendRefused{Kind: kind, RetryAfter: retryAfter}
	}
	return posting.SendUnknown{Kind: kind}
}

func (e *execution) deliver(action posting.Send) (*Response, error) {
	if action.Target == e.call.Target.ID {
		return e.call.Send(e.ctx, action.Fencing)
	}
	target, ok := e.options.Target(action.Target)
	if !ok {
		err := errkind.New(errkind.NoCapacity, "target %s is not in the configuration", action.Target)
		return nil, errkind.WithRun(err, errkind.NotRun)
	}
	return e.call.SendTo(e.ctx, target, action.Fencing)
}
