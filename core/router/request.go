package router

import (
	"fmt"
	"time"

	"github.com/hyssophoist/hyssophoist/core/admission"
	"github.com/hyssophoist/hyssophoist/core/entity"
	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/estimate"
	"github.com/hyssophoist/hyssophoist/core/message"
	"github.com/hyssophoist/hyssophoist/core/retry"
)

// request is the table row of one request, from its arrival to its single outcome.
type request struct {
	message.RequestArrived
	arrived time.Time
	// nextPosition is the position at which a new attempt continues.
	nextPosition    int
	queued          bool
	retryAt         time.Time // set while waiting for a retry
	attemptsStarted int
	mayHaveRun      bool // whether a target may have begun work on an ended attempt
	attempts        []*attempt
	// lastHeadEngine is the first engine of the latest attempt's chain. A new chain may import its KV cache.
	lastHeadEngine entity.TargetID
	// avoid lists the targets of attempts that failed, stalled or were hedged, and atFault those that a failed attempt
	// named as its cause. A target occurs once for each such attempt.
	avoid, atFault []*target
	lastErrorKind  errkind.Kind
}

// attempt is one attempt in progress.
type attempt struct {
	promptTokens float64 // tokens to process before the first new token
	id           entity.AttemptID
	chain        []*target
	fromPosition int
	nextPosition int
	startedAt    time.Time
	lastProgress time.Time // time of the latest progress
	// firstProgressAt is the time of the first progress and firstProgressPosition the next position reported by it.
	firstProgressAt       time.Time
	firstProgressPosition int
	timeout               time.Duration
	waitLimit             time.Duration // bounds the wait for the first token while the targets serve other attempts
	interTokenTime        estimate.Mean // seconds between tokens
}

func (q *request) attempt(id entity.AttemptID) *attempt {
	for _, a := range q.attempts {
		if a.id == id {
			return a
		}
	}
	return nil
}

// failuresAt returns how strongly earlier attempts of the request speak against a target. A failure that names the
// target counts twice, since a stalled attempt does not show which target it waits for.
func (q *request) failuresAt(t *target) int {
	count := 0
	for _, targets := range [][]*target{q.avoid, q.atFault} {
		for _, other := range targets {
			if other == t {
				count++
			}
		}
	}
	return count
}

func (q *request) runOutcome() errkind.RunOutcome {
	if q.mayHaveRun || len(q.attempts) > 0 {
		return errkind.Unknown
	}
	return errkind.NotRun
}

func (r *Router) applyArrival(in message.RequestArrived) {
	if r.requests.Get(in.Request) != nil {
		r.reportViolation(InvariantOneOutcome, "request %s arrived twice", in.Request)
		return
	}
	if in.Kind == message.Completion {
		in.Idempotent = true
	}
	q := &request{RequestArrived: in, arrived: r.now}
	r.counts.Arrived++
	r.requests.Put(in.Request, q)
	if kind, text := r.refusalReason(q); kind != "" {
		r.refuse(q, kind, 0, text)
		return
	}
	if !r.admit(q) {
		return
	}
	q.queued = true
	r.queue.Push(admission.Item{
		Request: q.Request, Account: q.Account, Priority: q.Priority, Work: expectedWork(q),
	})
}

// refusalReason returns the error kind and message if a new request is refused at once, or an empty kind.
func (r *Router) refusalReason(q *request) (errkind.Kind, string) {
	switch {
	case r.configuration == nil:
		return errkind.NoConfiguration, "no configuration is in force at this daemon"
	case r.stopping:
		return errkind.Stopping, "this daemon is stopping"
	}
	return r.unservableReason(q)
}

// unservableReason returns the error kind and message for a request that nothing in the configuration can serve, or an
// empty kind.
func (r *Router) unservableReason(q *request) (errkind.Kind, string) {
	if q.Kind == message.ServiceCall {
		switch s := r.services.Get(q.Service); {
		case s == nil:
			return errkind.UnknownService, fmt.Sprintf("service %q does not exist", q.Service)
		case len(s.targets) == 0:
			return errkind.NoCapacity, fmt.Sprintf("no target of service %q accepts new requests", q.Service)
		}
		return "", ""
	}
	switch m := r.models.Get(q.Model); {
	case m == nil:
		return errkind.UnknownModel, fmt.Sprintf("model %q does not exist", q.Model)
	case m.graph.Empty():
		return errkind.NoCapacity, fmt.Sprintf("no chain of targets covers all layers of model %q", q.Model)
	}
	return "", ""
}

func (r *Router) queueLimit() int {
	if limit := r.configuration.Preset.Limits.QueueLength; limit > 0 {
		return limit
	}
	return defaultQueueLength
}

// expectedWork returns the expected work of a request, in output tokens.
func expectedWork(q *request) float64 {
	if q.Kind == message.ServiceCall {
		return 1
	}
	return float64(q.PromptTokens)/promptTokensPerOutputToken + float64(q.MaxTokens-q.nextPosition)
}

func (r *Router) applyCancel(id entity.RequestID) {
	q := r.requests.Get(id)
	if q == nil {
		return
	}
	r.refuse(q, errkind.Canceled, 0, "the caller disconnected")
}

// refuse ends a request with an error and cancels its attempts.
func (r *Router) refuse(q *request, kind errkind.Kind, retryAfter time.Duration, text string) {
	run := q.runOutcome()
	for len(q.attempts) > 0 {
		r.cancel(q, q.attempts[0], false)
	}
	r.counts.Refused++
	r.emit(message.RefuseRequest{
		Request: q.Request, Kind: kind, Run: run, RetryAfter: retryAfter, Message: text,
	})
	r.removeRequest(q)
}

