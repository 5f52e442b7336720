package router

import (
	"fmt"
	"time"

	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/message"
)

// admit refuses a request that is expected to miss its deadline, and reports whether the request may be queued. If the
// queue is full, it refuses this request, or the newest one of the lowest priority in the account that exceeds its share
// the most.
func (r *Router) admit(q *request) bool {
	wait := r.queue.EstimatedWait(q.Account, expectedWork(q), r.throughput.PerSecond(r.now))
	if !q.Deadline.IsZero() && wait > 0 && r.now.Add(wait+r.completionTime(q)).After(q.Deadline) {
		r.refuse(q, errkind.DeadlineInfeasible, r.retryAfter(q),
			fmt.Sprintf("the request would wait %v in the queue and miss its deadline", wait.Round(time.Millisecond)))
		return false
	}
	if r.queue.Len() < r.queueLimit() {
		return true
	}
	text := fmt.Sprintf("the queue is full: %d requests are waiting", r.queue.Len())
	other, ok := r.queue.EvictionCandidate(q.Account, expectedWork(q))
	if !ok {
		r.refuse(q, errkind.Overloaded, r.retryAfter(q), text)
		return false
	}
	displaced := r.requests.Get(other.Request)
	r.refuse(displaced, errkind.Overloaded, r.retryAfter(displaced), text)
	return true
}

// completionTime returns the expected time from start to end of a completion, learned from finished ones.
func (r *Router) completionTime(q *request) time.Duration {
	if q.Kind == message.ServiceCall {
		return 0
	}
	first := r.timeToFirstToken.Value(r.now, requestHalfLife, 0)
	perToken := r.timePerToken.Value(r.now, requestHalfLife, 0)
	return time.Duration((first + r.expectedCosts(q).outputTokens*perToken) * float64(time.Second))
}

// retryAfter returns the time after which a request of the account would start at once if no others arrived until then.
func (r *Router) retryAfter(q *request) time.Duration {
	wait := r.queue.EstimatedWait(q.Account, expectedWork(q), r.throughput.PerSecond(r.now))
	return min(max(wait, minRetryAfter), maxRetryAfter)
}

// missesDeadline reports whether a completion that has not been started is expected to miss its deadline on the chain.
// Work on it would be wasted.
func (r *Router) missesDeadline(q *request, targets []*target) bool {
	if r.options.Policy != Learned || q.Kind != message.Completion || q.attemptsStarted > 0 || q.Deadline.IsZero() {
		return false
	}
	expected := time.Duration(r.expectedCosts(q).chainTime(targets) * float64(time.Second))
	return r.now.Add(expected).After(q.Deadline)
}
