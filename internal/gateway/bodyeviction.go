package gateway

import (
	"io"
	"slices"
	"time"
)

const (
	// evictionInterval is the time between two searches for stalled bodies while others wait for memory.
	evictionInterval = 25 * time.Millisecond
	// bodyStepBytes is what counts as progress of a body that is arriving, and stalledBodyTime the time without progress after
	// which it may lose its memory to a waiting one. A caller that sends 16 KiB a second keeps it.
	bodyStepBytes   = 4 << 10
	stalledBodyTime = 250 * time.Millisecond
)

// arrivingBody is the state of a body that is arriving. It is guarded by requestBodyMemory.mu.
type arrivingBody struct {
	// abort ends the reading of the body with an error.
	abort func()
	// progressAt is when the last bodyStepBytes had arrived, or memory was granted.
	progressAt time.Time
	// waiting reports whether the body waits for more memory, so that nothing of it is read.
	waiting bool
	// evicted reports whether the body has lost its memory to another one.
	evicted bool
}

// beginArrival records that the body begins to arrive. abort must end the reading of it with an error.
func (r *bodyReservation) beginArrival(abort func()) {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.arrival = arrivingBody{abort: abort, progressAt: time.Now()}
	r.memory.arriving[r] = struct{}{}
}

// endArrival records that the body arrives no longer. It returns false if it has lost its memory before.
func (r *bodyReservation) endArrival() bool {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	delete(r.memory.arriving, r)
	return !r.arrival.evicted
}

// recordProgress records that bodyStepBytes of the body have arrived.
func (r *bodyReservation) recordProgress() {
	r.memory.mu.Lock()
	defer r.memory.mu.Unlock()
	r.arrival.progressAt = time.Now()
}

// progressReader records the progress of a body.
type progressReader struct {
	io.Reader
	reservation *bodyReservation
	// unrecorded is the number of bytes that have arrived since progress was last recorded.
	unrecorded int
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if r.unrecorded += n; r.unrecorded >= bodyStepBytes {
		r.unrecorded = 0
		r.reservation.recordProgress()
	}
	return n, err
}

// beginWait records that the reservation waits for missing bytes of a pool, for which stalled bodies then lose their memory.
// The returned function ends this.
func (r *bodyReservation) beginWait(pool *bodyPool, missing int64) (end func()) {
	m := r.memory
	m.mu.Lock()
	defer m.mu.Unlock()
	r.arrival.waiting = true
	pool.awaited += missing
	if !m.evicting {
		m.evicting = true
		go m.evictWhileAwaited()
	}
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		r.arrival.waiting, r.arrival.progressAt = false, time.Now()
		pool.awaited -= missing
	}
}

// evictWhileAwaited takes memory from stalled bodies until no reservation waits.
func (m *requestBodyMemory) evictWhileAwaited() {
	ticker := time.NewTicker(evictionInterval)
	defer ticker.Stop()
	for now := range ticker.C {
		if !m.evictStalled(now) {
			return
		}
	}
}

// evictStalled takes the awaited memory from stalled bodies, those first that have made no progress for the longest time. It
// returns false if none is awaited.
func (m *requestBodyMemory) evictStalled(now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.small.awaited == 0 && m.large.awaited == 0 {
		m.evicting = false
		return false
	}
	var stalled []*bodyReservation
	for r := range m.arriving {
		if !r.arrival.waiting && now.Sub(r.arrival.progressAt) >= stalledBodyTime {
			stalled = append(stalled, r)
		}
	}
	slices.SortFunc(stalled, func(a, b *bodyReservation) int { return a.arrival.progressAt.Compare(b.arrival.progressAt) })
	small, large := m.small.awaited, m.large.awaited
	for _, r := range stalled {
		if small > 0 && r.small > 0 || large > 0 && r.large > 0 {
			small, large = small-r.small, large-r.large
			r.arrival.evicted = true
			delete(m.arriving, r)
			r.arrival.abort()
		}
	}
	return true
}
