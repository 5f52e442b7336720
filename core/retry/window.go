package retry

import "time"

// windowBuckets is the number of parts into which a span is divided. Repetitions count one part longer, since the oldest
// part is only partly inside the span.
const windowBuckets = 20

// Limit is what all instances together may send beyond the first attempt of each request to a service, within any span of
// the given length.
type Limit struct {
	// Ratio is the number of repetitions that each request pays for.
	Ratio float64
	// Slack is the number of repetitions beside those.
	Slack float64
	Span  time.Duration
}

// Window keeps the repetitions of one instance within its part of a limit. Requests pay for repetitions where they arrive;
// the slack is shared out by the number of instances. The zero value is not usable; see NewWindow. A Window is not safe for
// concurrent use.
type Window struct {
	limit   Limit
	buckets [windowBuckets + 1]bucket
}

type bucket struct {
	number   int64
	requests float64
	retries  float64
}

// NewWindow returns an empty window.
func NewWindow(limit Limit) *Window { return &Window{limit: limit} }

// Request records a request at the time now, which counts from the start of the process.
func (w *Window) RecordRequest(now time.Duration) { w.bucketAt(now).requests++ }

// Repeat takes one repetition, or returns false if none is left. instances is the number of instances that share the limit.
func (w *Window) TryAcquire(now time.Duration, instances int) bool {
	if !w.Allows(now, instances) {
		return false
	}
	w.bucketAt(now).retries++
	return true
}

// Allows says whether a repetition is left. During the first span of time the slack grows from nothing: an earlier process
// of the same instance may have used it.
func (w *Window) Allows(now time.Duration, instances int) bool {
	current := w.bucketAt(now)
	requests, retries := 0.0, 0.0
	for i := range w.buckets {
		b := &w.buckets[i]
		if current.number-b.number < windowBuckets {
			requests += b.requests
		}
		if current.number-b.number <= windowBuckets {
			retries += b.retries
		}
	}
	slack := w.limit.Slack / float64(max(1, instances)) * min(1, float64(now)/float64(w.limit.Span))
	return retries+1 <= w.limit.Ratio*requests+slack
}

func (w *Window) bucketAt(now time.Duration) *bucket {
	number := int64(now / (w.limit.Span / windowBuckets))
	b := &w.buckets[number%int64(len(w.buckets))]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}
