package router

import (
	"slices"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/estimate"
	"github.com/hyssophoist/hyssophoist/core/message"
)

// hedge starts a second attempt at an idempotent call that takes much longer than such calls usually do. A call has no
// progress by which a silent connection could be told from a slow one. Hedges are paid from the retry budget.
func (r *Router) hedge(q *request) {
	if q.Kind != message.ServiceCall || !q.Idempotent || len(q.attempts) != 1 || r.options.Policy != Learned {
		return
	}
	s, a := r.services.Get(q.Service), q.attempts[0]
	if s == nil || r.now.Sub(a.startedAt) < r.hedgeDelay(s.ID) || !r.hasAlternative(s, a) || !r.retryBudget.Spend() {
		return
	}
	q.avoid = append(q.avoid, a.chain...)
	r.counts.Hedges++
	r.start(q)
}

// hedgeAfter returns the time after which a second attempt pays: a multiple of the usual time of the call.
func (r *Router) hedgeDelay(id entity.ServiceID) time.Duration {
	usual := defaultCallTime.Seconds()
	if m, ok := r.callTimes[id]; ok {
		usual = m.Value(r.now, requestHalfLife, usual)
	}
	return max(minHedgeDelay, time.Duration(r.tuning.hedgeFactor*usual*float64(time.Second)))
}

// alternative says that the service has a target that is not in use by the attempt and not suspect.
func (r *Router) hasAlternative(s *service, a *attempt) bool {
	return slices.ContainsFunc(s.targets, func(t *target) bool { return t != a.chain[0] && !r.suspect(t) })
}

// learnCall records the time of a call that finished.
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

// overtaken ends the attempts that another attempt at the same request has overtaken. Their targets are avoided for a
// while and their connections replaced, because they may be silent.
func (r *Router) cancelSuperseded(q *request) {
	for len(q.attempts) > 0 {
		a := q.attempts[0]
		r.cancel(q, a, true)
		r.recordFailure(q, a, a.chain[0].ID)
	}
}
