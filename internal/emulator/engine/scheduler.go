package engine

import (
	"container/heap"
	"context"
	"time"

	"github.com/hyssophoist/hyssophoist/internal/emulator/clock"
)

const (
	// maxPrefillTokens bounds the prefill tokens of one step, so that long prompts do not stall the other sequences.
	maxPrefillTokens = 512
	// maxCatchUp bounds the time by which a step may be shortened under load to compensate for late timers.
	maxCatchUp = 10 * time.Millisecond
)

// job is the work of one stage for one position of one attempt.
type job struct {
	ctx      context.Context
	priority int
	sequence uint64
	layers   int
	// remaining is the number of tokens still to compute, and chunk the number in the current step.
	remaining int
	chunk     int
	done      chan struct{}
}

// jobQueue is a heap ordered by descending priority, then by arrival.
type jobQueue []*job

func (q jobQueue) Len() int { return len(q) }
func (q jobQueue) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].sequence < q[j].sequence
}
func (q jobQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *jobQueue) Push(x any)   { *q = append(*q, x.(*job)) }
func (q *jobQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = nil
	*q = (*q)[:len(*q)-1]
	return last
}

// runJob queues a job for the given numbers of layers and tokens and waits until it is complete.
func (e *Engine) runJob(ctx context.Context, priority, layers, tokens int) error {
	j := &job{ctx: ctx, priority: priority, layers: layers, remaining: tokens, done: make(chan struct{})}
	e.mu.Lock()
	e.jobSequence++
	j.sequence = e.jobSequence
	heap.Push(&e.queue, j)
	e.recordLoad()
	e.mu.Unlock()
	e.wakeScheduler()
	select {
	case <-j.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// wakeScheduler wakes runBatches, since there may be work.
func (e *Engine) wakeScheduler() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// runBatches repeatedly takes a batch of queued jobs and sleeps for the duration of one step.
func (e *Engine) runBatches() {
	defer close(e.stopped)
	var stepEnd time.Time
	for {
		batch, duration := e.takeBatch()
		now := e.clock.Now()
		if len(batch) == 0 {
			stepEnd = time.Time{}
			select {
			case <-e.wake:
				continue
			case <-e.ctx.Done():
				return
			}
		}
		stepStart := now
		if !stepEnd.IsZero() && now.Sub(stepEnd) < maxCatchUp {
			stepStart = stepEnd
		}
		stepEnd = stepStart.Add(duration)
		if clock.SleepPrecisely(e.ctx, e.clock, stepEnd.Sub(now)) != nil || e.awaitResume(e.ctx) != nil {
			return
		}
		if !e.finishBatch(batch) {
			stepEnd = time.Time{}
		}
	}
}

// takeBatch removes the jobs of the next step from the queue and returns them with the duration of the step. It returns
// no jobs while Faults.Hanging is set.
func (e *Engine) takeBatch() ([]*job, time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Hanging {
		return nil, 0
	}
	prefillBudget := maxPrefillTokens
	var batch, postponed []*job
	for len(batch) < e.accelerator.MaxBatch && e.queue.Len() > 0 {
		j := heap.Pop(&e.queue).(*job)
		switch {
		case j.ctx.Err() != nil:
		case j.remaining > 1 && prefillBudget == 0:
			postponed = append(postponed, j)
		default:
			j.chunk = 1
			if j.remaining > 1 {
				j.chunk = min(j.remaining, prefillBudget)
				prefillBudget -= j.chunk
			}
			batch = append(batch, j)
		}
	}
	for _, j := range postponed {
		heap.Push(&e.queue, j)
	}
	e.runningJobs = len(batch)
	e.recordLoad()
	return batch, e.stepTime(batch)
}

// stepTime returns the duration of one step of batch.
func (e *Engine) stepTime(batch []*job) time.Duration {
	a := &e.accelerator
	var total time.Duration
	layers := 0
	for i, j := range batch {
		layers = max(layers, j.layers)
		perLayer := time.Duration(j.chunk-1) * a.LayerPerToken
		if i > 0 {
			perLayer += a.LayerPerSequence
		}
		total += time.Duration(j.layers) * perLayer
	}
	total += time.Duration(layers) * a.LayerStep
	return time.Duration(float64(total) / e.faults.Speed)
}

// finishBatch completes the finished jobs and requeues the others. It returns whether jobs are queued.
func (e *Engine) finishBatch(batch []*job) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, j := range batch {
		j.remaining -= j.chunk
		e.tokensProcessed += uint64(j.chunk)
		if j.remaining <= 0 {
			close(j.done)
		} else {
			heap.Push(&e.queue, j)
		}
	}
	e.runningJobs = 0
	e.recordLoad()
	return e.queue.Len() > 0
}
