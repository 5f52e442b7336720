package fleet

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

const (
	// limitLifetime is how long a refusal for lack of room limits the requests sent to an engine.
	limitLifetime = 2 * time.Second
	// minGrowthInterval and maxGrowthInterval bound the interval after which the limit grows by one. It doubles with
	// each further refusal, so that an engine that stays full is seldom probed: each refused probe uses up a retry.
	// The interval is multiplied by 1 + n/instancesPerGrowthStep, rounded down, for the n instances of the zone, since
	// all of them probe the engine.
	minGrowthInterval      = 100 * time.Millisecond
	maxGrowthInterval      = 800 * time.Millisecond
	instancesPerGrowthStep = 4
	// overloadBatchWindow is the time within which refusals count as one, since requests that were sent together are
	// refused together.
	overloadBatchWindow = 50 * time.Millisecond
)

// concurrencyLimit limits the requests in progress at an engine that has refused one for lack of room. The limit starts
// at maxRequests at the time setAt and grows by one each growthInterval, which is lengthened with the number of
// instances in the zone. It ends after limitLifetime. The zero value sets no limit.
type concurrencyLimit struct {
	maxRequests    int
	setAt          time.Time
	growthInterval time.Duration
}

// recordRefusal sets the limit after a refusal at time now; others is the number of this instance's other requests in
// progress.
func (l *concurrencyLimit) recordRefusal(now time.Time, others int) {
	since := now.Sub(l.setAt)
	switch {
	case l.setAt.IsZero() || since > limitLifetime:
		l.growthInterval = minGrowthInterval
	case since < overloadBatchWindow:
		l.maxRequests = min(l.maxRequests, others)
		return
	default:
		l.growthInterval = min(maxGrowthInterval, 2*l.growthInterval)
	}
	l.maxRequests, l.setAt = others, now
}

// reached reports whether the requests in progress have reached the limit at time now.
func (l *concurrencyLimit) reached(now time.Time, inProgress, instances int) bool {
	since := now.Sub(l.setAt)
	if l.setAt.IsZero() || since > limitLifetime {
		return false
	}
	growth := l.growthInterval * time.Duration(1+instances/instancesPerGrowthStep)
	return inProgress >= l.maxRequests+int(since/growth)
}

// RecordOverload records that an engine refused a request for lack of room. It must be called while the request still
// counts as in progress. Unlike a failed engine, the engine keeps as many requests as it has, since moving all of its
// load would overload the next engine.
func (f *Fleet) RecordOverload(now time.Time, id entity.TargetID) {
	if state := f.targets.Get(id); state != nil {
		state.limit.recordRefusal(now, max(0, state.InProgress-1))
	}
}

// Full reports whether an engine that refused requests for lack of room may get no further one at time now.
func (f *Fleet) Full(now time.Time, s *State) bool {
	return s.limit.reached(now, s.InProgress, f.zoneInstances)
}
