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
	defaultDeadline = 30 * time.Second
	// limitShare is the part of the platform's limit of repetitions that the instances use, since they know each other and
	// the time only roughly.
	limitShare = 0.75
	// assumedInstances is the number of instances among which the limit is shared while this one knows no others. All
	// start at once after a loss of power.
	assumedInstances = 100
	// startRetryAfter is offered while the instance has no configuration yet.
	startRetryAfter = 500 * time.Millisecond
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
	Retries retry.Limit
	// FirstStart says that no earlier process of this instance can have sent anything.
	FirstStart bool
	// Engines reads reports of engines and reroutes requests.
	Engines Engines
	// Ended, if set, is told of each ended request.
	Ended func(kind, result string, duration time.Duration)
}

// Gateway serves callers. It is safe for concurrent use.
type Gateway struct {
	options Options
	// created is the origin of the time that age returns.
	created       time.Time
	configuration atomic.Pointer[routing.Configuration]
	stopping      atomic.Bool

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	// retries holds the repetitions of each service; known is the largest number of instances heard of.
	retries map[entity.ServiceID]*retry.Window
	known   int
	// started is the start of the process, or earlier if there was none before it.
	started   time.Time
	inspector *inspector
	// running holds the requests in progress, streams the attempts at streams.
	running map[*request]struct{}
	streams map[*stream]struct{}
}

// New returns a gateway without a configuration.
func New(options Options) *Gateway {
	options.Retries.Ratio *= limitShare
	options.Retries.Slack *= limitShare
	g := &Gateway{
		options: options, created: time.Now(),
		dispatcher: &dispatch.Dispatcher{Zone: options.Zone, Fleet: fleet.New()},
		retries:    make(map[entity.ServiceID]*retry.Window),
		running:    make(map[*request]struct{}), streams: make(map[*stream]struct{}), started: boottime.Now(),
	}
	if options.FirstStart {
		g.started = g.started.Add(-options.Retries.Span)
	}
	g.inspector = newInspector(g, options.Engines)
	return g
}

// age returns the time since the gateway was made, on the monotonic clock.
func (g *Gateway) age() time.Duration { return time.Since(g.created) }

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
	g.known = max(g.known, instances.All)
}

// Instances returns the largest number of instances that this one has heard of.
func (g *Gateway) Instances() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.known
}

// Paused ends the attempts of requests whose time has passed during a pause of the process, which timers do not count.
func (g *Gateway) Paused(pause time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for q := range g.running {
		q.until = q.until.Add(-pause)
		if time.Until(q.until) <= 0 {
			q.expire(context.DeadlineExceeded)
		}
	}
}

// Stop makes the gateway ask callers to close their connections after each answer.
func (g *Gateway) Stop() { g.stopping.Store(true) }

// request is a caller's request in progress.
type request struct {
	*Call
	gateway       *Gateway
	writer        http.ResponseWriter
	configuration *routing.Configuration
	route         *routing.Route
	account       routing.Account
	service       *routing.Service
	arrived       time.Time
	// until is when the caller or the route gives up; it is guarded by the mutex of the gateway.
	until time.Time
	// expire ends the attempts of the request.
	expire context.CancelCauseFunc
	// runs counts the attempts that may have run, sends all attempts.
	runs, sends int
	// last is the failure of the last attempt.
	last error
	// lastKind is the kind with which the request ends if there is no further attempt.
	lastKind errkind.Kind
	// limited says that a further attempt was allowed but for the limit of repetitions.
	limited bool
	// trail names the targets of all attempts, for the log.
	trail []string
	// progress describes what the caller got of a stream; nil for other calls.
	progress func() progress
}

// progress is what a caller got of a stream.
type progress struct {
	events, reroutes    int
	first, longestPause time.Duration
}

// ServeHTTP implements http.Handler.
func (g *Gateway) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	call, err := g.options.Codec.DecodeCall(r)
	if err != nil {
		log.Event("refused request", "kind", errkind.Of(err), "reason", err.Error(), "remote", r.RemoteAddr)
		g.options.Codec.WriteRefusal(w, "", errkind.Of(err), 0)
		return
	}
	if g.stopping.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{Call: call, gateway: g, writer: w, arrived: arrived}
	q.serve()
}

