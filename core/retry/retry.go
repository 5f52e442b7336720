// Package retry holds the retry budget, the backoff with jitter and the rule that says which failures are retried.
package retry

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hyssophoist/hyssophoist/core/errkind"
)

// Budget bounds retries to a share of recent first attempts. Without it, retries after an outage can keep the
// targets overloaded after the cause has gone.
type Budget struct {
	// Share is the number of retries that each first attempt pays for.
	Ratio float64
	// Burst bounds the saved retries. A stage that fails interrupts all of its streams at once.
	Burst       float64
	balance     float64
	initialized bool
}

// Earn records a first attempt.
func (b *Budget) Deposit() {
	b.init()
	b.balance = math.Min(b.Burst, b.balance+b.Ratio)
}

// Spend takes one retry from the budget, or returns false if none is left.
func (b *Budget) TryWithdraw() bool {
	b.init()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Saved returns the number of retries left.
func (b *Budget) Balance() float64 {
	b.init()
	return b.balance
}

func (b *Budget) init() {
	if !b.initialized {
		b.balance, b.initialized = b.Burst, true
	}
}

// Backoff returns the time to wait before retry number n, counted from 1: exponential with full jitter in its upper
// half, from base up to limit.
func Backoff(random *rand.Rand, n int, base, limit time.Duration) time.Duration {
	bound := math.Min(float64(limit), float64(base)*math.Pow(2, float64(n-1)))
	return time.Duration(bound * (0.5 + 0.5*random.Float64()))
}

// Helps says whether another attempt on other targets can succeed after a failure of this kind. Failures that the
// request itself or the platform causes are passed on instead.
func Retryable(kind errkind.Kind) bool {
	switch kind {
	case errkind.TargetFailed, errkind.TargetRefused, errkind.Overloaded, errkind.NoCapacity, errkind.RateLimited,
		errkind.InvariantViolated, errkind.Internal, errkind.Stopping:
		return true
	default:
		return false
	}
}

// Allowed says whether another attempt keeps the promise that a non-idempotent request runs at most once.
func Safe(idempotent bool, run errkind.RunOutcome) bool {
	return idempotent || run == errkind.NotRun
}
