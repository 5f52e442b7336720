// Package gateway is the reverse proxy between callers and targets: it accepts callers' requests, sends them to targets
// and returns the responses.
//
// It carries out the routing decisions of core/dispatch over network connections. One goroutine serves each request.
package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/hyssophoist/hyssophoist/core/dispatch"
	"github.com/hyssophoist/hyssophoist/core/drain"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/isolation"
	"github.com/hyssophoist/hyssophoist/core/linkshare"
	"github.com/hyssophoist/hyssophoist/core/loadshare"
	"github.com/hyssophoist/hyssophoist/core/quarantine"
	"github.com/hyssophoist/hyssophoist/core/retry"
	"github.com/hyssophoist/hyssophoist/core/retrydelay"
	"github.com/hyssophoist/hyssophoist/core/routing"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
	"github.com/hyssophoist/hyssophoist/internal/connpool"
	"github.com/hyssophoist/hyssophoist/internal/logging"
)

const (
	// maxTimeout is the maximum time of a request; callers and routes can only shorten it.
	maxTimeout = 30 * time.Second
	// responseWriteTimeout limits the time to write a whole response to a caller, and streamWriteTimeout the time after
	// its deadline for which a stream waits for a caller that does not read.
	responseWriteTimeout = 10 * time.Second
	streamWriteTimeout   = time.Second
)

// resultOK is the result, in logs and metrics, of a request whose complete response was forwarded to the caller,
// whatever the response's status. All other results are error kinds.
const resultOK = "ok"

// errConnectionShed is the cause of a request that is not passed on since its connection was closed.
var errConnectionShed = errors.New("the connection was closed for want of descriptors or memory")

var log = logging.For("gateway")

// Options configures a Gateway.
type Options struct {
	Zone  entity.ZoneID
	Codec Codec
	Pool  *connpool.Pool
	// RetryLimit limits the retries that all instances together may send to a service.
	RetryLimit retry.Limit
	// FirstStart reports whether no earlier process of this instance can have sent any requests.
	FirstStart bool
	// Engines reads the reports of engines and reroutes requests.
	Engines Engines
	// BodyMemory bounds the bytes of response bodies that are buffered at the same time, RequestBodyMemory those of request
	// bodies.
	BodyMemory, RequestBodyMemory int64
	// OnRequestEnd, if set, is called at the end of each request.
	OnRequestEnd func(kind, result string, duration time.Duration)
	// OnStreamBroken, if set, is called when a begun stream is closed before its end, with the reason why no further
	// attempt was made.
	OnStreamBroken func(reason string)
	// OnRefusal, if set, is called for each stream that is refused for lack of capacity, with its rank among the priorities of
	// its service.
	OnRefusal func(rank int)
}

// Gateway is an HTTP handler that serves callers. It is safe for concurrent use.
type Gateway struct {
	options Options
	// createdAt is the origin of the time that age returns.
	createdAt     time.Time
	configuration atomic.Pointer[routing.Configuration]
	// stop is set once the instance has been asked to stop.
	stop   atomic.Pointer[drain.Stop]
	bodies bodyBudget
	// requestBodies is the memory for the bodies of requests in progress.
	requestBodies *requestBodyMemory
	// onCrash is set by OnCrash; it can be nil.
	onCrash func()
	// onPassOn is set by OnPassOn; it can be nil.
	onPassOn func(*http.Request) bool

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher
	// retryWindows counts the requests and retries of each service; peakInstances is the largest number of instances
	// seen so far.
	retryWindows  map[entity.ServiceID]*retry.Window
	peakInstances int
	// retryDelays estimates the retry delays of each service.
	retryDelays map[entity.ServiceID]*retrydelay.Estimator
	// collector reports whether this instance collects the loads of its zone.
	collector bool
	// retryEpoch is the origin of the time that is passed to retryWindows: the start of the process, or one span
	// earlier if there was no process before it, which makes the full slack of the retry limit available at once.
	retryEpoch time.Time
	inspector  *inspector
	quarantine *quarantine.Table
	// requests holds the requests in progress; streams holds those that have a streaming attempt in progress.
	requests map[*request]struct{}
	streams  map[*stream]struct{}
	// shedders holds the overload of each service.
	shedders map[entity.ServiceID]*shedder
	// endedChecks and zoneChecks merge concurrent checks whether a target has ended and whether its zone is reachable;
	// endedChecksAt is when the recent ones of the former began.
	endedChecks, zoneChecks singleflight.Group
	endedChecksAt           map[entity.TargetID]time.Time
	// links shows from which services this instance is isolated; checkLinks has CheckLinks look for due checks at once.
	links      *isolation.Detector
	checkLinks chan struct{}
	// relays is set by RelayTo; nil if this instance relays no requests.
	relays *relayer
}