func (r *Router) removeRequest(q *request) {
	if q.queued {
		r.queue.Remove(q.Account, q.Request)
	}
	r.requests.Delete(q.Request)
}

// cancel cancels an attempt in progress, on which a target may have begun work.
func (r *Router) cancel(q *request, a *attempt, replaceConnection bool) {
	r.emit(message.CancelAttempt{Request: q.Request, Attempt: a.id, ReplaceConnection: replaceConnection})
	q.mayHaveRun = true
	r.detach(q, a)
}

// detach removes an attempt from its request and its targets.
func (r *Router) detach(q *request, a *attempt) {
	for i := range q.attempts {
		if q.attempts[i] == a {
			q.attempts = append(q.attempts[:i], q.attempts[i+1:]...)
			break
		}
	}
	for _, t := range a.chain {
		t.inProgress--
		if a.nextPosition > a.fromPosition {
			t.streaming--
		} else {
			t.pendingPromptTokens -= a.promptTokens
		}
	}
}

// findAttempt returns a request and one of its attempts; the attempt is nil if either has ended.
func (r *Router) findAttempt(id entity.RequestID, attemptID entity.AttemptID) (*request, *attempt) {
	q := r.requests.Get(id)
	if q == nil {
		return nil, nil
	}
	return q, q.attempt(attemptID)
}

func (r *Router) applyProgress(in message.AttemptProgressed) {
	q, a := r.findAttempt(in.Request, in.Attempt)
	if a == nil {
		return
	}
	if gained := in.NextPosition - a.nextPosition; gained > 0 && a.nextPosition > a.fromPosition {
		a.interTokenTime.Observe(r.now, r.now.Sub(a.lastProgress).Seconds()/float64(gained), interTokenHalfLife)
	}
	if a.nextPosition == a.fromPosition && in.NextPosition > a.fromPosition {
		a.firstProgressAt, a.firstProgressPosition = r.now, in.NextPosition
		r.normalizedTimeToFirstToken.Observe(r.now,
			r.now.Sub(a.startedAt).Seconds()/(a.promptTokens+firstTokenOverheadTokens), requestHalfLife)
		for _, t := range a.chain {
			t.streaming++
			t.pendingPromptTokens -= a.promptTokens
		}
	}
	a.lastProgress = r.now
	r.learnHops(in.Hops)
	for _, t := range a.chain {
		t.recordProgress(r.now)
	}
	a.nextPosition = max(a.nextPosition, in.NextPosition)
	a.timeout = r.progressTimeout(a)
	q.nextPosition = max(q.nextPosition, in.NextPosition)
}

func (r *Router) applyFinish(in message.AttemptFinished) {
	q, a := r.findAttempt(in.Request, in.Attempt)
	if a == nil {
		return
	}
	r.detach(q, a)
	for _, t := range a.chain {
		t.recordProgress(r.now)
	}
	r.learnCall(q, a)
	r.cancelSuperseded(q)
	r.learnCompletion(q, a, in.NextPosition)
	r.counts.Finished++
	r.emit(message.FinishRequest{Request: q.Request})
	r.removeRequest(q)
}

func (r *Router) applyFailure(in message.AttemptFailed) {
	q, a := r.findAttempt(in.Request, in.Attempt)
	if a == nil {
		return
	}
	r.detach(q, a)
	if retry.Retryable(in.Kind) {
		r.recordFailure(q, a, in.Target)
	}
	q.nextPosition = max(q.nextPosition, in.NextPosition)
	if in.Run != errkind.NotRun {
		q.mayHaveRun = true
	}
	r.retryOrRefuse(q, in.Kind, in.Run, in.RetryAfter)
}

// retryOrRefuse schedules a retry of a request whose attempt failed, or refuses the request if it must not be retried.
func (r *Router) retryOrRefuse(q *request, kind errkind.Kind, run errkind.RunOutcome, retryAfter time.Duration) {
	q.lastErrorKind = kind
	if len(q.attempts) > 0 {
		return // another attempt is still in progress
	}
	switch {
	case !retry.Safe(q.Idempotent, run) || !retry.Retryable(kind) ||
		q.attemptsStarted >= maxAttempts && !r.options.UnlimitedRetries:
		r.refuse(q, kind, retryAfter, fmt.Sprintf("attempt %d failed: %s", q.attemptsStarted, kind))
	case r.refuseIfUnservable(q):
	case !r.options.UnlimitedRetries && !r.retryBudget.TryWithdraw():
		r.refuse(q, kind, max(retryAfter, time.Second), "the retry budget is exhausted")
	default:
		r.counts.Retries++
		q.retryAt = r.now.Add(max(retryAfter, r.retryDelay(q, run)))
	}
}

// refuseIfUnservable refuses the request if no target can serve it any more, and reports whether it did.
func (r *Router) refuseIfUnservable(q *request) bool {
	kind, text := r.unservableReason(q)
	if kind == "" {
		return false
	}
	if q.runOutcome() != errkind.NotRun {
		kind = q.lastErrorKind // the kinds of unservableReason mean that the request has not run
	}
	r.refuse(q, kind, 0, text)
	return true
}

// retryDelay returns the time to wait before the next attempt. A request whose first attempt may have run,
// such as an interrupted stream, continues at once on other targets; all other retries back off.
func (r *Router) retryDelay(q *request, run errkind.RunOutcome) time.Duration {
	if q.attemptsStarted <= 1 && run == errkind.Unknown {
		return 0
	}
	return retry.Backoff(r.random, q.attemptsStarted, retryBackoff, retryBackoffLimit)
}
