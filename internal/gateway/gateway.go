// Package gateway takes callers' requests on the platform's front, sends them to targets and returns their answers.
//
// It runs the decisions of core/dispatch against sockets. Each request has one goroutine.
package gateway

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net"
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
	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/core/retry"
	"github.com/hyssophoist/hyssophoist/core/routing"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
	"github.com/hyssophoist/hyssophoist/internal/connpool"
	"github.com/hyssophoist/hyssophoist/internal/logging"
)

const (
	// defaultDeadline bounds a request whose caller and route give no time.
	defaultTimeout = 30 * time.Second
	// limitShare is the part of the platform's limit of repetitions that the instances use, since they know each other and
	// the time only roughly.
	retryLimitShare = 0.75
	// assumedInstances is the number of instances among which the limit is shared while this one knows no others. All
	// start at once after a loss of power.
	assumedInstances = 100
	// startRetryAfter is offered while the instance has no configuration yet.
	startupRetryAfter = 500 * time.Millisecond
	// capacityRetryAfter is offered while no targets can serve a request. Lost layers are loaded again in about a second.
	capacityRetryAfter = time.Second
	retryAfterJitter   = 0.5
)

// resultOK is the result of a request that ended well, for logs and metrics; other results are error kinds.
const resultOK = "ok"

var log = logging.For("gateway")

// Options configures a Gateway.
type Options struct {
	Zone  entity.ZoneID
	Codec Codec
	Pool  *connpool.Pool
	// Retries is what all instances together may send beyond the first attempt of each request to a service.
	RetryLimit retry.Limit
	// FirstStart says that no earlier process of this instance can have sent anything.
	FirstStart bool
	// Engines reads reports of engines and reroutes requests.
	Engines Engines
	// Ended, if set, is told of each ended request.
	OnRequestEnd func(kind, result string, duration time.Duration)
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	options Options
	// created is the origin of the time that age returns.
	createdAt     time.Time
	configuration atomic.Pointer[routing.Configuration]
	draining      atomic.Bool

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	// retries holds the repetitions of each service; known is the largest number of instances heard of.
	retryWindows  map[entity.ServiceID]*retry.Window
	peakInstances int
	// started is the start of the process, or earlier if there was none before it.
	retryEpoch time.Time
	inspector  *inspector
	// running holds the requests in progress, streams the attempts at streams.
	requests map[*request]struct{}
	streams  map[*stream]struct{}
}

// New returns a gateway without a configuration.
func New(options Options) *Gateway {
	options.RetryLimit.Ratio *= retryLimitShare
	options.RetryLimit.Slack *= retryLimitShare
	g := &Gateway{
		options: options, createdAt: time.Now(),
		dispatcher:   &dispatch.Dispatcher{Zone: options.Zone, Fleet: fleet.New()},
		retryWindows: make(map[entity.ServiceID]*retry.Window),
		requests:     make(map[*request]struct{}), streams: make(map[*stream]struct{}), retryEpoch: boottime.Now(),
	}
	if options.FirstStart {
		g.retryEpoch = g.retryEpoch.Add(-options.RetryLimit.Span)
	}
	g.inspector = newInspector(g, options.Engines)
	return g
}

// age returns the time since the gateway was made, on the monotonic clock.
func (g *Gateway) age() time.Duration { return time.Since(g.createdAt) }

// Configure puts a configuration in force unless it is older than the one in force.
func (g *Gateway) Configure(configuration *routing.Configuration) bool {
	current := g.configuration.Load()
	if current != nil && current.Version >= configuration.Version {
		return false
	}
	g.configuration.Store(configuration)
	return true
}

// Configuration returns the configuration in force, or nil.
func (g *Gateway) Configuration() *routing.Configuration { return g.configuration.Load() }

// WithFleet calls f with the table of targets, which f must not keep.
func (g *Gateway) WithFleet(f func(*fleet.Fleet)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.dispatcher.Fleet)
}

// OwnLoads implements loadshare.View.
func (g *Gateway) OwnLoads() loadshare.Loads {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.dispatcher.Fleet.OwnLoads(boottime.Now())
}

// SetOtherLoads implements loadshare.View.
func (g *Gateway) SetOtherLoads(loads loadshare.Loads, instances loadshare.Instances) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.Fleet.SetOtherLoads(boottime.Now(), loads, instances.Zone)
	// Instances that are cut off from here still use their part of the limit, so the number only rises.
	g.peakInstances = max(g.peakInstances, instances.All)
}

