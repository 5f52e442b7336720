package postingstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/posting"
)

const shutdownRetryInterval = 500 * time.Millisecond

// pendingOutcome is an outcome that is not yet stored.
type pendingOutcome struct {
	key     string
	outcome posting.Outcome
	size    int64
	// objectKey is the key of the response in the object store, once it is stored there.
	objectKey string
}

// pendingResponse returns the response of a key whose outcome this daemon knows but has not stored yet. An empty hash
// matches every request.
func (r *Runner) pendingResponse(key, hash string) (*Response, error, bool) {
	r.mu.Lock()
	p := r.pendingByKey[key]
	r.mu.Unlock()
	if p == nil {
		return nil, nil, false
	}
	if hash != "" && hash != p.outcome.Row.Record.RequestHash {
		return nil, errkind.New(errkind.KeyReused, "key %q was used with another request", key), true
	}
	response, err := r.loadResponse(context.Background(), p.outcome.Result)
	return response, err, true
}

// storeOutcome stores an outcome in the background. The attempt stays active until it is stored.
func (r *Runner) storeOutcome(key string, outcome posting.Outcome) {
	p := &pendingOutcome{key: key, outcome: outcome}
	if outcome.Result != nil {
		p.size = int64(len(outcome.Result.Inline))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt := outcome.Row.Record.Attempt
	if outcome.State == posting.StateNotRun && outcome.Row.Version == 0 && len(r.pending) >= r.options.MaxPending/2 {
		// The claim may never appear, and later requests can learn from the abandoned attempt that the key has not
		// run. A row would only speed them up, so the remaining capacity is kept for other outcomes.
		return
	}
	r.pending[attempt] = p
	r.pendingBytes += p.size
	if outcome.State == posting.StateDone {
		r.pendingByKey[key] = p
	}
	r.metrics.pending.Set(float64(len(r.pending)))
	retryDeadline := r.options.Now().Add(r.options.Retention / 2)
	random := rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64()))
	go r.runOutcomeWriter(p, posting.NewOutcomeWriter(outcome, retryDeadline, random))
}

// runOutcomeWriter performs the actions of an OutcomeWriter until it stops.
func (r *Runner) runOutcomeWriter(p *pendingOutcome, writer *posting.OutcomeWriter) {
	ctx := context.Background()
	var event posting.Event = posting.Started{}
	for {
		switch a := writer.Step(r.options.Now(), event).(type) {
		case posting.Write:
			event = r.storeRow(ctx, p, a)
		case posting.Read:
			event = r.read(ctx, p.key)
		case posting.Wait:
			r.metrics.retries.Inc()
			r.wait(a.For)
			event = posting.WaitEnded{}
		case posting.StopWriter:
			r.removePending(p)
			return
		}
	}
}

// wait sleeps until the next try. During a graceful shutdown, tries are at most shutdownRetryInterval apart.
func (r *Runner) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.stopping:
		time.Sleep(min(d, shutdownRetryInterval))
	}
}

// storeRow writes the row. A response that is too large for it is first stored in the object store.
func (r *Runner) storeRow(ctx context.Context, p *pendingOutcome, write posting.Write) posting.Event {
	result := write.Record.Result
	if result != nil && len(result.Inline) > maxInlineBytes {
		if p.objectKey == "" {
			objectKey := "postings/" + string(write.Record.Attempt)
			putCtx, cancel := context.WithTimeout(ctx, r.options.Timeout)
			err := r.options.Objects.PutObject(putCtx, objectKey, result.Inline)
			cancel()
			if err != nil {
				return posting.WriteRefused{}
			}
			p.objectKey = objectKey
		}
		write.Record.Result = &posting.Result{Object: p.objectKey}
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout+r.commits.linger)
	defer cancel()
	return r.commitRow(ctx, p.key, write, false)
}

func (r *Runner) removePending(p *pendingOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt := p.outcome.Row.Record.Attempt
	delete(r.pending, attempt)
	if r.pendingByKey[p.key] == p {
		delete(r.pendingByKey, p.key)
	}
	r.pendingBytes -= p.size
	r.attempts.End(attempt)
	r.metrics.pending.Set(float64(len(r.pending)))
	close(r.outcomeFinished)
	r.outcomeFinished = make(chan struct{})
}

// Drain waits until all outcomes are stored or ctx ends, and returns the number that are not. It is called during
// a graceful shutdown, after the last call has ended.
func (r *Runner) Drain(ctx context.Context) int {
	r.commits.drain()
	r.mu.Lock()
	select {
	case <-r.stopping:
	default:
		close(r.stopping)
	}
	r.mu.Unlock()
	for {
		r.mu.Lock()
		remaining, finished := len(r.pending), r.outcomeFinished
		r.mu.Unlock()
		if remaining == 0 {
			return 0
		}
		select {
		case <-finished:
		case <-ctx.Done():
			log.Warningf("%d outcomes were not stored before the shutdown deadline", remaining)
			return remaining
		}
	}
}

const (
	breakerThreshold = 3
	breakerBaseDelay = 100 * time.Millisecond
	breakerMaxDelay  = 2 * time.Second
)

// breaker is a circuit breaker for claims. While the platform fails, it refuses calls, so that they do not wait for the
// platform's timeout and leave no claims behind. After each backoff it lets one call through as a probe.
type breaker struct {
	mu        sync.Mutex
	failures  int
	openUntil time.Time
}

func newBreaker() *breaker { return &breaker{} }

func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerThreshold {
		return true
	}
	if now.Before(b.openUntil) {
		return false
	}
	b.openUntil = now.Add(b.backoff())
	return true
}

// report records the result of a claim write.
func (b *breaker) report(now time.Time, event posting.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch event.(type) {
	case posting.Committed, posting.Conflicted:
		b.failures = 0
		return
	}
	b.failures++
	b.openUntil = now.Add(b.backoff())
}

func (b *breaker) backoff() time.Duration {
	delay := breakerBaseDelay << min(max(0, b.failures-breakerThreshold), 5)
	return min(breakerMaxDelay, delay)/2 + rand.N(min(breakerMaxDelay, delay)/2)
}
