package gateway

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/fleet"
	"github.com/hyssophoist/hyssophoist/core/relay"
	"github.com/hyssophoist/hyssophoist/internal/connpool"
)

// Header fields between instances. The instance that relays a request is named by headerRelayedBy; headerRelayAttempts is the
// number of targets on which the request may still run.
const (
	headerRelayedBy     = "Relayed-By"
	headerRelayAttempts = "Relay-Attempts"
)

// relayDialTimeout bounds the time to open a connection to another instance. Instances are at most a few milliseconds away.
const relayDialTimeout = 200 * time.Millisecond

var (
	errNoPeer = fmt.Errorf("%w: no other instance takes it", errNotSent)
	// errPeerFailed is returned if another instance has taken a request and its outcome is not known.
	errPeerFailed = errors.New("instance that took the request did not complete its response")
)

// RelayOptions configures the relaying of requests to other instances.
type RelayOptions struct {
	// Self is this instance, Peers returns the others.
	Self  entity.DaemonID
	Peers func() []relay.Peer
	// Pool opens connections to other instances.
	Pool *connpool.Pool
	// MaxAccepted is the maximum number of requests in progress that other instances have relayed to this one; 0 for no limit.
	MaxAccepted int
}

// relayer relays requests to other instances.
type relayer struct {
	options RelayOptions
	mu      sync.Mutex
	table   *relay.Table
	sent    atomic.Uint64
	refused atomic.Uint64
}

// relayedRequest says where a request of another instance comes from.
type relayedRequest struct {
	// from is the instance that has relayed it.
	from string
	// attempts is the number of targets on which it may run here.
	attempts int
}

type relayContextKey struct{}

// RelayTo makes the gateway relay the requests that it cannot serve because it is isolated. It must be called before the gateway
// serves callers.
func (g *Gateway) RelayTo(options RelayOptions) {
	g.relays = &relayer{options: options, table: relay.New(g.options.Zone, rand.Float64)}
}

// RelayCounts returns the number of requests that other instances have taken, and of those that none has.
func (g *Gateway) RelayCounts() (sent, refused uint64) {
	if g.relays == nil {
		return 0, 0
	}
	return g.relays.sent.Load(), g.relays.refused.Load()
}

// countRelayPeers returns the number of other instances that are known to take relayed requests.
func (g *Gateway) countRelayPeers() int {
	if g.relays == nil {
		return 0
	}
	return len(g.relays.options.Peers())
}

// RelayHandler returns the handler for requests that other instances relay. They are served like those of callers, with the
// caller's own API key, but not relayed again.
func (g *Gateway) RelayHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		attempts, err := strconv.Atoi(r.Header.Get(headerRelayAttempts))
		if err != nil || attempts < 1 {
			http.Error(w, "number of attempts is missing", http.StatusBadRequest)
			return
		}
		relayed := &relayedRequest{from: r.Header.Get(headerRelayedBy), attempts: attempts}
		r.Header.Del(headerRelayedBy)
		r.Header.Del(headerRelayAttempts)
		g.ServeHTTP(w, r.WithContext(context.WithValue(r.Context(), relayContextKey{}, relayed)))
	})
}

func relayedRequestOf(r *http.Request) *relayedRequest {
	relayed, _ := r.Context().Value(relayContextKey{}).(*relayedRequest)
	return relayed
}

// RelayedInProgress returns the number of requests in progress that other instances have relayed.
func (g *Gateway) RelayedInProgress() int { return int(g.relayed.Load()) }

// takeRelayed counts the request of another instance as in progress here, if this one can serve it. It reports false if not;
// otherwise endRelayed must follow.
func (q *request) takeRelayed() bool {
	g := q.gateway
	if g.stop.Load() != nil || g.isolated(q.service.ID) {
		return false
	}
	count, limit := g.relayed.Add(1), 0
	if g.relays != nil {
		limit = g.relays.options.MaxAccepted
	}
	if limit > 0 && count > int64(limit) {
		g.relayed.Add(-1)
		return false
	}
	return true
}

func (q *request) endRelayed() { q.gateway.relayed.Add(-1) }

