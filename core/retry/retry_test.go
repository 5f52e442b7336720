package retry

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against more retries than the burst plus the ratio of first attempts allow.
func TestBudgetBoundsRetries(t *testing.T) {
	b := Budget{Ratio: 0.1, Burst: 5}
	spent := 0
	for range 1000 {
		b.Deposit()
		if b.TryWithdraw() {
			spent++
		}
	}
	if spent < 100 || spent > 105 {
		t.Errorf("%d retries for 1000 first attempts, want 100 to 105", spent)
	}
}

// Guards against delays without jitter or outside their bounds.
func TestBackoffStaysInBounds(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 1))
	seen := map[time.Duration]bool{}
	for n := 1; n <= 20; n++ {
		d := Backoff(random, n, 10*time.Millisecond, time.Second)
		if d < 5*time.Millisecond || d > time.Second {
			t.Errorf("retry %d waits %v", n, d)
		}
		seen[d] = true
	}
	if len(seen) < 15 {
		t.Errorf("only %d different delays", len(seen))
	}
}