// New returns a gateway without a configuration.
func New(options Options) *Gateway {
	options.RetryLimit.Ratio *= retryLimitShare
	options.RetryLimit.Slack *= retryLimitShare
	g := &Gateway{
		options: options, createdAt: time.Now(),
		dispatcher: &dispatch.Dispatcher{
			Zone: options.Zone, Fleet: fleet.New(), Links: linkshare.Limiter{Random: rand.Float64},
		},
		retryWindows: make(map[entity.ServiceID]*retry.Window), retryDelays: make(map[entity.ServiceID]*retrydelay.Estimator),
		requests: make(map[*request]struct{}), streams: make(map[*stream]struct{}), retryEpoch: boottime.Now(),
		shedders: make(map[entity.ServiceID]*shedder), endedChecksAt: make(map[entity.TargetID]time.Time),
		quarantine: quarantine.New(rand.Float64), requestBodies: newRequestBodyMemory(options.RequestBodyMemory),
		links: isolation.New(), checkLinks: make(chan struct{}, 1),
	}
	g.dispatcher.Fleet.Isolated = g.links.Isolated
	if options.FirstStart {
		g.retryEpoch = g.retryEpoch.Add(-options.RetryLimit.Span)
	}
	g.bodies.limit = options.BodyMemory
	g.inspector = newInspector(g, options.Engines)
	return g
}

// age returns the time since the gateway was created, on the monotonic clock.
func (g *Gateway) age() time.Duration { return time.Since(g.createdAt) }

// Configure applies a configuration if its version is higher than the current one, and reports whether it did.
func (g *Gateway) Configure(configuration *routing.Configuration) bool {
	current := g.configuration.Load()
	if current != nil && current.Version >= configuration.Version {
		return false
	}
	g.configuration.Store(configuration)
	return true
}

// Configuration returns the current configuration, or nil if there is none yet.
func (g *Gateway) Configuration() *routing.Configuration { return g.configuration.Load() }

// WithFleet calls f with the table of targets while holding the lock. f must not retain the table.
func (g *Gateway) WithFleet(f func(*fleet.Fleet)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(g.dispatcher.Fleet)
}

// OwnLoads implements loadshare.View.
func (g *Gateway) OwnLoads() loadshare.Loads {
	g.mu.Lock()
	defer g.mu.Unlock()
	loads := g.dispatcher.OwnLoads(boottime.Now())
	g.addCounts(loads)
	return loads
}

// SetOtherLoads implements loadshare.View.
func (g *Gateway) SetOtherLoads(loads loadshare.Loads, instances loadshare.Instances, collector bool) {
	counts := loads.Counts()
	g.mu.Lock()
	defer g.mu.Unlock()
	g.collector = collector
	g.dispatcher.SetOtherLoads(boottime.Now(), loads, instances.Zone)
	g.dropShedders()
	g.updateShedding(counts)
	// Instances that this one can no longer reach still use their share of the retry limit, so the number never falls.
	g.peakInstances = max(g.peakInstances, instances.All)
}

// HandleSuspension moves the deadlines and the timers of all requests earlier by a time in which the machine was suspended,
// which timers do not count, and cancels the requests whose deadline has passed.
func (g *Gateway) HandleSuspension(suspended time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for q := range g.requests {
		q.deadline, q.limit = q.deadline.Add(-suspended), q.limit.Add(-suspended)
		q.expireAtDeadline()
	}
}

// OnPassOn sets a function that is called before a request is passed on to targets. If it returns false, the connection of the
// caller has been closed, and the request is not passed on. It is called before the gateway serves callers.
func (g *Gateway) OnPassOn(f func(*http.Request) bool) { g.onPassOn = f }

// StartDraining makes the gateway ask callers to close their connections after each response that it begins, and refuse
// requests that the stopping instance may be unable to finish.
func (g *Gateway) StartDraining(stop drain.Stop) { g.stop.Store(&stop) }

// CancelRequests cancels all requests in progress, as if their time had passed.
func (g *Gateway) CancelRequests() {
	g.mu.Lock()
	defer g.mu.Unlock()
	for q := range g.requests {
		q.expireAttempts()
	}
}

