package router

import (
	"fmt"
	"slices"
	"time"

	"github.com/hyssophoist/hyssophoist/core/admission"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/message"
)

// dispatch starts queued requests in fair order.
func (r *Router) dispatch() {
	if r.configuration == nil || r.queue.Len() == 0 {
		return
	}
	full := make(map[entity.ModelID]bool) // models without a free chain; a full congestion window blocks all alike
	r.queue.Dispatch(func(item admission.Item) admission.Decision {
		q := r.requests.Get(item.Request)
		if q.Kind == message.Completion && full[q.Model] {
			return admission.Blocked
		}
		q.queued = false
		if !r.start(q) {
			q.queued = true
			full[q.Model] = true
			return admission.Blocked
		}
		if q.attemptsStarted == 0 { // refused because it cannot finish in time
			return admission.Dropped
		}
		r.retryBudget.Deposit()
		r.throughput.Add(r.now, item.Work)
		return admission.Started
	})
}

// start starts an attempt on the best chain, or refuses the request if that chain cannot finish it in time. It returns
// false if no chain takes work at present.
func (r *Router) start(q *request) bool {
	targets := r.chooseChain(q)
	if len(targets) == 0 {
		return false
	}
	if r.missesDeadline(q, targets) {
		r.refuse(q, errkind.DeadlineInfeasible, r.retryAfter(q), "the response cannot be completed before the deadline")
		return true
	}
	q.attemptsStarted++
	a := &attempt{
		id:           entity.AttemptID(fmt.Sprintf("%s/%d", q.Request, q.attemptsStarted)),
		chain:        targets,
		fromPosition: q.nextPosition,
		nextPosition: q.nextPosition,
		startedAt:    r.now,
		lastProgress: r.now,
		promptTokens: float64(q.PromptTokens + q.nextPosition),
	}
	a.timeout, a.waitLimit = r.firstProgressTimeout(q, targets)
	hops := make(entity.Chain, len(targets))
	for i, t := range targets {
		if t.pendingPromptTokens == 0 {
			t.pendingSince = r.now
		}
		hops[i] = entity.Hop{Target: t.ID, URL: t.URL, Layers: t.Layers}
		t.inProgress++
		t.attemptsStarted++
		t.pendingPromptTokens += a.promptTokens
	}
	r.checkStart(q, hops)
	q.attempts = append(q.attempts, a)
	r.counts.Attempts++
	r.emit(message.StartAttempt{
		Request: q.Request, Attempt: a.id, Chain: hops, FromPosition: q.nextPosition, ImportKVFrom: q.lastHeadEngine,
		Priority: r.attemptPriority(q), Deadline: r.attemptDeadline(q),
	})
	if q.Kind == message.Completion {
		q.lastHeadEngine = targets[0].ID
	}
	return true
}

// attemptDeadline returns the deadline that the targets get. It lies before the caller's deadline, so that their final
// response still arrives in time.
func (r *Router) attemptDeadline(q *request) time.Time {
	if q.Deadline.IsZero() {
		return q.Deadline
	}
	margin := time.Duration(deadlineShare * float64(q.Deadline.Sub(r.now)))
	return q.Deadline.Add(-min(margin, maxDeadlineMargin))
}

// attemptPriority returns the priority at the engines. An interrupted stream gets high priority, because its caller is
// already waiting for the next token.
func (r *Router) attemptPriority(q *request) entity.Priority {
	if q.nextPosition > 0 {
		return entity.HighPriority
	}
	return q.Priority
}

// chooseChain returns the targets of the best chain, or nil if there is none.
func (r *Router) chooseChain(q *request) []*target {
	if q.Kind == message.ServiceCall {
		return r.chooseServiceTarget(q)
	}
	m := r.models.Get(q.Model)
	if m == nil {
		return nil
	}
	indexes, _, ok := m.graph.Choose(r.costs(q), r.random, r.samples(), r.preferredNodes(q))
	if !ok {
		return nil
	}
	targets := make([]*target, len(indexes))
	for i, index := range indexes {
		targets[i] = r.byIndex[index]
	}
	return targets
}

func (r *Router) chooseServiceTarget(q *request) []*target {
	s := r.services.Get(q.Service)
	if s == nil {
		return nil
	}
	var best *target
	var lowest float64
	for _, t := range s.targets {
		if cost, _ := (fewestInProgressCosts{r, q}).Node(t.index); best == nil || cost < lowest {
			best, lowest = t, cost
		}
	}
	if best == nil {
		return nil
	}
	return []*target{best}
}

// checkRequests refuses requests whose deadline has passed, cancels attempts that made no progress within their
// timeout, and starts the hedges and retries that are due. A single pass over the requests keeps Step fast.
func (r *Router) checkRequests() {
	for _, q := range r.requests.All {
		if !q.Deadline.IsZero() && !q.Deadline.After(r.now) {
			r.expire(q)
			continue
		}
		for _, a := range q.attempts {
			if a.timeout > 0 && r.now.Sub(a.lastProgress) >= a.timeout && !r.mayKeepWaiting(a) {
				r.handleTimeout(q, a)
				break
			}
		}
		r.hedge(q)
		if !q.retryAt.IsZero() && !q.retryAt.After(r.now) && r.start(q) {
			q.retryAt = time.Time{}
		}
	}
}

func (r *Router) expire(q *request) {
	kind := errkind.DeadlineExceeded
	if !q.Idempotent && q.runOutcome() == errkind.Unknown {
		kind = errkind.OutcomeUnknown
	}
	r.refuse(q, kind, 0, "the deadline has passed")
}

// mayKeepWaiting reports whether an attempt without a first token may still be queued: all of its targets make progress
// for others. Canceling such attempts would add load just when the targets are overloaded. A dead connection looks the
// same, so the wait is bounded.
func (r *Router) mayKeepWaiting(a *attempt) bool {
	if r.options.FixedTimeouts || a.nextPosition > a.fromPosition || r.now.Sub(a.lastProgress) >= a.waitLimit {
		return false
	}
	recent := r.tuning.firstTokenTimeout
	if loadedTimeout := a.waitLimit / waitLimitFactor; a.timeout < loadedTimeout { // started at low load
		if !slices.ContainsFunc(a.chain, r.loaded) {
			recent = min(recent, a.timeout)
		} else if r.now.Sub(a.lastProgress) < loadedTimeout {
			return true
		}
	}
	for _, t := range a.chain {
		if t.lastProgress.IsZero() || r.now.Sub(t.lastProgress) >= recent {
			return false
		}
	}
	return true
}

func (r *Router) handleTimeout(q *request, a *attempt) {
	r.counts.Timeouts++
	if a.nextPosition > a.fromPosition {
		r.counts.Stalls++
	}
	r.cancel(q, a, true)
	if r.recordFailure(q, a, "") == 0 {
		r.adaptiveTimeout.grow(r.now)
	}
	kind := errkind.TargetFailed
	if !q.Idempotent {
		kind = errkind.OutcomeUnknown
	}
	r.retryOrRefuse(q, kind, errkind.Unknown, 0)
}
