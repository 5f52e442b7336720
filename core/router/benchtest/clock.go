package benchtest

import (
	"container/heap"
	"time"
)

// epoch is the start of virtual time.
var epoch = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last] = event{}
	*e = (*e)[:last]
	return x
}

// clock is a virtual clock that runs events in order of time; events at the same time run in the order in which they
// were scheduled.
type clock struct {
	now    time.Duration
	seq    uint64
	events events
}

func (c *clock) after(delay time.Duration, run func()) {
	c.seq++
	heap.Push(&c.events, event{at: c.now + max(delay, 0), seq: c.seq, run: run})
}

func (c *clock) runUntil(end time.Duration) {
	for len(c.events) > 0 && c.events[0].at <= end {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.run()
	}
	c.now = end
}

func (c *clock) time() time.Time { return epoch.Add(c.now) }
