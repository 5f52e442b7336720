// Package gateway is the reverse proxy between callers and targets: it accepts callers' requests, sends them to targets
// and returns the responses.
//
// It carries out the routing decisions of core/dispatch over network connections. One goroutine serves each request.
package gateway

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/singleflight"

	"github.com/hyssophoist/hyssophoist/core/dispatch"
	"github.com/hyssophoist/hyssophoist/core/drain"
	"github.com/hyssophoist/hyssophoist/core/entity"
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
	// relays is set by RelayTo; nil if this instance relays no requests. relayed counts those in progress of other instances.
	relays  *relayer
	relayed atomic.Int64
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
