// Package virtualtime runs events on a virtual clock, for randomised tests and measurements of the decision logic.
package virtualtime

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// Scheduler runs events in order of their times; events of the same time run in the order in which they were added.
// The zero value is ready to use.
type Scheduler struct {
	now     time.Duration
	lastSeq int
	steps   int
	queue   queue
}

// Now returns the time since the start.
func (s *Scheduler) Now() time.Duration { return s.now }

// Steps returns the number of events that have run.
func (s *Scheduler) Steps() int { return s.steps }

// After runs an event after a duration.
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
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// Process is a process that can be paused and can die.
type Process struct {
	Dead        bool
	PausedUntil time.Duration
}

// RunIn runs an event of a process after a duration: never if it has died, and after its pause if it is paused.
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

// Network loses and delays calls at random.
type Network struct {
	Scheduler *Scheduler
	Rand      *rand.Rand
	// RequestLossRate, RequestDelayRate and ReplyLossRate are the shares, from 0 to 1, of requests that never arrive, of requests
	// that arrive up to 20 timeouts late, and of replies that never arrive.
	RequestLossRate, RequestDelayRate, ReplyLossRate float64
	// Reliable switches all losses and delays off.
	Reliable bool
}

// Travel times of requests and replies.
const (
	minLatency = time.Millisecond
	maxLatency = 20 * time.Millisecond
)

// Call performs a call of a process: serve runs once at the other side, possibly long after the timeout, or never.
// Exactly one of the reply that it returns and lost runs in the process; a nil reply is never received.
func (n *Network) Call(p *Process, timeout time.Duration, serve func() func(), lost func()) {
	answered := false
	once := func(run func()) func() {
		return func() {
			if !answered {
				answered = true
				run()
			}
		}
	}
	n.Scheduler.RunIn(p, timeout, once(lost))
	if n.chance(n.RequestLossRate) {
		return
	}
	travel := n.between(minLatency, maxLatency)
	if n.chance(n.RequestDelayRate) {
		travel = n.between(timeout/2, 20*timeout)
	}
	n.Scheduler.After(travel, func() {
		reply := serve()
		if reply != nil && !n.chance(n.ReplyLossRate) {
			n.Scheduler.RunIn(p, n.between(minLatency, maxLatency), once(reply))
		}
	})
}

func (n *Network) chance(share float64) bool { return !n.Reliable && n.Rand.Float64() < share }

func (n *Network) between(low, high time.Duration) time.Duration {
	return low + time.Duration(n.Rand.Int64N(int64(high-low)))
}