// takes reports whether a request that arrives now and times out after timeout is served.
func (g *Gateway) takes(timeout time.Duration) bool {
	stop := g.stop.Load()
	return stop == nil || stop.Takes(time.Now(), timeout)
}

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
	// deadline is when the request times out, limit the end of the time of its caller and its route: a stream that begins
	// before deadline may go on until limit. timer calls expireAtDeadline, and expired reports whether the attempts have been
	// cancelled. All are guarded by gateway.mu.
	deadline, limit time.Time
	timer           *time.Timer
	expired         bool
	// cancel cancels the attempts of the request.
	cancel context.CancelCauseFunc
	// runs counts the attempts that may have run on a target, sends counts all attempts.
	runs, sends int
	// ran holds the targets on which the request may have run. Guarded by gateway.mu.
	ran dispatch.Runs
	// countsEnded reports whether targets that have ended count towards the route's maximum too: a generation without any event
	// may be what makes its engines crash. Guarded by gateway.mu.
	countsEnded bool
	// lastErr is the error of the last failed attempt.
	lastErr error
	// lastKind is the error kind of the last failed attempt that left no response to forward.
	lastKind errkind.Kind
	// limited reports whether only the retry limit prevented a further attempt.
	limited bool
	// retryReserved reports whether the retry after the attempt in progress has been taken. Guarded by gateway.mu.
	retryReserved bool
	// attemptedTargets names the target or path of each attempt, for the log.
	attemptedTargets []string
	// body is the memory that the request has taken for its own body.
	body bodyReservation
	// heldSince is when the first response of a target arrived that was held while another attempt went on; zero if none was.
	heldSince time.Time
	// bodyBytes is what the request has taken from the memory for response bodies.
	bodyBytes atomic.Int64
	// stats returns the statistics of a stream; nil for other calls.
	stats func() streamStats
	// relay says that another instance has relayed the request; nil for requests of callers.
	relay *relayedRequest
	// takenByPeer reports whether another instance has taken the request. No attempt follows, since that instance may have made as
	// many as the route allows.
	takenByPeer bool
	// refusal is set if the request is a stream that is refused for lack of capacity; retryAfterSent is the delay that the
	// caller is told.
	refusal        *refusal
	retryAfterSent time.Duration
}

// streamStats holds the statistics of a stream that are logged when it ends.
type streamStats struct {
	events, reroutes         int
	firstEvent, longestPause time.Duration
	// idle is the time without an event until the stream ended, gaveUp why no further attempt was made.
	idle   time.Duration
	gaveUp giveUpReason
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
	q := &request{
		Call: call, gateway: g, writer: w, arrivedAt: arrived, body: bodyReservation{memory: g.requestBodies},
		relay: relayedRequestOf(r),
	}
	defer q.body.give()
	q.serve()
}

// serve admits the request, sets its deadline and has it served by targets.
func (q *request) serve() {
	if kind, ok := q.admit(); !ok {
		if kind != errkind.NoConfiguration || !q.refuseRelay() {
			q.endWithError(kind)
		}
		return
	}
	longest := longestTime(q.route)
	limit, timeout := longest, longest
	if q.Timeout > 0 {
		limit, timeout = min(limit, q.Timeout), min(timeout, dispatch.ResponseTimeout(q.Timeout))
	}
	if q.refuseRelay() {
		return
	}
	if !q.gateway.takes(limit) {
		q.endWithError(errkind.Stopping)
		return
	}
	if pass := q.gateway.onPassOn; pass != nil && !pass(q.Request) {
		q.lastErr = errConnectionShed
		q.endWithError(errkind.Overloaded)
		return
	}
	ctx, cancel := context.WithCancelCause(q.Request.Context())
	defer cancel(nil)
	q.cancel = cancel
	q.startTimer(timeout, limit)
	defer q.timer.Stop()
	q.gateway.addRequest(q)
	defer q.gateway.removeRequest(q)
	defer func() { q.gateway.bodies.give(q.bodyBytes.Load()) }()
	if q.route.Kind == routing.Streaming {
		q.serveStream(ctx)
		return
	}
	q.serveBuffered(ctx)
}

// admit finds the route, account and service of the request and reads its body. On failure it returns false and the error
// kind.
func (q *request) admit() (errkind.Kind, bool) {
	q.limitBodyTime()
	configuration := q.gateway.configuration.Load()
	if configuration == nil {
		return errkind.NoConfiguration, false
	}
	limit := configuration.Limits.BodyBytes
	if kind, ok := q.resolve(configuration); !ok {
		if err := q.discardBody(limit); err != nil {
			log.Debugf("failed to discard the body of refused request %s: %v", q.ID, err)
		}
		return kind, false
	}
	if kind, ok := q.readBody(limit); !ok {
		return kind, false
	}
	if current := q.gateway.configuration.Load(); current != configuration { // it has changed while the body arrived
		return q.resolve(current)
	}
	return "", true
}

// resolve finds the route, account and service of the request. On failure it returns false and the error kind.
func (q *request) resolve(configuration *routing.Configuration) (errkind.Kind, bool) {
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
	q.limitRelayedAttempts()
	return "", true
}

func hostWithoutPort(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		return name
	}
	return host
}

