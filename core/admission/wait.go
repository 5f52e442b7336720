package admission

import (
	"math"
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

// Pace measures the work that is started per second, in tokens/s, with old work losing weight with a half-life.
type Throughput struct {
	HalfLife time.Duration
	sum      float64
	first    time.Time
	last     time.Time
}

// Add records started work in tokens.
func (p *Throughput) Add(now time.Time, work float64) {
	if p.first.IsZero() {
		p.first, p.last = now, now
	}
	p.sum = p.sum*p.decay(now) + work
	p.last = now
}

func (p *Throughput) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(p.last)) / float64(p.HalfLife))
}

// PerSecond returns the pace in tokens/s, or 0 in the first second, when it is not known.
func (p *Throughput) PerSecond(now time.Time) float64 {
	elapsed := now.Sub(p.first)
	if p.first.IsZero() || elapsed < time.Second {
		return 0
	}
	// The weights of past work add up to this many seconds.
	timeConstant := p.HalfLife.Seconds() / math.Ln2
	weightedSeconds := timeConstant * (1 - math.Exp2(-float64(elapsed)/float64(p.HalfLife)))
	return p.sum * p.decay(now) / weightedSeconds
}

// Wait returns the time until a new request of the account with the given work would start, if work is started at
// pace tokens/s and shared fairly. It is 0 if nothing waits or the pace is not known.
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
	// Other accounts take their shares meanwhile, but no more than what they have waiting.
	others := 0.0
	for _, a := range q.active {
		if a != own {
			others += math.Min(a.work, (ahead+work)*a.weight/own.weight)
		}
	}
	return time.Duration((ahead + others) / throughput * float64(time.Second))
}

// Displace returns the newest waiting request of the account that has the most work waiting for its weight, if that
// account exceeds its share more than the given account would. A full queue refuses that request instead of one of
// an account that stays within its share.
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