// refuseRelayed refuses the request of another instance, which then tries others, so that this refusal reaches no caller.
func (q *request) refuseRelayed() {
	log.Debugf("refused request %s that instance %s relays", q.ID, q.relay.from)
	q.gateway.options.Codec.WriteError(q.writer, q.ID, errkind.RelayRefused, 0)
}

// limitRelayedAttempts keeps a relayed request from running on more targets than the other instance has left.
func (q *request) limitRelayedAttempts() {
	if q.relay == nil || q.route.MaxAttempts <= q.relay.attempts {
		return
	}
	limited := *q.route
	limited.MaxAttempts = q.relay.attempts
	q.route = &limited
}

// mayRelay reports whether to relay the request: this instance is isolated from its service, and the request may still run on a
// target. A request of another instance is not relayed again, so that none goes in a circle.
func (q *request) mayRelay() bool {
	g := q.gateway
	return g.relays != nil && q.relay == nil && !q.takenByPeer && g.isolated(q.service.ID) &&
		(q.runs == 0 || q.route.Repeatable()) && q.countedTargets() < q.route.MaxAttempts
}

// reachedNoTarget reports whether to relay a request whose last attempt was not sent, or was cancelled. It waits for the check that
// shows whether this instance is isolated.
func (q *request) reachedNoTarget(ctx context.Context) bool {
	if !q.mayRelay() && q.gateway.relays != nil && errors.Is(q.lastErr, errNotSent) {
		q.gateway.awaitLinkCheck(ctx, q.service.ID)
	}
	return q.mayRelay()
}

// errRefusedAfterRun is the cause of a request that has run on a target of this instance and that another instance, which was to run it
// again, has refused. Forwarding its refusal would promise that the request has not run.
var errRefusedAfterRun = errors.New("instance that took the request refused it")

// relayedExchange is an exchange with another instance; release must follow.
type relayedExchange struct {
	*exchange
	release func()
}

// sendToPeer offers the request to other instances until one takes it, and returns the exchange with that one after the head of
// its response. An error that wraps errNotSent means that none has taken it. timeout is how long the caller still waits. The request
// counts as run once an instance has taken it.
func (q *request) sendToPeer(ctx context.Context, timeout time.Duration, lastEventID int64) (*relayedExchange, error) {
	r := q.gateway.relays
	end := time.Now().Add(timeout)
	peers := r.options.Peers()
	var tried relay.Tried
	for ctx.Err() == nil {
		peer, found := r.choose(peers, &tried)
		if !found {
			break
		}
		x, err := q.offer(ctx, peer, time.Until(end), lastEventID)
		if err == nil && !x.head.NotRun {
			return q.recordTaken(x, peer)
		}
		r.release(peer)
		if err != nil && !errors.Is(err, errNotSent) {
			q.countRun(peer)
			return nil, fmt.Errorf("%w: %w", errPeerFailed, err)
		}
		if err == nil { // isolated too, or stopping
			x.abort()
		} else {
			log.Debugf("instance %s is not reached: %v", peer.ID, err)
		}
		r.leaveOut(peer)
	}
	r.refused.Add(1)
	return nil, errNoPeer
}

func (r *relayer) choose(peers []relay.Peer, tried *relay.Tried) (relay.Peer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Choose(time.Now(), peers, tried)
}

func (r *relayer) release(peer relay.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Release(peer.ID)
	r.table.Prune(time.Now())
}

func (r *relayer) leaveOut(peer relay.Peer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.LeaveOut(time.Now(), peer.ID)
}

// offer sends the request to another instance, on a connection of its own, and reads the head of the response.
func (q *request) offer(ctx context.Context, peer relay.Peer, timeout time.Duration, lastEventID int64) (*exchange, error) {
	options := &q.gateway.relays.options
	conn, err := options.Pool.Get(ctx, connpool.Use{
		Address: peer.Address, RequestID: q.ID, New: true, Timeout: min(relayDialTimeout, timeout),
	})
	if err != nil {
		return nil, fmt.Errorf("%w: %w", errNotSent, err)
	}
	x := q.gateway.newExchange(ctx, fleet.Target{}, conn)
	request := q.gateway.options.Codec.EncodeRelay(q.Call, timeout, lastEventID)
	request.Header.Set(headerRelayedBy, string(options.Self))
	request.Header.Set(headerRelayAttempts, strconv.Itoa(q.route.MaxAttempts-q.countedTargets()))
	request.Close = true
	if err := x.roundTrip(request, q.Call, timeout); err != nil {
		return nil, err
	}
	return x, nil
}