// Instances returns the largest number of instances that this one has heard of.
func (g *Gateway) PeakInstances() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peakInstances
}

// Paused ends the attempts of requests whose time has passed during a pause of the process, which timers do not count.
func (g *Gateway) HandlePause(pause time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for q := range g.requests {
		q.deadline = q.deadline.Add(-pause)
		if time.Until(q.deadline) <= 0 {
			q.cancel(context.DeadlineExceeded)
		}
	}
}

// Stop makes the gateway ask callers to close their connections after each answer.
func (g *Gateway) StartDraining() { g.draining.Store(true) }

// request is a caller's request in progress.
type request struct {
	*Call
	gateway       *Gateway
	writer        http.ResponseWriter
	configuration *routing.Configuration
	route         *routing.Route
	account       routing.Account
	service       *routing.Service
	arrivedAt     time.Time
	// until is when the caller or the route gives up; it is guarded by the mutex of the gateway.
	deadline time.Time
	// expire ends the attempts of the request.
	cancel context.CancelCauseFunc
	// runs counts the attempts that may have run, sends all attempts.
	runs, sends int
	// last is the failure of the last attempt.
	lastErr error
	// lastKind is the kind with which the request ends if there is no further attempt.
	lastKind errkind.Kind
	// limited says that a further attempt was allowed but for the limit of repetitions.
	limited bool
	// trail names the targets of all attempts, for the log.
	attemptedTargets []string
	// progress describes what the caller got of a stream; nil for other calls.
	stats func() streamStats
}

// progress is what a caller got of a stream.
type streamStats struct {
	events, reroutes         int
	firstEvent, longestPause time.Duration
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	call, err := g.options.Codec.DecodeCall(r)
	if err != nil {
		log.Event("refused request", "kind", errkind.Of(err), "reason", err.Error(), "remote", r.RemoteAddr)
		g.options.Codec.WriteError(w, "", errkind.Of(err), 0)
		return
	}
	if g.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{Call: call, gateway: g, writer: w, arrivedAt: arrived}
	q.serve()
}

func (q *request) serve() {
	if kind, ok := q.admit(); !ok {
		q.endWithError(kind)
		return
	}
	timeout := defaultTimeout
	if q.Timeout > 0 {
		timeout = min(timeout, q.Timeout)
	}
	if q.route.Timeout > 0 {
		timeout = min(timeout, q.route.Timeout)
	}
	q.deadline = q.arrivedAt.Add(timeout)
	ctx, cancel := context.WithDeadline(q.Request.Context(), q.deadline)
	defer cancel()
	ctx, q.cancel = context.WithCancelCause(ctx)
	defer q.cancel(nil)
	q.gateway.addRequest(q)
	defer q.gateway.removeRequest(q)
	if q.route.Kind == routing.Streaming {
		q.serveStream(ctx)
		return
	}
	q.serveBuffered(ctx)
}

// admit reads the request and finds its route, account and service. It returns the kind of refusal otherwise.
func (q *request) admit() (errkind.Kind, bool) {
	configuration := q.gateway.configuration.Load()
	if configuration == nil {
		return errkind.NoConfiguration, false
	}
	if kind, ok := q.readBody(configuration.Limits.BodyBytes); !ok {
		return kind, false
	}
	// The configuration may have changed while the body arrived.
	configuration = q.gateway.configuration.Load()
	q.configuration = configuration
	path, _, _ := strings.Cut(q.Request.RequestURI, "?")
	q.route = configuration.Match(hostWithoutPort(q.Request.Host), path)
	if q.route == nil {
		return errkind.NotFound, false
	}
	account, ok := configuration.Account(q.route, q.APIKey)
	if !ok {
		return errkind.Unauthorized, false
	}
	q.account = account
	id, ok := q.route.Pick(rand.Float64())
	if !ok || configuration.Services[id] == nil {
		return errkind.NoCapacity, false
	}
	q.service = configuration.Services[id]
	return "", true
}

func hostWithoutPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

func (q *request) readBody(limit int64) (errkind.Kind, bool) {
	body := q.Request.Body
	if limit > 0 {
		body = http.MaxBytesReader(q.writer, body, limit)
	}
	content, err := io.ReadAll(body)
	if err == nil {
		q.Body = content
		return "", true
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return errkind.TooLarge, false
	}
	return errkind.BadRequest, false
}

