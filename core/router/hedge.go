package router

import (
	"slices"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/estimate"
	"github.com/hyssophoist/hyssophoist/core/message"
)

// hedge starts a second attempt at an idempotent call that takes much longer than usual. Calls report no progress, so a
// dead connection cannot be told from a slow call. Hedges are charged to the retry budget.
func (r *Router) hedge(q *request) {
	if q.Kind != message.ServiceCall || !q.Idempotent || len(q.attempts) != 1 || r.options.Policy != Learned {
		return
	}
	s, a := r.services.Get(q.Service), q.attempts[0]
	if s == nil || r.now.Sub(a.startedAt) < r.hedgeDelay(s.ID) || !r.hasAlternative(s, a) || !r.retryBudget.TryWithdraw() {
		return
	}
	q.avoid = append(q.avoid, a.chain...)
	r.counts.Hedges++
	r.start(q)
}

// hedgeDelay returns the time after which a second attempt is worthwhile: a multiple of the usual time of the call.
func (r *Router) hedgeDelay(id entity.ServiceID) time.Duration {
	usual := defaultCallTime.Seconds()
	if m, ok := r.callTimes[id]; ok {
		usual = m.Value(r.now, requestHalfLife, usual)
	}
	return max(minHedgeDelay, time.Duration(r.tuning.hedgeFactor*usual*float64(time.Second)))
}

// hasAlternative reports whether the service has a target that the attempt does not use and that is not suspect.
func (r *Router) hasAlternative(s *service, a *attempt) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t != a.chain[0] && !r.suspect(t) })
}

// learnCall records the duration of a finished call.
func (r *Router) learnCall(q *request, a *attempt) {
	if q.Kind != message.ServiceCall {
		return
	}
	m, ok := r.callTimes[q.Service]
	if !ok {
		m = &estimate.Mean{}
		r.callTimes[q.Service] = m
	}
	m.Observe(r.now, r.now.Sub(a.startedAt).Seconds(), requestHalfLife)
}

// cancelSuperseded cancels the remaining attempts of a request that another attempt has finished. Their targets become
// suspect and their connections are replaced, because they may be dead.
func (r *Router) cancelSuperseded(q *request) {
	for len(q.attempts) > 0 {
		a := q.attempts[0]
		r.cancel(q, a, true)
		r.recordFailure(q, a, a.chain[0].ID)
	}
}