func (q *request) serve() {
	if kind, ok := q.admit(); !ok {
		q.refuse(kind)
		return
	}
	deadline := defaultDeadline
	if q.Deadline > 0 {
		deadline = min(deadline, q.Deadline)
	}
	if q.route.Timeout > 0 {
		deadline = min(deadline, q.route.Timeout)
	}
	q.until = q.arrived.Add(deadline)
	ctx, cancel := context.WithDeadline(q.Request.Context(), q.until)
	defer cancel()
	ctx, q.expire = context.WithCancelCause(ctx)
	defer q.expire(nil)
	q.gateway.begin(q)
	defer q.gateway.end(q)
	if q.route.Kind == routing.Streaming {
		q.serveStream(ctx)
		return
	}
	q.servePlain(ctx)
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
	account, ok := configuration.Account(q.route, q.Key)
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
func (q *request) left() time.Duration {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	return time.Until(q.until)
}

// begin counts a request to its service and as in progress until end.
func (g *Gateway) begin(q *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.window(q.service.ID).RecordRequest(boottime.Now().Sub(g.started))
	g.running[q] = struct{}{}
}

func (g *Gateway) end(q *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.running, q)
}

// repeat takes one repetition from this instance's part of the limit.
func (q *request) repeat() bool {
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	window, now, instances := q.gateway.repetitions(q.service.ID)
	q.limited = !window.TryAcquire(now, instances)
	return !q.limited
}

// repetitions returns the repetitions to a service, with the time and the number of instances by which they are counted.
func (g *Gateway) repetitions(service entity.ServiceID) (window *retry.Window, now time.Duration, instances int) {
	instances = g.known
	if instances <= 1 {
		instances = assumedInstances
	}
	return g.window(service), boottime.Now().Sub(g.started), instances
}

func (g *Gateway) window(service entity.ServiceID) *retry.Window {
	window := g.retries[service]
	if window == nil {
		window = retry.NewWindow(g.options.Retries)
		g.retries[service] = window
	}
	return window
}

// failed notes that a target failed an attempt.
func (g *Gateway) failed(id entity.TargetID, requestID, reason string) {
	g.mu.Lock()
	until := g.dispatcher.Fleet.RecordFailure(boottime.Now(), id)
	g.mu.Unlock()
	log.Event("target suspected", "target", id, "request", requestID, "reason", reason,
		"for", until.Sub(boottime.Now()).Round(time.Millisecond))
}

func (g *Gateway) succeeded(id entity.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.Fleet.RecordSuccess(id)
}

// refuse ends the request with an answer of the gateway's own.
func (q *request) refuse(kind errkind.Kind) {
	after := retryAfter(kind)
	if q.Request.Context().Err() == nil {
		q.gateway.options.Codec.WriteRefusal(q.writer, q.ID, kind, after)
	} else {
		kind = errkind.Canceled
	}
	q.ended(string(kind), strconv.Itoa(errkind.ResponseFor(kind).Status))
}

// retryAfter returns when a caller should come back, with jitter so that refused callers do not return together.
func retryAfter(kind errkind.Kind) time.Duration {
	answer := errkind.ResponseFor(kind)
	if !answer.Retry || answer.Run != errkind.NotRun {
		return 0
	}
	after := capacityRetryAfter
	if kind == errkind.NoConfiguration {
		after = startRetryAfter
	}
	return time.Duration(float64(after) * (1 + retryAfterJitter*rand.Float64()))
}

// ended logs the outcome of the request.
func (q *request) ended(result, status string) {
	duration := time.Since(q.arrived)
	routeName, kind, version := "", "none", int64(0)
	if q.route != nil {
		routeName, kind, version = q.route.Name, q.route.Kind.String(), q.configuration.Version
	}
	reason := ""
	if q.last != nil {
		reason = q.last.Error()
	}
	var got progress
	if q.progress != nil {
		got = q.progress()
	}
	fields := []any{
		"request", q.ID, "result", result, "status", status, "route", routeName, "kind", kind,
		"account", q.account.ID, "version", version, "ms", duration.Milliseconds(), "sends", q.sends, "runs", q.runs,
		"limited", q.limited, "reroutes", got.reroutes, "events", got.events, "firstMs", got.first.Milliseconds(),
		"pauseMs", got.longestPause.Milliseconds(), "targets", strings.Join(q.trail, ";"), "reason", reason,
	}
	if result == resultOK {
		log.Routine("request ended", fields...)
	} else {
		log.Event("request ended", fields...)
	}
	if q.gateway.options.Ended != nil {
		q.gateway.options.Ended(kind, result, duration)
	}
}
