package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/retrydelay"
	"github.com/hyssophoist/hyssophoist/core/routing"
	"github.com/hyssophoist/hyssophoist/internal/boottime"
)

// refusal is the refusal of a stream for lack of capacity, for the log.
type refusal struct {
	// rank and ranks are those of the request among the priorities of its service.
	rank, ranks int
	// shortage is how long the shortage of capacity had lasted.
	shortage time.Duration
}

// retryAfter is the function of the same name, except for streams that are refused for lack of capacity and whose service has
// routes of several priorities: their delay depends on their priority and on the shortage. It records the refusal.
func (q *request) retryAfter(kind errkind.Kind) time.Duration {
	after := retryAfter(kind)
	if !q.lacksCapacity(kind) {
		return after
	}
	rank, ranks := q.rank()
	timeLeft, now := q.streamTimeLeft(), boottime.Now()
	q.gateway.mu.Lock()
	estimator := q.gateway.retryDelay(q.service.ID)
	estimator.RecordRefusal(now, rank)
	q.refusal = &refusal{rank: rank, ranks: ranks, shortage: estimator.Shortage(now, rank)}
	if ranks > 1 {
		after = estimator.Delay(now, rank, timeLeft, rand.Float64())
	}
	q.gateway.mu.Unlock()
	if q.gateway.options.OnRefusal != nil {
		q.gateway.options.OnRefusal(rank)
	}
	return after
}

// lacksCapacity reports whether an error of the given kind refuses a stream because no engines have room for it. A request whose
// time has not begun is refused for lack of memory for its body, and one whose caller has left is not refused.
func (q *request) lacksCapacity(kind errkind.Kind) bool {
	return (kind == errkind.NoCapacity || kind == errkind.Overloaded) && q.timer != nil &&
		q.route.Kind == routing.Streaming && q.Request.Context().Err() == nil
}

// rank returns the rank of the request among those of its service in the configuration in force.
func (q *request) rank() (rank, ranks int) {
	configuration := q.gateway.configuration.Load()
	if configuration == nil {
		return 0, 1
	}
	return configuration.Rank(q.service.ID, q.account, q.route)
}

// recordAdmission records that engines have admitted the stream.
func (q *request) recordAdmission() {
	rank, _ := q.rank()
	q.gateway.mu.Lock()
	defer q.gateway.mu.Unlock()
	q.gateway.retryDelay(q.service.ID).RecordAdmission(boottime.Now(), rank)
}

// retryDelay returns the estimator of the retry delays of a service and creates it if needed. The caller holds g.mu.
func (g *Gateway) retryDelay(service entity.ServiceID) *retrydelay.Estimator {
	estimator := g.retryDelays[service]
	if estimator == nil {
		estimator = &retrydelay.Estimator{}
		g.retryDelays[service] = estimator
	}
	return estimator
}
