package admission

import (
	"math"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// Throughput measures the rate at which work is started, in tokens/s, as an exponentially weighted average: the weight
// of past work halves every HalfLife.
type Throughput struct {
	HalfLife time.Duration
	sum      float64
	first    time.Time
	last     time.Time
}

// Add records started work, in tokens.
func (t *Throughput) Add(now time.Time, work float64) {
	if t.first.IsZero() {
		t.first, t.last = now, now
	}
	t.sum = t.sum*t.decay(now) + work
	t.last = now
}

func (t *Throughput) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(t.last)) / float64(t.HalfLife))
}

// PerSecond returns the throughput in tokens/s. It returns 0 during the first second, when there is too little data.
func (t *Throughput) PerSecond(now time.Time) float64 {
	elapsed := now.Sub(t.first)
	if t.first.IsZero() || elapsed < time.Second {
		return 0
	}
	// weightedSeconds is the integral of the decay weight over the elapsed time.
	timeConstant := t.HalfLife.Seconds() / math.Ln2
	weightedSeconds := timeConstant * (1 - math.Exp2(-float64(elapsed)/float64(t.HalfLife)))
	return t.sum * t.decay(now) / weightedSeconds
}

// EstimatedWait returns the time until a new request of the account with the given work would start, assuming that
// throughput, in tokens/s, is shared fairly. It returns 0 if the queue is empty or the throughput is not known.
func (q *Queue) EstimatedWait(id entity.AccountID, work, throughput float64) time.Duration {
	if q.length == 0 || throughput <= 0 {
		return 0
	}
	own := q.account(id)
	weights := own.weight
	ahead := own.work
	for _, a := range q.active {
		if a != own {
			weights += a.weight
		}
	}
	// Meanwhile each other account receives its fair share, limited by the work it has waiting.
	others := 0.0
	for _, a := range q.active {
		if a != own {
			others += math.Min(a.work, (ahead+work)*a.weight/own.weight)
		}
	}
	return time.Duration((ahead + others) / throughput * float64(time.Second))
}

// EvictionCandidate returns the request to reject in place of a new one of the given account and work when the queue
// is full: the newest one of the lowest priority in the account with the most waiting work relative to its weight.
// It returns false if that account is the given one, or if it has no more waiting work relative to its weight than the
// given account would have with the new request. Thus the backlog of one account does not cause rejections for accounts
// that stay within their share. EvictionCandidate does not remove the request from the queue.
func (q *Queue) EvictionCandidate(id entity.AccountID, work float64) (Item, bool) {
	own := q.account(id)
	var worst *account
	for _, a := range q.active {
		if worst == nil || a.work/a.weight > worst.work/worst.weight {
			worst = a
		}
	}
	if worst == nil || worst == own || worst.work/worst.weight <= (own.work+work)/own.weight {
		return Item{}, false
	}
	for c := len(worst.waiting) - 1; c >= 0; c-- {
		if n := len(worst.waiting[c]); n > 0 {
			return worst.waiting[c][n-1], true
		}
	}
	return Item{}, false
}
