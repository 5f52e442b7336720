package virtualtime

import (
	"slices"
	"testing"
	"time"
)

// TestRunUntilStopsAtItsEnd guards against events at the end that are left out, events after it that run, and a clock
// that stays at the last event.
func TestRunUntilStopsAtItsEnd(t *testing.T) {
	var s Scheduler
	var ran []time.Duration
	for _, at := range []time.Duration{3, 2, 1, 2} {
		s.After(at*time.Second, func() { ran = append(ran, s.Now()/time.Second) })
	}
	s.RunUntil(2 * time.Second)
	if want := []time.Duration{1, 2, 2}; !slices.Equal(ran, want) {
		t.Errorf("events ran at seconds %d, want %d", ran, want)
	}
	s.RunUntil(2500 * time.Millisecond)
	if s.Now() != 2500*time.Millisecond || len(ran) != 3 {
		t.Errorf("at %v %d events have run, want 3 at 2.5s", s.Now(), len(ran))
	}
}
