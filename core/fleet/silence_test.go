package fleet

import (
	"testing"
	"time"
)

// TestAttemptsThatFailTogetherCountOnce guards against a suspicion of four seconds after a single silence that many streams met.
func TestAttemptsThatFailTogetherCountOnce(t *testing.T) {
	now := time.Unix(1000, 0)
	f := newEngineFleet(2)
	for n := range 10 {
		at := now.Add(time.Duration(n) * time.Millisecond)
		if got := f.RecordFailure(at, "a0").Sub(at); got != minSuspicionTime {
			t.Fatalf("failure %d: suspected for %v, want %v", n+1, got, minSuspicionTime)
		}
	}
	later := now.Add(time.Second)
	if got := f.RecordFailure(later, "a0").Sub(later); got != 2*minSuspicionTime {
		t.Errorf("failure after the suspicion: suspected for %v, want %v", got, 2*minSuspicionTime)
	}
}
