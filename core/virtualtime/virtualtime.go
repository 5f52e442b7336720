// Package virtualtime is a discrete-event simulator: it runs events on a virtual clock, for randomised tests and
// measurements of the decision logic.
package virtualtime

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Scheduler runs events in order of time; events at the same time run in the order in which they were added.
// The zero value is ready to use.
type Scheduler struct {
	now     time.Duration
	lastSeq int
	steps   int
	queue   queue
}

// Now returns the virtual time since the start.
func (s *Scheduler) Now() time.Duration { return s.now }

// Steps returns the number of events that have run.
func (s *Scheduler) Steps() int { return s.steps }

// After schedules run to be called once d has elapsed.
func (s *Scheduler) After(d time.Duration, run func()) {
	s.lastSeq++
	heap.Push(&s.queue, event{at: s.now + d, seq: s.lastSeq, run: run})
}

// Step runs the next event. It returns false if there is none.
func (s *Scheduler) Step() bool {
	if len(s.queue) == 0 {
		return false
	}
	next := heap.Pop(&s.queue).(event)
	s.now = next.at
	s.steps++
	next.run()
	return true
}

// RunUntil runs the events up to and including the time end, and advances the virtual time to end.
func (s *Scheduler) RunUntil(end time.Duration) {
	for len(s.queue) > 0 && s.queue[0].at <= end {
		s.Step()
	}
	s.now = end
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

// queue implements heap.Interface.
type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	last := len(*q) - 1
	popped := (*q)[last]
	(*q)[last] = event{} // releases what run refers to
	*q = (*q)[:last]
	return popped
}

// Process is a simulated process that can be paused and can crash.
type Process struct {
	Dead        bool
	PausedUntil time.Duration
}

// RunIn schedules run to be called in process p once d has elapsed. If p is paused then, run waits for the end of the
// pause; if p is dead, run is never called.
func (s *Scheduler) RunIn(p *Process, d time.Duration, run func()) {
	s.After(d, func() {
		switch {
		case p.Dead:
		case p.PausedUntil > s.now:
			s.RunIn(p, p.PausedUntil-s.now, run)
		default:
			run()
		}
	})
}

// Network simulates a network that loses and delays calls at random.
type Network struct {
	Scheduler *Scheduler
	Rand      *rand.Rand
	// RequestLossRate, RequestDelayRate and ReplyLossRate are the probabilities that a request is lost, that a request
	// is delayed by half a timeout to 20 timeouts, and that a reply is lost.
	RequestLossRate, RequestDelayRate, ReplyLossRate float64
	// Reliable disables the losses and the delays beyond normal latency.
	Reliable bool
}

// One-way latencies of requests and replies.
const (
	minLatency = time.Millisecond
	maxLatency = 20 * time.Millisecond
)

// Call simulates a remote call by process p. On the remote side, serve runs at most once, possibly long after the
// timeout. Unless p is dead, exactly one of the reply that serve returns and onTimeout runs in it; a nil reply is never
// received.
func (n *Network) Call(p *Process, timeout time.Duration, serve func() func(), onTimeout func()) {
	done := false
	once := func(run func()) func() {
		return func() {
			if !done {
				done = true
				run()
			}
		}
	}
	n.Scheduler.RunIn(p, timeout, once(onTimeout))
	if n.chance(n.RequestLossRate) {
		return
	}
	latency := n.between(minLatency, maxLatency)
	if n.chance(n.RequestDelayRate) {
		latency = n.between(timeout/2, 20*timeout)
	}
	n.Scheduler.After(latency, func() {
		reply := serve()
		if reply != nil && !n.chance(n.ReplyLossRate) {
			n.Scheduler.RunIn(p, n.between(minLatency, maxLatency), once(reply))
		}
	})
}

func (n *Network) chance(probability float64) bool {
	return !n.Reliable && n.Rand.Float64() < probability
}

func (n *Network) between(low, high time.Duration) time.Duration {
	return low + time.Duration(n.Rand.Int64N(int64(high-low)))
}
