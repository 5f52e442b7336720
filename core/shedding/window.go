package shedding

import "time"

const (
	// bucketLength is the resolution of a Window, and buckets the number of buckets that count. Together they cover a
	// second: an instance serves a few generations a second, and a shorter window would often be empty.
	bucketLength = 250 * time.Millisecond
	buckets      = 4
)

// Counts counts generations of one rank within a window: those that arrived, and those that were found to be late. A
// generation is late if its first event has not arrived within the latency objective, or if it was refused for lack of
// capacity.
type Counts struct {
	Offered, Late int
}

// Add returns the sum of two counts.
func (c Counts) Add(other Counts) Counts {
	return Counts{Offered: c.Offered + other.Offered, Late: c.Late + other.Late}
}

// Window counts the generations of the last second. The zero value is empty.
type Window struct {
	buckets [buckets]Counts
	// newest is the number of the newest bucket, in units of bucketLength since the Unix epoch.
	newest int64
}

// RecordOffered counts a generation that has arrived.
func (w *Window) RecordOffered(now time.Time) { w.bucket(now).Offered++ }

// RecordLate counts a generation that was found to be late.
func (w *Window) RecordLate(now time.Time) { w.bucket(now).Late++ }

// Counts returns the counts of the last second.
func (w *Window) Counts(now time.Time) Counts {
	w.bucket(now)
	var sum Counts
	for _, bucket := range w.buckets {
		sum = sum.Add(bucket)
	}
	return sum
}

// bucket returns the bucket of time now, and clears those that have become too old.
func (w *Window) bucket(now time.Time) *Counts {
	current := now.UnixNano() / int64(bucketLength)
	for number := max(w.newest+1, current-buckets+1); number <= current; number++ {
		w.buckets[number%buckets] = Counts{}
	}
	w.newest = max(w.newest, current)
	return &w.buckets[w.newest%buckets]
}
