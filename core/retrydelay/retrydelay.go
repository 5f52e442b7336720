// Package retrydelay derives the delay after which a refused caller should retry from how long requests of its rank have been
// refused.
//
// An Estimator records which requests of a service were refused for lack of capacity and which were admitted. While refusals
// prevail there is a shortage, which is expected to last as long again as it has lasted. Delays are spread at random, and away
// from the times at which many other callers were told to return. The package does no I/O and reads no clock; callers pass the
// time in.
package retrydelay

import (
	"math"
	"time"
)

const (
	// MinDelay is the shortest delay, unless the caller has less time: other engines load the layers of a lost engine in
	// about a second.
	MinDelay = time.Second
	// jitter is the width of the range from which a delay is drawn, as a fraction of its lower end.
	jitter = 0.5
	// rankStep is how much later callers of each less urgent rank return, as a fraction of the delay of rank 0. Since later
	// callers are refused again less often, a larger step would serve the more urgent rank less often than the other.
	rankStep = 0.05
	// timeLeftShare is the largest fraction of their remaining time for which callers wait before they retry; timeLeftMargin is
	// a margin for the way of the response and the clock of the caller.
	timeLeftShare  = 1.0 / 3
	timeLeftMargin = 50 * time.Millisecond
	// minSpread is the smallest width of the range of a delay, as a fraction of its upper end, if the caller's remaining time
	// shortens it: callers with the same remaining time must not return together.
	minSpread = 0.25
	// shortestDelay is the delay of callers that have almost no time left; 0 would mean that a retry is not offered.
	shortestDelay = time.Millisecond
)

// Estimator estimates the shortages of one service as seen by one instance, and keeps the times at which refused callers were
// told to return. Its zero value has seen nothing. It is not safe for concurrent use. Ranks start at 0, the most urgent.
type Estimator struct {
	ranks   []rankState
	returns returns
}

// RecordRefusal records that a request was refused for lack of capacity. What is refused to a rank is not there for less
// urgent ranks either.
func (e *Estimator) RecordRefusal(now time.Time, rank int) {
	e.grow(rank)
	for i := rank; i < len(e.ranks); i++ {
		e.ranks[i].recordRefusal(now)
	}
}

// RecordAdmission records that a request was admitted. What is admitted of a rank would be of more urgent ranks too.
func (e *Estimator) RecordAdmission(now time.Time, rank int) {
	e.grow(rank)
	for i := range e.ranks[:rank+1] {
		e.ranks[i].recordAdmission(now)
	}
}

// Shortage returns how long the present shortage of capacity for a rank has lasted, or 0 if there is none. A shortage for a
// more urgent rank is one for this rank too, whose first request may come later.
func (e *Estimator) Shortage(now time.Time, rank int) time.Duration {
	longest := time.Duration(0)
	for _, state := range e.ranks[:min(rank+1, len(e.ranks))] {
		if state.shortAt(now) {
			longest = max(longest, now.Sub(state.since))
		}
	}
	return longest
}

// Base returns the shortest delay for a caller of a rank that has enough time left. A shortage is expected to last as long
// again as it has lasted.
func (e *Estimator) Base(now time.Time, rank int) time.Duration {
	return time.Duration(float64(max(MinDelay, e.Shortage(now, rank))) * (1 + rankStep*float64(rank)))
}

// Delay returns the delay after which a refused caller of a rank with the given remaining time should retry, and counts the
// caller as one to return then. It is Base and up to half more, but at most a third of timeLeft, or shortestDelay. random must be
// uniformly distributed in [0, 1).
func (e *Estimator) Delay(now time.Time, rank int, timeLeft time.Duration, random float64) time.Duration {
	limit := max(float64(shortestDelay), timeLeftShare*float64(timeLeft)-float64(timeLeftMargin))
	lower := float64(e.Base(now, rank))
	upper := min(lower*(1+jitter), limit)
	lower = min(lower, upper*(1-minSpread))
	return e.returns.place(now, lower, upper, random)
}

// grow adds the states of ranks up to rank.
func (e *Estimator) grow(rank int) {
	for len(e.ranks) <= rank {
		e.ranks = append(e.ranks, rankState{})
	}
}

const (
	// countDecay is the time constant with which refusals and admissions are forgotten. It is a few requests long for an instance
	// that gets about four a second.
	countDecay = time.Second
	// admissionMargin is by how much the recent admissions have to exceed the recent refusals for the end of a shortage: with
	// few requests, a single small one that finds room must not end it.
	admissionMargin = 1
	// quietEnd is the time without a refusal after which a shortage counts as over. It is longer than the usual time between
	// two requests of a rank.
	quietEnd = 5 * time.Second
)

// rankState holds the recent refusals and admissions that tell of the capacity for one rank.
type rankState struct {
	// refused and admitted are counts that decay exponentially, as of countedAt.
	refused, admitted float64
	countedAt         time.Time
	// short reports whether refusals prevail. since is when the shortage is taken to have begun, or without one when it will
	// have begun if refusals come to prevail before the next admission; zero before the first refusal.
	short                      bool
	since                      time.Time
	lastRefusal, lastAdmission time.Time
}

func (s *rankState) shortAt(now time.Time) bool {
	return s.short && now.Sub(s.lastRefusal) <= quietEnd
}

func (s *rankState) recordRefusal(now time.Time) {
	s.decay(now)
	if now.Sub(s.lastRefusal) > quietEnd {
		s.short, s.since = false, time.Time{}
	}
	if s.since.IsZero() {
		s.since = now
		if !s.lastAdmission.IsZero() { // it may have begun at any time since then
			s.since = now.Add(-min(now.Sub(s.lastAdmission), countDecay) / 2)
		}
	}
	s.refused++
	s.lastRefusal = now
	s.short = s.short || s.refused > s.admitted
}

func (s *rankState) recordAdmission(now time.Time) {
	s.decay(now)
	s.admitted++
	s.lastAdmission = now
	if !s.short || s.admitted > s.refused+admissionMargin {
		s.short, s.since = false, time.Time{}
	}
}

func (s *rankState) decay(now time.Time) {
	factor := math.Exp(-max(0, float64(now.Sub(s.countedAt))) / float64(countDecay))
	s.refused, s.admitted, s.countedAt = s.refused*factor, s.admitted*factor, now
}

const (
	// slotWidth is the resolution of the account of returning callers, slots its length: callers have at most 30 s left and
	// return within a third of that.
	slotWidth = 250 * time.Millisecond
	slots     = 64
	// positions is the number of positions of a delay that are compared. More would make the delays less random.
	positions = 4
)

// returns counts the callers that were told to return in each slot of the near future.
type returns struct {
	counts  [slots]int
	numbers [slots]int64
}

// place returns a delay between lower and upper, in nanoseconds, and counts it. Of some positions evenly apart in the range, it
// takes the one for which the fewest callers were told to return.
func (r *returns) place(now time.Time, lower, upper, random float64) time.Duration {
	var best time.Duration
	var count *int
	for i := range positions {
		offset := math.Mod(random+float64(i)/positions, 1)
		delay := time.Duration(lower + offset*(upper-lower))
		if other := r.slot(now.Add(delay)); count == nil || *other < *count {
			best, count = delay, other
		}
	}
	*count++
	return best
}

// slot returns the count of the slot of a time. The slots of past times are reused.
func (r *returns) slot(at time.Time) *int {
	number := at.UnixNano() / int64(slotWidth)
	i := ((number % slots) + slots) % slots
	if r.numbers[i] != number {
		r.numbers[i], r.counts[i] = number, 0
	}
	return &r.counts[i]
}