// recordTaken returns the exchange with an instance that has taken the request. A refusal of that instance is an error if the request
// has run before.
func (q *request) recordTaken(x *exchange, peer relay.Peer) (*relayedExchange, error) {
	r, ranBefore := q.gateway.relays, q.runs > 0
	r.sent.Add(1)
	q.countRun(peer)
	if ranBefore && !x.head.FromTarget {
		x.abort()
		r.release(peer)
		return nil, errRefusedAfterRun
	}
	return &relayedExchange{exchange: x, release: func() { r.release(peer) }}, nil
}

// countRun records that another instance may have run the request, on as many targets as its route allows.
func (q *request) countRun(peer relay.Peer) {
	q.takenByPeer = true
	q.runs++
	q.attemptedTargets = append(q.attemptedTargets, "instance:"+string(peer.ID))
}

// relayBuffered has another instance serve a call, and forwards its complete response, which may be a refusal of its own. If no
// instance takes the call, it is refused at once.
func (q *request) relayBuffered(ctx context.Context) {
	x, err := q.sendToPeer(ctx, q.timeLeft(), q.LastEventID)
	if errors.Is(err, errNotSent) {
		q.lastErr, q.lastKind = err, errkind.NoCapacity
		q.endBuffered(ctx, nil, errkind.NoCapacity)
		return
	}
	var body []byte
	if err == nil {
		defer x.release()
		body, err = x.readBody(q, q.timeLeft())
	}
	if err != nil {
		q.lastErr, q.lastKind = err, q.unknownOutcomeKind(ctx, err)
		q.endWithError(q.failureKind(ctx))
		return
	}
	q.writeResponse(&bufferedResponse{head: x.head, body: body})
}

// runRelayedAttempt is runAttempt with another instance in place of a path. A stream that has begun goes on there after the last
// event that the caller has got.
func (s *stream) runRelayedAttempt(ctx context.Context) (done, retry bool) {
	s.sends++
	x, err := s.sendToPeer(ctx, s.streamTimeLeft(), s.lastEventID)
	if errors.Is(err, errNotSent) {
		s.lastErr, s.lastKind, s.gaveUp = err, errkind.NoCapacity, noPathFound
		return false, false
	}
	if err != nil {
		return s.handleRelayFailure(ctx, err)
	}
	defer x.release()
	s.watchdog = s.gateway.inspector.stoppedWatchdog()
	if x.head.Status != http.StatusOK || !x.head.FromTarget || x.head.ContentEncoded {
		return s.forwardRelayedRefusal(ctx, x)
	}
	x.setTimeout(s.streamTimeLeft())
	if err = s.forwardEvents(x.exchange); err == nil {
		err = s.writeHead(x.exchange)
	}
	if err != nil {
		x.abort()
		return s.handleRelayFailure(ctx, err)
	}
	x.releaseConn()
	s.recordEnd(resultOK, "200")
	return true, false
}

// handleRelayFailure handles the end of a relayed stream without a complete response. Another instance may have used all the
// attempts of the stream, so that none follows; a caller with a part of the response resumes it with a request of its own.
func (s *stream) handleRelayFailure(ctx context.Context, err error) (done, retry bool) {
	s.lastErr, s.lastKind = err, s.unknownOutcomeKind(ctx, err)
	if s.Request.Context().Err() != nil {
		s.endCanceled(err)
		return true, false
	}
	log.Event("relayed stream interrupted", "request", s.ID, "events", s.events, "lastEvent", s.lastEventID, "reason", err.Error())
	return false, false
}

// forwardRelayedRefusal forwards a response of another instance that is no stream, if the caller has got nothing yet.
func (s *stream) forwardRelayedRefusal(ctx context.Context, x *relayedExchange) (done, retry bool) {
	body, err := x.readBody(s.request, s.timeLeft())
	if err != nil || s.headWritten.Load() {
		if err == nil {
			err = fmt.Errorf("instance that took the stream answered with status %d", x.head.Status)
		}
		return s.handleRelayFailure(ctx, err)
	}
	s.writeResponse(&bufferedResponse{head: x.head, body: body})
	return true, false
}
