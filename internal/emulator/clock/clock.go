// Package clock provides the clocks of the emulators: system time, system time scaled by a factor, and a manual clock
// that tests advance.
package clock

import (
	"context"
	"sync"
	"time"
)

// Clock tells the time and sleeps.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
	// Sleep waits for d, or until ctx is done, in which case it returns ctx.Err().
	Sleep(ctx context.Context, d time.Duration) error
}

// System is the system clock.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// Sleep implements Clock.
func (System) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Scaled is a clock whose time passes at a fixed multiple of the speed of system time.
type Scaled struct {
	factor float64
	start  time.Time
}

// NewScaled returns a clock on which factor seconds pass in one second of system time. The factor must be above 0.
func NewScaled(factor float64) *Scaled { return &Scaled{factor: factor, start: time.Now()} }

// Now implements Clock.
func (s *Scaled) Now() time.Time {
	return s.start.Add(time.Duration(float64(time.Since(s.start)) * s.factor))
}

// Sleep implements Clock.
func (s *Scaled) Sleep(ctx context.Context, d time.Duration) error {
	return System{}.Sleep(ctx, time.Duration(float64(d)/s.factor))
}

// Manual is a clock whose time changes only by Advance.
type Manual struct {
	mu       sync.Mutex
	now      time.Time
	sleepers map[*sleeper]struct{}
	changed  chan struct{}
}

// sleeper is a call of Manual.Sleep in progress. wake is closed when the time reaches until.
type sleeper struct {
	until time.Time
	wake  chan struct{}
}

// NewManual returns a clock whose time is start.
func NewManual(start time.Time) *Manual {
	return &Manual{now: start, sleepers: map[*sleeper]struct{}{}, changed: make(chan struct{})}
}

// Now implements Clock.
func (m *Manual) Now() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.now
}

// Sleep implements Clock.
func (m *Manual) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	m.mu.Lock()
	s := &sleeper{until: m.now.Add(d), wake: make(chan struct{})}
	m.sleepers[s] = struct{}{}
	m.notifyWaiters()
	m.mu.Unlock()
	select {
	case <-s.wake:
		return nil
	case <-ctx.Done():
		m.mu.Lock()
		delete(m.sleepers, s)
		m.notifyWaiters()
		m.mu.Unlock()
		return ctx.Err()
	}
}

// Advance moves the time forward by d and ends every Sleep whose duration has passed.
func (m *Manual) Advance(d time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.advance(d)
}

// AdvanceToNext moves the time forward to the earliest end of a Sleep in progress, ends that Sleep and returns by how
// much the time moved. It returns 0 if no goroutine sleeps.
func (m *Manual) AdvanceToNext() time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	var next time.Time
	for s := range m.sleepers {
		if next.IsZero() || s.until.Before(next) {
			next = s.until
		}
	}
	if next.IsZero() {
		return 0
	}
	d := next.Sub(m.now)
	m.advance(d)
	return d
}

// advance is Advance for a caller that holds m.mu.
func (m *Manual) advance(d time.Duration) {
	m.now = m.now.Add(d)
	for s := range m.sleepers {
		if !s.until.After(m.now) {
			delete(m.sleepers, s)
			close(s.wake)
		}
	}
	m.notifyWaiters()
}

// WaitSleepers waits until at least n goroutines sleep, or until ctx is done, in which case it returns ctx.Err().
func (m *Manual) WaitSleepers(ctx context.Context, n int) error {
	for {
		m.mu.Lock()
		count, changed := len(m.sleepers), m.changed
		m.mu.Unlock()
		if count >= n {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// notifyWaiters wakes all calls of WaitSleepers. The caller holds m.mu.
func (m *Manual) notifyWaiters() {
	close(m.changed)
	m.changed = make(chan struct{})
}
