package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// TestWindow guards against an instance that exceeds its part of the limit, which is its share of the slack plus the
// ratio of its requests, and against retries that still count after the span.
func TestWindow(t *testing.T) {
	w := NewWindow(Limit{Ratio: 0.5, Slack: 8, Span: 10 * time.Second})
	acquire := func(at time.Duration) (n int) {
		for w.TryAcquire(at, 4) {
			n++
		}
		return n
	}
	if n := acquire(20 * time.Second); n != 2 {
		t.Errorf("%d retries from the slack, want 2", n)
	}
	for range 6 {
		w.RecordRequest(21 * time.Second)
	}
	if n := acquire(21 * time.Second); n != 3 {
		t.Errorf("%d retries from 6 requests, want 3", n)
	}
	if n := acquire(28 * time.Second); n != 0 {
		t.Errorf("%d retries within the span, want 0", n)
	}
	if n := acquire(32 * time.Second); n == 0 {
		t.Error("no retry after the span")
	}
}

// TestWindowAfterRestarts guards against restarted instances that together exceed the limit because a new process does
// not know which retries its predecessor sent. A benchmark counted 407 retries where 398 were allowed, while instances
// were replaced one by one.
func TestWindowAfterRestarts(t *testing.T) {
	const instances = 4
	limit := Limit{Slack: 40, Span: 10 * time.Second}
	total := 0
	for _, lifetime := range []time.Duration{time.Hour, 4 * time.Second, 2 * time.Second} {
		for w := NewWindow(limit); w.TryAcquire(lifetime, instances); {
			total++
		}
	}
	// The first process may use the instance's whole slack of 10 within a span; its successors add at most 4 and 2.
	if total > 16 {
		t.Errorf("%d retries of one instance within a span with two restarts, want at most 16", total)
	}
}

// TestRandomisedWindow guards against any interval of the limit's span in which all instances together send more
// retries than the limit allows, at a constant request rate.
func TestRandomisedWindow(t *testing.T) {
	const instances, step = 5, 20 * time.Millisecond
	limit := Limit{Ratio: 0.2, Slack: 50, Span: 10 * time.Second}
	random := rand.New(rand.NewPCG(1, 1))
	windows := make([]*Window, instances)
	for i := range windows {
		windows[i] = NewWindow(limit)
	}
	var retries []time.Duration
	for now := time.Duration(0); now < time.Minute; now += step {
		for _, w := range windows {
			w.RecordRequest(now)
			if random.IntN(3) == 0 && w.TryAcquire(now, instances) {
				retries = append(retries, now)
			}
		}
	}
	perSpan := float64(instances * int(limit.Span/step))
	bound := int(limit.Ratio*perSpan + limit.Slack)
	for i, from := range retries {
		n := 0
		for _, at := range retries[i:] {
			if at-from < limit.Span {
				n++
			}
		}
		if n > bound {
			t.Fatalf("%d retries within %v from %v, want at most %d", n, limit.Span, from, bound)
		}
	}
}
