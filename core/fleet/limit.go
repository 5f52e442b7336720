package fleet

import (
	"time"

	"github.com/hyssophoist/hyssophoist/core/entity"
)

const (
	// shedMemory is how long a refusal for lack of room limits the work that an engine gets.
	shedMemory = 2 * time.Second
	// minGrowth and maxGrowth bound the time in which the limit grows by one. It doubles with each further refusal, so that an
	// engine that stays full is tried seldom: each try uses up a repetition of the request. Each further growthInstances
	// instances of the zone, which try it too, lengthen it.
	minGrowth       = 100 * time.Millisecond
	maxGrowth       = 800 * time.Millisecond
	growthInstances = 4
	// sameShed is the time within which refusals count as one: requests that were sent together are refused together.
	sameShed = 50 * time.Millisecond
)

// limit bounds the requests in progress at an engine that has refused one for lack of room. The zero value sets no bound.
type limit struct {
	requests int
	at       time.Time
	growth   time.Duration
}

// shed takes a refusal at the time now, with so many other requests of this instance in progress.
func (l *limit) shed(now time.Time, others int) {
	since := now.Sub(l.at)
	switch {
	case l.at.IsZero() || since > shedMemory:
		l.growth = minGrowth
	case since < sameShed:
		l.requests = min(l.requests, others)
		return
	default:
		l.growth = min(maxGrowth, 2*l.growth)
	}
	l.requests, l.at = others, now
}

// reached says whether the engine gets no further request at the time now.
func (l *limit) reached(now time.Time, inProgress, instances int) bool {
	since := now.Sub(l.at)
	if l.at.IsZero() || since > shedMemory {
		return false
	}
	growth := l.growth * time.Duration(1+instances/growthInstances)
	return inProgress >= l.requests+int(since/growth)
}

// Shed notes that an engine refused a request for lack of room, while that request still counts as in progress. Unlike a
// failed engine it stays in use for as many requests as it has: load that leaves it altogether fills the next one.
func (f *Fleet) Shed(now time.Time, id entity.TargetID) {
	if state := f.targets.Get(id); state != nil {
		state.limit.shed(now, max(0, state.InProgress-1))
	}
}

// Full says whether an engine that refused requests for lack of room gets no further one at the time now.
func (f *Fleet) Full(now time.Time, s *State) bool {
	return s.limit.reached(now, s.InProgress, f.instances)
}
