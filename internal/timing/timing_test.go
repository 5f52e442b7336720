package timing

import (
	"context"
	"testing"
	"testing/synctest"
	"time"
)

// TestSleepEndsWithContext guards against a caller that waits for the whole duration after its context has ended, or
// takes the end of the context for that of the duration.
func TestSleepEndsWithContext(t *testing.T) {
	for _, test := range []struct {
		name            string
		timeout, sleep  time.Duration
		wantDone        bool
		wantTimeElapsed time.Duration
	}{
		{"duration ends first", time.Minute, time.Second, true, time.Second},
		{"context ends first", time.Second, time.Minute, false, time.Second},
		{"context has ended", 0, time.Minute, false, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithTimeout(t.Context(), test.timeout)
				defer cancel()
				start := time.Now()
				done := Sleep(ctx, test.sleep)
				if elapsed := time.Since(start); done != test.wantDone || elapsed != test.wantTimeElapsed {
					t.Errorf("Sleep returned %t after %v, want %t after %v", done, elapsed, test.wantDone, test.wantTimeElapsed)
				}
			})
		})
	}
}
