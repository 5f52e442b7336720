package retry

import "time"

// windowBuckets is the number of buckets per span. Retries are counted over one bucket more, since the oldest bucket
// lies only partly inside the span.
const windowBuckets = 20

// Limit is the maximum number of retries that all instances together may send to a service within any interval of
// length Span: Ratio times the requests, plus Slack.
type Limit struct {
	// Ratio is the number of retries allowed per request.
	Ratio float64
	// Slack is the number of retries allowed independently of the requests.
	Slack float64
	Span  time.Duration
}

// Window enforces one instance's part of a limit over a sliding window. Each instance counts the requests that it
// receives itself, and the slack is divided equally among the instances. The zero value is not usable; see NewWindow.
// A Window is not safe for concurrent use.
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

// RecordRequest records a request. now is the time since the start of the process.
func (w *Window) RecordRequest(now time.Duration) { w.bucketAt(now).requests++ }

// TryAcquire records one retry, or returns false if the limit allows none. instances is the number of instances that
// share the limit.
func (w *Window) TryAcquire(now time.Duration, instances int) bool {
	if !w.Allows(now, instances) {
		return false
	}
	w.bucketAt(now).retries++
	return true
}

// Allows reports whether a retry is within the limit. During the first span after the start, the slack grows linearly
// from 0, since an earlier process of the same instance may have used it already.
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
