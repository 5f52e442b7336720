// Package retry provides retry budgets, backoff with jitter, and the rules that decide which failures are retried.
package retry

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/hyssophoist/hyssophoist/core/errkind"
)

// Budget limits retries to a fraction of the recent first attempts. Without it, retries can keep the targets
// overloaded after the cause of an outage is gone. The budget is full at the start.
type Budget struct {
	// Ratio is the number of retries added to the balance for each first attempt.
	Ratio float64
	// Burst is the maximum balance. It has to cover the failure of a stage, which interrupts all of its streams at once.
	Burst       float64
	balance     float64
	initialized bool
}

// Deposit adds Ratio to the balance for a first attempt.
func (b *Budget) Deposit() {
	b.init()
	b.balance = math.Min(b.Burst, b.balance+b.Ratio)
}

// TryWithdraw takes one retry from the balance. It returns false if the balance is less than one retry.
func (b *Budget) TryWithdraw() bool {
	b.init()
	if b.balance < 1 {
		return false
	}
	b.balance--
	return true
}

// Balance returns the number of retries left.
func (b *Budget) Balance() float64 {
	b.init()
	return b.balance
}

func (b *Budget) init() {
	if !b.initialized {
		b.balance, b.initialized = b.Burst, true
	}
}

// Backoff returns the delay before retry n, counted from 1. The delay is exponential, starting at base and capped at
// limit, with uniform jitter over its upper half.
func Backoff(random *rand.Rand, n int, base, limit time.Duration) time.Duration {
	bound := math.Min(float64(limit), float64(base)*math.Pow(2, float64(n-1)))
	return time.Duration(bound * (0.5 + 0.5*random.Float64()))
}

// Retryable reports whether an attempt on other targets can succeed after a failure of this kind. Other failures, such
// as those caused by the request itself or by the platform, are returned to the caller instead.
func Retryable(kind errkind.Kind) bool {
	switch kind {
	case errkind.TargetFailed, errkind.TargetRefused, errkind.Overloaded, errkind.NoCapacity, errkind.RateLimited,
		errkind.InvariantViolated, errkind.Internal, errkind.Stopping:
		return true
	default:
		return false
	}
}

// Safe reports whether a retry keeps the guarantee that a non-idempotent request runs at most once.
func Safe(idempotent bool, run errkind.RunOutcome) bool {
	return idempotent || run == errkind.NotRun
}
