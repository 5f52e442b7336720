package gateway

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hyssophoist/hyssophoist/core/dispatch"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/routing"
)

// errConnectionShed is the cause of a request that is not passed on since its connection was closed.
var errConnectionShed = errors.New("the connection was closed for want of descriptors or memory")

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
	// relay identifies the instance that has relayed the request; nil for requests of callers.
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
		if kind == errkind.NoConfiguration && q.relay != nil {
			q.refuseRelayed()
			return
		}
		q.endWithError(kind)
		return
	}
	if q.relay != nil {
		if !q.takeRelayed() {
			q.refuseRelayed()
			return
		}
		defer q.endRelayed()
	}
	longest := longestTime(q.route)
	limit, timeout := longest, longest
	if q.Timeout > 0 {
		limit, timeout = min(limit, q.Timeout), min(timeout, dispatch.ResponseTimeout(q.Timeout))
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