// priority returns the rank of the request; 0 is the most urgent.
func (q *request) priority() int {
	if q.account.HasPriority {
		return q.account.Priority
	}
	return q.route.Priority
}

// left returns the time that the request has.
func (q *request) timeLeft() time.Duration {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	return time.Until(q.deadline)
}

// begin counts a request to its service and as in progress until end.
func (g *Gateway) addRequest(q *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retryWindow(q.service.ID).Request(boottime.Now().Sub(g.retryEpoch))
	g.requests[q] = struct{}{}
}

func (g *Gateway) removeRequest(q *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.requests, q)
}

// repeat takes one repetition from this instance's part of the limit.
func (q *request) takeRetry() bool {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	window, now, instances := q.gateway.retryState(q.service.ID)
	q.limited = !window.Repeat(now, instances)
	return !q.limited
}

// repetitions returns the repetitions to a service, with the time and the number of instances by which they are counted.
func (g *Gateway) retryState(service entity.ServiceID) (window *retry.Window, now time.Duration, instances int) {
	instances = g.peakInstances
	if instances <= 1 {
		instances = assumedInstances
	}
	return g.retryWindow(service), boottime.Now().Sub(g.retryEpoch), instances
}

func (g *Gateway) retryWindow(service entity.ServiceID) *retry.Window {
	window := g.retryWindows[service]
	if window == nil {
		window = retry.NewWindow(g.options.RetryLimit)
		g.retryWindows[service] = window
	}
	return window
}

// failed notes that a target failed an attempt.
func (g *Gateway) recordFailure(id entity.TargetID, requestID, reason string) {
	g.mu.Lock()
	until := g.dispatcher.Fleet.RecordFailure(boottime.Now(), id)
	g.mu.Unlock()
	log.Event("target suspected", "target", id, "request", requestID, "reason", reason,
		"for", until.Sub(boottime.Now()).Round(time.Millisecond))
}

func (g *Gateway) recordSuccess(id entity.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.Fleet.RecordSuccess(id)
}

// refuse ends the request with an answer of the gateway's own.
func (q *request) endWithError(kind errkind.Kind) {
	after := retryAfter(kind)
	if q.Request.Context().Err() == nil {
		q.gateway.options.Codec.WriteError(q.writer, q.ID, kind, after)
	} else {
		kind = errkind.Canceled
	}
	q.recordEnd(string(kind), strconv.Itoa(errkind.ResponseFor(kind).Status))
}

// retryAfter returns when a caller should come back, with jitter so that refused callers do not return together.
func retryAfter(kind errkind.Kind) time.Duration {
	response := errkind.ResponseFor(kind)
	if !response.Retry || response.Run != errkind.NotRun {
		return 0
	}
	after := capacityRetryAfter
	if kind == errkind.NoConfiguration {
		after = startupRetryAfter
	}
	return time.Duration(float64(after) * (1 + retryAfterJitter*rand.Float64()))
}

// ended logs the outcome of the request.
func (q *request) recordEnd(result, status string) {
	duration := time.Since(q.arrivedAt)
	routeName, kind, version := "", "none", int64(0)
	if q.route != nil {
		routeName, kind, version = q.route.Name, q.route.Kind.String(), q.configuration.Version
	}
	reason := ""
	if q.lastErr != nil {
		reason = q.lastErr.Error()
	}
	var stats streamStats
	if q.stats != nil {
		stats = q.stats()
	}
	fields := []any{
		"request", q.ID, "result", result, "status", status, "route", routeName, "kind", kind,
		"account", q.account.ID, "version", version, "ms", duration.Milliseconds(), "sends", q.sends, "runs", q.runs,
		"limited", q.limited, "reroutes", stats.reroutes, "events", stats.events, "firstMs", stats.firstEvent.Milliseconds(),
		"pauseMs", stats.longestPause.Milliseconds(), "targets", strings.Join(q.attemptedTargets, ";"), "reason", reason,
	}
	if result == resultOK {
		log.Routine("request ended", fields...)
	} else {
		log.Event("request ended", fields...)
	}
	if q.gateway.options.OnRequestEnd != nil {
		q.gateway.options.OnRequestEnd(kind, result, duration)
	}
}