// priority returns the priority of the account if it has one, else that of the route; 0 is the most urgent.
func (q *request) priority() int {
	if q.account.HasPriority {
		return q.account.Priority
	}
	return q.route.Priority
}

// addRequest counts the request for the retry limit of its service, unless another instance will, and adds it to the requests
// in progress.
func (g *Gateway) addRequest(q *request) {
	relayed := q.mayRelay()
	g.mu.Lock()
	defer g.mu.Unlock()
	if !relayed {
		g.retryWindow(q.service.ID).RecordRequest(boottime.Now().Sub(g.retryEpoch))
	}
	g.requests[q] = struct{}{}
}

// removeRequest removes the request from the requests in progress.
func (g *Gateway) removeRequest(q *request) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.requests, q)
}

// recordFailure records that a target failed an attempt. For some time the target then gets new work only if there is
// no other target.
func (g *Gateway) recordFailure(id entity.TargetID, requestID, reason string) {
	g.mu.Lock()
	until := g.dispatcher.Fleet.RecordFailure(boottime.Now(), id)
	g.mu.Unlock()
	log.Event("target suspected", "target", id, "request", requestID, "reason", reason,
		"for", until.Sub(boottime.Now()).Round(time.Millisecond))
}

// recordSuccess records that a target served a call.
func (g *Gateway) recordSuccess(id entity.TargetID) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.dispatcher.Fleet.RecordSuccess(id)
}

// endWithError ends the request with an error response written by the gateway. It writes the response even if the
// caller has disconnected: one that has closed only its sending side still reads it.
func (q *request) endWithError(kind errkind.Kind) {
	q.endWithRetryAfter(kind, q.retryAfter(kind))
}

// endWithRetryAfter is endWithError with the delay after which the caller should retry.
func (q *request) endWithRetryAfter(kind errkind.Kind, after time.Duration) {
	q.setWriteTimeout(responseWriteTimeout)
	q.closeWhileStopping()
	q.retryAfterSent = after
	q.gateway.options.Codec.WriteError(q.writer, q.ID, kind, after)
	result := kind
	if q.Request.Context().Err() != nil {
		result = errkind.Canceled
	}
	q.recordEnd(string(result), strconv.Itoa(errkind.ResponseFor(kind).Status))
}

// setWriteTimeout limits the time to write to the caller. It must not end with the request's own time: the response to a
// request that has timed out is written after that.
func (q *request) setWriteTimeout(timeout time.Duration) {
	if err := http.NewResponseController(q.writer).SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		log.Debugf("no write deadline for request %s: %v", q.ID, err)
	}
}

// closeWhileStopping asks the caller to close its connection if the instance stops. It must be called before the head of
// the response is written.
func (q *request) closeWhileStopping() {
	if q.gateway.stop.Load() != nil {
		q.writer.Header().Set("Connection", "close")
	}
}

// recordEnd logs the outcome of the request and passes it to Options.OnRequestEnd.
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
	held := time.Duration(0)
	if !q.heldSince.IsZero() {
		held = time.Since(q.heldSince)
	}
	var stats streamStats
	if q.stats != nil {
		stats = q.stats()
	}
	ran, counted := q.runCounts()
	fields := []any{
		"request", q.ID, "result", result, "status", status, "route", routeName, "kind", kind,
		"account", q.account.ID, "version", version, "ms", duration.Milliseconds(), "limitMs", q.Timeout.Milliseconds(),
		"heldMs", held.Milliseconds(), "sends", q.sends, "runs", q.runs, "limited", q.limited, "reroutes", stats.reroutes, "events", stats.events,
		"firstMs", stats.firstEvent.Milliseconds(), "pauseMs", stats.longestPause.Milliseconds(),
		"targets", strings.Join(q.attemptedTargets, ";"), "reason", reason,
	}
	if result != resultOK || counted < ran {
		fields = append(fields, "ran", ran, "counted", counted)
	}
	if q.relay != nil {
		fields = append(fields, "relayedBy", q.relay.from)
	}
	if result == resultOK {
		log.Routine("request ended", fields...)
	} else {
		fields = append(fields, "idleMs", stats.idle.Milliseconds(), "gaveUp", string(stats.gaveUp),
			"parts", strings.Join(q.PromptParts, ","))
		if q.refusal != nil {
			fields = append(fields, "rank", q.refusal.rank, "ranks", q.refusal.ranks,
				"retryAfterMs", q.retryAfterSent.Milliseconds(), "shortageMs", q.refusal.shortage.Milliseconds())
		}
		log.Event("request ended", fields...)
	}
	if q.gateway.options.OnRequestEnd != nil && q.relay == nil { // the other instance counts it
		q.gateway.options.OnRequestEnd(kind, result, duration)
	}
}
