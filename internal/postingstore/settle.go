package postingstore

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/hyssophoist/hyssophoist/core/errkind"
	"github.com/hyssophoist/hyssophoist/core/posting"
)

const stoppingRetry = 500 * time.Millisecond

// pendingOutcome is an outcome that is not yet stored.
type pendingOutcome struct {
	key     string
	outcome posting.Outcome
	size    int64
	// object is the key of the response in the object store, once it is stored there.
	object string
}

// local returns the response of a key whose outcome this daemon knows and has not stored yet. An empty hash matches
// every request.
func (r *Runner) local(key, hash string) (*Response, error, bool) {
	r.mu.Lock()
	p := r.answers[key]
	r.mu.Unlock()
	if p == nil {
		return nil, nil, false
	}
	if hash != "" && hash != p.outcome.Row.Record.RequestHash {
		return nil, errkind.New(errkind.KeyReused, "key %q was used with another request", key), true
	}
	response, err := r.load(context.Background(), p.outcome.Result)
	return response, err, true
}

// settle stores an outcome in the background. It keeps the attempt active until then.
func (r *Runner) settle(key string, outcome posting.Outcome) {
	p := &pendingOutcome{key: key, outcome: outcome}
	if outcome.Result != nil {
		p.size = int64(len(outcome.Result.Inline))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt := outcome.Row.Record.Attempt
	if outcome.State == posting.StateNotRun && outcome.Row.Version == 0 && len(r.pending) >= r.options.MaxPending/2 {
		// A row in place of a claim that may never appear only speeds up later requests. The abandoned mark is
		// enough for them, so outcomes have precedence.
		return
	}
	r.pending[attempt] = p
	r.bytes += p.size
	if outcome.State == posting.StateDone {
		r.answers[key] = p
	}
	r.metrics.pending.Set(float64(len(r.pending)))
	until := r.options.Now().Add(r.options.Retention / 2)
	random := rand.New(rand.NewPCG(r.random.Uint64(), r.random.Uint64()))
	go r.store(p, posting.NewOutcomeWriter(outcome, until, random))
}

// store runs an outcome writer to its end.
func (r *Runner) store(p *pendingOutcome, settlement *posting.OutcomeWriter) {
	ctx := context.Background()
	var event posting.Event = posting.Started{}
	for {
		switch a := settlement.Step(r.options.Now(), event).(type) {
		case posting.Write:
			event = r.storeRow(ctx, p, a)
		case posting.Read:
			event = r.read(ctx, p.key)
		case posting.Wait:
			r.metrics.retries.Inc()
			r.wait(a.For)
			event = posting.WaitEnded{}
		case posting.StopWriter:
			r.finish(p)
			return
		}
	}
}

// wait sleeps until the next try. During a graceful shutdown tries are at most stoppingRetry apart.
func (r *Runner) wait(d time.Duration) {
	select {
	case <-time.After(d):
	case <-r.stopping:
		time.Sleep(min(d, stoppingRetry))
	}
}

// storeRow writes the row, after the response if that is too large for the row.
func (r *Runner) storeRow(ctx context.Context, p *pendingOutcome, write posting.Write) posting.Event {
	result := write.Record.Result
	if result != nil && len(result.Inline) > maxInlineBytes {
		if p.object == "" {
			object := "postings/" + string(write.Record.Attempt)
			put, cancel := context.WithTimeout(ctx, r.options.Timeout)
			err := r.options.Objects.PutObject(put, object, result.Inline)
			cancel()
			if err != nil {
				return posting.WriteRefused{}
			}
			p.object = object
		}
		write.Record.Result = &posting.Result{Object: p.object}
	}
	ctx, cancel := context.WithTimeout(ctx, r.options.Timeout+r.commits.linger)
	defer cancel()
	return r.commitRow(ctx, p.key, write, false)
}

func (r *Runner) finish(p *pendingOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	attempt := p.outcome.Row.Record.Attempt
	delete(r.pending, attempt)
	if r.answers[p.key] == p {
		delete(r.answers, p.key)
	}
	r.bytes -= p.size
	r.attempts.End(attempt)
	r.metrics.pending.Set(float64(len(r.pending)))
	close(r.settled)
	r.settled = make(chan struct{})
}

// Drain waits until all outcomes are stored or ctx ends, and returns the number that are not. It is called in the
// graceful shutdown, after the last call has ended.
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
		left, settled := len(r.pending), r.settled
		r.mu.Unlock()
		if left == 0 {
			return 0
		}
		select {
		case <-settled:
		case <-ctx.Done():
			log.Warningf("%d outcomes are not stored.", left)
			return left
		}
	}
}

const (
	breakerFailures = 3
	breakerFirst    = 100 * time.Millisecond
	breakerMax      = 2 * time.Second
)

// breaker refuses claims while the platform fails, so that calls do not wait for its timeout and leave no claims
// behind. One call at a time is let through to try the platform.
type breaker struct {
	mu       sync.Mutex
	failures int
	until    time.Time
}

func newBreaker() *breaker { return &breaker{} }

func (b *breaker) allow(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.failures < breakerFailures {
		return true
	}
	if now.Before(b.until) {
		return false
	}
	b.until = now.Add(b.pause())
	return true
}

// report takes the result of a claim write.
func (b *breaker) report(now time.Time, event posting.Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	switch event.(type) {
	case posting.Committed, posting.Conflicted:
		b.failures = 0
		return
	}
	b.failures++
	b.until = now.Add(b.pause())
}

func (b *breaker) pause() time.Duration {
	step := breakerFirst << min(max(0, b.failures-breakerFailures), 5)
	return min(breakerMax, step)/2 + rand.N(min(breakerMax, step)/2)
}
