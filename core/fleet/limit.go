package fleet

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

const (
	// shedMemory is how long a refusal for lack of room limits the work that an engine gets.
	limitLifetime = 2 * time.Second
	// minGrowth and maxGrowth bound the time in which the limit grows by one. It doubles with each further refusal, so that an
	// engine that stays full is tried seldom: each try uses up a repetition of the request. Each further growthInstances
	// instances of the zone, which try it too, lengthen it.
	minGrowthInterval      = 100 * time.Millisecond
	maxGrowthInterval      = 800 * time.Millisecond
	instancesPerGrowthStep = 4
	// sameShed is the time within which refusals count as one: requests that were sent together are refused together.
	overloadBatchWindow = 50 * time.Millisecond
)

// limit bounds the requests in progress at an engine that has refused one for lack of room. The zero value sets no bound.
type concurrencyLimit struct {
	maxRequests    int
	setAt          time.Time
	growthInterval time.Duration
}

// shed takes a refusal at the time now, with so many other requests of this instance in progress.
func (l *concurrencyLimit) lower(now time.Time, others int) {
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

// reached says whether the engine gets no further request at the time now.
func (l *concurrencyLimit) reached(now time.Time, inProgress, instances int) bool {
	since := now.Sub(l.setAt)
	if l.setAt.IsZero() || since > limitLifetime {
		return false
	}
	growth := l.growthInterval * time.Duration(1+instances/instancesPerGrowthStep)
	return inProgress >= l.maxRequests+int(since/growth)
}

// Shed notes that an engine refused a request for lack of room, while that request still counts as in progress. Unlike a
// failed engine it stays in use for as many requests as it has: load that leaves it altogether fills the next one.
func (f *Fleet) RecordOverload(now time.Time, id entity.TargetID) {
	if state := f.targets.Get(id); state != nil {
		state.limit.lower(now, max(0, state.InProgress-1))
	}
}

// Full says whether an engine that refused requests for lack of room gets no further one at the time now.
func (f *Fleet) Full(now time.Time, s *State) bool {
	return s.limit.reached(now, s.InProgress, f.zoneInstances)
}
