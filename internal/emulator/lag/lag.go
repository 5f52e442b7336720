// Package lag models a value whose changes become visible to observers only after a delay.
package lag

import "time"

// History holds the recent states of a value that is measured every interval. Each measurement becomes visible after
// lag. History is not safe for concurrent use.
type History[T any] struct {
	start    time.Time
	lag      time.Duration
	interval time.Duration
	entries  []entry[T]
}

type entry[T any] struct {
	at    time.Time
	value T
}

// NewHistory returns a history that starts at now with the initial value. An interval of 0 means that the value is
// measured continuously.
func NewHistory[T any](now time.Time, initial T, lag, interval time.Duration) *History[T] {
	return &History[T]{start: now, lag: lag, interval: interval, entries: []entry[T]{{now, initial}}}
}

// Record sets the value from now on.
func (h *History[T]) Record(now time.Time, value T) {
	h.prune(h.measured(now))
	last := &h.entries[len(h.entries)-1]
	// Of several states between two measurements, only the last is measured.
	if h.interval > 0 && len(h.entries) > 1 && h.firstMeasurement(last.at) == h.firstMeasurement(now) {
		*last = entry[T]{now, value}
		return
	}
	h.entries = append(h.entries, entry[T]{now, value})
}

// Visible returns the value that is visible at now, the time at which it was measured and the number of that
// measurement, counted from 1. If the interval is 0, the number is always 1.
func (h *History[T]) Visible(now time.Time) (value T, measured time.Time, sequence uint64) {
	measured = h.measured(now)
	h.prune(measured)
	if h.interval > 0 {
		sequence = uint64(measured.Sub(h.start) / h.interval)
	}
	return h.entries[0].value, measured, sequence + 1
}

// measured returns the time of the newest measurement that is visible at now.
func (h *History[T]) measured(now time.Time) time.Time {
	age := now.Sub(h.start) - h.lag
	if age < 0 {
		// A time just before the start, so that a state recorded at the start itself is not visible yet.
		return h.start.Add(-1)
	}
	if h.interval > 0 {
		age -= age % h.interval
	}
	return h.start.Add(age)
}

// firstMeasurement returns the number of the first measurement that includes a state recorded at the time at.
func (h *History[T]) firstMeasurement(at time.Time) int64 {
	return int64((at.Sub(h.start) + h.interval - 1) / h.interval)
}

// prune removes the states that were no longer current at the time measured.
func (h *History[T]) prune(measured time.Time) {
	for len(h.entries) > 1 && !h.entries[1].at.After(measured) {
		h.entries = h.entries[1:]
	}
}
